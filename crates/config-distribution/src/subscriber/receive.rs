//! Handling of messages from relays.
use super::apply::PendingApply;
use super::snapshot::SnapshotChunk;
use super::{Subscriber, SubscriberAction};
use crate::change::Change;
use crate::message::{RelayMessage, SubscriberMessage};
use backoff::Failure;
use cluster_types::{Index, Time};
use std::mem;

/// The maximum number of messages queued while the host applies values: the last chunk of a snapshot, and the changes
/// that complete it.
const MAX_QUEUED_MESSAGES: usize = 2;

impl Subscriber {
    pub(super) fn handle_message(
        &mut self,
        now: Time,
        connection: u64,
        message: RelayMessage,
        out: &mut Vec<SubscriberAction>,
    ) {
        if self.relay_of(connection).is_none() {
            return;
        }
        match message {
            RelayMessage::Subscribed { log_id } => self.subscribed(now, connection, log_id, out),
            RelayMessage::RetryLater => self.leave(now, connection, Failure::Overloaded, out),
            _ if self.followed != Some(connection) => self.protocol_error(now, connection, out),
            message => self.handle_followed_message(now, connection, message, out),
        }
    }

    /// Handles a message from the followed relay.
    fn handle_followed_message(
        &mut self,
        now: Time,
        connection: u64,
        message: RelayMessage,
        out: &mut Vec<SubscriberAction>,
    ) {
        self.last_message_at = now;
        if let RelayMessage::Heartbeat { isolated_for, .. } = &message {
            self.relay_isolated_since = isolated_for.map(|span| now - span);
        }
        if self.is_resubscribing {
            // The message was sent before the relay received the new request.
            return;
        }
        match message {
            RelayMessage::Heartbeat { up_to, checksum, .. } => {
                self.heartbeat(connection, up_to, checksum, out);
            }
            message @ (RelayMessage::Changes { .. } | RelayMessage::SnapshotChunk { .. })
                if self.pending.is_some() =>
            {
                self.queue(now, connection, message, out);
            }
            RelayMessage::Changes { from, up_to, changes } => {
                self.changes(now, connection, (from, up_to), changes, out);
            }
            RelayMessage::SnapshotChunk { base, is_first, is_last, entries } => {
                let chunk = SnapshotChunk { base, is_first, is_last, entries };
                self.snapshot_chunk(now, connection, chunk, out);
            }
            // Reports are handled by the host of a relay; the other messages were handled by the caller.
            RelayMessage::Reports(_) | RelayMessage::Subscribed { .. } | RelayMessage::RetryLater => {}
        }
    }

    /// Queues a message until the host has finished applying values. Those values came on an earlier connection: on the
    /// same connection, a relay sends nothing more before it receives the acknowledgement.
    fn queue(&mut self, now: Time, connection: u64, message: RelayMessage, out: &mut Vec<SubscriberAction>) {
        if self.queued.len() >= MAX_QUEUED_MESSAGES {
            return self.protocol_error(now, connection, out);
        }
        self.queued.push_back((connection, message));
    }

    pub(super) fn protocol_error(&mut self, now: Time, connection: u64, out: &mut Vec<SubscriberAction>) {
        self.stats.protocol_errors += 1;
        self.leave(now, connection, Failure::Ended, out);
    }

    fn subscribed(&mut self, now: Time, connection: u64, log_id: u64, out: &mut Vec<SubscriberAction>) {
        if self.followed == Some(connection) {
            // Only the reply to a new subscription is expected, and for the same log: a relay whose log was replaced closes the
            // connection instead.
            if mem::take(&mut self.is_resubscribing) && log_id == self.relay_log_id {
                self.send_rejections(connection, out);
            } else {
                self.protocol_error(now, connection, out);
            }
            return;
        }
        // The upper bits of a log's id are the time of its bootstrap: the fleet follows the newest log.
        if self.followed.is_some() || log_id < self.state.log_id() || log_id == 0 {
            self.stats.foreign_relays += u64::from(self.followed.is_none());
            return self.leave(now, connection, Failure::Overloaded, out);
        }
        self.last_message_at = now;
        self.follow(now, connection, out);
        self.relay_log_id = log_id;
        self.send_rejections(connection, out);
    }

    /// Sends the rejected values to a new relay.
    fn send_rejections(&mut self, connection: u64, out: &mut Vec<SubscriberAction>) {
        let rejected = self.state.rejections();
        if !rejected.is_empty() && self.is_same_log() {
            let message = SubscriberMessage::Acknowledge { up_to: self.requested_from, rejected };
            out.push(SubscriberAction::Send { connection, message });
        }
    }

    /// Whether the followed relay serves the log that the state comes from.
    pub(super) fn is_same_log(&self) -> bool {
        self.relay_log_id == self.state.log_id()
    }

    fn changes(
        &mut self,
        now: Time,
        connection: u64,
        (from, up_to): (Index, Index),
        changes: Vec<Change>,
        out: &mut Vec<SubscriberAction>,
    ) {
        let is_valid_change = |change: &Change| {
            let is_in_range = change.version > from && change.version <= up_to;
            is_in_range && self.scope.contains(&change.key.topic) && change.is_bounded()
        };
        let is_valid = up_to >= from && changes.iter().all(is_valid_change);
        match self.staging.take() {
            Some(mut staging) if is_valid && staging.is_complete && staging.base == from => {
                staging.add_changes(changes);
                self.complete_snapshot(now, connection, up_to, staging, out);
            }
            None if is_valid && from <= self.state.up_to() && self.is_same_log() => {
                self.apply_changes(connection, up_to, changes, out);
            }
            _ => self.protocol_error(now, connection, out),
        }
    }

    fn apply_changes(
        &mut self,
        connection: u64,
        up_to: Index,
        changes: Vec<Change>,
        out: &mut Vec<SubscriberAction>,
    ) {
        let held_up_to = self.state.up_to();
        // A relay that is behind may send changes that are already held: they have no effect.
        if up_to <= held_up_to && !changes.is_empty() {
            self.stats.protocol_errors += 1;
        }
        let is_new = |change: &Change| change.version > held_up_to && !self.is_older(change);
        let new_changes = changes.into_iter().filter(is_new).collect();
        let pending = PendingApply::changes(up_to, new_changes);
        self.request_apply(pending.acknowledged_to(connection, up_to), out);
    }

    /// Whether a newer value of the change's key is held.
    pub(super) fn is_older(&self, change: &Change) -> bool {
        let held = self.state.version(&change.key).filter(|_| self.is_same_log());
        held.is_some_and(|held| held > change.version)
    }

    fn heartbeat(
        &mut self,
        connection: u64,
        up_to: Index,
        checksum: Option<u64>,
        out: &mut Vec<SubscriberAction>,
    ) {
        if self.staging.is_some() || self.pending.is_some() || !self.is_same_log() {
            return;
        }
        if up_to < self.state.up_to() {
            return;
        }
        if checksum.is_some_and(|checksum| checksum != self.state.checksum()) {
            // A change was missed, or a deleted key is still held: requests a snapshot.
            self.stats.checksum_mismatches += 1;
            self.state.rewind();
            self.is_resubscribing = true;
            return self.send_subscribe(connection, out);
        }
        self.state.advance(up_to);
    }
}
