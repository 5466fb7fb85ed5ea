//! Applying values at the host: together, or not at all.
use super::{Subscriber, SubscriberAction};
use crate::change::{Change, Class};
use crate::key::Key;
use crate::message::SubscriberMessage;
use cluster_types::{Index, Time};
use std::collections::BTreeSet;
use std::mem;

/// The reason of a value that is rejected because its batch has another one that is.
const REJECTED_WITH_BATCH: &str = "ordered together with a value that is refused";
/// The reason of a value where the host names none.
const REJECTED: &str = "refused";

/// Where and up to which version the result is acknowledged.
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
    /// What was rejected so far, and why.
    rejected: Vec<(Change, String)>,
    acknowledge_to: Option<AcknowledgeTo>,
}

impl PendingApply {
    /// All values of a scope, as of a version of a log.
    pub(super) fn snapshot(log_id: u64, up_to: Index, values: Vec<Change>) -> PendingApply {
        PendingApply { snapshot_of: Some(log_id), ..PendingApply::changes(up_to, values) }
    }

    /// What has changed up to a version.
    pub(super) fn changes(up_to: Index, changes: Vec<Change>) -> PendingApply {
        PendingApply { up_to, snapshot_of: None, changes, rejected: vec![], acknowledge_to: None }
    }

    /// The same, with the result acknowledged on a connection.
    pub(super) fn acknowledged_to(self, connection: u64, up_to: Index) -> PendingApply {
        PendingApply { acknowledge_to: Some(AcknowledgeTo { connection, up_to }), ..self }
    }

    fn is_snapshot(&self) -> bool {
        self.snapshot_of.is_some()
    }
}

impl Subscriber {
    /// Asks the host to apply values. Without any change there is nothing to ask.
    pub(super) fn request_apply(&mut self, pending: PendingApply, out: &mut Vec<SubscriberAction>) {
        let (is_snapshot, changes) = (pending.is_snapshot(), pending.changes.clone());
        if changes.is_empty() && !is_snapshot {
            return self.commit(pending, out);
        }
        self.pending = Some(pending);
        out.push(SubscriberAction::Apply { is_snapshot, changes });
    }

    /// The host has answered; messages that were queued meanwhile are handled then.
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
                self.apply_rest(pending, &rejected, out);
            }
        }
        while self.pending.is_none() {
            let Some((connection, message)) = self.queued.pop_front() else { return };
            self.handle_message(now, connection, message, out);
        }
    }

    /// Removes what is rejected, with the batches that it belongs to, and asks the host to apply the rest.
    fn apply_rest(
        &mut self,
        mut pending: PendingApply,
        rejected: &[(Key, String)],
        out: &mut Vec<SubscriberAction>,
    ) {
        let (fallen, mut rest) = self.split_rejected(&mut pending, rejected);
        if fallen.is_empty() {
            // Guards against a host that rejects only keys that it was not given: everything is rejected.
            let all = rest.into_iter().map(|change| (change, REJECTED.to_string()));
            pending.rejected.extend(all);
            return self.commit(pending, out);
        }
        // A key that is rejected for the second time is the old value that was to stay in place of the new one.
        let rejected_before: BTreeSet<Key> =
            pending.rejected.iter().map(|(change, _)| change.key.clone()).collect();
        let fallen: Vec<Change> =
            fallen.into_iter().filter(|change| !rejected_before.contains(&change.key)).collect();
        self.stats.rejected += fallen.len() as u64;
        if let Some(log_id) = pending.snapshot_of {
            rest.extend(fallen.iter().filter_map(|change| self.retained_value(change, log_id)));
        }
        let with_reason = |change: Change| {
            let reason = reason_for(&change.key, rejected).unwrap_or(REJECTED_WITH_BATCH).to_string();
            (change, reason)
        };
        pending.rejected.extend(fallen.into_iter().map(with_reason));
        pending.changes = rest;
        self.request_apply(pending, out);
    }

    /// Takes the changes apart: those that are rejected, or belong to a batch with one that is, and the rest.
    fn split_rejected(
        &self,
        pending: &mut PendingApply,
        rejected: &[(Key, String)],
    ) -> (Vec<Change>, Vec<Change>) {
        let changes = mem::take(&mut pending.changes);
        let is_rejected = |change: &Change| reason_for(&change.key, rejected).is_some();
        let batches: BTreeSet<Index> =
            changes.iter().filter(|change| is_rejected(change)).map(|change| change.version).collect();
        // In a snapshot a value that was applied before stays, though its batch has another value that is rejected now.
        let is_same_log = pending.snapshot_of == Some(self.state.log_id());
        let was_applied = |change: &Change| {
            is_same_log && self.state.get(&change.key).is_some_and(|(held, _)| held == change.version)
        };
        let falls = |change: &Change| {
            is_rejected(change) || batches.contains(&change.version) && !was_applied(change)
        };
        changes.into_iter().partition(falls)
    }

    /// The applied value that stays in a snapshot in place of one that is rejected.
    fn retained_value(&self, rejected: &Change, log_id: u64) -> Option<Change> {
        let applied = self.state.applied_as_of(&rejected.key, log_id)?;
        (applied.version < rejected.version).then_some(applied)
    }

    /// Records a result and acknowledges it.
    fn commit(&mut self, pending: PendingApply, out: &mut Vec<SubscriberAction>) {
        let PendingApply { up_to, snapshot_of, changes, rejected, acknowledge_to } = pending;
        self.stats.applied += changes.len() as u64;
        // A shard's backend and a snapshot are persisted at once; configuration waits for the interval.
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
