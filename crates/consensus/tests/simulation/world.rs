//! The simulated group, its network and its clients, driven by a queue of timed steps.
use crate::check::Check;
use crate::host::Host;
use crate::report::Report;
use crate::schedule::Schedule;
use consensus::{Event, Message};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

pub enum Step {
    Deliver { from: usize, incarnation: u64, to: usize, message: Message },
    Wakeup(usize),
    WriteDone { host: usize, start: u64, batch: u64 },
    Start(usize),
    Resume(usize),
    Fault(usize),
    DiskFaultEnds { host: usize, start: u64 },
    NetworkFaultEnds,
    RestoreLink { from: usize, to: usize },
    ClientRequest,
}

pub struct World<'a> {
    pub schedule: &'a Schedule,
    pub rng: SmallRng,
    pub now_us: u64,
    pub sequence: u64,
    /// The steps to come, by time in microseconds and sequence number.
    pub step_queue: BTreeMap<(u64, u64), Step>,
    pub hosts: Vec<Host>,
    /// The number of active cuts of each link, by sender and receiver.
    pub cut_links: BTreeMap<(usize, usize), u32>,
    /// Percentage of lost messages, percentage of duplicated ones, and the maximum delay in milliseconds.
    pub network_quality: (u32, u32, u64),
    pub lost_disks: BTreeSet<usize>,
    pub check: Check,
    /// Pending read barriers by ticket, with the index that each must include.
    pub pending_reads: BTreeMap<u64, u64>,
    pub last_ticket: u64,
    pub last_incarnation: u64,
    pub report: Report,
}

pub const RECOVERY_TIMEOUT_MS: u64 = 20_000;

