//! Applying values at the host: all together, or none.
use super::{Subscriber, SubscriberAction};
use crate::change::{Change, Class};
use crate::key::Key;
use crate::message::SubscriberMessage;
use cluster_types::{Index, Time};
use std::collections::BTreeSet;
use std::mem;

/// The reason for rejecting a value because another value of its batch is rejected.
const REJECTED_WITH_BATCH: &str = "ordered together with a value that is refused";
/// The reason where the host gives none.
const REJECTED: &str = "refused";

/// The connection on which the result is acknowledged, and the version.
#[derive(Clone, Copy, Debug)]
struct AcknowledgeTo {
    connection: u64,
    up_to: Index,
}

/// Values that the host is applying.
#[derive(Debug)]
pub(super) struct PendingApply {
    up_to: Index,
    /// The log of a snapshot; none for changes.
    snapshot_of: Option<u64>,
    changes: Vec<Change>,
    /// The changes rejected so far, with reasons.
    rejected: Vec<(Change, String)>,
    acknowledge_to: Option<AcknowledgeTo>,
}

impl PendingApply {
    /// All values of a scope, as of a version of a log.
    pub(super) fn snapshot(log_id: u64, up_to: Index, values: Vec<Change>) -> PendingApply {
        PendingApply { snapshot_of: Some(log_id), ..PendingApply::changes(up_to, values) }
    }

    /// The changes up to a version.
    pub(super) fn changes(up_to: Index, changes: Vec<Change>) -> PendingApply {
        PendingApply { up_to, snapshot_of: None, changes, rejected: vec![], acknowledge_to: None }
    }

    /// Sets the connection on which the result is acknowledged, and the version.
    pub(super) fn acknowledged_to(self, connection: u64, up_to: Index) -> PendingApply {
        PendingApply { acknowledge_to: Some(AcknowledgeTo { connection, up_to }), ..self }
    }

    fn is_snapshot(&self) -> bool {
        self.snapshot_of.is_some()
    }
}

impl Subscriber {
    /// Asks the host to apply values. Without any changes, the result is recorded immediately.
    pub(super) fn request_apply(&mut self, pending: PendingApply, out: &mut Vec<SubscriberAction>) {
        let (is_snapshot, changes) = (pending.is_snapshot(), pending.changes.clone());
        if changes.is_empty() && !is_snapshot {
            return self.commit(pending, out);
        }
        self.pending = Some(pending);
        out.push(SubscriberAction::Apply { is_snapshot, changes });
    }

    /// Handles the host's answer, and then the messages that were queued meanwhile.
    pub(super) fn apply_finished(
        &mut self,
        now: Time,
        rejected: Vec<(Key, String)>,
        out: &mut Vec<SubscriberAction>,
    ) {
        if let Some(pending) = self.pending.take() {
            if rejected.is_empty() {
                self.commit(pending, out);
            } else {
                self.apply_remaining(pending, &rejected, out);
            }
        }
        while self.pending.is_none() {
            let Some((connection, message)) = self.queued.pop_front() else { return };
            self.handle_message(now, connection, message, out);
        }
    }

    /// Removes the rejected changes with their batches, and asks the host to apply the remaining ones.
    fn apply_remaining(
        &mut self,
        mut pending: PendingApply,
        rejected: &[(Key, String)],
        out: &mut Vec<SubscriberAction>,
    ) {
        let (newly_rejected, mut remaining) = self.split_rejected(&mut pending, rejected);
        if newly_rejected.is_empty() {
            // The host rejected only keys that it was not asked to apply: everything is rejected, so that the loop ends.
            let all = remaining.into_iter().map(|change| (change, REJECTED.to_string()));
            pending.rejected.extend(all);
            return self.commit(pending, out);
        }
        // A key that is rejected a second time is the old value that was to be retained in place of the new one.
        let rejected_before: BTreeSet<Key> =
            pending.rejected.iter().map(|(change, _)| change.key.clone()).collect();
        let newly_rejected: Vec<Change> =
            newly_rejected.into_iter().filter(|change| !rejected_before.contains(&change.key)).collect();
        self.stats.rejected += newly_rejected.len() as u64;
        if let Some(log_id) = pending.snapshot_of {
            remaining.extend(newly_rejected.iter().filter_map(|change| self.retained_value(change, log_id)));
        }
        let with_reason = |change: Change| {
            let reason = reason_for(&change.key, rejected).unwrap_or(REJECTED_WITH_BATCH).to_string();
            (change, reason)
        };
        pending.rejected.extend(newly_rejected.into_iter().map(with_reason));
        pending.changes = remaining;
        self.request_apply(pending, out);
    }

    /// Splits the changes into those that are rejected, or belong to a batch with a rejected one, and the remaining ones.
    fn split_rejected(
        &self,
        pending: &mut PendingApply,
        rejected: &[(Key, String)],
    ) -> (Vec<Change>, Vec<Change>) {
        let changes = mem::take(&mut pending.changes);
        let is_rejected = |change: &Change| reason_for(&change.key, rejected).is_some();
        let batches: BTreeSet<Index> =
            changes.iter().filter(|change| is_rejected(change)).map(|change| change.version).collect();
        // In a snapshot, a value that was applied before is retained even if another value of its batch is rejected now.
        let is_same_log = pending.snapshot_of == Some(self.state.log_id());
        let was_applied_before = |change: &Change| {
            is_same_log && self.state.get(&change.key).is_some_and(|(held, _)| held == change.version)
        };
        let is_rejected_with_batch = |change: &Change| {
            is_rejected(change) || batches.contains(&change.version) && !was_applied_before(change)
        };
        changes.into_iter().partition(is_rejected_with_batch)
    }

    /// The applied value that is retained in a snapshot in place of a rejected one.
    fn retained_value(&self, rejected: &Change, log_id: u64) -> Option<Change> {
        let applied = self.state.applied_as_of(&rejected.key, log_id)?;
        (applied.version < rejected.version).then_some(applied)
    }

    /// Records the result of applying values, and acknowledges it.
    fn commit(&mut self, pending: PendingApply, out: &mut Vec<SubscriberAction>) {
        let PendingApply { up_to, snapshot_of, changes, rejected, acknowledge_to } = pending;
        self.stats.applied += changes.len() as u64;
        // A shard's backend and a snapshot are persisted immediately; configuration waits for the interval.
        if snapshot_of.is_some() || changes.iter().any(|change| change.class == Class::Primary) {
            self.persisted_at = None;
        }
        if let Some(log_id) = snapshot_of {
            self.state.clear(log_id);
            self.stats.snapshots += 1;
        }
        for change in changes {
            self.state.record_applied(change);
        }
        for (change, reason) in rejected {
            self.state.record_rejected(change, reason);
        }
        self.state.advance(up_to);
        if mem::take(&mut self.is_rescoped) {
            self.state.rewind();
        }
        let acknowledge_to = acknowledge_to.filter(|to| self.followed == Some(to.connection));
        if let Some(AcknowledgeTo { connection, up_to }) = acknowledge_to {
            let rejected = self.state.rejections();
            let message = SubscriberMessage::Acknowledge { up_to, rejected };
            out.push(SubscriberAction::Send { connection, message });
        }
        self.is_dirty = self.is_persistent;
    }
}

/// The reason that the host gave for a key; none where it did not name the key.
fn reason_for<'a>(key: &Key, rejected: &'a [(Key, String)]) -> Option<&'a str> {
    rejected.iter().find(|(rejected, _)| rejected == key).map(|(_, reason)| reason.as_str())
}
