//! Snapshots between members, piece by piece.
use crate::log::Snapshot;
use crate::message::{Lives, Message, Outcome, Position, FAR};
use crate::node::Node;
use crate::progress::{Progress, Way};
use cluster_types::MemberId;

/// What a follower has of a snapshot so far.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Incoming {
    at: Position,
    size: usize,
    bytes: Vec<u8>,
}

impl Node {
    /// Sends the piece that is due, unless it is under way.
    pub(crate) fn piece(&mut self, to: &MemberId, progress: &mut Progress) -> bool {
        let snapshot = &self.log.snapshot;
        let from = match progress.way {
            Way::Pieces { at, asked: true, .. } if at == snapshot.at.index => return false,
            Way::Pieces { at, offset, .. } if at == snapshot.at.index => offset,
            _ => 0,
        };
        progress.flights.clear();
        progress.way = Way::Pieces { at: snapshot.at.index, offset: from, asked: true };
        let start = usize::try_from(from).unwrap_or(usize::MAX).min(snapshot.data.len());
        let end = start.saturating_add(self.config.chunk_bytes).min(snapshot.data.len());
        let message = Message::Chunk {
            term: self.term,
            at: snapshot.at,
            lives: snapshot.lives.clone(),
            size: snapshot.data.len() as u64,
            offset: start as u64,
            bytes: snapshot.data[start..end].to_vec(),
            round: self.lead.round,
        };
        self.sends.push((to.clone(), message));
        true
    }

    /// The follower wants the next piece.
    pub(crate) fn piece_taken(&mut self, progress: &mut Progress, wanted: u64, next: u64) {
        match &mut progress.way {
            Way::Pieces { at, offset, asked } if *at == wanted && *offset != next => {
                *offset = next;
                *asked = false;
            }
            _ => self.counts.stale += 1,
        }
    }

    pub(crate) fn on_chunk(
        &mut self,
        from: &MemberId,
        (term, round): (u64, u64),
        (at, lives): (Position, Lives),
        size: u64,
        (offset, bytes): (u64, Vec<u8>),
    ) {
        if term < self.term {
            self.counts.stale += 1;
            let outcome = Outcome::Reject { prev: at.index, first: self.log.last().index + 1, term: None };
            return self.answer(from, round, outcome);
        }
        let known = lives.keys().eq(self.config.members.iter());
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        let end = usize::try_from(offset).unwrap_or(usize::MAX).saturating_add(bytes.len());
        let fits = size <= self.config.snapshot_bytes && end <= size && (end == size || !bytes.is_empty());
        if !known || !fits || at.index == 0 || at.index >= FAR || at.term == 0 || at.term > term {
            self.counts.malformed += 1;
            return;
        }
        if !self.may_write() || !self.hears(from, term) {
            return;
        }
        let outcome = if at.index <= self.commit {
            self.incoming = None;
            Outcome::Match(at.index)
        } else {
            self.assemble(at, lives, size, (offset, bytes))
        };
        self.answer(from, round, outcome);
    }

    fn assemble(
        &mut self,
        at: Position,
        lives: Lives,
        size: usize,
        (offset, bytes): (u64, Vec<u8>),
    ) -> Outcome {
        let fresh = Incoming { at, size, bytes: Vec::new() };
        let mut incoming = self.incoming.take().filter(|i| i.at == at && i.size == size).unwrap_or(fresh);
        if incoming.bytes.len() as u64 == offset {
            incoming.bytes.extend(bytes);
        }
        if incoming.bytes.len() < size {
            let next = incoming.bytes.len() as u64;
            self.incoming = Some(incoming);
            return Outcome::Chunk { at: at.index, next };
        }
        if self.log.term_at(at.index) != Some(at.term) {
            self.disk.truncated(1);
        }
        self.log.install(Snapshot { at, lives, data: incoming.bytes.into() });
        self.disk.snapshotted();
        self.wanted = None;
        self.commit = at.index;
        self.disk.dirty.hard = true;
        self.restore_due();
        Outcome::Match(at.index)
    }
}