impl World<'_> {
    pub fn run(schedule: &Schedule) -> Result<Report, String> {
        let mut rng = SmallRng::seed_from_u64(schedule.seed);
        let hosts = (0..schedule.members)
            .map(|id| Host::new(id, schedule.members, 1 + id as u64, rng.random_range(-30_000..=30_000)))
            .collect();
        let mut world = World {
            schedule,
            rng,
            now_us: 0,
            sequence: 0,
            step_queue: BTreeMap::new(),
            hosts,
            cut_links: BTreeMap::new(),
            network_quality: (0, 0, 3),
            lost_disks: BTreeSet::new(),
            check: Check::default(),
            pending_reads: BTreeMap::new(),
            last_ticket: 0,
            last_incarnation: schedule.members as u64,
            report: Report::default(),
        };
        for host in 0..schedule.members {
            let at = world.rng.random_range(0..50);
            world.schedule_in_ms(at, Step::Start(host));
        }
        for (index, fault) in schedule.faults.iter().enumerate() {
            world.schedule_in_ms(fault.at_ms, Step::Fault(index));
        }
        world.schedule_in_ms(10, Step::ClientRequest);
        world.run_until(schedule.limits.span_ms + 3_000)?;
        let acknowledged_before = world.check.acknowledged.len();
        let deadline_ms = world.now_us / 1000 + RECOVERY_TIMEOUT_MS;
        loop {
            world.run_until(world.now_us / 1000 + 1_000)?;
            match world.check_recovered(acknowledged_before) {
                Ok(()) => return Ok(world.report),
                Err(error) if world.now_us / 1000 >= deadline_ms => return Err(error),
                Err(_) => {}
            }
        }
    }

    pub fn schedule_in_ms(&mut self, delay_ms: u64, step: Step) {
        self.schedule_in_us(delay_ms * 1000, step);
    }

    pub fn schedule_in_us(&mut self, delay_us: u64, step: Step) {
        self.sequence += 1;
        self.step_queue.insert((self.now_us + delay_us, self.sequence), step);
    }

    fn run_until(&mut self, until_ms: u64) -> Result<(), String> {
        while let Some(next) = self.step_queue.first_entry() {
            if next.key().0 > until_ms * 1000 {
                break;
            }
            let ((now, _), step) = next.remove_entry();
            self.now_us = now;
            self.execute(step).map_err(|error| format!("at {} ms: {error}", self.now_us / 1000))?;
            self.report.steps += 1;
            let has_lease_holder = self
                .check
                .check_leases(&self.hosts, self.now_us)
                .map_err(|e| format!("at {} ms: {e}", now / 1000))?;
            self.report.leased_steps += u64::from(has_lease_holder);
        }
        self.now_us = until_ms * 1000;
        Ok(())
    }

    fn execute(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Deliver { from, incarnation, to, message } => {
                let from = self.hosts[from].config.own_id.clone();
                self.handle_event(to, Event::Message { from, incarnation, message })
            }
            Step::Wakeup(host) if self.hosts[host].wakeup_at_us == Some(self.now_us) => {
                self.handle_event(host, Event::Tick)
            }
            Step::Wakeup(_) => Ok(()),
            Step::WriteDone { host, start, batch } => self.complete_write(host, start, batch),
            Step::Start(host) => {
                let (now_us, clock_origin_us) = (self.now_us, self.rng.random_range(1..1 << 40));
                self.hosts[host].start(now_us, clock_origin_us)?;
                self.handle_event(host, Event::Tick)
            }
            Step::Resume(host) if self.hosts[host].paused_until_us == self.now_us => {
                let events = std::mem::take(&mut self.hosts[host].paused_events);
                events.into_iter().chain([Event::Tick]).try_for_each(|event| self.handle_event(host, event))
            }
            Step::Resume(_) => Ok(()),
            Step::Fault(index) => self.apply_fault(&self.schedule.faults[index].kind),
            Step::DiskFaultEnds { host, start } if self.hosts[host].start_count == start => {
                self.hosts[host].write_duration_us = 500;
                let failed = self.hosts[host].disk_failure.take().is_some();
                if failed {
                    self.handle_event(host, Event::StorageRecovered)
                } else {
                    Ok(())
                }
            }
            Step::DiskFaultEnds { .. } => Ok(()),
            Step::NetworkFaultEnds => {
                self.network_quality = (0, 0, 3);
                Ok(())
            }
            Step::RestoreLink { from, to } => {
                *self.cut_links.entry((from, to)).or_default() -= 1;
                Ok(())
            }
            Step::ClientRequest => self.send_client_request(),
        }
    }

    fn send_client_request(&mut self) -> Result<(), String> {
        // Occasionally the clients are idle for long. Members that are cut off miss no entries then, and may be elected.
        let is_idle = self.rng.random_bool(0.04);
        let wait_ms = if is_idle { self.rng.random_range(300..1_500) } else { self.rng.random_range(5..60) };
        self.schedule_in_ms(wait_ms, Step::ClientRequest);
        let mut host = self.rng.random_range(0..self.hosts.len());
        // Most requests go to the leader.
        let hint = self.hosts[host].node.as_ref().and_then(|n| n.leader());
        let leader = hint.and_then(|l| self.hosts.iter().position(|h| h.config.own_id == *l));
        if let Some(leader) = leader.filter(|_| self.rng.random_bool(0.7)) {
            host = leader;
        }
        self.last_ticket += 1;
        let ticket = self.last_ticket;
        if self.rng.random_bool(0.2) {
            let latest = self.check.applied.keys().next_back().copied().unwrap_or(0);
            self.pending_reads.insert(ticket, latest);
            return self.handle_event(host, Event::ReadBarrier { ticket });
        }
        let mut data = ticket.to_le_bytes().to_vec();
        data.resize(8 + self.rng.random_range(0..100), 7);
        self.handle_event(host, Event::Propose { ticket, data: data.into() })
    }

    fn complete_write(&mut self, host: usize, start: u64, batch: u64) -> Result<(), String> {
        let target = &mut self.hosts[host];
        if target.start_count != start || target.write_queue.front().is_none_or(|b| b.id != batch) {
            return Ok(());
        }
        if let Some(written) = target.disk_failure {
            let first = target.write_queue.drain(..).next();
            if let Some(first) = first.filter(|_| written) {
                target.stored.apply_batch(&first);
            }
            target.projected = target.stored.clone();
            return self.handle_event(host, Event::PersistFailed { batch_id: batch });
        }
        if let Some(written_batch) = target.write_queue.pop_front() {
            target.stored.apply_batch(&written_batch);
        }
        self.next_write(host);
        if self.lost_disks.contains(&host) && self.hosts[host].is_admitted(self.now_us) {
            self.lost_disks.remove(&host);
        }
        self.handle_event(host, Event::Persisted { batch_id: batch })
    }

    pub fn next_write(&mut self, host: usize) {
        let target = &self.hosts[host];
        let (start, write_duration_us) = (target.start_count, target.write_duration_us);
        if let Some(batch) = target.write_queue.front().map(|b| b.id) {
            self.schedule_in_us(write_duration_us, Step::WriteDone { host, start, batch });
        }
    }

    pub fn handle_event(&mut self, host: usize, event: Event) -> Result<(), String> {
        let now = self.now_us;
        let target = &mut self.hosts[host];
        if target.paused_until_us > now {
            if target.paused_events.len() < 300 {
                target.paused_events.push(event);
            }
            return Ok(());
        }
        let clock = target.clock_at(now);
        let Some(node) = &mut target.node else { return Ok(()) };
        let mut out = Vec::new();
        node.handle(clock, event, &mut out);
        for action in out {
            self.carry_out(host, action)?;
        }
        let target = &mut self.hosts[host];
        if !target.write_queue.is_empty() {
            if let Some((down_ms, loses_disk)) = target.kill_on_next_write.take() {
                self.kill(host, down_ms, loses_disk, 0);
                return Ok(());
            }
        }
        let wakeup =
            target.node.as_ref().and_then(|n| n.next_wakeup()).map(|w| target.true_time(w).max(now + 1));
        if wakeup != target.wakeup_at_us {
            target.wakeup_at_us = wakeup;
            if let Some(at) = wakeup {
                self.schedule_in_us(at - now, Step::Wakeup(host));
            }
        }
        Ok(())
    }
}
