//! Runs the replicated log and executes its actions.
use crate::frame::Frame;
use crate::log_thread::thread::LogThread;
use crate::state_machine::{CatalogueChange, StateMachine};
use crate::storage_thread::WriteRequest;
use cluster_types::{Index, MemberId};
use consensus::{Action, Event, Rejection, Role, WriteBatch};
use maintenance::StageTimer;
use std::sync::Arc;

impl LogThread {
    /// Passes an event to the log and executes the resulting actions.
    pub(crate) fn handle_raft_event(&mut self, event: Event) {
        let now = self.clock.now();
        let mut actions = Vec::new();
        self.raft.handle(now, event, &mut actions);
        for action in actions {
            self.carry_out_raft_action(action);
        }
    }

    fn carry_out_raft_action(&mut self, action: Action) {
        match action {
            Action::Send { to, message } => {
                let incarnation = self.store_incarnation;
                self.outboxes.send(&to, &Frame::Log { incarnation, message });
            }
            Action::Persist(batch) => self.persist(batch),
            Action::Apply { index, data, .. } => self.apply_entry(index, &data),
            Action::Restore { index, data } => self.restore(index, &data),
            Action::SnapshotRequested { last_index } => self.take_snapshot(last_index),
            Action::Committed { ticket, .. } => {
                self.proposed.remove(&ticket);
            }
            Action::Rejected { ticket, reason } => {
                self.proposed.remove(&ticket);
                if !matches!(reason, Rejection::NotLeader(_)) {
                    (self.log)(&format!("coordination proposal rejected={reason:?}"));
                }
            }
            // This host requests no read barriers.
            Action::Readable { .. } => {}
            Action::RoleChanged { role, term, leader } => {
                self.handle_role_change(role, term, leader.as_ref())
            }
        }
    }

    fn persist(&mut self, batch: WriteBatch) {
        let batch_id = batch.id;
        if self.storage.try_send(WriteRequest::Batch(batch)).is_err() {
            // The batch did not reach the storage thread and is not on disk, so nothing may be acknowledged that depends on it.
            self.handle_raft_event(Event::PersistFailed { batch_id });
        }
    }

    fn restore(&mut self, index: Index, data: &Arc<[u8]>) {
        match StateMachine::restore(data) {
            Ok(state) => {
                self.state = state;
                self.has_new_state = true;
                self.forward_catalogue_change(&CatalogueChange::Replaced);
                (self.log)(&format!("coordination restored index={}", index.0));
            }
            // The state machine must not be used with an incomplete state.
            Err(error) => {
                let consequence = "this member no longer follows the log";
                (self.log)(&format!("coordination error=cannot decode a snapshot: {error}; {consequence}"));
            }
        }
    }

    fn take_snapshot(&mut self, at_least: Index) {
        if let Ok(data) = self.state.snapshot() {
            let last_index = at_least.max(self.state.applied_index);
            self.handle_raft_event(Event::SnapshotTaken { last_index, data: data.into() });
        }
    }

    fn handle_role_change(&mut self, role: Role, term: u64, leader: Option<&MemberId>) {
        let leader = leader.map_or("none", |leader| &leader.0);
        (self.log)(&format!("coordination role={role:?} term={term} leader={leader}"));
        // A new leader must not use what an earlier leader knew.
        self.stage_timer = StageTimer::new();
        self.proposed.clear();
        self.granted_leases.clear();
    }
}
