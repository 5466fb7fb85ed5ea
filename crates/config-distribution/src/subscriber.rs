//! A subscriber: receives the changes in its scope from a relay. Gateways are subscribers, and so are relays without a
//! vote, whose scope is [`Scope::Everything`].
mod apply;
mod connections;
mod event;
mod receive;
mod snapshot;
mod staging;
mod state;

pub use event::{SubscriberAction, SubscriberEvent, SubscriberStats};
pub use state::SubscriberState;

use crate::message::RelayMessage;
use crate::persisted::{decode, PersistedStateError};
use crate::scope::Scope;
use apply::PendingApply;
use backoff::{BackoffPolicy, Caller};
use cluster_types::{Index, Time};
use connections::Attempt;
use staging::Staging;
use std::collections::VecDeque;
use std::time::Duration;

/// The minimum time between two writes of the state. The cost of a write depends on the size of the whole state, not on
/// that of a change.
const PERSIST_INTERVAL: Duration = Duration::from_secs(5);

/// The configuration of a subscriber.
#[derive(Clone, Debug)]
pub struct SubscriberConfig {
    /// The topics that it follows.
    pub scope: Scope,
    /// The number of relays that it may connect to; they are identified by their position in the order of preference.
    pub relay_count: usize,
    /// The number of subscribers in the fleet: it determines how far connection attempts are spread over time.
    pub fleet_size: u32,
    /// The seed of the random pauses between connection attempts.
    pub seed: u64,
}

/// The state of a subscriber.
#[derive(Debug)]
pub struct Subscriber {
    scope: Scope,
    relay_count: usize,
    caller: Caller,
    /// The number of failed attempts since a relay was last followed: each failure selects the next relay in the order of
    /// preference.
    failed_attempts: usize,
    /// Connections that are open or being opened.
    attempts: Vec<Attempt>,
    /// The connection whose relay is followed.
    followed: Option<u64>,
    /// When the followed relay last sent a message.
    last_message_at: Time,
    /// Since when the relay has had no contact with the log, from its last heartbeat.
    relay_isolated_since: Option<Time>,
    state: SubscriberState,
    /// The version of the last subscribe request; the state may have advanced since.
    requested_from: Index,
    /// The log of the relay that is followed.
    relay_log_id: u64,
    staging: Option<Staging>,
    pending: Option<PendingApply>,
    /// Messages, with their connections, that arrived while the host was applying values.
    queued: VecDeque<(u64, RelayMessage)>,
    /// Whether it has subscribed again on the followed connection: until the relay replies, its messages are ignored.
    is_resubscribing: bool,
    /// Whether the scope was changed while the host was applying values.
    is_rescoped: bool,
    is_persistent: bool,
    /// Whether the state has changed since it was last persisted.
    is_dirty: bool,
    persisted_at: Option<Time>,
    stats: SubscriberStats,
}

impl Subscriber {
    /// A subscriber that starts from its persisted state, if there is one. If that state can't be used, the subscriber is
    /// empty and the error is returned along with it.
    pub fn new(
        config: SubscriberConfig,
        now: Time,
        persisted: Option<&[u8]>,
    ) -> (Subscriber, Option<PersistedStateError>) {
        let SubscriberConfig { scope, relay_count, fleet_size, seed } = config;
        let (state, error) = match persisted.map(decode) {
            Some(Ok(persisted)) => (SubscriberState::from_persisted(persisted, &scope), None),
            Some(Err(error)) => (SubscriberState::default(), Some(error)),
            None => (SubscriberState::default(), None),
        };
        let mut caller = Caller::new(BackoffPolicy::for_callers(fleet_size), seed, caller_time(now));
        caller.delay_first_call(caller_time(now));
        let subscriber = Subscriber {
            is_persistent: scope != Scope::Everything,
            scope,
            relay_count: relay_count.max(1),
            caller,
            failed_attempts: 0,
            attempts: vec![],
            followed: None,
            last_message_at: now,
            relay_isolated_since: None,
            requested_from: Index(0),
            relay_log_id: state.log_id(),
            state,
            staging: None,
            pending: None,
            queued: VecDeque::new(),
            is_resubscribing: false,
            is_rescoped: false,
            is_dirty: false,
            persisted_at: None,
            stats: SubscriberStats::default(),
        };
        (subscriber, error)
    }

    /// Applies the persisted state when the program starts; must be called once, before any event.
    pub fn start(&mut self, out: &mut Vec<SubscriberAction>) {
        let entries = self.state.applied_entries();
        if !entries.is_empty() {
            let pending = PendingApply::snapshot(self.state.log_id(), self.state.up_to(), entries);
            self.request_apply(pending, out);
        }
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: Time, event: SubscriberEvent, out: &mut Vec<SubscriberAction>) {
        match event {
            SubscriberEvent::Tick => {}
            SubscriberEvent::Connected { connection } => self.connected(connection, out),
            SubscriberEvent::Disconnected { connection, failure } => {
                self.disconnected(now, connection, failure);
            }
            SubscriberEvent::Message { connection, message } => {
                self.handle_message(now, connection, message, out);
            }
            SubscriberEvent::ApplyFinished { rejected } => self.apply_finished(now, rejected, out),
        }
        self.connect_if_due(now, out);
        self.persist_if_due(now, out);
    }

    /// When a [`SubscriberEvent::Tick`] is due.
    pub fn next_wakeup(&self) -> Option<Time> {
        let connections = match self.followed {
            Some(_) => Some(Time(self.last_message_at.0.saturating_add(backoff::IDLE_TIMEOUT_US as u64))),
            None => self.caller.next_call_at().map(|due| Time(due.max(0) as u64)),
        };
        let persist =
            self.is_dirty.then(|| self.persisted_at.map_or(self.last_message_at, |at| at + PERSIST_INTERVAL));
        [connections, persist].into_iter().flatten().min()
    }

    /// The values that it holds.
    pub fn state(&self) -> &SubscriberState {
        &self.state
    }

    /// Since when there has been no contact with the log: no relay is followed, or the relay itself has no contact. None
    /// while there is contact.
    pub fn isolated_since(&self) -> Option<Time> {
        let own = self.followed.is_none().then_some(self.last_message_at);
        self.relay_isolated_since.or(own)
    }

    /// The connection whose relay is followed.
    pub fn followed_connection(&self) -> Option<u64> {
        self.followed
    }

    /// Counters since the start.
    pub fn stats(&self) -> &SubscriberStats {
        &self.stats
    }

    /// Changes the scope, and requests a snapshot of the new one.
    pub fn set_scope(&mut self, scope: Scope, out: &mut Vec<SubscriberAction>) {
        if scope == self.scope {
            return;
        }
        self.scope = scope;
        self.state.rewind();
        self.is_rescoped = self.pending.is_some();
        self.staging = None;
        if let Some(connection) = self.followed {
            self.is_resubscribing = true;
            self.send_subscribe(connection, out);
        }
    }

    fn persist_if_due(&mut self, now: Time, out: &mut Vec<SubscriberAction>) {
        let is_due = self.persisted_at.is_none_or(|at| now.since(at) >= PERSIST_INTERVAL);
        if self.is_dirty && is_due {
            self.is_dirty = false;
            self.persisted_at = Some(now);
            out.push(SubscriberAction::Persist(self.state.to_persisted(&self.scope)));
        }
    }
}

/// The time in the representation of `backoff`: signed microseconds.
fn caller_time(now: Time) -> i64 {
    now.0 as i64
}
