//! A network of members under one seed. Sockets are all that is not real.
use super::load::{Load, Stopped};
use super::Options;
use crate::plan::Bound;
use crate::{cpu, Error};
use ::membership::{Action, Event, MemberState, Membership, Seed, Settings};
use cluster_types::{MemberId, Time};
use message_auth::Keys;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Where members take datagrams.
const PORT: u16 = 7_000;
/// Lives of processes lie so far apart.
const LIFE: u64 = 1 << 20;
/// Zones over which members are spread.
const ZONES: usize = 12;
/// All start within so many microseconds.
const STARTS: u64 = 1_000_000;
/// How often is looked whether the play's time has passed, in events.
const LOOK: u64 = 4_096;

enum Due {
    Start,
    Wake,
    Datagram { from: usize, bytes: Vec<u8> },
}

/// The network.
pub struct World {
    now: Time,
    bound: Bound,
    rng: SmallRng,
    loss: f64,
    delay_us: (u64, u64),
    keys: Keys,
    settings: Vec<Settings>,
    addresses: HashMap<SocketAddr, usize>,
    members: Vec<Option<Membership>>,
    wakes: Vec<Option<Time>>,
    agenda: BTreeMap<(Time, u64), (usize, Due)>,
    planned: u64,
    steps: u64,
    up: usize,
    /// What was sent and taken so far.
    load: Load,
    /// Who is followed, and who holds it as live.
    followed: Option<(MemberId, BTreeSet<usize>)>,
}

impl World {
    /// So many members, all configured at each, that start within a second.
    pub fn new(options: &Options, count: usize, seed: u64, bound: Bound) -> Result<World, Error> {
        let address = |n: usize| SocketAddr::from((Ipv4Addr::from(0x0a00_0001 + n as u32), PORT));
        let fellow = |n: usize| Seed {
            member: MemberId::from(format!("front-{n:04}").as_str()),
            zone: format!("zone-{:02}", n % ZONES).as_str().into(),
            address: address(n),
        };
        let all: Vec<Seed> = (0..count).map(fellow).collect();
        let set = |me: &Seed| {
            let usual = Settings::new(me.clone(), LIFE, all.clone());
            Settings {
                bytes_per_second: options.bytes_s,
                max_members: usual.max_members.max(count.saturating_sub(1)),
                ..usual
            }
        };
        let settings: Vec<Settings> = all.iter().map(set).collect();
        settings.iter().try_for_each(Settings::validate).map_err(|e| Error::part("members", e))?;
        let mut world = World {
            now: Time(0),
            bound,
            rng: SmallRng::seed_from_u64(seed),
            loss: options.loss,
            delay_us: (options.delay_ms.0 * 1_000, options.delay_ms.1 * 1_000),
            keys: Keys::new([9; 32], None),
            settings,
            addresses: (0..count).map(|n| (address(n), n)).collect(),
            members: (0..count).map(|_| None).collect(),
            wakes: vec![None; count],
            agenda: BTreeMap::new(),
            planned: 0,
            steps: 0,
            up: 0,
            load: Load::default(),
            followed: None,
        };
        for n in 0..count {
            let at = Time(world.rng.random_range(0..STARTS));
            world.plan(at, n, Due::Start);
        }
        Ok(world)
    }

    /// The simulated time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// One of them.
    pub fn any(&mut self) -> usize {
        self.rng.random_range(0..self.members.len())
    }

    fn plan(&mut self, at: Time, whom: usize, due: Due) {
        self.planned += 1;
        self.agenda.insert((at, self.planned), (whom, due));
    }

    /// Starts a member's process, under a life above those before.
    pub fn start(&mut self, which: usize) -> Result<(), Error> {
        let settings = &mut self.settings[which];
        settings.incarnation += LIFE;
        let members = Membership::new(settings.clone(), self.keys.clone(), self.now, self.rng.random());
        self.members[which] = Some(members.map_err(|e| Error::part("members", e))?);
        self.up += 1;
        self.give(which, Event::Tick);
        Ok(())
    }

    /// Ends a member's process without a word.
    pub fn end(&mut self, which: usize) {
        self.up -= usize::from(self.members[which].take().is_some());
        self.wakes[which] = None;
    }

    /// What was sent and taken so far.
    pub fn load(&self) -> Load {
        self.load
    }

