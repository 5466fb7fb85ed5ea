//! Fleets of all sizes.
use super::log::{region_name, volume_name, zone_name};
use super::seen::Seen;
use super::{Broken, Front, Log, Machine, Universe, World};
use cluster_types::Time;
use config_distribution::{Event, Relay, RelayEvent, Scope, Settings, Subscriber, Topic};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How big a fleet is.
pub struct Size {
    pub voters: usize,
    pub relays: usize,
    pub fronts: usize,
    pub shards_each: u32,
    pub universe: Universe,
}

impl Size {
    /// What hundreds of seeds can be run of.
    pub fn small() -> Size {
        let universe = Universe { boxes: 60, volumes: 20, zones: 4, regions: 2 };
        Size { voters: 3, relays: 4, fronts: 30, shards_each: 12, universe }
    }

    /// The whole fleet.
    pub fn full() -> Size {
        let universe = Universe { boxes: 23_000, volumes: 5_000, zones: 12, regions: 5 };
        Size { voters: 5, relays: 35, fronts: 2_300, shards_each: 30, universe }
    }
}

fn near(from: usize, regions: usize, machines: &[(usize, usize)], turn: usize) -> Vec<usize> {
    let far = |zone: usize| match (zone == from, zone % regions == from % regions) {
        (true, _) => 0,
        (_, true) => 1,
        _ => 2,
    };
    let count = machines.len();
    let mut order: Vec<(usize, usize, usize)> =
        machines.iter().enumerate().map(|(i, (m, zone))| (far(*zone), (i + turn) % count, *m)).collect();
    order.sort_unstable();
    order.into_iter().map(|(_, _, m)| m).collect()
}

impl World {
    pub fn new(size: &Size, seed: u64, settings: Settings, broken: Option<Broken>) -> World {
        let mut random = SmallRng::seed_from_u64(seed);
        let now = Time(1_000_000_000);
        let all = size.voters + size.relays;
        let mut world = World {
            now,
            queue: BTreeMap::new(),
            count: 0,
            settings,
            voters: size.voters,
            regions: size.universe.regions,
            names: (0..all).map(|m| format!("relay-{m}").as_str().into()).collect(),
            machines: vec![],
            fronts: vec![],
            links: BTreeMap::new(),
            links_made: 0,
            calls: BTreeMap::new(),
            cuts: BTreeSet::new(),
            log: Log::new(7),
            seen: Seen::new(),
            faults: vec![],
            broken,
            spoils: true,
            timed: false,
            checks: true,
            random: SmallRng::seed_from_u64(random.random()),
        };
        let zones = size.universe.zones;
        let voters: Vec<(usize, usize)> = (0..size.voters).map(|m| (m, m % zones)).collect();
        let serving: Vec<(usize, usize)> = (0..all).map(|m| (m, m % zones)).collect();
        for m in 0..all {
            let voter = m < size.voters;
            let relays = near(m % zones, world.regions, &voters, m);
            let subscriber = (!voter).then(|| world.new_follower(relays.len()));
            let name = world.names[m].clone();
            let relay: Relay = world.new_relay(&name, voter);
            world.machines.push(Machine {
                name,
                zone: m % zones,
                relay,
                subscriber,
                relays,
                up: true,
                gone: false,
                life: 0,
                wake: Time(0),
                stalled: Time(0),
                cut_since: None,
                late: Duration::from_millis(random.random_range(1..150)),
            });
        }
        for n in 0..size.fronts {
            let front = front(n, size, &serving, &mut random, now);
            world.fronts.push(front);
        }
        for m in 0..all {
            world.relay_event(m, RelayEvent::Tick);
            world.follower_event(m, Event::Tick);
        }
        world
    }

    /// Starts all fronts in the same instant.
    pub fn start_fronts(&mut self) {
        (0..self.fronts.len()).for_each(|n| self.start_front(n));
    }
}

fn front(n: usize, size: &Size, serving: &[(usize, usize)], random: &mut SmallRng, now: Time) -> Front {
    let Universe { boxes, volumes, zones, regions } = size.universe;
    let zone = n % zones;
    let mut topics: Vec<Topic> = vec![
        Topic::Region(region_name(zone % regions).as_str().into()),
        Topic::Zone(zone_name(zone).as_str().into()),
    ];
    topics.extend((0..size.shards_each).map(|_| Topic::Shard(random.random_range(0..boxes))));
    topics
        .extend((0..4).map(|_| Topic::Volume(volume_name(random.random_range(0..volumes)).as_str().into())));
    let scope = Scope::of(topics);
    let relays = near(zone, regions, serving, n / zones);
    Front {
        zone,
        scope: scope.clone(),
        relays,
        subscriber: Subscriber::new(scope, (1, 1), (now, 0), None).0,
        up: false,
        life: 0,
        wake: Time(0),
        stalled: Time(0),
        refuses: n.is_multiple_of(4),
        kept: None,
        force: BTreeMap::new(),
        seen: BTreeMap::new(),
        timed: BTreeMap::new(),
    }
}
