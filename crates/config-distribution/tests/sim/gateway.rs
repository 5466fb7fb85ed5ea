//! A simulated gateway: its subscriber, and the host that applies values.
use super::defect::Defect;
use super::log::REJECTED_MARK;
use super::{Node, SimEvent, World};
use cluster_types::{Index, Time};
use config_distribution::{
    Change, Class, Key, Scope, Subscriber, SubscriberAction, SubscriberConfig, SubscriberEvent,
};
use rand::Rng;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The delay between acknowledging and applying values with [`Defect::EarlyAcknowledgement`].
const EARLY_ACKNOWLEDGEMENT_DELAY: Duration = Duration::from_secs(8);

pub struct Gateway {
    pub zone: usize,
    pub scope: Scope,
    /// The machines that it may follow, in order of preference.
    pub relays: Vec<usize>,
    pub subscriber: Subscriber,
    pub is_up: bool,
    pub incarnation: u32,
    pub wakeup_at: Time,
    pub stalled_until: Time,
    /// Whether its host rejects marked values.
    pub rejects_marked: bool,
    pub persisted: Option<Vec<u8>>,
    /// The values applied by its host, with their versions.
    pub applied: BTreeMap<Key, (Index, Arc<[u8]>)>,
    /// The newest version of each key that this incarnation has applied.
    pub newest_applied: BTreeMap<Key, Index>,
    /// The newest version of each key that any incarnation has applied: the latency of each is measured once.
    pub measured: BTreeMap<Key, Index>,
}

/// Values that a host is requested to apply.
pub struct ApplyRequest {
    pub gateway: usize,
    pub incarnation: u32,
    pub is_snapshot: bool,
    pub changes: Vec<Change>,
}

/// Whether a value is marked to be rejected by some hosts.
pub fn is_marked(value: &Option<Arc<[u8]>>) -> bool {
    value.as_ref().is_some_and(|value| value.first() == Some(&REJECTED_MARK))
}

impl World {
    fn gateway_actions(&mut self, number: usize, actions: Vec<SubscriberAction>) {
        let node = Node::Gateway(number);
        for action in actions {
            match action {
                SubscriberAction::Connect { connection, relay } => {
                    let server = self.gateways[number].relays[relay];
                    self.connect(node, connection, server);
                }
                SubscriberAction::Close { connection } => self.close_from_client(node, connection),
                SubscriberAction::Send { connection, message } => {
                    self.send_to_server(node, connection, message);
                }
                SubscriberAction::Persist(bytes) => {
                    self.measurements.bytes_persisted += bytes.len() as u64;
                    self.gateways[number].persisted = Some(bytes);
                }
                SubscriberAction::Apply { is_snapshot, changes } => {
                    let delay = Duration::from_micros(self.random.random_range(200..4_000));
                    let incarnation = self.gateways[number].incarnation;
                    let request = ApplyRequest { gateway: number, incarnation, is_snapshot, changes };
                    self.schedule_after(delay, SimEvent::HostValidates(request));
                }
            }
        }
    }

    pub fn gateway_event(&mut self, number: usize, event: SubscriberEvent) {
        let mut actions = vec![];
        let started = self.is_timed.then(Instant::now);
        self.gateways[number].subscriber.handle(self.now, event, &mut actions);
        self.measurements.gateway_time += started.map_or(Duration::ZERO, |started| started.elapsed());
        self.gateway_actions(number, actions);
        if let Some(wakeup) = self.gateways[number].subscriber.next_wakeup() {
            let wakeup = wakeup.max(self.now + Duration::from_millis(1));
            if self.gateways[number].wakeup_at != wakeup {
                self.gateways[number].wakeup_at = wakeup;
                self.schedule(wakeup, SimEvent::Wakeup(Node::Gateway(number)));
            }
        }
    }

