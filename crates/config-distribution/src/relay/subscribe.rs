//! Handling of messages from subscribers.
use super::subscription::{Phase, SnapshotProgress};
use super::{CloseReason, Relay, RelayAction};
use crate::catalogue::ChangesSince;
use crate::change::Change;
use crate::message::{RelayMessage, SubscriberMessage};
use crate::rejection::Rejection;
use crate::report::{Report, MAX_REPORTED_GATEWAYS};
use crate::scope::Scope;
use cluster_types::{Index, Time};

/// The tokens that accepting a subscription takes in addition to those for the changes sent.
const SUBSCRIPTION_OVERHEAD_BYTES: usize = 256;

impl Relay {
    pub(super) fn handle_message(
        &mut self,
        now: Time,
        connection: u64,
        message: SubscriberMessage,
        out: &mut Vec<RelayAction>,
    ) {
        if !self.subscriptions.contains_key(&connection) {
            return;
        }
        match message {
            SubscriberMessage::Subscribe { log_id, scope, from } => {
                // Versions of different logs can't be compared.
                let from = if log_id == self.catalogue.log_id() { from } else { Index(0) };
                self.subscribe(now, connection, scope, from, out);
            }
            SubscriberMessage::Acknowledge { up_to, rejected } => {
                self.acknowledged(now, connection, up_to, rejected, out);
            }
            SubscriberMessage::NextChunk => self.chunk_confirmed(now, connection, out),
            SubscriberMessage::Report(report) => {
                if self.is_own_report(connection, &report) && report.is_bounded() {
                    self.forward_report(now, report, out);
                } else {
                    self.protocol_error(connection, out);
                }
            }
        }
    }

    fn protocol_error(&mut self, connection: u64, out: &mut Vec<RelayAction>) {
        self.stats.protocol_errors += 1;
        self.close(connection, CloseReason::ProtocolError, out);
    }

    /// Whether a report was made by the relay on this connection. Only relays subscribe to everything.
    fn is_own_report(&self, connection: u64, report: &Report) -> bool {
        self.subscriptions.get(&connection).is_some_and(|subscription| {
            subscription.is_accepted()
                && subscription.scope == Scope::Everything
                && subscription.name == report.relay
        })
    }

    fn subscribe(
        &mut self,
        now: Time,
        connection: u64,
        scope: Scope,
        from: Index,
        out: &mut Vec<RelayAction>,
    ) {
        if !scope.is_valid() {
            return self.protocol_error(connection, out);
        }
        let changes = if from > Index(0) {
            self.catalogue.changes_since(&scope, from, self.settings.max_message_bytes)
        } else {
            ChangesSince::SnapshotRequired
        };
        if !self.admit(now, connection, &changes) {
            self.stats.deferred += 1;
            out.push(RelayAction::Send { connection, message: RelayMessage::RetryLater });
            return self.close(connection, CloseReason::RetryLater, out);
        }
        self.stats.accepted += 1;
        self.chunk_queue.retain(|waiting| *waiting != connection);
        let log_id = self.catalogue.log_id();
        let next_change = self.catalogue.next_change(&scope, from);
        let Some(subscription) = self.subscriptions.get_mut(&connection) else { return };
        subscription.scope = scope;
        subscription.log_id = log_id;
        subscription.awaiting_reply_since = now;
        subscription.sent_at = now;
        subscription.checksum_sent_at = now;
        subscription.in_flight = None;
        subscription.pending = None;
        subscription.first_unacknowledged = next_change;
        subscription.rejections.clear();
        out.push(RelayAction::Send { connection, message: RelayMessage::Subscribed { log_id } });
        match changes {
            ChangesSince::Changes(changes) => self.start_live(now, connection, from, changes, out),
            ChangesSince::SnapshotRequired => self.start_snapshot(connection),
        }
    }

    /// Whether the subscription of a connection can be accepted now: there is a catalogue to serve, and capacity is left.
    fn admit(&mut self, now: Time, connection: u64, changes: &ChangesSince) -> bool {
        let is_renewed =
            self.subscriptions.get(&connection).is_some_and(|subscription| subscription.is_accepted());
        if !self.is_ready || (!is_renewed && self.subscriber_count() >= self.settings.max_subscribers) {
            return false;
        }
        let bytes = match changes {
            ChangesSince::Changes(changes) => changes.iter().map(Change::bytes).sum(),
            // Each chunk takes tokens when it is sent.
            ChangesSince::SnapshotRequired => 0,
        };
        self.subscription_tokens.admit(now, SUBSCRIPTION_OVERHEAD_BYTES + bytes)
    }

    /// Sends the changes since the subscriber's version, and makes the subscription live.
    fn start_live(
        &mut self,
        now: Time,
        connection: u64,
        from: Index,
        changes: Vec<Change>,
        out: &mut Vec<RelayAction>,
    ) {
        let applied = self.applied();
        let Some(subscription) = self.subscriptions.get_mut(&connection) else { return };
        subscription.phase = Phase::Live;
        if changes.is_empty() {
            // A relay that is behind its subscriber sends nothing until it has caught up.
            subscription.sent_up_to = from.max(applied);
            subscription.first_unacknowledged = None;
            return;
        }
        subscription.mark_sent(now, applied);
        self.stats.change_messages += 1;
        let message = RelayMessage::Changes { from, up_to: applied, changes };
        out.push(RelayAction::Send { connection, message });
    }

    /// Handles the confirmation of a chunk of a snapshot.
    fn chunk_confirmed(&mut self, now: Time, connection: u64, out: &mut Vec<RelayAction>) {
        let Some(subscription) = self.subscriptions.get_mut(&connection) else { return };
        match &mut subscription.phase {
            Phase::Snapshot(SnapshotProgress { is_in_flight, .. }) if *is_in_flight => {
                *is_in_flight = false;
                subscription.awaiting_reply_since = now;
                self.chunk_queue.push_back(connection);
            }
            _ => self.protocol_error(connection, out),
        }
    }

    fn acknowledged(
        &mut self,
        now: Time,
        connection: u64,
        up_to: Index,
        rejected: Vec<Rejection>,
        out: &mut Vec<RelayAction>,
    ) {
        let Some(subscription) = self.subscriptions.get_mut(&connection) else { return };
        let is_live = subscription.phase == Phase::Live;
        if rejected.len() > MAX_REPORTED_GATEWAYS
            || !rejected.iter().all(Rejection::is_bounded)
            || !subscription.is_accepted()
            || (is_live && up_to > subscription.sent_up_to)
        {
            return self.protocol_error(connection, out);
        }
        subscription.rejections = rejected;
        // Only an acknowledgement of the message in flight ends the wait; others must not extend a slow subscriber's timeout.
        if subscription.in_flight.is_some_and(|in_flight| in_flight.up_to <= up_to) {
            subscription.in_flight = None;
            subscription.awaiting_reply_since = now;
        }
        if is_live {
            subscription.first_unacknowledged = self.catalogue.next_change(&subscription.scope, up_to);
        }
    }
}
