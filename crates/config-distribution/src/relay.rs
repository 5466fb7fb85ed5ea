//! A relay: serves a catalogue to subscribers. Voters and relays without a vote behave the same here.
mod event;
mod flush;
mod reports;
mod snapshot;
mod subscribe;
mod subscription;

pub use event::{CloseReason, RelayAction, RelayEvent, RelayStats};

use crate::catalogue::Catalogue;
use crate::change::{Change, Class};
use crate::fleet_status::FleetStatus;
use crate::settings::Settings;
use crate::token_bucket::TokenBucket;
use cluster_types::{Index, Time};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;
use subscription::{Phase, Subscription};

/// How often the relay is woken while chunks wait for tokens.
const CHUNK_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// The state of a relay.
#[derive(Debug)]
pub struct Relay {
    settings: Settings,
    name: Arc<str>,
    catalogue: Catalogue,
    /// Whether there is a catalogue to serve yet.
    is_ready: bool,
    subscriptions: BTreeMap<u64, Subscription>,
    connections_by_name: BTreeMap<Arc<str>, u64>,
    subscription_tokens: TokenBucket,
    /// Connections that wait for their next chunk of a snapshot, in order of arrival.
    chunk_queue: VecDeque<u64>,
    fleet_status: FleetStatus,
    reported_at: Time,
    report_sequence: u64,
    isolated_since: Option<Time>,
    stats: RelayStats,
}

impl Relay {
    /// A relay that serves a catalogue. While the catalogue belongs to no log (id 0), it accepts no subscribers until
    /// [`Relay::catalogue_replaced`].
    pub fn new(settings: Settings, name: &str, catalogue: Catalogue, now: Time) -> Relay {
        let rate = settings.subscription_rate;
        Relay {
            settings,
            name: name.into(),
            is_ready: catalogue.log_id() != 0,
            catalogue,
            subscriptions: BTreeMap::new(),
            connections_by_name: BTreeMap::new(),
            subscription_tokens: TokenBucket::new(rate.bytes_per_second, rate.burst_bytes, now),
            chunk_queue: VecDeque::new(),
            fleet_status: FleetStatus::default(),
            reported_at: now,
            report_sequence: 0,
            isolated_since: None,
            stats: RelayStats::default(),
        }
    }

    /// Sets the sequence number that precedes the next report. It must exceed those of all earlier incarnations, for example
    /// the wall clock time in microseconds.
    pub fn set_report_sequence(&mut self, sequence: u64) {
        self.report_sequence = sequence;
    }

    /// Sets since when the relay has had no contact with the log: [`crate::Subscriber::isolated_since`] of its own
    /// subscriber, or the time that a voter knows. Subscribers are informed by heartbeats.
    pub fn set_isolated_since(&mut self, since: Option<Time>) {
        self.isolated_since = since;
    }

    /// Sets the names of all control machines: until each has reported, no rollout counts as complete.
    pub fn expect_reports(&mut self, relays: impl IntoIterator<Item = Arc<str>>) {
        self.fleet_status.expect_reports(relays);
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: Time, event: RelayEvent, out: &mut Vec<RelayAction>) {
        // A message from one subscriber can only make actions due for that subscriber.
        let only_connection = match &event {
            RelayEvent::Message { connection, .. } => Some(*connection),
            _ => None,
        };
        match event {
            RelayEvent::Tick => {}
            RelayEvent::Connected { connection, name } => self.connected(now, connection, name, out),
            RelayEvent::Disconnected { connection } => self.disconnected(connection),
            RelayEvent::Message { connection, message } => {
                self.handle_message(now, connection, message, out);
            }
            RelayEvent::CatalogueChanged(changes) => self.mark_pending(now, &changes),
            RelayEvent::PeerReports(reports) => self.record_peer_reports(now, reports),
        }
        self.flush(now, only_connection, out);
        self.report_if_due(now, out);
    }

    /// The catalogue that it serves.
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// The catalogue, to apply changes to it; [`RelayEvent::CatalogueChanged`] must follow.
    pub fn catalogue_mut(&mut self) -> &mut Catalogue {
        &mut self.catalogue
    }

    /// The catalogue was replaced through [`Relay::catalogue_mut`]: subscribers that can't be sent the changes since their
    /// version are disconnected, and receive a snapshot when they reconnect.
    pub fn catalogue_replaced(&mut self, now: Time, out: &mut Vec<RelayAction>) {
        self.is_ready = true;
        let connections: Vec<u64> = self.subscriptions.keys().copied().collect();
        for connection in connections {
            let can_follow = self.subscriptions.get(&connection).is_some_and(|subscription| {
                subscription.phase == Phase::Live
                    && subscription.log_id == self.catalogue.log_id()
                    && subscription.sent_up_to >= self.catalogue.floor()
            });
            if !can_follow {
                self.close(connection, CloseReason::RetryLater, out);
            }
        }
        self.handle(now, RelayEvent::CatalogueChanged(vec![]), out);
    }

    /// The fleet's progress in applying the log, from the reports of all relays.
    pub fn fleet_status(&self) -> &FleetStatus {
        &self.fleet_status
    }

    /// When a [`RelayEvent::Tick`] is due.
    pub fn next_wakeup(&self, now: Time) -> Time {
        let due = self.subscriptions.values().map(|subscription| subscription.due_at(&self.settings)).min();
        let report = self.reported_at + self.settings.report_interval;
        let chunk = self.chunk_queue.front().map(|_| now + CHUNK_RETRY_INTERVAL);
        [due, chunk].into_iter().flatten().fold(report, Time::min)
    }

    /// Counters since the start.
    pub fn stats(&self) -> &RelayStats {
        &self.stats
    }

    /// The number of accepted subscribers.
    pub fn subscriber_count(&self) -> usize {
        self.subscriptions.values().filter(|subscription| subscription.is_accepted()).count()
    }

    /// Marks changes as pending for the subscriptions whose scope contains them.
    fn mark_pending(&mut self, now: Time, changes: &[Change]) {
        let accepted = self.subscriptions.values_mut().filter(|subscription| subscription.is_accepted());
        for subscription in accepted {
            for change in changes {
                if subscription.scope.contains(&change.key.topic) {
                    subscription.mark_pending(now, change.version, change.class == Class::Primary);
                }
            }
        }
    }

    fn connected(&mut self, now: Time, connection: u64, name: Arc<str>, out: &mut Vec<RelayAction>) {
        if let Some(previous) = self.connections_by_name.insert(name.clone(), connection) {
            self.close(previous, CloseReason::Replaced, out);
            self.connections_by_name.insert(name.clone(), connection);
        }
        self.subscriptions.insert(connection, Subscription::new(name, now));
    }

    fn disconnected(&mut self, connection: u64) {
        let Some(removed) = self.subscriptions.remove(&connection) else { return };
        if self.connections_by_name.get(&removed.name) == Some(&connection) {
            self.connections_by_name.remove(&removed.name);
        }
    }

    fn close(&mut self, connection: u64, reason: CloseReason, out: &mut Vec<RelayAction>) {
        if self.subscriptions.contains_key(&connection) {
            self.disconnected(connection);
            out.push(RelayAction::Close { connection, reason });
        }
    }

    fn applied(&self) -> Index {
        self.catalogue.applied()
    }
}