    /// The host validates values, and applies all of them if it rejects none.
    pub fn host_validates(&mut self, request: ApplyRequest) {
        let number = request.gateway;
        let gateway = &self.gateways[number];
        if !gateway.is_up || gateway.incarnation != request.incarnation {
            return;
        }
        let rejected: Vec<(Key, String)> = request
            .changes
            .iter()
            .filter(|change| gateway.rejects_marked && is_marked(&change.value))
            .map(|change| (change.key.clone(), format!("{}: the value begins with a mark", change.key.name)))
            .collect();
        if rejected.is_empty() {
            if self.defect == Some(Defect::EarlyAcknowledgement) {
                self.schedule_after(EARLY_ACKNOWLEDGEMENT_DELAY, SimEvent::HostAppliesLate(request));
            } else {
                self.host_applies(request);
            }
        }
        self.gateway_event(number, SubscriberEvent::ApplyFinished { rejected });
    }

    pub fn host_applies(&mut self, request: ApplyRequest) {
        let ApplyRequest { gateway: number, is_snapshot, mut changes, .. } = request;
        if self.defect == Some(Defect::PartialBatch) && changes.len() > 1 && !is_snapshot {
            changes.truncate(changes.len() / 2);
        }
        if self.defect == Some(Defect::OldValue) && self.random.random_bool(0.05) {
            changes.extend(self.old_value(number));
        }
        self.check_changes(number, &changes);
        let gateway = &mut self.gateways[number];
        if is_snapshot {
            gateway.applied.clear();
        }
        for change in &changes {
            let newest = gateway.newest_applied.entry(change.key.clone()).or_default();
            *newest = change.version.max(*newest);
            let measured = gateway.measured.entry(change.key.clone()).or_default();
            // A host that rejects a batch applies its values only when the rejected one is replaced: that latency is not
            // measured.
            if *measured < change.version && !gateway.rejects_marked {
                *measured = change.version;
                let written_at = self.log.entry(change.version).written_at;
                self.measurements.record_applied(self.now, written_at, change.class);
            }
            match &change.value {
                Some(value) => gateway.applied.insert(change.key.clone(), (change.version, value.clone())),
                None => gateway.applied.remove(&change.key),
            };
        }
        self.check_batches(number, &changes);
    }

    /// A change with an older version of an applied key.
    fn old_value(&self, number: usize) -> Option<Change> {
        let (key, (version, _)) = self.gateways[number].applied.iter().next()?;
        let value: Arc<[u8]> = b"old".as_slice().into();
        let (version, class) = (Index(version.0 - 1), Class::Configuration);
        Some(Change { version, class, key: key.clone(), value: Some(value) })
    }

    pub fn start_gateway(&mut self, number: usize) {
        let (seed, fleet_size) = (self.random.random(), self.gateways.len() as u32);
        let gateway = &mut self.gateways[number];
        let (scope, relay_count) = (gateway.scope.clone(), gateway.relays.len());
        let config = SubscriberConfig { scope, relay_count, fleet_size, seed };
        let (subscriber, error) = Subscriber::new(config, self.now, gateway.persisted.as_deref());
        assert_eq!(error, None, "the persisted state can be read");
        gateway.subscriber = subscriber;
        gateway.is_up = true;
        gateway.incarnation += 1;
        let mut actions = vec![];
        gateway.subscriber.start(&mut actions);
        self.gateway_actions(number, actions);
        self.gateway_event(number, SubscriberEvent::Tick);
    }

    pub fn kill_gateway(&mut self, number: usize) {
        let gateway = &mut self.gateways[number];
        gateway.is_up = false;
        gateway.incarnation += 1;
        // The process loses the applied values, and the versions that are not persisted.
        gateway.applied.clear();
        gateway.newest_applied.clear();
        self.drop_links(Node::Gateway(number), false);
    }

    pub fn start_gateways(&mut self) {
        (0..self.gateways.len()).for_each(|number| self.start_gateway(number));
    }

    pub fn kill_gateways(&mut self) {
        (0..self.gateways.len()).for_each(|number| self.kill_gateway(number));
    }
}
