//! A subscriber whose relay and host are driven by the test.
// Each test file uses only some of the items.
#![allow(dead_code, clippy::unwrap_used, clippy::expect_used)]
pub mod relay;

use backoff::Failure;
use cluster_types::{Index, Time};
use config_distribution::{
    Change, Class, Key, Rejection, RelayMessage, Scope, Subscriber, SubscriberAction, SubscriberConfig,
    SubscriberEvent, SubscriberMessage, Topic,
};

pub fn scope() -> Scope {
    Scope::of([Topic::Shard(1), Topic::Zone("zone-a".into())])
}

/// The configuration of a subscriber with a given scope and number of relays, in a fleet of three subscribers.
pub fn config(scope: Scope, relay_count: usize) -> SubscriberConfig {
    SubscriberConfig { scope, relay_count, fleet_size: 3, seed: 1 }
}

pub fn change(name: &str, version: u64, value: Option<&str>) -> Change {
    let (key, value) = (Key::new(Topic::Fleet, name), value.map(|v| v.as_bytes().into()));
    Change { version: Index(version), class: Class::Configuration, key, value }
}

pub struct TestHost {
    pub subscriber: Subscriber,
    pub now: Time,
    /// All actions so far.
    pub actions: Vec<SubscriberAction>,
    connection: Option<u64>,
}

impl TestHost {
    pub fn with_subscriber(subscriber: Subscriber) -> TestHost {
        TestHost { subscriber, now: Time(1_000_000), actions: vec![], connection: None }
    }

    pub fn new() -> TestHost {
        TestHost::with_subscriber(Subscriber::new(config(scope(), 3), Time(1_000_000), None).0)
    }

    /// A host whose subscriber follows a relay of log 7 and holds the given values as of a version.
    pub fn following(held: &[(&str, u64, &str)], up_to: u64) -> TestHost {
        let mut host = TestHost::new();
        host.connect();
        let entries = held.iter().map(|(name, version, value)| change(name, *version, Some(value))).collect();
        host.receive_snapshot(entries, up_to);
        host.accept();
        host
    }

    pub fn handle(&mut self, event: SubscriberEvent) -> Vec<SubscriberAction> {
        let mut actions = vec![];
        self.subscriber.handle(self.now, event, &mut actions);
        self.actions.extend(actions.iter().cloned());
        actions
    }

    /// Advances the time until the subscriber has connected to a relay of log 7; returns its request.
    pub fn connect(&mut self) -> SubscriberMessage {
        self.connect_to(7).0
    }

    /// Advances the time until the subscriber has connected to a relay of a given log; returns the request and the relay.
    pub fn connect_to(&mut self, log_id: u64) -> (SubscriberMessage, usize) {
        let (connection, relay) = self.next_attempt();
        let opened = self.handle(SubscriberEvent::Connected { connection });
        let request = opened.into_iter().find_map(sent_message).unwrap();
        self.connection = Some(connection);
        let message = RelayMessage::Subscribed { log_id };
        self.handle(SubscriberEvent::Message { connection, message });
        (request, relay)
    }

    /// Advances the time until the subscriber opens a connection; returns the connection and the relay.
    pub fn next_attempt(&mut self) -> (u64, usize) {
        loop {
            self.now.0 += 50_000;
            for action in self.handle(SubscriberEvent::Tick) {
                if let SubscriberAction::Connect { connection, relay } = action {
                    return (connection, relay);
                }
            }
        }
    }

    pub fn receive(&mut self, message: RelayMessage) -> Vec<SubscriberAction> {
        let connection = self.connection.unwrap();
        self.handle(SubscriberEvent::Message { connection, message })
    }

    pub fn receive_snapshot(&mut self, entries: Vec<Change>, up_to: u64) -> Vec<SubscriberAction> {
        let base = Index(up_to);
        let chunk = RelayMessage::SnapshotChunk { base, is_first: true, is_last: true, entries };
        let mut actions = self.receive(chunk);
        actions.extend(self.receive(RelayMessage::Changes { from: base, up_to: base, changes: vec![] }));
        actions
    }