    /// Whether all have started, and hold one view: that all are there.
    pub fn agrees(&self) -> bool {
        let Some(first) = self.members.iter().flatten().next().filter(|_| self.up == self.members.len())
        else {
            return false;
        };
        let digest = first.digest();
        let alive = || {
            first.view().iter().filter(|m| m.state == MemberState::Alive && m.base_incarnation > 0).count()
        };
        self.members.iter().flatten().all(|other| other.digest() == digest) && alive() == self.up
    }

    /// Runs until all others hold a member as live or not, no longer than that; how long it took.
    pub fn until_known(
        &mut self,
        which: usize,
        live: bool,
        within: Duration,
    ) -> Result<Option<Duration>, Stopped> {
        let (from, name) = (self.now, self.settings[which].me.member.clone());
        let holds = |members: &Membership| {
            members.view().iter().any(|m| m.member == name && m.state.is_live() && m.base_incarnation > 0)
        };
        let others = |w: &World| -> Vec<usize> {
            (0..w.members.len()).filter(|n| *n != which && w.members[*n].is_some()).collect()
        };
        let held = others(self).into_iter().filter(|n| self.members[*n].as_ref().is_some_and(holds));
        let held: BTreeSet<usize> = held.collect();
        let wanted = if live { others(self).len() } else { 0 };
        self.followed = Some((name, held));
        while self.followed.as_ref().is_some_and(|(_, held)| held.len() != wanted) {
            if !self.step(from + within)? {
                self.followed = None;
                return Ok(None);
            }
        }
        self.followed = None;
        Ok(Some(self.now.since(from)))
    }

    /// Runs for that span of simulated time.
    pub fn run(&mut self, span: Duration) -> Result<(), Stopped> {
        let end = self.now + span;
        while self.step(end)? {}
        Ok(())
    }

    /// Does what is due next; false where that is later than the end, which is the time then.
    fn step(&mut self, end: Time) -> Result<bool, Stopped> {
        self.steps += 1;
        if self.steps.is_multiple_of(LOOK) && self.bound.passed() {
            return Err(Stopped(self.now.since(Time(0))));
        }
        let next = self.agenda.first_key_value().map(|((at, _), _)| *at).filter(|at| *at <= end);
        let Some(at) = next else {
            self.pass(end);
            return Ok(false);
        };
        self.pass(at.max(self.now));
        let Some((_, (whom, due))) = self.agenda.pop_first() else { return Ok(false) };
        match due {
            Due::Start if self.members[whom].is_none() => {
                // The settings were found good.
                let _ = self.start(whom);
            }
            Due::Start => {}
            Due::Wake if self.wakes[whom] == Some(at) => {
                self.wakes[whom] = None;
                self.give(whom, Event::Tick);
            }
            Due::Wake => {}
            Due::Datagram { from, bytes } => {
                let from = self.settings[from].me.address;
                self.give(whom, Event::Datagram { from, bytes });
            }
        }
        Ok(true)
    }

    fn pass(&mut self, to: Time) {
        self.load.member_seconds += self.up as f64 * to.since(self.now).as_secs_f64();
        self.now = to;
    }

    fn give(&mut self, whom: usize, event: Event) {
        let Some(member) = &mut self.members[whom] else { return };
        let (now, before, mut out) = (self.now, *member.counters(), Vec::new());
        let ((), took) = cpu::timed(|| member.handle(now, event, &mut out));
        let (after, wake) = (*member.counters(), member.wake());
        self.load.cpu_us += took;
        self.load.messages += after.datagrams_sent - before.datagrams_sent;
        self.load.bytes += after.bytes_sent - before.bytes_sent;
        for action in out {
            match action {
                Action::Send { to, bytes } => self.send(whom, to, bytes),
                Action::MemberChanged { member, state, .. } => match &mut self.followed {
                    Some((followed, held)) if *followed == member && state.is_live() => {
                        held.insert(whom);
                    }
                    Some((followed, held)) if *followed == member => {
                        held.remove(&whom);
                    }
                    _ => {}
                },
                Action::ClaimsChanged(_) => {}
            }
        }
        let Some(wake) = wake.map(|wake| wake.max(now)) else { return };
        if self.wakes[whom].is_none_or(|planned| planned != wake) {
            self.wakes[whom] = Some(wake);
            self.plan(wake, whom, Due::Wake);
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let Some(to) = self.addresses.get(&to).copied() else { return };
        if self.rng.random_bool(self.loss) {
            return;
        }
        let delay = self.rng.random_range(self.delay_us.0..=self.delay_us.1);
        self.plan(self.now + Duration::from_micros(delay), to, Due::Datagram { from, bytes });
    }
}
