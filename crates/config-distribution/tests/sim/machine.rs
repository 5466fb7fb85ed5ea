//! Simulated control machines: voters apply the log, relays without a vote follow a voter.
use super::defect::Defect;
use super::{Node, SimEvent, World};
use cluster_types::{Index, Time};
use config_distribution::{
    Catalogue, Change, Relay, RelayAction, RelayEvent, RelayMessage, Report, Scope, Subscriber,
    SubscriberAction, SubscriberConfig, SubscriberEvent, SubscriberMessage,
};
use rand::Rng;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The fleet size that relays use to spread their connection attempts.
const RELAY_FLEET_SIZE: u32 = 35;
/// How often a voter that is partitioned from the log tries again.
const LOG_RETRY_INTERVAL: Duration = Duration::from_millis(500);

pub struct Machine {
    pub name: Arc<str>,
    pub zone: usize,
    pub relay: Relay,
    /// None for a voter.
    pub subscriber: Option<Subscriber>,
    /// The voters that it may follow, in order of preference.
    pub relays: Vec<usize>,
    pub is_up: bool,
    /// Whether it is down without its connections being closed.
    pub is_unreachable: bool,
    pub incarnation: u32,
    pub wakeup_at: Time,
    pub stalled_until: Time,
    /// Since when a voter is partitioned from the log.
    pub partitioned_since: Option<Time>,
    /// The delay before a voter applies a log entry.
    pub apply_delay: Duration,
}

impl World {
    pub fn new_relay(&self, name: &str, is_voter: bool) -> Relay {
        let log_id = if is_voter { self.log.catalogue.log_id() } else { 0 };
        let mut relay = Relay::new(self.settings.clone(), name, Catalogue::new(log_id), self.now);
        relay.set_report_sequence(self.now.0);
        relay.expect_reports(self.names.iter().cloned());
        relay
    }

    pub fn new_follower(&mut self, relay_count: usize) -> Subscriber {
        let (scope, fleet_size, seed) = (Scope::Everything, RELAY_FLEET_SIZE, self.random.random());
        Subscriber::new(SubscriberConfig { scope, relay_count, fleet_size, seed }, self.now, None).0
    }

    pub fn relay_event(&mut self, number: usize, event: RelayEvent) {
        let mut actions = vec![];
        let started = self.is_timed.then(Instant::now);
        self.machines[number].relay.handle(self.now, event, &mut actions);
        self.measurements.relay_time += started.map_or(Duration::ZERO, |started| started.elapsed());
        self.relay_actions(number, actions);
        self.schedule_machine(number);
    }

    fn schedule_machine(&mut self, number: usize) {
        let machine = &mut self.machines[number];
        let follower = machine.subscriber.as_ref().and_then(Subscriber::next_wakeup);
        let wakeup = follower.into_iter().fold(machine.relay.next_wakeup(self.now), Time::min);
        let wakeup = wakeup.max(self.now + Duration::from_millis(1));
        if machine.wakeup_at != wakeup {
            machine.wakeup_at = wakeup;
            self.schedule(wakeup, SimEvent::Wakeup(Node::Machine(number)));
        }
    }

    fn relay_actions(&mut self, number: usize, actions: Vec<RelayAction>) {
        for action in actions {
            match action {
                RelayAction::Send { connection, message } => {
                    let message = self.inject_message_defect(message);
                    self.send_to_client(connection, message);
                }
                RelayAction::Close { connection, .. } => self.close_from_server(connection),
                RelayAction::ShareReports(reports) => self.share_reports(number, reports),
            }
        }
    }

    /// Modifies a message according to the injected defect.
    fn inject_message_defect(&mut self, message: RelayMessage) -> RelayMessage {
        match (message, self.defect) {
            (
                RelayMessage::Heartbeat { up_to, isolated_for, .. },
                Some(Defect::LostChangeWithoutChecksum),
            ) => RelayMessage::Heartbeat { up_to, checksum: None, isolated_for },
            (
                RelayMessage::Changes { from, up_to, mut changes },
                Some(Defect::LostChangeWithoutChecksum | Defect::LostChange),
            ) if self.is_losing_changes && self.random.random_bool(0.02) => {
                changes.pop();
                RelayMessage::Changes { from, up_to, changes }
            }
            (message, _) => message,
        }
    }

    /// Sends the reports of a voter to the other voters, and those of a relay to the voter that it follows.
    fn share_reports(&mut self, number: usize, reports: Vec<Report>) {
        let machine = &self.machines[number];
        if let Some(subscriber) = &machine.subscriber {
            let Some(connection) = subscriber.followed_connection() else { return };
            let own: Vec<Report> =
                reports.into_iter().filter(|report| report.relay == machine.name).collect();
            for report in own {
                let message = SubscriberMessage::Report(report);
                self.send_to_server(Node::Machine(number), connection, message);
            }
            return;
        }
        for to in 0..self.voter_count {
            let (from_zone, to_zone) = (self.machines[number].zone, self.machines[to].zone);
            if to != number && !self.is_partitioned(from_zone, to_zone) && self.machines[to].is_up {
                let delay = self.delay(from_zone, to_zone);
                let reports = reports.clone();
                self.schedule_after(delay, SimEvent::PeerReports { machine: to, reports });
            }
        }
    }

