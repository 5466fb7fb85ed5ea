//! A network of members under one seed. Only sockets are simulated.
use super::usage::{StopReason, Usage};
use super::Options;
use crate::plan::Deadline;
use crate::{cpu_time, Error};
use ::membership::{Action, Event, MemberState, Membership, Seed, Settings};
use cluster_types::{MemberId, Time};
use message_auth::Keys;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// Port at which members receive datagrams.
const PORT: u16 = 7_000;
/// Distance between the incarnations of successive processes of a member.
const INCARNATION_STEP: u64 = 1 << 20;
/// Zones over which members are spread.
const ZONES: usize = 12;
/// All members start within this many microseconds.
const START_SPREAD_US: u64 = 1_000_000;
/// Number of events between checks of the real-time limit.
const CHECK_INTERVAL: u64 = 4_096;

enum SimEvent {
    Start,
    Wake,
    Datagram { from: usize, bytes: Vec<u8> },
}

/// The simulated network.
pub struct SimNetwork {
    now: Time,
    deadline: Deadline,
    rng: SmallRng,
    loss: f64,
    delay_us: (u64, u64),
    keys: Keys,
    settings: Vec<Settings>,
    addresses: HashMap<SocketAddr, usize>,
    members: Vec<Option<Membership>>,
    wakeups: Vec<Option<Time>>,
    event_queue: BTreeMap<(Time, u64), (usize, SimEvent)>,
    event_sequence: u64,
    steps: u64,
    running: usize,
    /// Usage so far.
    usage: Usage,
    /// The tracked member, and the indices of members that see it as live.
    tracked: Option<(MemberId, BTreeSet<usize>)>,
}

impl SimNetwork {
    /// Creates `count` members, each configured with all of them as seeds, which start within a second.
    pub fn new(options: &Options, count: usize, seed: u64, deadline: Deadline) -> Result<SimNetwork, Error> {
        let address = |n: usize| SocketAddr::from((Ipv4Addr::from(0x0a00_0001 + n as u32), PORT));
        let seed_entry = |n: usize| Seed {
            member: MemberId::from(format!("front-{n:04}").as_str()),
            zone: format!("zone-{:02}", n % ZONES).as_str().into(),
            address: address(n),
        };
        let all: Vec<Seed> = (0..count).map(seed_entry).collect();
        let member_settings = |me: &Seed| {
            let defaults = Settings::new(me.clone(), INCARNATION_STEP, all.clone());
            Settings {
                bytes_per_second: options.bytes_s,
                max_members: defaults.max_members.max(count.saturating_sub(1)),
                ..defaults
            }
        };
        let settings: Vec<Settings> = all.iter().map(member_settings).collect();
        settings.iter().try_for_each(Settings::validate).map_err(|e| Error::component("members", e))?;
        let mut network = SimNetwork {
            now: Time(0),
            deadline,
            rng: SmallRng::seed_from_u64(seed),
            loss: options.loss,
            delay_us: (options.delay_ms.0 * 1_000, options.delay_ms.1 * 1_000),
            keys: Keys::new([9; 32], None),
            settings,
            addresses: (0..count).map(|n| (address(n), n)).collect(),
            members: (0..count).map(|_| None).collect(),
            wakeups: vec![None; count],
            event_queue: BTreeMap::new(),
            event_sequence: 0,
            steps: 0,
            running: 0,
            usage: Usage::default(),
            tracked: None,
        };
        for n in 0..count {
            let at = Time(network.rng.random_range(0..START_SPREAD_US));
            network.schedule(at, n, SimEvent::Start);
        }
        Ok(network)
    }

    /// The simulated time.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Draws a random member.
    pub fn random_member(&mut self) -> usize {
        self.rng.random_range(0..self.members.len())
    }

    fn schedule(&mut self, at: Time, target: usize, event: SimEvent) {
        self.event_sequence += 1;
        self.event_queue.insert((at, self.event_sequence), (target, event));
    }

    /// Starts a member's process, with an incarnation above the earlier ones.
    pub fn start_member(&mut self, index: usize) -> Result<(), Error> {
        let settings = &mut self.settings[index];
        settings.incarnation += INCARNATION_STEP;
        let members = Membership::new(settings.clone(), self.keys.clone(), self.now, self.rng.random());
        self.members[index] = Some(members.map_err(|e| Error::component("members", e))?);
        self.running += 1;
        self.deliver(index, Event::Tick);
        Ok(())
    }

    /// Stops a member's process without notifying the others.
    pub fn stop_member(&mut self, index: usize) {
        self.running -= usize::from(self.members[index].take().is_some());
        self.wakeups[index] = None;
    }

    /// Usage so far.
    pub fn usage(&self) -> Usage {
        self.usage
    }

