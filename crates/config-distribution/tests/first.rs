//! One order through a relay into force at three subscribers.
use cluster_types::{Index, Time};
use config_distribution::*;
use std::collections::BTreeMap;

const MS: u64 = 1_000;

fn put(topic: Topic, name: &str, value: &str, class: Class) -> Put {
    Put { class, key: Key::new(topic, name), value: Some(value.as_bytes().into()) }
}

struct World {
    now: Time,
    relay: Relay,
    fronts: Vec<(Subscriber, BTreeMap<Key, Vec<u8>>)>,
}

impl World {
    fn step(&mut self) {
        self.now = Time(self.now.0 + 10 * MS);
        let mut out = vec![];
        self.relay.handle(self.now, RelayEvent::Tick, &mut out);
        for n in 0..self.fronts.len() {
            let mut actions = vec![];
            self.fronts[n].0.handle(self.now, Event::Tick, &mut actions);
            self.act(n, actions, &mut out);
        }
        self.deliver(out);
    }

    fn act(&mut self, n: usize, actions: Vec<Action>, out: &mut Vec<RelayAction>) {
        for action in actions {
            let mut more = vec![];
            let (front, force) = &mut self.fronts[n];
            let link = |call: u64| call * 100 + n as u64;
            match action {
                Action::Connect { call, .. } => {
                    let name = format!("front-{n}").as_str().into();
                    self.relay.handle(self.now, RelayEvent::Joined { link: link(call), name }, out);
                    front.handle(self.now, Event::Up { call }, &mut more);
                }
                Action::Close { call } => {
                    self.relay.handle(self.now, RelayEvent::Left { link: link(call) }, out)
                }
                Action::Send { call, message } => {
                    self.relay.handle(self.now, RelayEvent::Message { link: link(call), message }, out);
                }
                Action::Decide { whole, changes } => {
                    if whole {
                        force.clear();
                    }
                    for change in changes {
                        match change.value {
                            Some(value) => drop(force.insert(change.key, value.to_vec())),
                            None => drop(force.remove(&change.key)),
                        }
                    }
                    front.handle(self.now, Event::Decided { refused: vec![] }, &mut more);
                }
                Action::Keep(_) => {}
            }
            self.act(n, more, out);
        }
    }

    fn deliver(&mut self, out: Vec<RelayAction>) {
        for action in out {
            let (link, event): (u64, fn(u64, FromRelay) -> Event) = match &action {
                RelayAction::Send { link, .. } => (*link, |call, message| Event::Message { call, message }),
                RelayAction::Close { link, .. } => {
                    (*link, |call, _| Event::Down { call, failure: backoff::Failure::Ended })
                }
                RelayAction::Reports(_) => continue,
            };
            let message = match action {
                RelayAction::Send { message, .. } => message,
                _ => FromRelay::Later,
            };
            let (n, mut actions, mut more) = ((link % 100) as usize, vec![], vec![]);
            self.fronts[n].0.handle(self.now, event(link / 100, message), &mut actions);
            self.act(n, actions, &mut more);
            self.deliver(more);
        }
    }

    fn order(&mut self, version: u64, puts: Vec<Put>) {
        let changes = self.relay.catalogue_mut().apply(Index(version), &Order { puts });
        let mut out = vec![];
        self.relay.handle(self.now, RelayEvent::Applied(changes), &mut out);
        self.deliver(out);
    }
}

#[test]
fn an_order_is_in_force_at_those_whom_it_concerns() {
    let now = Time(1_000_000);
    let front = |n: u32| {
        let scope = Scope::of([Topic::Shard(n), Topic::Zone("zone-a".into())]);
        let (front, fault) = Subscriber::new(scope, (1, 3), (now, u64::from(n)), None);
        assert_eq!(fault, None);
        (front, BTreeMap::new())
    };
    let relay = Relay::new(Settings::default(), "relay-1", Catalogue::new(7), now);
    let mut world = World { now, relay, fronts: (0..3).map(front).collect() };
    (0..100).for_each(|_| world.step());
    assert_eq!(world.relay.subscribed(), 3);
    world.order(1, vec![put(Topic::Shard(1), "box", "box-9", Class::Primary)]);
    (0..2).for_each(|_| world.step());
    let holds: Vec<usize> = world.fronts.iter().map(|(_, force)| force.len()).collect();
    assert_eq!(holds, [0, 1, 0], "a shard's box goes ahead, to those who serve the shard");
    world.order(2, vec![put(Topic::Fleet, "settings", "{}", Class::Configuration)]);
    (0..10).for_each(|_| world.step());
    let asked = world.relay.fleet().ask(world.now, Index(2), std::time::Duration::from_secs(5));
    assert!(!asked.everywhere, "configuration is gathered first");
    (0..400).for_each(|_| world.step());
    let holds: Vec<usize> = world.fronts.iter().map(|(_, force)| force.len()).collect();
    assert_eq!(holds, [1, 2, 1]);
    let asked = world.relay.fleet().ask(world.now, Index(2), std::time::Duration::from_secs(5));
    assert!(asked.everywhere && asked.fronts == 3, "{asked:?}");
}
