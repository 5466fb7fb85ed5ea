//! Log compaction: replacing entries with snapshots of the applied state.
use crate::action::Action;
use crate::node::Node;
use crate::progress::ReplicationMode;
use crate::snapshot::Snapshot;
use cluster_types::Index;
use std::sync::Arc;

impl Node {
    /// Installs a snapshot that the host has taken of its applied state.
    pub(crate) fn on_snapshot_taken(&mut self, last_index: u64, data: Arc<[u8]>) {
        let snapshot_index = self.log.snapshot.last.index;
        let is_valid = last_index > snapshot_index
            && last_index <= self.applied_index
            && data.len() <= self.config.max_snapshot_bytes;
        let Some(last) = self.log.position_at(last_index).filter(|_| is_valid) else {
            self.counters.malformed += 1;
            return;
        };
        if self.has_write_capacity() {
            let incarnations = self.log.incarnations_at(last_index).clone();
            self.log.install(Snapshot { last, incarnations, data });
            self.storage.note_snapshot();
            self.snapshot_requested_at = None;
        }
    }

    /// Requests a snapshot if the log has grown long. Repeats the request after `max_election_timeout` until one is taken.
    pub(crate) fn request_snapshot_if_due(&mut self, out: &mut Vec<Action>) {
        let is_half_full_by_bytes = self.log.memory_bytes() >= self.config.max_log_bytes / 2;
        let is_long = self.log.len() >= self.config.snapshot_threshold_entries || is_half_full_by_bytes;
        let requested_at = self.snapshot_requested_at;
        let is_due = requested_at.is_none_or(|at| self.now.since(at) >= self.config.max_election_timeout);
        if !is_long || !is_due || self.applied_index <= self.log.snapshot.last.index {
            return;
        }
        // A snapshot that is being sent is not replaced during the transfer, unless the log approaches its limit.
        let is_half_full = self.log.len() * 2 >= self.config.max_log_entries || is_half_full_by_bytes;
        if is_half_full || !self.is_sending_snapshot() {
            self.snapshot_requested_at = Some(self.now);
            out.push(Action::SnapshotRequested { last_index: Index(self.applied_index) });
        }
    }

    fn is_sending_snapshot(&self) -> bool {
        let mut followers = self.leader_state.progress.values();
        followers.any(|progress| matches!(progress.mode, ReplicationMode::Snapshot { .. }))
    }
}