    pub fn follower_event(&mut self, number: usize, event: SubscriberEvent) {
        if let SubscriberEvent::Message { message: RelayMessage::Reports(reports), .. } = &event {
            self.relay_event(number, RelayEvent::PeerReports(reports.clone()));
        }
        let Some(subscriber) = &mut self.machines[number].subscriber else { return };
        let mut actions = vec![];
        subscriber.handle(self.now, event, &mut actions);
        self.follower_actions(number, actions);
        let machine = &mut self.machines[number];
        if let Some(subscriber) = &machine.subscriber {
            let (state, catalogue) = (subscriber.state(), machine.relay.catalogue_mut());
            if state.log_id() == catalogue.log_id() && state.up_to() > catalogue.applied() {
                catalogue.advance(state.up_to());
            }
            machine.relay.set_isolated_since(subscriber.isolated_since());
        }
        self.schedule_machine(number);
    }

    fn follower_actions(&mut self, number: usize, actions: Vec<SubscriberAction>) {
        let node = Node::Machine(number);
        for action in actions {
            match action {
                SubscriberAction::Connect { connection, relay } => {
                    let server = self.machines[number].relays[relay];
                    self.connect(node, connection, server);
                }
                SubscriberAction::Close { connection } => self.close_from_client(node, connection),
                SubscriberAction::Send { connection, message } => {
                    self.send_to_server(node, connection, message);
                }
                SubscriberAction::Persist(_) => unreachable!("relays persist nothing"),
                SubscriberAction::Apply { is_snapshot, changes } => {
                    self.relay_applies(number, is_snapshot, changes);
                }
            }
        }
    }

    /// Applies received changes at a relay without a vote, which then serves them.
    fn relay_applies(&mut self, number: usize, is_snapshot: bool, changes: Vec<Change>) {
        let machine = &mut self.machines[number];
        let Some(subscriber) = &mut machine.subscriber else { return };
        let mut later_actions = vec![];
        let finished = SubscriberEvent::ApplyFinished { rejected: vec![] };
        subscriber.handle(self.now, finished, &mut later_actions);
        let (log_id, up_to) = (subscriber.state().log_id(), subscriber.state().up_to());
        if is_snapshot {
            machine.relay.catalogue_mut().restore(log_id, &changes, up_to);
            let mut actions = vec![];
            machine.relay.catalogue_replaced(self.now, &mut actions);
            self.relay_actions(number, actions);
        } else {
            machine.relay.catalogue_mut().merge(&changes, up_to);
            self.relay_event(number, RelayEvent::CatalogueChanged(changes));
        }
        self.follower_actions(number, later_actions);
    }

    /// Applies the log entries that have reached a voter.
    pub fn apply_log(&mut self, number: usize) {
        let (zone, leader_zone) = (self.machines[number].zone, self.machines[0].zone);
        if self.is_partitioned(zone, leader_zone) {
            let machine = &mut self.machines[number];
            let since = *machine.partitioned_since.get_or_insert(self.now);
            machine.relay.set_isolated_since(Some(since));
            return self.schedule_after(LOG_RETRY_INTERVAL, SimEvent::ApplyLog { machine: number });
        }
        let machine = &mut self.machines[number];
        machine.partitioned_since = None;
        machine.relay.set_isolated_since(None);
        let mut changes = vec![];
        for version in machine.relay.catalogue().applied().0 + 1..=self.log.last_version().0 {
            let entry = self.log.entry(Index(version));
            if entry.written_at + machine.apply_delay > self.now {
                break;
            }
            changes.extend(machine.relay.catalogue_mut().apply(Index(version), &entry.batch));
        }
        if !changes.is_empty() {
            self.relay_event(number, RelayEvent::CatalogueChanged(changes));
        }
    }

    pub fn kill_machine(&mut self, number: usize, is_silent: bool) {
        self.drop_links(Node::Machine(number), is_silent);
        let machine = &mut self.machines[number];
        machine.is_up = false;
        machine.is_unreachable = is_silent;
        machine.incarnation += 1;
    }

    pub fn start_machine(&mut self, number: usize) {
        let (name, is_voter) = (self.machines[number].name.clone(), number < self.voter_count);
        let relay = self.new_relay(&name, is_voter);
        let relay_count = self.machines[number].relays.len();
        let subscriber = (!is_voter).then(|| self.new_follower(relay_count));
        let machine = &mut self.machines[number];
        machine.is_up = true;
        machine.is_unreachable = false;
        machine.incarnation += 1;
        machine.relay = relay;
        machine.subscriber = subscriber;
        if is_voter {
            self.apply_log(number);
        }
        self.relay_event(number, RelayEvent::Tick);
        self.follower_event(number, SubscriberEvent::Tick);
    }
}
