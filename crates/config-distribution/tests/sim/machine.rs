//! Control machines: voters apply the log, relays without a vote follow a voter.
use super::{Broken, Ev, Node, World};
use cluster_types::Time;
use config_distribution::{
    Action, Catalogue, Event, FromRelay, Relay, RelayAction, RelayEvent, Report, Scope, Subscriber, ToRelay,
};
use rand::Rng;
use std::sync::Arc;
use std::time::Duration;

pub struct Machine {
    pub name: Arc<str>,
    pub zone: usize,
    pub relay: Relay,
    /// Voters follow nobody.
    pub subscriber: Option<Subscriber>,
    pub relays: Vec<usize>,
    pub up: bool,
    /// It is there no more, and nothing tells so.
    pub gone: bool,
    pub life: u32,
    pub wake: Time,
    pub stalled: Time,
    /// Since when a voter is cut off from the log.
    pub cut_since: Option<Time>,
    /// How late a voter applies an entry.
    pub late: Duration,
}

impl World {
    pub fn new_relay(&self, name: &str, voter: bool) -> Relay {
        let lineage = if voter { self.log.catalogue.lineage() } else { 0 };
        let mut relay = Relay::new(self.settings.clone(), name, Catalogue::new(lineage), self.now);
        relay.number(self.now.0);
        relay.expect_reports(self.names.iter().cloned());
        relay
    }

    pub fn new_follower(&mut self, relays: usize) -> Subscriber {
        let seed = self.random.random();
        Subscriber::new(Scope::Everything, (relays, 35), (self.now, seed), None).0
    }

    pub fn relay_event(&mut self, m: usize, event: RelayEvent) {
        let mut out = vec![];
        let timed = self.timed.then(std::time::Instant::now);
        self.machines[m].relay.handle(self.now, event, &mut out);
        self.seen.relay_time += timed.map_or(Duration::ZERO, |t| t.elapsed());
        self.relay_actions(m, out);
        self.wake_machine(m);
    }

    fn wake_machine(&mut self, m: usize) {
        let machine = &mut self.machines[m];
        let follower = machine.subscriber.as_ref().and_then(|s| s.wake());
        let wake = follower.into_iter().fold(machine.relay.wake(self.now), Time::min);
        let wake = wake.max(self.now + Duration::from_millis(1));
        if machine.wake != wake {
            machine.wake = wake;
            self.at(wake, Ev::Wake(Node::Machine(m)));
        }
    }

    fn relay_actions(&mut self, m: usize, out: Vec<RelayAction>) {
        for action in out {
            match action {
                RelayAction::Send { link, message } => {
                    let message = self.spoil(message);
                    self.tell(link, message);
                }
                RelayAction::Close { link, .. } => self.cut_off(link),
                RelayAction::Reports(reports) => self.spread(m, reports),
            }
        }
    }

    /// What a relay at fault makes of a message.
    fn spoil(&mut self, message: FromRelay) -> FromRelay {
        match (message, self.broken) {
            (FromRelay::Alive { upto, alone, .. }, Some(Broken::Digest)) => {
                FromRelay::Alive { upto, sum: None, alone }
            }
            (FromRelay::Changes { from, upto, mut changes }, Some(Broken::Digest | Broken::Lost))
                if self.spoils && self.random.random_bool(0.02) =>
            {
                changes.pop();
                FromRelay::Changes { from, upto, changes }
            }
            (message, _) => message,
        }
    }

