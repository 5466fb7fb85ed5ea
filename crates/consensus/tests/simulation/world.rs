//! The group, its network and its faults, in simulated time.
use crate::check::Check;
use crate::host::Host;
use crate::report::Report;
use crate::schedule::Schedule;
use consensus::{Event, Message};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

pub enum Step {
    Packet { from: usize, incarnation: u64, to: usize, message: Message },
    Wake(usize),
    Disk { host: usize, start: u64, batch: u64 },
    Start(usize),
    Resume(usize),
    Fault(usize),
    DiskEnds { host: usize, start: u64 },
    NetEnds,
    Mend { from: usize, to: usize },
    Client,
}

pub struct World<'a> {
    pub schedule: &'a Schedule,
    pub rng: SmallRng,
    pub now: u64,
    pub seq: u64,
    pub agenda: BTreeMap<(u64, u64), Step>,
    pub hosts: Vec<Host>,
    /// Cut links by sender and receiver, with how often each was cut.
    pub cuts: BTreeMap<(usize, usize), u32>,
    pub net: (u32, u32, u64),
    pub lost: BTreeSet<usize>,
    pub check: Check,
    pub reads: BTreeMap<u64, u64>,
    pub tickets: u64,
    pub incarnations: u64,
    pub report: Report,
}

pub const QUIET_MS: u64 = 20_000;

