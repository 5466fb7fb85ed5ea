//! One front by hand: the test is its relay and its host.
// Each test file uses a part of it.
#![allow(dead_code, clippy::unwrap_used, clippy::expect_used)]
pub mod served;

use backoff::Failure;
use cluster_types::{Index, Time};
use config_distribution::{Action, Change, Class, Event, FromRelay, Key, Scope, Subscriber, ToRelay, Topic};

pub fn scope() -> Scope {
    Scope::of([Topic::Shard(1), Topic::Zone("zone-a".into())])
}

pub fn change(name: &str, version: u64, value: Option<&str>) -> Change {
    let (key, value) = (Key::new(Topic::Fleet, name), value.map(|v| v.as_bytes().into()));
    Change { version: Index(version), class: Class::Configuration, key, value }
}

pub struct Front {
    pub subscriber: Subscriber,
    pub now: Time,
    /// Everything that was to be done.
    pub done: Vec<Action>,
    call: Option<u64>,
}

impl Front {
    pub fn of(subscriber: Subscriber) -> Front {
        Front { subscriber, now: Time(1_000_000), done: vec![], call: None }
    }

    pub fn fresh() -> Front {
        Front::of(Subscriber::new(scope(), (3, 3), (Time(1_000_000), 1), None).0)
    }

    /// One that holds these as of a version.
    pub fn following(held: &[(&str, u64, &str)], upto: u64) -> Front {
        let mut front = Front::fresh();
        front.connect();
        let entries = held.iter().map(|(name, version, value)| change(name, *version, Some(value))).collect();
        front.snapshot(entries, upto);
        front.decide();
        front
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = vec![];
        self.subscriber.handle(self.now, event, &mut out);
        self.done.extend(out.iter().cloned());
        out
    }

    /// Until it has connected to a relay of log 7; tells what it asked for.
    pub fn connect(&mut self) -> ToRelay {
        self.connect_to(7).0
    }

    pub fn connect_to(&mut self, lineage: u64) -> (ToRelay, usize) {
        loop {
            self.now.0 += 50_000;
            for action in self.event(Event::Tick) {
                let Action::Connect { call, relay } = action else { continue };
                let asked = self.event(Event::Up { call }).into_iter().find_map(sent).unwrap();
                self.call = Some(call);
                self.event(Event::Message { call, message: FromRelay::Subscribed { lineage } });
                return (asked, relay);
            }
        }
    }

    /// Until it calls; tells the call.
    pub fn call(&mut self) -> u64 {
        loop {
            self.now.0 += 50_000;
            for action in self.event(Event::Tick) {
                if let Action::Connect { call, .. } = action {
                    return call;
                }
            }
        }
    }

    pub fn say(&mut self, message: FromRelay) -> Vec<Action> {
        let call = self.call.unwrap();
        self.event(Event::Message { call, message })
    }

    pub fn snapshot(&mut self, entries: Vec<Change>, upto: u64) -> Vec<Action> {
        let base = Index(upto);
        let mut out = self.say(FromRelay::Piece { base, first: true, last: true, entries });
        out.extend(self.say(FromRelay::Changes { from: base, upto: base, changes: vec![] }));
        out
    }

    pub fn decide(&mut self) -> Vec<Action> {
        self.event(Event::Decided { refused: vec![] })
    }

    pub fn refuse(&mut self, name: &str, why: &str) -> Vec<Action> {
        let out = self.event(Event::Decided { refused: vec![(Key::new(Topic::Fleet, name), why.into())] });
        // What is left of it is taken.
        match out.iter().any(|a| matches!(a, Action::Decide { .. })) {
            true => self.decide(),
            false => out,
        }
    }

    /// Seconds, with a relay that is there.
    pub fn pass_time(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.now.0 += 1_000_000;
            self.say(FromRelay::Alive { upto: Index(0), sum: None, alone: None });
        }
    }

    pub fn end(&mut self) {
        let call = self.call.unwrap();
        self.event(Event::Down { call, failure: Failure::Ended });
    }

    pub fn follows(&self) -> Option<u64> {
        self.subscriber.follows()
    }

    pub fn kept(&mut self) -> Option<Vec<u8>> {
        let kept = |a: &Action| if let Action::Keep(bytes) = a { Some(bytes.clone()) } else { None };
        self.done.iter().rev().find_map(kept)
    }

    pub fn value(&self, name: &str) -> Option<(u64, String)> {
        let (version, value) = self.subscriber.held().get(&Key::new(Topic::Fleet, name))?;
        Some((version.0, String::from_utf8_lossy(value).into_owned()))
    }
}

pub fn sent(action: Action) -> Option<ToRelay> {
    match action {
        Action::Send { message, .. } => Some(message),
        _ => None,
    }
}

/// What a subscriber asks a relay for first.
pub fn asked(subscriber: &mut Subscriber) -> ToRelay {
    let mut now = Time(1);
    loop {
        now.0 += 50_000;
        let mut out = vec![];
        subscriber.handle(now, Event::Tick, &mut out);
        for action in out {
            let Action::Connect { call, .. } = action else { continue };
            let mut out = vec![];
            subscriber.handle(now, Event::Up { call }, &mut out);
            return out.into_iter().find_map(sent).unwrap();
        }
    }
}

/// A relay's report of fronts that have all decided.
pub fn report(relay: &str, number: u64, applied: u64) -> config_distribution::Report {
    config_distribution::Report {
        relay: relay.into(),
        number,
        applied: Index(applied),
        fronts: 10,
        behind: 0,
        worst: vec![],
        refusing: 0,
        refused: vec![],
    }
}

/// The bytes of a message.
pub fn bytes(message: &impl serde::Serialize) -> usize {
    postcard::to_stdvec(message).unwrap().len()
}