    /// Voters tell each other; the others tell the voter that they follow.
    fn spread(&mut self, m: usize, reports: Vec<Report>) {
        if let Some(subscriber) = &self.machines[m].subscriber {
            if let Some(call) = subscriber.follows() {
                let own = reports.into_iter().filter(|r| r.relay == self.machines[m].name);
                own.collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|report| self.ask(Node::Machine(m), call, ToRelay::Report(report)));
            }
            return;
        }
        for to in 0..self.voters {
            let (a, b) = (self.machines[m].zone, self.machines[to].zone);
            if to != m && !self.is_cut(a, b) && self.machines[to].up {
                let delay = self.delay(a, b);
                self.after(delay, Ev::Peer { machine: to, reports: reports.clone() });
            }
        }
    }

    pub fn follower_event(&mut self, m: usize, event: Event) {
        if let Event::Message { message: FromRelay::Fleet(reports), .. } = &event {
            self.relay_event(m, RelayEvent::Reports(reports.clone()));
        }
        let Some(subscriber) = &mut self.machines[m].subscriber else { return };
        let mut actions = vec![];
        subscriber.handle(self.now, event, &mut actions);
        self.follower_actions(m, actions);
        let machine = &mut self.machines[m];
        if let Some(subscriber) = &machine.subscriber {
            let (held, catalogue) = (subscriber.held(), machine.relay.catalogue_mut());
            if held.lineage() == catalogue.lineage() && held.upto() > catalogue.applied() {
                catalogue.pass(held.upto());
            }
            let alone = subscriber.alone();
            machine.relay.set_alone(alone);
        }
        self.wake_machine(m);
    }

    fn follower_actions(&mut self, m: usize, actions: Vec<Action>) {
        for action in actions {
            let node = Node::Machine(m);
            match action {
                Action::Connect { call, relay } => {
                    let server = self.machines[m].relays[relay];
                    self.connect(node, call, server);
                }
                Action::Close { call } => self.hang_up(node, call),
                Action::Send { call, message } => self.ask(node, call, message),
                Action::Keep(_) => unreachable!("relays keep nothing"),
                Action::Decide { whole, changes } => {
                    let machine = &mut self.machines[m];
                    let Some(subscriber) = &mut machine.subscriber else { return };
                    let mut more = vec![];
                    subscriber.handle(self.now, Event::Decided { refused: vec![] }, &mut more);
                    let (lineage, upto) = (subscriber.held().lineage(), subscriber.held().upto());
                    if whole {
                        machine.relay.catalogue_mut().restore(lineage, &changes, upto);
                        let mut out = vec![];
                        machine.relay.restored(self.now, &mut out);
                        self.relay_actions(m, out);
                    } else {
                        machine.relay.catalogue_mut().take(&changes, upto);
                        self.relay_event(m, RelayEvent::Applied(changes));
                    }
                    self.follower_actions(m, more);
                }
            }
        }
    }

    /// A voter applies what has reached it of the log.
    pub fn apply(&mut self, m: usize) {
        let (zone, leader) = (self.machines[m].zone, self.machines[0].zone);
        if self.is_cut(zone, leader) {
            let since = *self.machines[m].cut_since.get_or_insert(self.now);
            self.machines[m].relay.set_alone(Some(since));
            return self.after(Duration::from_millis(500), Ev::Apply { machine: m });
        }
        self.machines[m].cut_since = None;
        self.machines[m].relay.set_alone(None);
        let mut changed = vec![];
        for n in self.machines[m].relay.catalogue().applied().0..self.log.orders.len() as u64 {
            let version = cluster_types::Index(n + 1);
            let (at, order) = self.log.order(version);
            if *at + self.machines[m].late > self.now {
                break;
            }
            changed.extend(self.machines[m].relay.catalogue_mut().apply(version, order));
        }
        if !changed.is_empty() {
            self.relay_event(m, RelayEvent::Applied(changed));
        }
    }

    pub fn kill_machine(&mut self, m: usize, silent: bool) {
        self.drop_links(Node::Machine(m), silent);
        let machine = &mut self.machines[m];
        (machine.up, machine.gone, machine.life) = (false, silent, machine.life + 1);
    }

    pub fn start_machine(&mut self, m: usize) {
        let (name, voter) = (self.machines[m].name.clone(), m < self.voters);
        let relay = self.new_relay(&name, voter);
        let relays = self.machines[m].relays.len();
        let subscriber = (!voter).then(|| self.new_follower(relays));
        let machine = &mut self.machines[m];
        (machine.up, machine.gone, machine.life) = (true, false, machine.life + 1);
        (machine.relay, machine.subscriber) = (relay, subscriber);
        if voter {
            self.apply(m);
        }
        self.relay_event(m, RelayEvent::Tick);
        self.follower_event(m, Event::Tick);
    }
}
