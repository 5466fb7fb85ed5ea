//! Random schedules: orders, and what befalls a fleet; and troubles of one kind.
use super::build::Size;
use super::{Broken, World};
use cluster_types::Time;
use config_distribution::Settings;
use rand::Rng;
use std::time::Duration;

const SECOND: u64 = 1_000_000;

/// What a schedule has beside its orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    None,
    Everything,
}

impl World {
    pub fn wait(&mut self, span: Duration) {
        self.run(self.now + span);
    }

    /// Puts a first value of many keys.
    pub fn fill(&mut self, size: &Size, orders: usize) {
        for _ in 0..orders {
            let mut random = self.random.clone();
            let order = match random.random_bool(0.5) {
                true => size.universe.primary(&mut random),
                false => size.universe.configuration(&mut random, 0.02),
            };
            self.random = random;
            self.order(order);
        }
    }

    /// Puts a box for each shard, and settings for each volume.
    pub fn fill_boxes(&mut self, size: &Size) {
        let shards: Vec<u32> = (0..size.universe.boxes).collect();
        for some in shards.chunks(config_distribution::ORDER) {
            let put = |shard: &u32| config_distribution::Put {
                class: config_distribution::Class::Primary,
                key: config_distribution::Key::new(config_distribution::Topic::Shard(*shard), "box"),
                value: Some(format!("box-{shard}-0").as_bytes().into()),
            };
            self.order(config_distribution::Order { puts: some.iter().map(put).collect() });
        }
        self.fill(size, 2_000);
    }

    pub fn random_order(&mut self, size: &Size, primary: f64) {
        let mut random = self.random.clone();
        let order = match random.random_bool(primary) {
            true => size.universe.primary(&mut random),
            false => size.universe.configuration(&mut random, 0.04),
        };
        self.random = random;
        self.order(order);
    }

    /// Heals everything.
    pub fn heal(&mut self) {
        self.cuts.clear();
        for m in 0..self.machines.len() {
            self.machines[m].stalled = self.machines[m].stalled.min(self.now);
            if !self.machines[m].up {
                self.start_machine(m);
            }
        }
        for n in 0..self.fronts.len() {
            self.fronts[n].stalled = self.fronts[n].stalled.min(self.now);
            if !self.fronts[n].up {
                self.start_front(n);
            }
        }
    }

    fn befall(&mut self) {
        let machines = self.machines.len();
        let (m, n) = (self.random.random_range(0..machines), self.random.random_range(0..self.fronts.len()));
        match self.random.random_range(0..14) {
            0 if self.machines[m].up => self.kill_machine(m, false),
            1 if self.machines[m].up => self.kill_machine(m, true),
            2..=4 => {
                if let Some(m) = (0..machines).find(|m| !self.machines[*m].up) {
                    self.start_machine(m);
                }
            }
            5 => {
                self.machines[m].stalled =
                    self.now + Duration::from_millis(self.random.random_range(100..9_000))
            }
            6 => {
                self.fronts[n].stalled =
                    self.now + Duration::from_millis(self.random.random_range(100..12_000))
            }
            7 | 8 if self.fronts[n].up => self.kill_front(n),
            9 | 10 => {
                if let Some(n) = (0..self.fronts.len()).find(|n| !self.fronts[*n].up) {
                    self.start_front(n);
                }
            }
            11 => drop(self.cuts.insert((0, 1))),
            12 => self.cuts.clear(),
            _ => {
                let ids: Vec<u64> = self.links.keys().copied().collect();
                if !ids.is_empty() {
                    let id = ids[self.random.random_range(0..ids.len())];
                    self.break_link(id);
                }
            }
        }
    }

    /// A link breaks, and both ends hear of it.
    fn break_link(&mut self, id: u64) {
        self.cut_off(id);
        if let Some(link) = self.links.get_mut(&id) {
            link.open.1 = true;
            self.at(self.now, super::Ev::Left { link: id });
        }
    }

    /// Orders for so long, one in so many milliseconds, and what befalls the fleet meanwhile.
    pub fn go_on(&mut self, size: &Size, span: Duration, apart: u64, trouble: Trouble) {
        let until = self.now + span;
        let mut next = self.now;
        while self.now < until {
            let step = Duration::from_millis(self.random.random_range(apart / 2..=apart + apart / 2));
            self.run(until.min(self.now + step));
            self.random_order(size, 0.3);
            if trouble == Trouble::Everything && self.now >= next {
                self.befall();
                next = self.now + Duration::from_millis(self.random.random_range(300..3_000));
            }
            self.look();
        }
    }

    /// Looks each half second while nothing is ordered.
    pub fn rest(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.run(until.min(Time(self.now.0 + SECOND / 2)));
            self.look();
        }
    }
}

/// One small schedule to its end; tells what did not hold.
pub fn play(seed: u64, trouble: Trouble, broken: Option<Broken>) -> World {
    let size = Size::small();
    let mut world = World::new(&size, seed, Settings::default(), broken);
    world.start_fronts();
    world.fill(&size, 120);
    world.wait(Duration::from_secs(5));
    world.go_on(&size, Duration::from_secs(20), 400, trouble);
    world.heal();
    world.go_on(&size, Duration::from_secs(2), 400, Trouble::None);
    world.spoils = false;
    world.rest(Duration::from_secs(24));
    world.check_end();
    world
}

/// What one thing befalls, while orders go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum One {
    Nothing,
    RelayDies,
    RelayGone,
    RelayStalls,
    VoterDies,
    VoterGone,
    FrontsRestart,
}

/// Orders all the time, and one failure; tells how long they took into force.
pub fn with_one(seed: u64, one: One) -> World {
    let size = Size::small();
    let mut world = World::new(&size, seed, Settings::default(), None);
    world.start_fronts();
    world.fill(&size, 120);
    world.wait(Duration::from_secs(8));
    world.seen = super::seen::Seen::new();
    world.go_on(&size, Duration::from_secs(6), 150, Trouble::None);
    let relay = world.voters + seed as usize % (world.machines.len() - world.voters);
    let voter = seed as usize % world.voters;
    match one {
        One::Nothing => {}
        One::RelayDies => world.kill_machine(relay, false),
        One::RelayGone => world.kill_machine(relay, true),
        One::RelayStalls => world.machines[relay].stalled = world.now + Duration::from_secs(30),
        One::VoterDies => world.kill_machine(voter, false),
        One::VoterGone => world.kill_machine(voter, true),
        One::FrontsRestart => {
            (0..world.fronts.len()).for_each(|n| world.kill_front(n));
            (0..world.fronts.len()).for_each(|n| world.start_front(n));
        }
    }
    world.go_on(&size, Duration::from_secs(20), 150, Trouble::None);
    world.heal();
    world.rest(Duration::from_secs(24));
    world.check_end();
    world
}
