//! Shared by the tests: settings and a host that is driven by hand.
#![allow(dead_code)]
use scheduler::interface::*;
use scheduler::Scheduler;

pub const MS: i64 = 1000;
pub const S: i64 = 1_000_000;

pub fn class() -> Class {
    Class {
        aim: Micros(200 * MS),
        deadline: Micros(2 * S),
        worth: 2.0,
        repeats: Repeats::Safe,
        repeat_window: Micros(S),
        in_order: false,
    }
}

pub fn plan() -> Plan {
    Plan { reservation: 0.0, weight: 1.0, limit_rate: 0.0, limit_burst: 0.0 }
}

pub fn settings() -> Settings {
    Settings {
        hosts: 2,
        classes: vec![class()],
        plans: vec![plan(), Plan { weight: 3.0, ..plan() }, Plan { reservation: 4.0, ..plan() }],
        most_units: 4.0,
        mean_units: 2.0,
        tells_elsewhere: true,
        max_attempts: 3,
        max_wait_hint: Micros(S),
        connect_timeout: Micros(200 * MS),
        tick: Micros(MS),
        list_mode: ListMode::Push,
        ask_within: Micros(0),
        cold: ColdRule { units: 8.0, window: Micros(S), from: 0.25, warm_up: Micros(10 * S), multiple: 2.0 },
        order_rest: Micros(0),
        retry_budget: None,
    }
}

pub fn entry(name: &str, shard: u32) -> NodeEntry {
    NodeEntry {
        node: NodeId(name.into()),
        state: NodeState::Ready,
        started: None,
        shard: ShardId(shard),
        zone: 0,
    }
}

pub fn request(id: u64) -> Request {
    Request {
        id: RequestId(id),
        class: 0,
        plan: 0,
        volume: VolumeId("v".into()),
        key: None,
        shard: Some(ShardId(0)),
        units: 2.0,
        volume_hosts: 1,
        grace: Micros(2 * S),
    }
}

/// A host, its clock, and every action since the last look.
pub struct Host {
    pub scheduler: Scheduler,
    pub now: i64,
    timers: Vec<(i64, u64)>,
    pub attempts: std::collections::BTreeMap<u64, u32>,
    pub nodes: std::collections::BTreeMap<u64, NodeId>,
}

impl Host {
    /// A host that has known node `a` with shard 0 and node `b` with shard 1 for long.
    pub fn new(settings: Settings) -> Host {
        Host::seeded(settings, 7)
    }

    pub fn seeded(settings: Settings, seed: u64) -> Host {
        let scheduler = Scheduler::new(settings, seed).expect("settings");
        let mut host = Host {
            scheduler,
            now: 100 * S,
            timers: vec![],
            attempts: Default::default(),
            nodes: Default::default(),
        };
        host.tell(Event::List(ListNews::Cached(vec![entry("a", 0), entry("b", 1)])));
        host
    }

    pub fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut actions = vec![];
        self.scheduler.handle(Micros(self.now), event, &mut actions);
        for a in &actions {
            match a {
                Action::SetTimer { after, token } => self.timers.push((self.now + after.0, *token)),
                Action::Send { id, node, .. } => {
                    *self.attempts.entry(id.0).or_default() += 1;
                    self.nodes.insert(id.0, node.clone());
                }
                _ => {}
            }
        }
        actions.retain(|a| !matches!(a, Action::SetTimer { .. }));
        actions
    }

    pub fn arrive(&mut self, request: Request) -> Vec<Action> {
        self.tell(Event::Arrived(request))
    }

    /// Ends the last attempt of a request; a served one is final.
    pub fn end(&mut self, id: u64, ending: Ending, took: i64) -> Vec<Action> {
        self.end_told(id, ending, took, 0.0)
    }

    pub fn end_told(&mut self, id: u64, ending: Ending, took: i64, elsewhere: f64) -> Vec<Action> {
        let outcome = Outcome {
            id: RequestId(id),
            attempt: self.attempts[&id] - 1,
            node: self.nodes[&id].clone(),
            ending,
            took: Micros(took),
            finished: ending == Ending::Ok,
            elsewhere,
        };
        self.tell(Event::Ended(outcome))
    }

    /// Lets time pass and the timers that come due fire.
    pub fn pass(&mut self, micros: i64) -> Vec<Action> {
        let until = self.now + micros;
        let mut actions = vec![];
        while let Some(next) = self.timers.iter().copied().filter(|(at, _)| *at <= until).min() {
            self.timers.retain(|t| *t != next);
            self.now = self.now.max(next.0);
            actions.extend(self.tell(Event::Timer(next.1)));
        }
        self.now = until;
        actions
    }
}

pub fn sent(actions: &[Action]) -> Vec<u64> {
    let id = |a: &Action| if let Action::Send { id, .. } = a { Some(id.0) } else { None };
    actions.iter().filter_map(id).collect()
}

pub fn refused(actions: &[Action]) -> Vec<u64> {
    let id = |a: &Action| if let Action::Refuse { id, .. } = a { Some(id.0) } else { None };
    actions.iter().filter_map(id).collect()
}

pub fn failed(actions: &[Action]) -> Vec<u64> {
    let id = |a: &Action| if let Action::Fail { id } = a { Some(id.0) } else { None };
    actions.iter().filter_map(id).collect()
}
