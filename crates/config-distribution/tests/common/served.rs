//! One relay by hand: the test is its subscribers and its log.
use cluster_types::{Index, Time};
use config_distribution::{
    Catalogue, Class, Cut, FromRelay, Key, Order, Put, Refusal, Relay, RelayAction, RelayEvent, Scope,
    Settings, ToRelay, Topic,
};
use std::time::Duration;

pub struct Served {
    pub relay: Relay,
    pub now: Time,
    pub version: u64,
    pub out: Vec<RelayAction>,
}

pub fn shard(n: u32) -> Scope {
    Scope::of([Topic::Shard(n)])
}

impl Served {
    pub fn new() -> Served {
        Served::with(Settings::default())
    }

    pub fn with(settings: Settings) -> Served {
        let now = Time(1_000_000);
        Served {
            relay: Relay::new(settings, "relay-1", Catalogue::new(7), now),
            now,
            version: 0,
            out: vec![],
        }
    }

    /// What it does upon an event, without reports.
    pub fn event(&mut self, event: RelayEvent) -> Vec<RelayAction> {
        let mut out = vec![];
        self.relay.handle(self.now, event, &mut out);
        out.retain(|a| !matches!(a, RelayAction::Reports(_)));
        self.out.extend(out.iter().cloned());
        out
    }

    pub fn join(&mut self, link: u64, scope: Scope, from: u64) -> Vec<RelayAction> {
        self.event(RelayEvent::Joined { link, name: format!("front-{link}").as_str().into() });
        let subscribe = ToRelay::Subscribe { lineage: 7, scope, from: Index(from) };
        self.event(RelayEvent::Message { link, message: subscribe })
    }

    pub fn say(&mut self, link: u64, message: ToRelay) -> Vec<RelayAction> {
        self.event(RelayEvent::Message { link, message })
    }

    pub fn decided(&mut self, link: u64, upto: u64) -> Vec<RelayAction> {
        self.say(link, ToRelay::Decided { upto: Index(upto), refused: vec![] })
    }

    pub fn refused(&mut self, link: u64, upto: u64, key: &Key) -> Vec<RelayAction> {
        let refused = vec![Refusal { key: key.clone(), version: Index(upto), why: "no".into() }];
        self.say(link, ToRelay::Decided { upto: Index(upto), refused })
    }

    pub fn order(
        &mut self,
        class: Class,
        topic: Topic,
        name: &str,
        value: Option<&[u8]>,
    ) -> Vec<RelayAction> {
        self.version += 1;
        let put = Put { class, key: Key::new(topic, name), value: value.map(Into::into) };
        let order = Order { puts: vec![put] };
        let changes = self.relay.catalogue_mut().apply(Index(self.version), &order);
        self.event(RelayEvent::Applied(changes))
    }

    /// A primary's order for shard 1.
    pub fn primary(&mut self) -> Vec<RelayAction> {
        self.order(Class::Primary, Topic::Shard(1), "box", Some(b"box-1"))
    }

    /// An order of configuration for shard 1.
    pub fn setting(&mut self, name: &str, value: &[u8]) -> Vec<RelayAction> {
        self.order(Class::Configuration, Topic::Shard(1), name, Some(value))
    }

    pub fn wait(&mut self, millis: u64) -> Vec<RelayAction> {
        let (mut out, until) = (vec![], self.now + Duration::from_millis(millis));
        while self.now < until {
            self.now = self.now + Duration::from_millis(10);
            out.extend(self.event(RelayEvent::Tick));
        }
        out
    }
}

/// Messages of changes to a connection: from, up to, and the names.
pub fn changes(out: &[RelayAction], to: u64) -> Vec<(u64, u64, Vec<String>)> {
    let one = |action: &RelayAction| match action {
        RelayAction::Send { link, message: FromRelay::Changes { from, upto, changes } } if *link == to => {
            Some((from.0, upto.0, changes.iter().map(|c| c.key.name.to_string()).collect()))
        }
        _ => None,
    };
    out.iter().filter_map(one).collect()
}

/// Whether it was closed, and why.
pub fn closed(out: &[RelayAction], of: u64) -> Option<Cut> {
    out.iter().find_map(|action| match action {
        RelayAction::Close { link, why } if *link == of => Some(*why),
        _ => None,
    })
}

/// Pieces to a connection: whether first, whether last, how many bytes.
pub fn pieces(out: &[RelayAction], to: u64) -> Vec<(bool, bool, usize)> {
    let one = |action: &RelayAction| match action {
        RelayAction::Send { link, message: FromRelay::Piece { first, last, entries, .. } } if *link == to => {
            Some((*first, *last, entries.iter().map(|c| c.bytes()).sum()))
        }
        _ => None,
    };
    out.iter().filter_map(one).collect()
}

/// How often a connection was told anything.
pub fn told(out: &[RelayAction], to: u64) -> usize {
    out.iter().filter(|a| matches!(a, RelayAction::Send { link, .. } if *link == to)).count()
}