impl World<'_> {
    pub fn run(schedule: &Schedule) -> Result<Report, String> {
        let mut rng = SmallRng::seed_from_u64(schedule.seed);
        let hosts = (0..schedule.members)
            .map(|me| Host::new(me, schedule.members, 1 + me as u64, rng.random_range(-30_000..=30_000)))
            .collect();
        let mut world = World {
            schedule,
            rng,
            now: 0,
            seq: 0,
            agenda: BTreeMap::new(),
            hosts,
            cuts: BTreeMap::new(),
            net: (0, 0, 3),
            lost: BTreeSet::new(),
            check: Check::default(),
            reads: BTreeMap::new(),
            tickets: 0,
            incarnations: schedule.members as u64,
            report: Report::default(),
        };
        for host in 0..schedule.members {
            let at = world.rng.random_range(0..50);
            world.plan(at, Step::Start(host));
        }
        for (nth, fault) in schedule.faults.iter().enumerate() {
            world.plan(fault.at_ms, Step::Fault(nth));
        }
        world.plan(10, Step::Client);
        world.play(schedule.limits.span_ms + 3_000)?;
        let before = world.check.acked.len();
        let until = world.now / 1000 + QUIET_MS;
        loop {
            world.play(world.now / 1000 + 1_000)?;
            match world.settled(before) {
                Ok(()) => return Ok(world.report),
                Err(why) if world.now / 1000 >= until => return Err(why),
                Err(_) => {}
            }
        }
    }

    pub fn plan(&mut self, in_ms: u64, what: Step) {
        self.plan_us(in_ms * 1000, what);
    }

    pub fn plan_us(&mut self, in_us: u64, what: Step) {
        self.seq += 1;
        self.agenda.insert((self.now + in_us, self.seq), what);
    }

    fn play(&mut self, until_ms: u64) -> Result<(), String> {
        while let Some(next) = self.agenda.first_entry() {
            if next.key().0 > until_ms * 1000 {
                break;
            }
            let ((now, _), what) = next.remove_entry();
            self.now = now;
            self.step(what).map_err(|why| format!("at {} ms: {why}", self.now / 1000))?;
            self.report.steps += 1;
            let leased =
                self.check.leases(&self.hosts, self.now).map_err(|e| format!("at {} ms: {e}", now / 1000))?;
            self.report.leased_steps += u64::from(leased);
        }
        self.now = until_ms * 1000;
        Ok(())
    }

    fn step(&mut self, what: Step) -> Result<(), String> {
        match what {
            Step::Packet { from, incarnation, to, message } => {
                let from = self.hosts[from].config.me.clone();
                self.give(to, Event::Message { from, incarnation, message })
            }
            Step::Wake(host) if self.hosts[host].wake_at == Some(self.now) => self.give(host, Event::Tick),
            Step::Wake(_) => Ok(()),
            Step::Disk { host, start, batch } => self.disk(host, start, batch),
            Step::Start(host) => {
                let (now, origin) = (self.now, self.rng.random_range(1..1 << 40));
                self.hosts[host].start(now, origin)?;
                self.give(host, Event::Tick)
            }
            Step::Resume(host) if self.hosts[host].paused_until == self.now => {
                let events = std::mem::take(&mut self.hosts[host].inbox);
                events.into_iter().chain([Event::Tick]).try_for_each(|event| self.give(host, event))
            }
            Step::Resume(_) => Ok(()),
            Step::Fault(nth) => self.fault(&self.schedule.faults[nth].kind),
            Step::DiskEnds { host, start } if self.hosts[host].start_count == start => {
                self.hosts[host].takes_us = 500;
                let failed = self.hosts[host].failing.take().is_some();
                if failed {
                    self.give(host, Event::StorageRecovered)
                } else {
                    Ok(())
                }
            }
            Step::DiskEnds { .. } => Ok(()),
            Step::NetEnds => {
                self.net = (0, 0, 3);
                Ok(())
            }
            Step::Mend { from, to } => {
                *self.cuts.entry((from, to)).or_default() -= 1;
                Ok(())
            }
            Step::Client => self.client(),
        }
    }

    fn client(&mut self) -> Result<(), String> {
        // Now and then the clients are idle for long: members that were cut off then miss nothing, and may be elected.
        let idle = self.rng.random_bool(0.04);
        let wait = if idle { self.rng.random_range(300..1_500) } else { self.rng.random_range(5..60) };
        self.plan(wait, Step::Client);
        let mut host = self.rng.random_range(0..self.hosts.len());
        // Most clients know the leader.
        let hint = self.hosts[host].node.as_ref().and_then(|n| n.leader());
        let leader = hint.and_then(|l| self.hosts.iter().position(|h| h.config.me == *l));
        if let Some(leader) = leader.filter(|_| self.rng.random_bool(0.7)) {
            host = leader;
        }
        self.tickets += 1;
        let ticket = self.tickets;
        if self.rng.random_bool(0.2) {
            let latest = self.check.applied.keys().next_back().copied().unwrap_or(0);
            self.reads.insert(ticket, latest);
            return self.give(host, Event::ReadBarrier { ticket });
        }
        let mut data = ticket.to_le_bytes().to_vec();
        data.resize(8 + self.rng.random_range(0..100), 7);
        self.give(host, Event::Propose { ticket, data: data.into() })
    }

    fn disk(&mut self, host: usize, start: u64, batch: u64) -> Result<(), String> {
        let there = &mut self.hosts[host];
        if there.start_count != start || there.queue.front().is_none_or(|b| b.id != batch) {
            return Ok(());
        }
        if let Some(written) = there.failing {
            let first = there.queue.drain(..).next();
            if let Some(first) = first.filter(|_| written) {
                there.stored.apply_batch(&first);
            }
            there.image = there.stored.clone();
            return self.give(host, Event::PersistFailed { batch_id: batch });
        }
        if let Some(done) = there.queue.pop_front() {
            there.stored.apply_batch(&done);
        }
        self.next_write(host);
        if self.lost.contains(&host) && self.hosts[host].is_admitted(self.now) {
            self.lost.remove(&host);
        }
        self.give(host, Event::Persisted { batch_id: batch })
    }

    pub fn next_write(&mut self, host: usize) {
        let there = &self.hosts[host];
        let (start, takes) = (there.start_count, there.takes_us);
        if let Some(batch) = there.queue.front().map(|b| b.id) {
            self.plan_us(takes, Step::Disk { host, start, batch });
        }
    }

    pub fn give(&mut self, host: usize, event: Event) -> Result<(), String> {
        let now = self.now;
        let there = &mut self.hosts[host];
        if there.paused_until > now {
            if there.inbox.len() < 300 {
                there.inbox.push(event);
            }
            return Ok(());
        }
        let clock = there.clock(now);
        let Some(node) = &mut there.node else { return Ok(()) };
        let mut out = Vec::new();
        node.handle(clock, event, &mut out);
        for action in out {
            self.act(host, action)?;
        }
        let there = &mut self.hosts[host];
        if !there.queue.is_empty() {
            if let Some((down_ms, lose)) = there.armed.take() {
                self.kill(host, down_ms, lose, 0);
                return Ok(());
            }
        }
        let wake = there.node.as_ref().and_then(|n| n.next_wakeup()).map(|w| there.when(w).max(now + 1));
        if wake != there.wake_at {
            there.wake_at = wake;
            if let Some(at) = wake {
                self.plan_us(at - now, Step::Wake(host));
            }
        }
        Ok(())
    }
}
