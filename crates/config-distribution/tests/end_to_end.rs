//! Batches are distributed through one relay to three subscribers.
use backoff::Failure;
use cluster_types::{Index, Time};
use config_distribution::*;
use std::collections::BTreeMap;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(10);
const SILENCE: Duration = Duration::from_secs(5);

fn put(topic: Topic, name: &str, value: &str, class: Class) -> Put {
    Put { class, key: Key::new(topic, name), value: Some(value.as_bytes().into()) }
}

struct Gateway {
    subscriber: Subscriber,
    applied: BTreeMap<Key, Vec<u8>>,
}

impl Gateway {
    fn new(number: u32, now: Time) -> Gateway {
        let scope = Scope::of([Topic::Shard(number), Topic::Zone("zone-a".into())]);
        let seed = u64::from(number);
        let config = SubscriberConfig { scope, relay_count: 1, fleet_size: 3, seed };
        let (subscriber, error) = Subscriber::new(config, now, None);
        assert_eq!(error, None);
        Gateway { subscriber, applied: BTreeMap::new() }
    }

    fn apply(&mut self, is_snapshot: bool, changes: Vec<Change>) {
        if is_snapshot {
            self.applied.clear();
        }
        for Change { key, value, .. } in changes {
            match value {
                Some(value) => self.applied.insert(key, value.to_vec()),
                None => self.applied.remove(&key),
            };
        }
    }
}

struct Fleet {
    now: Time,
    relay: Relay,
    gateways: Vec<Gateway>,
}

/// The relay's number for a gateway's connection.
fn relay_connection(gateway: usize, connection: u64) -> u64 {
    connection * 100 + gateway as u64
}

/// The gateway, and its own number for a connection, from the relay's number.
fn gateway_connection(connection: u64) -> (usize, u64) {
    ((connection % 100) as usize, connection / 100)
}

impl Fleet {
    fn step(&mut self) {
        self.now = self.now + STEP;
        let mut actions = vec![];
        self.relay.handle(self.now, RelayEvent::Tick, &mut actions);
        for gateway in 0..self.gateways.len() {
            self.gateway_event(gateway, SubscriberEvent::Tick, &mut actions);
        }
        self.deliver(actions);
    }

    fn run_steps(&mut self, count: usize) {
        (0..count).for_each(|_| self.step());
    }

    fn gateway_event(&mut self, gateway: usize, event: SubscriberEvent, out: &mut Vec<RelayAction>) {
        let mut actions = vec![];
        self.gateways[gateway].subscriber.handle(self.now, event, &mut actions);
        for action in actions {
            self.gateway_action(gateway, action, out);
        }
    }

    fn gateway_action(&mut self, gateway: usize, action: SubscriberAction, out: &mut Vec<RelayAction>) {
        let number = |connection| relay_connection(gateway, connection);
        match action {
            SubscriberAction::Connect { connection, .. } => {
                let name = format!("gateway-{gateway}").as_str().into();
                let connected = RelayEvent::Connected { connection: number(connection), name };
                self.relay.handle(self.now, connected, out);
                self.gateway_event(gateway, SubscriberEvent::Connected { connection }, out);
            }
            SubscriberAction::Close { connection } => {
                let closed = RelayEvent::Disconnected { connection: number(connection) };
                self.relay.handle(self.now, closed, out);
            }
            SubscriberAction::Send { connection, message } => {
                let sent = RelayEvent::Message { connection: number(connection), message };
                self.relay.handle(self.now, sent, out);
            }
            SubscriberAction::Apply { is_snapshot, changes } => {
                self.gateways[gateway].apply(is_snapshot, changes);
                self.gateway_event(gateway, SubscriberEvent::ApplyFinished { rejected: vec![] }, out);
            }
            SubscriberAction::Persist(_) => {}
        }
    }

    fn deliver(&mut self, actions: Vec<RelayAction>) {
        for action in actions {
            let (gateway, event) = match action {
                RelayAction::Send { connection, message } => {
                    let (gateway, connection) = gateway_connection(connection);
                    (gateway, SubscriberEvent::Message { connection, message })
                }
                RelayAction::Close { connection, .. } => {
                    let (gateway, connection) = gateway_connection(connection);
                    (gateway, SubscriberEvent::Disconnected { connection, failure: Failure::Ended })
                }
                RelayAction::ShareReports(_) => continue,
            };
            let mut more = vec![];
            self.gateway_event(gateway, event, &mut more);
            self.deliver(more);
        }
    }

    fn write(&mut self, version: u64, puts: Vec<Put>) {
        let changes = self.relay.catalogue_mut().apply(Index(version), &WriteBatch { puts });
        let mut actions = vec![];
        self.relay.handle(self.now, RelayEvent::CatalogueChanged(changes), &mut actions);
        self.deliver(actions);
    }

    /// The number of applied keys at each gateway.
    fn applied(&self) -> Vec<usize> {
        self.gateways.iter().map(|gateway| gateway.applied.len()).collect()
    }
}

#[test]
fn batch_is_applied_by_subscribers_in_its_scope() {
    let now = Time(1_000_000);
    let relay = Relay::new(Settings::default(), "relay-1", Catalogue::new(7), now);
    let gateways = (0..3).map(|number| Gateway::new(number, now)).collect();
    let mut fleet = Fleet { now, relay, gateways };
    fleet.run_steps(100);
    assert_eq!(fleet.relay.subscriber_count(), 3);
    fleet.write(1, vec![put(Topic::Shard(1), "box", "box-9", Class::Primary)]);
    fleet.run_steps(2);
    assert_eq!(
        fleet.applied(),
        [0, 1, 0],
        "a shard's backend is sent immediately, to the gateways that serve the shard"
    );
    fleet.write(2, vec![put(Topic::Fleet, "settings", "{}", Class::Configuration)]);
    fleet.run_steps(10);
    let status = fleet.relay.fleet_status().rollout(fleet.now, Index(2), SILENCE);
    assert!(!status.is_complete, "configuration is batched first");
    fleet.run_steps(400);
    assert_eq!(fleet.applied(), [1, 2, 1]);
    let status = fleet.relay.fleet_status().rollout(fleet.now, Index(2), SILENCE);
    assert!(status.is_complete && status.gateways == 3, "{status:?}");
}
