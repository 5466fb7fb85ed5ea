//! Random schedules of writes and faults, and schedules with a single fault.
use super::build::FleetSize;
use super::defect::Defect;
use super::{SimEvent, World};
use cluster_types::Time;
use config_distribution::{Class, Key, Put, Settings, Topic, WriteBatch, MAX_BATCH_PUTS};
use rand::Rng;
use std::time::Duration;

const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The faults of a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Faults {
    None,
    All,
}

impl World {
    pub fn wait(&mut self, span: Duration) {
        self.run(self.now + span);
    }

    fn write_random_batch(&mut self, size: &FleetSize, primary_probability: f64, marked_probability: f64) {
        let mut random = self.random.clone();
        let batch = if random.random_bool(primary_probability) {
            size.key_space.random_primary(&mut random)
        } else {
            size.key_space.random_configuration(&mut random, marked_probability)
        };
        self.random = random;
        self.write(batch);
    }

    /// Writes initial values of many keys.
    pub fn fill(&mut self, size: &FleetSize, batches: usize) {
        (0..batches).for_each(|_| self.write_random_batch(size, 0.5, 0.02));
    }

    /// Writes a backend for each shard, and initial values of many other keys.
    pub fn fill_backends(&mut self, size: &FleetSize) {
        let shards: Vec<u32> = (0..size.key_space.shards).collect();
        for chunk in shards.chunks(MAX_BATCH_PUTS) {
            let put = |shard: &u32| Put {
                class: Class::Primary,
                key: Key::new(Topic::Shard(*shard), "box"),
                value: Some(format!("box-{shard}-0").as_bytes().into()),
            };
            self.write(WriteBatch { puts: chunk.iter().map(put).collect() });
        }
        self.fill(size, 2_000);
    }

    /// Writes a primary with a probability, and settings otherwise.
    pub fn write_random(&mut self, size: &FleetSize, primary_probability: f64) {
        self.write_random_batch(size, primary_probability, 0.04);
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.partitions.clear();
        for number in 0..self.machines.len() {
            let machine = &mut self.machines[number];
            machine.stalled_until = machine.stalled_until.min(self.now);
            if !machine.is_up {
                self.start_machine(number);
            }
        }
        for number in 0..self.gateways.len() {
            let gateway = &mut self.gateways[number];
            gateway.stalled_until = gateway.stalled_until.min(self.now);
            if !gateway.is_up {
                self.start_gateway(number);
            }
        }
    }

    fn random_span_ms(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.random.random_range(from..to))
    }

    fn inject_fault(&mut self) {
        let machines = self.machines.len();
        let machine = self.random.random_range(0..machines);
        let gateway = self.random.random_range(0..self.gateways.len());
        match self.random.random_range(0..14) {
            0 if self.machines[machine].is_up => self.kill_machine(machine, false),
            1 if self.machines[machine].is_up => self.kill_machine(machine, true),
            2..=4 => {
                if let Some(down) = (0..machines).find(|number| !self.machines[*number].is_up) {
                    self.start_machine(down);
                }
            }
            5 => self.machines[machine].stalled_until = self.now + self.random_span_ms(100, 9_000),
            6 => self.gateways[gateway].stalled_until = self.now + self.random_span_ms(100, 12_000),
            7 | 8 if self.gateways[gateway].is_up => self.kill_gateway(gateway),
            9 | 10 => {
                if let Some(down) = (0..self.gateways.len()).find(|number| !self.gateways[*number].is_up) {
                    self.start_gateway(down);
                }
            }
            11 => drop(self.partitions.insert((0, 1))),
            12 => self.partitions.clear(),
            _ => self.break_random_link(),
        }
    }

    fn break_random_link(&mut self) {
        let links: Vec<u64> = self.links.keys().copied().collect();
        if !links.is_empty() {
            let link = links[self.random.random_range(0..links.len())];
            self.break_link(link);
        }
    }

    /// Breaks a link, and informs both ends.
    fn break_link(&mut self, link: u64) {
        self.close_from_server(link);
        if let Some(broken) = self.links.get_mut(&link) {
            broken.is_open_at_server = true;
            self.schedule(self.now, SimEvent::ClosedAtServer { link });
        }
    }

    /// Writes batches for a time span, on average one per `interval_ms`, and injects faults meanwhile.
    pub fn run_with_writes(&mut self, size: &FleetSize, span: Duration, interval_ms: u64, faults: Faults) {
        let until = self.now + span;
        let mut next_fault = self.now;
        while self.now < until {
            let pause = self.random.random_range(interval_ms / 2..=interval_ms + interval_ms / 2);
            self.run(until.min(self.now + Duration::from_millis(pause)));
            self.write_random(size, 0.3);
            if faults == Faults::All && self.now >= next_fault {
                self.inject_fault();
                next_fault = self.now + self.random_span_ms(300, 3_000);
            }
            self.check_rollout();
        }
    }

    /// Advances the time without writes, and checks the rollout periodically.
    pub fn run_idle(&mut self, span: Duration) {
        let until: Time = self.now + span;
        while self.now < until {
            self.run(until.min(self.now + CHECK_INTERVAL));
            self.check_rollout();
        }
    }
}

/// Runs a schedule on a small fleet to its end; the violations can then be read.
pub fn run_schedule(seed: u64, faults: Faults, defect: Option<Defect>) -> World {
    let size = FleetSize::small();
    let mut world = World::new(&size, seed, Settings::default(), defect);
    world.start_gateways();
    world.fill(&size, 120);
    world.wait(Duration::from_secs(5));
    world.run_with_writes(&size, Duration::from_secs(20), 400, faults);
    world.heal();
    world.run_with_writes(&size, Duration::from_secs(2), 400, Faults::None);
    world.is_losing_changes = false;
    world.run_idle(Duration::from_secs(24));
    world.check_end();
    world
}

/// The fault of a schedule with a single fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SingleFault {
    None,
    RelayCrash,
    /// The relay crashes without its connections being closed.
    RelayVanishes,
    RelayStall,
    VoterCrash,
    VoterVanishes,
    AllGatewaysRestart,
}

/// Runs a schedule with continuous writes and a single fault; the latencies can then be read.
pub fn run_single_fault(seed: u64, fault: SingleFault) -> World {
    let size = FleetSize::small();
    let mut world = World::new(&size, seed, Settings::default(), None);
    world.start_gateways();
    world.fill(&size, 120);
    world.wait(Duration::from_secs(8));
    world.measurements.take();
    world.run_with_writes(&size, Duration::from_secs(6), 150, Faults::None);
    let relay = world.voter_count + seed as usize % (world.machines.len() - world.voter_count);
    let voter = seed as usize % world.voter_count;
    match fault {
        SingleFault::None => {}
        SingleFault::RelayCrash => world.kill_machine(relay, false),
        SingleFault::RelayVanishes => world.kill_machine(relay, true),
        SingleFault::RelayStall => world.machines[relay].stalled_until = world.now + Duration::from_secs(30),
        SingleFault::VoterCrash => world.kill_machine(voter, false),
        SingleFault::VoterVanishes => world.kill_machine(voter, true),
        SingleFault::AllGatewaysRestart => {
            world.kill_gateways();
            world.start_gateways();
        }
    }
    world.run_with_writes(&size, Duration::from_secs(20), 150, Faults::None);
    world.heal();
    world.run_idle(Duration::from_secs(24));
    world.check_end();
    world
}
