//! Construction of simulated fleets.
use super::defect::Defect;
use super::gateway::Gateway;
use super::log::{region_name, volume_name, zone_name, KeySpace, Log};
use super::machine::Machine;
use super::measurements::Measurements;
use super::World;
use cluster_types::Time;
use config_distribution::{
    RelayEvent, Scope, Settings, Subscriber, SubscriberConfig, SubscriberEvent, Topic,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const LOG_ID: u64 = 7;

/// The size of a fleet.
pub struct FleetSize {
    pub voters: usize,
    pub relays: usize,
    pub gateways: usize,
    pub shards_per_gateway: u32,
    pub key_space: KeySpace,
}

impl FleetSize {
    /// A fleet small enough to run hundreds of seeds.
    pub fn small() -> FleetSize {
        let key_space = KeySpace { shards: 60, volumes: 20, zones: 4, regions: 2 };
        FleetSize { voters: 3, relays: 4, gateways: 30, shards_per_gateway: 12, key_space }
    }

    /// The largest fleet.
    pub fn full() -> FleetSize {
        let key_space = KeySpace { shards: 23_000, volumes: 5_000, zones: 12, regions: 5 };
        FleetSize { voters: 5, relays: 35, gateways: 2_300, shards_per_gateway: 30, key_space }
    }

    fn machines(&self) -> usize {
        self.voters + self.relays
    }
}

/// The machines `0..count` by their distance from a zone; equally distant ones are rotated.
fn machines_by_distance(zone: usize, key_space: &KeySpace, count: usize, rotation: usize) -> Vec<usize> {
    let distance = |other: usize| {
        if other == zone {
            0
        } else if other % key_space.regions == zone % key_space.regions {
            1
        } else {
            2
        }
    };
    let mut machines: Vec<usize> = (0..count).collect();
    machines
        .sort_by_key(|machine| (distance(machine % key_space.zones), (machine + rotation) % count, *machine));
    machines
}

impl World {
    pub fn new(size: &FleetSize, seed: u64, settings: Settings, defect: Option<Defect>) -> World {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut world = World {
            now: Time(1_000_000_000),
            queue: BTreeMap::new(),
            scheduled_count: 0,
            settings,
            voter_count: size.voters,
            region_count: size.key_space.regions,
            names: (0..size.machines()).map(|number| format!("relay-{number}").as_str().into()).collect(),
            machines: vec![],
            gateways: vec![],
            links: BTreeMap::new(),
            link_count: 0,
            connections: BTreeMap::new(),
            partitions: BTreeSet::new(),
            log: Log::new(LOG_ID),
            measurements: Measurements::new(),
            violations: vec![],
            defect,
            is_losing_changes: true,
            is_timed: false,
            checks_fleet_invariants: true,
            random: SmallRng::seed_from_u64(random.random()),
        };
        for number in 0..size.machines() {
            let machine = world.new_machine(number, size, &mut random);
            world.machines.push(machine);
        }
        for number in 0..size.gateways {
            world.gateways.push(new_gateway(number, size, &mut random, world.now));
        }
        for number in 0..size.machines() {
            world.relay_event(number, RelayEvent::Tick);
            world.follower_event(number, SubscriberEvent::Tick);
        }
        world
    }

    fn new_machine(&mut self, number: usize, size: &FleetSize, random: &mut SmallRng) -> Machine {
        let is_voter = number < size.voters;
        let zone = number % size.key_space.zones;
        let relays = machines_by_distance(zone, &size.key_space, size.voters, number);
        let subscriber = (!is_voter).then(|| self.new_follower(relays.len()));
        let name = self.names[number].clone();
        Machine {
            relay: self.new_relay(&name, is_voter),
            name,
            zone,
            subscriber,
            relays,
            is_up: true,
            is_unreachable: false,
            incarnation: 0,
            wakeup_at: Time(0),
            stalled_until: Time(0),
            partitioned_since: None,
            apply_delay: Duration::from_millis(random.random_range(1..150)),
        }
    }
}

fn new_gateway(number: usize, size: &FleetSize, random: &mut SmallRng, now: Time) -> Gateway {
    let KeySpace { shards, volumes, zones, regions } = size.key_space;
    let zone = number % zones;
    let mut topics: Vec<Topic> = vec![
        Topic::Region(region_name(zone % regions).as_str().into()),
        Topic::Zone(zone_name(zone).as_str().into()),
    ];
    topics.extend((0..size.shards_per_gateway).map(|_| Topic::Shard(random.random_range(0..shards))));
    topics
        .extend((0..4).map(|_| Topic::Volume(volume_name(random.random_range(0..volumes)).as_str().into())));
    let scope = Scope::of(topics);
    let config = SubscriberConfig { scope: scope.clone(), relay_count: 1, fleet_size: 1, seed: 0 };
    Gateway {
        zone,
        scope,
        relays: machines_by_distance(zone, &size.key_space, size.machines(), number / zones),
        subscriber: Subscriber::new(config, now, None).0,
        is_up: false,
        incarnation: 0,
        wakeup_at: Time(0),
        stalled_until: Time(0),
        rejects_marked: number.is_multiple_of(4),
        persisted: None,
        applied: BTreeMap::new(),
        newest_applied: BTreeMap::new(),
        measured: BTreeMap::new(),
    }
}
