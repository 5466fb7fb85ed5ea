//! Snapshots for subscribers: chunk by chunk, each after the one before is confirmed, within the token bucket's rate.
use super::subscription::{Phase, SnapshotProgress, Subscription};
use super::{Relay, RelayAction};
use crate::catalogue::{Catalogue, LogPosition};
use crate::change::Change;
use crate::message::RelayMessage;
use cluster_types::Time;

/// The least that a chunk takes of the tokens, in bytes.
const MIN_CHUNK_BYTES: usize = 128;

/// What follows a chunk.
enum Following {
    /// More chunks.
    Chunks,
    /// All later changes, in one message: with them the snapshot is complete.
    LastChanges(Vec<Change>),
    /// A new snapshot: deletions made meanwhile are no longer in the history.
    NewSnapshot,
}

impl Relay {
    /// Starts a snapshot of all values in a subscriber's scope.
    pub(super) fn start_snapshot(&mut self, connection: u64) {
        let base = self.applied();
        if let Some(subscription) = self.subscriptions.get_mut(&connection) {
            subscription.phase = Phase::Snapshot(SnapshotProgress::new(base));
            subscription.in_flight = None;
            subscription.pending = None;
            self.chunk_queue.push_back(connection);
        }
    }

    /// Sends the next chunk to each subscriber whose turn it is, as far as there are tokens.
    pub(super) fn send_chunks(&mut self, now: Time, out: &mut Vec<RelayAction>) {
        for _ in 0..self.chunk_queue.len() {
            // Those that wait keep their turn.
            if !self.subscription_tokens.admit(now, 0) {
                return;
            }
            let Some(connection) = self.chunk_queue.pop_front() else { return };
            self.send_chunk(now, connection, out);
        }
    }

    fn send_chunk(&mut self, now: Time, connection: u64, out: &mut Vec<RelayAction>) {
        let Some(subscription) = self.subscriptions.get_mut(&connection) else { return };
        let Phase::Snapshot(progress) = &subscription.phase else { return };
        let is_first = progress.after_key.is_none() && progress.after_change.is_none();
        let (entries, progress) =
            next_chunk(&self.catalogue, subscription, progress.clone(), self.settings.chunk_bytes);
        let following = following(&self.catalogue, subscription, &progress, self.settings.max_message_bytes);
        let base = progress.base;
        subscription.awaiting_reply_since = now;
        subscription.sent_at = now;
        subscription.phase = Phase::Snapshot(progress);
        self.stats.chunks += 1;
        let bytes = entries.iter().map(Change::bytes).sum::<usize>().max(MIN_CHUNK_BYTES);
        self.subscription_tokens.admit(now, bytes);
        let is_last = !matches!(following, Following::Chunks);
        let message = RelayMessage::SnapshotChunk { base, is_first, is_last, entries };
        out.push(RelayAction::Send { connection, message });
        match following {
            Following::Chunks => {}
            Following::LastChanges(changes) => {
                let up_to = self.catalogue.applied();
                subscription.phase = Phase::Live;
                subscription.mark_sent(now, up_to);
                subscription.pending = None;
                self.subscription_tokens.admit(now, changes.iter().map(Change::bytes).sum());
                let message = RelayMessage::Changes { from: base, up_to, changes };
                out.push(RelayAction::Send { connection, message });
            }
            Following::NewSnapshot => self.start_snapshot(connection),
        }
    }
}

/// The entries of the next chunk, and the progress with it in flight.
fn next_chunk(
    catalogue: &Catalogue,
    subscription: &Subscription,
    progress: SnapshotProgress,
    max_bytes: usize,
) -> (Vec<Change>, SnapshotProgress) {
    let scope = &subscription.scope;
    match &progress.after_change {
        Some(after) => {
            let later = catalogue.changes_after(scope, after, max_bytes);
            let next = later.next_after.unwrap_or_else(|| LogPosition::first_after(catalogue.applied()));
            let after_change = Some(next);
            (later.changes, SnapshotProgress { after_change, is_in_flight: true, ..progress })
        }
        None => {
            let chunk = catalogue.chunk(scope, progress.after_key.as_ref(), max_bytes);
            let after_key = chunk.next_after;
            let after_change = after_key.is_none().then(|| LogPosition::first_after(progress.base));
            let progress = SnapshotProgress { after_key, after_change, is_in_flight: true, ..progress };
            (chunk.entries, progress)
        }
    }
}

/// What follows the chunk that led to this progress.
fn following(
    catalogue: &Catalogue,
    subscription: &Subscription,
    progress: &SnapshotProgress,
    max_bytes: usize,
) -> Following {
    let Some(after) = &progress.after_change else { return Following::Chunks };
    if catalogue.floor() >= after.version {
        return Following::NewSnapshot;
    }
    let later = catalogue.changes_after(&subscription.scope, after, max_bytes);
    match later.next_after {
        Some(_) => Following::Chunks,
        None => Following::LastChanges(later.changes),
    }
}
