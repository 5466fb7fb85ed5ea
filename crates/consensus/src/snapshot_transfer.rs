//! Sending and receiving snapshots in chunks.
use crate::entry::{LogPosition, TERM_AND_INDEX_BOUND};
use crate::incoming_snapshot::IncomingSnapshot;
use crate::message::{AppendOutcome, Message, SnapshotChunk};
use crate::node::Node;
use crate::progress::{Progress, ReplicationMode};
use crate::snapshot::Snapshot;
use cluster_types::MemberId;

impl Node {
    /// Sends the next chunk unless an answer is pending; returns whether it was sent.
    pub(crate) fn send_chunk(&mut self, to: &MemberId, progress: &mut Progress) -> bool {
        let snapshot = &self.log.snapshot;
        let snapshot_index = snapshot.last.index;
        let offset = match progress.mode {
            ReplicationMode::Snapshot { last_index, offset, awaits_response }
                if last_index == snapshot_index =>
            {
                if awaits_response {
                    return false;
                }
                offset
            }
            ReplicationMode::Snapshot { .. } | ReplicationMode::Probe { .. } | ReplicationMode::Replicate => {
                0
            }
        };
        progress.inflight.clear();
        progress.mode =
            ReplicationMode::Snapshot { last_index: snapshot_index, offset, awaits_response: true };
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(snapshot.data.len());
        let end = start.saturating_add(self.config.snapshot_chunk_bytes).min(snapshot.data.len());
        let chunk = SnapshotChunk {
            term: self.term,
            last: snapshot.last,
            incarnations: snapshot.incarnations.clone(),
            total_bytes: snapshot.data.len() as u64,
            offset: start as u64,
            bytes: snapshot.data[start..end].to_vec(),
            round: self.leader_state.round,
        };
        self.outbox.push((to.clone(), Message::SnapshotChunk(chunk)));
        true
    }

    /// Records that the follower expects the chunk at `next_offset`.
    pub(crate) fn record_chunk(&mut self, progress: &mut Progress, snapshot_index: u64, next_offset: u64) {
        match &mut progress.mode {
            ReplicationMode::Snapshot { last_index, offset, awaits_response }
                if *last_index == snapshot_index && *offset != next_offset =>
            {
                *offset = next_offset;
                *awaits_response = false;
            }
            ReplicationMode::Snapshot { .. } | ReplicationMode::Probe { .. } | ReplicationMode::Replicate => {
                self.counters.stale += 1
            }
        }
    }

    pub(crate) fn on_snapshot_chunk(&mut self, from: &MemberId, chunk: SnapshotChunk) {
        let (term, round, last) = (chunk.term, chunk.round, chunk.last);
        if term < self.term {
            self.reject_stale_leader(from, round, last.index);
            return;
        }
        if !self.is_chunk_well_formed(&chunk) {
            self.counters.malformed += 1;
            return;
        }
        if !self.has_write_capacity() || !self.accept_leader(from, term) {
            return;
        }
        let outcome = if last.index <= self.commit_index {
            self.incoming_snapshot = None;
            AppendOutcome::Matched(last.index)
        } else {
            self.assemble_snapshot(chunk)
        };
        self.respond_to_leader(from, round, outcome);
    }

    /// Whether a correct leader could have sent the chunk and the snapshot is within the size limit.
    fn is_chunk_well_formed(&self, chunk: &SnapshotChunk) -> bool {
        let SnapshotChunk { term, last, .. } = *chunk;
        let total_bytes = as_length(chunk.total_bytes);
        let end = as_length(chunk.offset).saturating_add(chunk.bytes.len());
        chunk.incarnations.keys().eq(self.config.members.iter())
            && total_bytes <= self.config.max_snapshot_bytes
            && end <= total_bytes
            && (end == total_bytes || !chunk.bytes.is_empty())
            && is_position_valid(last, term)
    }

    /// Adds a chunk to the incoming snapshot; installs the snapshot once it is complete.
    fn assemble_snapshot(&mut self, chunk: SnapshotChunk) -> AppendOutcome {
        let (last, total_bytes) = (chunk.last, as_length(chunk.total_bytes));
        let earlier = self.incoming_snapshot.take();
        let mut incoming = earlier
            .filter(|earlier| earlier.last == last && earlier.total_bytes == total_bytes)
            .unwrap_or_else(|| IncomingSnapshot { last, total_bytes, bytes: Vec::new() });
        if incoming.bytes.len() as u64 == chunk.offset {
            incoming.bytes.extend(chunk.bytes);
        }
        if incoming.bytes.len() < total_bytes {
            let offset = incoming.bytes.len() as u64;
            self.incoming_snapshot = Some(incoming);
            return AppendOutcome::ChunkExpected { snapshot_index: last.index, offset };
        }
        if self.log.term_at(last.index) != Some(last.term) {
            self.storage.note_truncated(1);
        }
        let data = incoming.bytes.into();
        self.log.install(Snapshot { last, incarnations: chunk.incarnations, data });
        self.storage.note_snapshot();
        self.snapshot_requested_at = None;
        self.commit_index = last.index;
        self.storage.note_hard_state();
        self.schedule_restore();
        AppendOutcome::Matched(last.index)
    }
}

/// Converts a length from the wire. A length beyond the address space becomes `usize::MAX`, which exceeds every limit.
fn as_length(bytes: u64) -> usize {
    usize::try_from(bytes).unwrap_or(usize::MAX)
}

/// Whether a snapshot sent by a leader in `term` may end at this position.
fn is_position_valid(last: LogPosition, term: u64) -> bool {
    last.index > 0 && last.index < TERM_AND_INDEX_BOUND && last.term > 0 && last.term <= term
}
