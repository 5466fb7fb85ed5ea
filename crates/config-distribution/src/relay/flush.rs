//! Actions that are due for subscribers: changes, heartbeats, chunks of snapshots, and closing those that do not reply.
use super::subscription::CHECKSUM_INTERVAL;
use super::{CloseReason, Relay, RelayAction};
use crate::catalogue::ChangesSince;
use crate::message::RelayMessage;
use cluster_types::{Index, Time};

impl Relay {
    /// Performs the actions due for all connections, or for one.
    pub(super) fn flush(&mut self, now: Time, only_connection: Option<u64>, out: &mut Vec<RelayAction>) {
        let subscriptions = match only_connection {
            Some(connection) => self.subscriptions.range(connection..=connection),
            None => self.subscriptions.range(..),
        };
        let due: Vec<u64> = subscriptions
            .filter(|(_, subscription)| subscription.due_at(&self.settings) <= now)
            .map(|(connection, _)| *connection)
            .collect();
        for connection in due {
            let Some(subscription) = self.subscriptions.get(&connection) else { continue };
            let reply_due_at = subscription.awaiting_reply_since + self.settings.reply_timeout;
            if subscription.is_reply_awaited() && reply_due_at <= now {
                self.stats.reply_timeouts += 1;
                self.close(connection, CloseReason::ReplyTimeout, out);
            } else if subscription.pending.is_some() && subscription.is_idle() {
                self.send_changes(now, connection, out);
            } else {
                self.send_heartbeat(now, connection, out);
            }
        }
        self.send_chunks(now, out);
    }

    fn send_changes(&mut self, now: Time, connection: u64, out: &mut Vec<RelayAction>) {
        let up_to = self.applied();
        let Some(subscription) = self.subscriptions.get_mut(&connection) else { return };
        let from = subscription.sent_up_to;
        let max_bytes = self.settings.max_message_bytes;
        subscription.pending = None;
        match self.catalogue.changes_since(&subscription.scope, from, max_bytes) {
            ChangesSince::Changes(changes) if changes.is_empty() => {
                subscription.sent_up_to = from.max(up_to);
                subscription.first_unacknowledged = None;
            }
            ChangesSince::Changes(changes) => {
                subscription.mark_sent(now, up_to);
                subscription.awaiting_reply_since = now;
                subscription.sent_at = now;
                self.stats.change_messages += 1;
                let message = RelayMessage::Changes { from, up_to, changes };
                out.push(RelayAction::Send { connection, message });
            }
            ChangesSince::SnapshotRequired => {
                self.stats.resnapshots += 1;
                self.start_snapshot(connection);
            }
        }
    }

    fn send_heartbeat(&mut self, now: Time, connection: u64, out: &mut Vec<RelayAction>) {
        let applied = self.applied();
        let isolated_for = self.isolated_since.map(|since| now.since(since));
        let Some(subscription) = self.subscriptions.get_mut(&connection) else { return };
        subscription.sent_at = now;
        if !subscription.is_idle() {
            // Shows only that the relay is alive.
            let message = RelayMessage::Heartbeat { up_to: Index(0), checksum: None, isolated_for };
            out.push(RelayAction::Send { connection, message });
            return;
        }
        // A subscriber may be ahead of this relay: their checksums would differ.
        let is_ahead = subscription.sent_up_to > applied;
        subscription.sent_up_to = subscription.sent_up_to.max(applied);
        let is_checksum_due = now.since(subscription.checksum_sent_at) >= CHECKSUM_INTERVAL;
        let checksum = (is_checksum_due && !is_ahead).then(|| self.catalogue.checksum(&subscription.scope));
        if checksum.is_some() {
            subscription.checksum_sent_at = now;
        }
        let message = RelayMessage::Heartbeat { up_to: subscription.sent_up_to, checksum, isolated_for };
        out.push(RelayAction::Send { connection, message });
    }
}