    /// Whether all members have started and agree on one view with all members alive.
    pub fn has_converged(&self) -> bool {
        let Some(first) = self.members.iter().flatten().next().filter(|_| self.running == self.members.len())
        else {
            return false;
        };
        let digest = first.digest();
        let alive = || {
            first.view().iter().filter(|m| m.state == MemberState::Alive && m.base_incarnation > 0).count()
        };
        self.members.iter().flatten().all(|other| other.digest() == digest) && alive() == self.running
    }

    /// Runs until all others see a member as live, or as not live, at most for the given time; returns the time taken.
    pub fn run_until_known(
        &mut self,
        index: usize,
        is_live: bool,
        limit: Duration,
    ) -> Result<Option<Duration>, StopReason> {
        let (from, name) = (self.now, self.settings[index].me.member.clone());
        let sees_live = |members: &Membership| {
            members.view().iter().any(|m| m.member == name && m.state.is_live() && m.base_incarnation > 0)
        };
        let others = |network: &SimNetwork| -> Vec<usize> {
            (0..network.members.len()).filter(|n| *n != index && network.members[*n].is_some()).collect()
        };
        let aware = others(self).into_iter().filter(|n| self.members[*n].as_ref().is_some_and(sees_live));
        let aware: BTreeSet<usize> = aware.collect();
        let wanted = if is_live { others(self).len() } else { 0 };
        self.tracked = Some((name, aware));
        while self.tracked.as_ref().is_some_and(|(_, aware)| aware.len() != wanted) {
            if !self.step(from + limit)? {
                self.tracked = None;
                return Ok(None);
            }
        }
        self.tracked = None;
        Ok(Some(self.now.since(from)))
    }

    /// Runs for the given span of simulated time.
    pub fn advance(&mut self, span: Duration) -> Result<(), StopReason> {
        let end = self.now + span;
        while self.step(end)? {}
        Ok(())
    }

    /// Processes the next scheduled event. Returns false, with the clock at `end`, if there is none before that.
    fn step(&mut self, end: Time) -> Result<bool, StopReason> {
        self.steps += 1;
        if self.steps.is_multiple_of(CHECK_INTERVAL) && self.deadline.has_passed() {
            return Err(StopReason(self.now.since(Time(0))));
        }
        let next = self.event_queue.first_key_value().map(|((at, _), _)| *at).filter(|at| *at <= end);
        let Some(at) = next else {
            self.advance_to(end);
            return Ok(false);
        };
        self.advance_to(at.max(self.now));
        let Some((_, (target, event))) = self.event_queue.pop_first() else { return Ok(false) };
        match event {
            SimEvent::Start if self.members[target].is_none() => {
                // The settings have been validated already.
                let _ = self.start_member(target);
            }
            SimEvent::Start => {}
            SimEvent::Wake if self.wakeups[target] == Some(at) => {
                self.wakeups[target] = None;
                self.deliver(target, Event::Tick);
            }
            SimEvent::Wake => {}
            SimEvent::Datagram { from, bytes } => {
                let from = self.settings[from].me.address;
                self.deliver(target, Event::Datagram { from, bytes });
            }
        }
        Ok(true)
    }

    fn advance_to(&mut self, to: Time) {
        self.usage.member_seconds += self.running as f64 * to.since(self.now).as_secs_f64();
        self.now = to;
    }

    fn deliver(&mut self, target: usize, event: Event) {
        let Some(member) = &mut self.members[target] else { return };
        let (now, before, mut out) = (self.now, *member.counters(), Vec::new());
        let ((), took) = cpu_time::measure(|| member.handle(now, event, &mut out));
        let (after, wake) = (*member.counters(), member.wake());
        self.usage.cpu_us += took;
        self.usage.messages += after.datagrams_sent - before.datagrams_sent;
        self.usage.bytes += after.bytes_sent - before.bytes_sent;
        for action in out {
            match action {
                Action::Send { to, bytes } => self.send(target, to, bytes),
                Action::MemberChanged { member, state, .. } => match &mut self.tracked {
                    Some((tracked, aware)) if *tracked == member && state.is_live() => {
                        aware.insert(target);
                    }
                    Some((tracked, aware)) if *tracked == member => {
                        aware.remove(&target);
                    }
                    _ => {}
                },
                Action::ClaimsChanged(_) => {}
            }
        }
        let Some(wake) = wake.map(|wake| wake.max(now)) else { return };
        if self.wakeups[target].is_none_or(|scheduled| scheduled != wake) {
            self.wakeups[target] = Some(wake);
            self.schedule(wake, target, SimEvent::Wake);
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let Some(to) = self.addresses.get(&to).copied() else { return };
        if self.rng.random_bool(self.loss) {
            return;
        }
        let delay = self.rng.random_range(self.delay_us.0..=self.delay_us.1);
        self.schedule(self.now + Duration::from_micros(delay), to, SimEvent::Datagram { from, bytes });
    }
}