    /// Applies the values that the subscriber requested.
    pub fn accept(&mut self) -> Vec<SubscriberAction> {
        self.handle(SubscriberEvent::ApplyFinished { rejected: vec![] })
    }

    /// Rejects one key, and applies the remaining values.
    pub fn reject(&mut self, name: &str, reason: &str) -> Vec<SubscriberAction> {
        let rejected = vec![(Key::new(Topic::Fleet, name), reason.into())];
        let actions = self.handle(SubscriberEvent::ApplyFinished { rejected });
        if actions.iter().any(|action| matches!(action, SubscriberAction::Apply { .. })) {
            self.accept()
        } else {
            actions
        }
    }

    /// Advances the time by some seconds, with a heartbeat from the relay in each.
    pub fn advance_time(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.now.0 += 1_000_000;
            self.receive(RelayMessage::Heartbeat { up_to: Index(0), checksum: None, isolated_for: None });
        }
    }

    pub fn disconnect(&mut self) {
        let connection = self.connection.unwrap();
        self.handle(SubscriberEvent::Disconnected { connection, failure: Failure::Ended });
    }

    pub fn followed(&self) -> Option<u64> {
        self.subscriber.followed_connection()
    }

    /// The last persisted state.
    pub fn persisted(&self) -> Option<Vec<u8>> {
        self.actions.iter().rev().find_map(|action| match action {
            SubscriberAction::Persist(bytes) => Some(bytes.clone()),
            _ => None,
        })
    }

    /// The applied value of a key, with its version.
    pub fn value(&self, name: &str) -> Option<(u64, String)> {
        let (version, value) = self.subscriber.state().get(&Key::new(Topic::Fleet, name))?;
        Some((version.0, String::from_utf8_lossy(value).into_owned()))
    }
}

pub fn sent_message(action: SubscriberAction) -> Option<SubscriberMessage> {
    match action {
        SubscriberAction::Send { message, .. } => Some(message),
        _ => None,
    }
}

pub fn changes(from: u64, up_to: u64, changes: Vec<Change>) -> RelayMessage {
    RelayMessage::Changes { from: Index(from), up_to: Index(up_to), changes }
}

/// The first acknowledgement: its version, and the rejected keys with reasons.
pub fn acknowledgement(actions: Vec<SubscriberAction>) -> Option<(u64, Vec<String>)> {
    let text = |rejection: Rejection| format!("{} {}", rejection.key, rejection.reason);
    actions.into_iter().filter_map(sent_message).find_map(|message| match message {
        SubscriberMessage::Acknowledge { up_to, rejected } => {
            Some((up_to.0, rejected.into_iter().map(text).collect()))
        }
        _ => None,
    })
}

/// The values that the host is requested to apply: their names and versions.
pub fn requested_values(actions: &[SubscriberAction]) -> Option<Vec<(String, u64)>> {
    actions.iter().find_map(|action| match action {
        SubscriberAction::Apply { changes, .. } => {
            Some(changes.iter().map(|change| (change.key.name.to_string(), change.version.0)).collect())
        }
        _ => None,
    })
}

/// The request that a subscriber sends to its first relay.
pub fn first_request(subscriber: &mut Subscriber) -> SubscriberMessage {
    let mut now = Time(1);
    loop {
        now.0 += 50_000;
        let mut actions = vec![];
        subscriber.handle(now, SubscriberEvent::Tick, &mut actions);
        for action in actions {
            let SubscriberAction::Connect { connection, .. } = action else { continue };
            let mut actions = vec![];
            subscriber.handle(now, SubscriberEvent::Connected { connection }, &mut actions);
            return actions.into_iter().find_map(sent_message).unwrap();
        }
    }
}

/// The report of a relay whose gateways have acknowledged everything.
pub fn report(relay: &str, sequence: u64, applied: u64) -> config_distribution::Report {
    config_distribution::Report {
        relay: relay.into(),
        sequence,
        applied: Index(applied),
        gateways: 10,
        lagging: 0,
        lags: vec![],
        rejecting: 0,
        rejections: vec![],
    }
}

/// The encoded size of a message.
pub fn encoded_size(message: &impl serde::Serialize) -> usize {
    postcard::to_stdvec(message).unwrap().len()
}
