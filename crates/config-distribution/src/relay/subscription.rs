//! The state of one subscriber at a relay.
//!
//! No queue is kept for a subscriber: its scope and version determine what it is sent.
use crate::catalogue::LogPosition;
use crate::key::Key;
use crate::rejection::Rejection;
use crate::scope::Scope;
use crate::settings::Settings;
use cluster_types::{Index, Time};
use std::sync::Arc;
use std::time::Duration;

/// How often a heartbeat includes the checksum over the subscriber's scope.
pub(super) const CHECKSUM_INTERVAL: Duration = Duration::from_secs(10);

const NEVER: Time = Time(u64::MAX);

/// The progress of sending a snapshot: first all keys in chunks, then the changes made meanwhile, in chunks too.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct SnapshotProgress {
    /// The version as of the first chunk.
    pub base: Index,
    /// The key after which the next chunk begins; none for the first.
    pub after_key: Option<Key>,
    /// The log position up to which later changes were sent; none until all keys were sent.
    pub after_change: Option<LogPosition>,
    /// Whether a chunk was sent that the subscriber has not confirmed.
    pub is_in_flight: bool,
}

impl SnapshotProgress {
    /// A snapshot as of a version, of which nothing was sent.
    pub fn new(base: Index) -> SnapshotProgress {
        SnapshotProgress { base, after_key: None, after_change: None, is_in_flight: false }
    }
}

/// The phase of a subscription.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Connected, before a [`crate::SubscriberMessage::Subscribe`] is received.
    Connected,
    /// A snapshot is being sent.
    Snapshot(SnapshotProgress),
    /// Changes are sent as they are made.
    Live,
}

/// A message of changes that the subscriber has not acknowledged.
#[derive(Clone, Copy, Debug)]
pub(super) struct InFlight {
    pub sent_at: Time,
    pub up_to: Index,
}

/// Changes that have not been sent yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingChanges {
    pub since: Time,
    /// Whether any of them is of [`crate::Class::Primary`].
    pub is_urgent: bool,
}

#[derive(Debug)]
pub(super) struct Subscription {
    pub name: Arc<str>,
    pub scope: Scope,
    pub log_id: u64,
    pub phase: Phase,
    /// The version up to which all changes were sent.
    pub sent_up_to: Index,
    pub in_flight: Option<InFlight>,
    pub pending: Option<PendingChanges>,
    /// The first version in its scope that it has not acknowledged.
    pub first_unacknowledged: Option<Index>,
    /// When the last message was sent.
    pub sent_at: Time,
    /// When the last checksum was sent.
    pub checksum_sent_at: Time,
    /// Since when a reply is awaited; meaningful while [`Subscription::is_reply_awaited`].
    pub awaiting_reply_since: Time,
    pub rejections: Vec<Rejection>,
}

impl Subscription {
    /// The subscription of a newly opened connection.
    pub fn new(name: Arc<str>, now: Time) -> Subscription {
        Subscription {
            name,
            scope: Scope::of([]),
            log_id: 0,
            phase: Phase::Connected,
            sent_up_to: Index(0),
            in_flight: None,
            pending: None,
            first_unacknowledged: None,
            sent_at: now,
            checksum_sent_at: now,
            awaiting_reply_since: now,
            rejections: vec![],
        }
    }

    /// Whether the subscribe request was accepted.
    pub fn is_accepted(&self) -> bool {
        self.phase != Phase::Connected
    }

    /// Whether it is live and has acknowledged everything that was sent.
    pub fn is_idle(&self) -> bool {
        self.phase == Phase::Live && self.in_flight.is_none()
    }

    /// Records a change in its scope.
    pub fn mark_pending(&mut self, now: Time, version: Index, is_urgent: bool) {
        // The relay was behind its subscriber, and only now applies a version that the subscriber already holds.
        if self.phase == Phase::Live && version <= self.sent_up_to {
            return;
        }
        self.first_unacknowledged.get_or_insert(version);
        let before = self.pending.unwrap_or(PendingChanges { since: now, is_urgent: false });
        self.pending = Some(PendingChanges { is_urgent: before.is_urgent || is_urgent, ..before });
    }

    /// Records that all changes up to a version were sent and await acknowledgement.
    pub fn mark_sent(&mut self, now: Time, up_to: Index) {
        self.sent_up_to = up_to;
        self.in_flight = Some(InFlight { sent_at: now, up_to });
    }

    /// Whether the relay awaits a reply of the subscriber.
    pub fn is_reply_awaited(&self) -> bool {
        match &self.phase {
            Phase::Connected => true,
            Phase::Snapshot(snapshot) => snapshot.is_in_flight || self.in_flight.is_some(),
            Phase::Live => self.in_flight.is_some(),
        }
    }

    /// When the next action is due for it.
    pub fn due_at(&self, settings: &Settings) -> Time {
        let timeout = self.is_reply_awaited().then(|| self.awaiting_reply_since + settings.reply_timeout);
        let pending = self.pending.filter(|_| self.is_idle());
        let changes = pending.map(|pending| {
            if pending.is_urgent {
                pending.since
            } else {
                pending.since + settings.batch_interval
            }
        });
        let checksum = if self.is_idle() { self.checksum_sent_at + CHECKSUM_INTERVAL } else { NEVER };
        // A subscriber that waits for its next chunk, or takes long to apply changes, is sent heartbeats too.
        let heartbeat =
            self.is_accepted().then(|| (self.sent_at + settings.heartbeat_interval).min(checksum));
        [timeout, changes, heartbeat].into_iter().flatten().fold(NEVER, Time::min)
    }
}
