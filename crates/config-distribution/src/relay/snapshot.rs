//! Snapshots for subscribers: sent in chunks, each after the previous one is confirmed, at the rate of the token bucket.
use super::subscription::{Phase, SnapshotProgress, Subscription};
use super::{Relay, RelayAction};
use crate::catalogue::{Catalogue, LogPosition};
use crate::change::Change;
use crate::message::RelayMessage;
use cluster_types::Time;

/// The minimum number of tokens that a chunk takes.
const MIN_CHUNK_BYTES: usize = 128;

/// The continuation after a chunk.
enum Continuation {
    /// More chunks.
    Chunks,
    /// All later changes, in one message that completes the snapshot.
    LastChanges(Vec<Change>),
    /// A new snapshot, since the tombstones of keys deleted meanwhile were dropped from the history.
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

    /// Sends the next chunk to each queued subscriber while there are tokens.
    pub(super) fn send_chunks(&mut self, now: Time, out: &mut Vec<RelayAction>) {
        for _ in 0..self.chunk_queue.len() {
            // Waiting subscribers keep their place in the queue.
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
        let continuation =
            continuation(&self.catalogue, subscription, &progress, self.settings.max_message_bytes);
        let base = progress.base;
        subscription.awaiting_reply_since = now;
        subscription.sent_at = now;
        subscription.phase = Phase::Snapshot(progress);
        self.stats.chunks += 1;
        let bytes = entries.iter().map(Change::bytes).sum::<usize>().max(MIN_CHUNK_BYTES);
        self.subscription_tokens.admit(now, bytes);
        let is_last = !matches!(continuation, Continuation::Chunks);
        let message = RelayMessage::SnapshotChunk { base, is_first, is_last, entries };
        out.push(RelayAction::Send { connection, message });
        match continuation {
            Continuation::Chunks => {}
            Continuation::LastChanges(changes) => {
                let up_to = self.catalogue.applied();
                subscription.phase = Phase::Live;
                subscription.mark_sent(now, up_to);
                subscription.pending = None;
                self.subscription_tokens.admit(now, changes.iter().map(Change::bytes).sum());
                let message = RelayMessage::Changes { from: base, up_to, changes };
                out.push(RelayAction::Send { connection, message });
            }
            Continuation::NewSnapshot => self.start_snapshot(connection),
        }
    }
}

/// The entries of the next chunk, and the progress once it is in flight.
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

/// The continuation after the chunk that led to this progress.
fn continuation(
    catalogue: &Catalogue,
    subscription: &Subscription,
    progress: &SnapshotProgress,
    max_bytes: usize,
) -> Continuation {
    let Some(after) = &progress.after_change else { return Continuation::Chunks };
    if catalogue.floor() >= after.version {
        return Continuation::NewSnapshot;
    }
    let later = catalogue.changes_after(&subscription.scope, after, max_bytes);
    match later.next_after {
        Some(_) => Continuation::Chunks,
        None => Continuation::LastChanges(later.changes),
    }
}
