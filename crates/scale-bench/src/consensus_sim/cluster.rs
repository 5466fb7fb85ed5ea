//! A simulated cluster under one seed. Only sockets and disks are simulated.
use super::usage::{StopReason, Usage};
use super::Options;
use crate::plan::Deadline;
use crate::{cpu_time, Error};
use cluster_types::{MemberId, Time};
use consensus::{Action, Config, Event, Message, Node, Role, StoredState};
use message_auth::{Keys, Opener, Sealer, MAX_FRAME_BYTES};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap};

/// All members start within this many microseconds.
const START_SPREAD_US: u64 = 50_000;
/// Number of events between checks of the real-time limit.
const CHECK_INTERVAL: u64 = 4_096;

enum SimEvent {
    Wake,
    Sealed(Vec<u8>),
    Written(u64),
}

/// A member with its host's state.
struct MemberHost {
    node: Node,
    sealer: Sealer,
    opener: Opener,
    /// When the disk completes all writes submitted so far.
    write_done_at: u64,
    cpu_us: f64,
    sent_bytes: u64,
}

/// The simulated cluster.
pub struct SimCluster {
    now: u64,
    deadline: Deadline,
    rng: SmallRng,
    delay_us: (u64, u64),
    disk_us: (u64, u64),
    member_indices: HashMap<MemberId, usize>,
    hosts: Vec<MemberHost>,
    event_queue: BTreeMap<(u64, u64), (usize, SimEvent)>,
    event_sequence: u64,
    steps: u64,
    messages: u64,
    bytes: u64,
    last_ticket: u64,
    committed_at: Option<u64>,
}

fn incarnation(index: usize) -> u64 {
    index as u64 + 1
}

impl SimCluster {
    /// Creates the given number of members with empty stores.
    pub fn new(options: &Options, count: usize, seed: u64, deadline: Deadline) -> Result<SimCluster, Error> {
        let names: Vec<MemberId> =
            (0..count).map(|n| MemberId::from(format!("front-{n:03}").as_str())).collect();
        let keys = Keys::new([9; 32], None);
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut host = |index: usize| -> Result<MemberHost, Error> {
            let (me, incarnation) = (names[index].clone(), incarnation(index));
            let config = Config::new(me.clone(), names.clone());
            let node = Node::new(config, StoredState::empty(incarnation), Time(0), rng.random());
            let node = node.map_err(|e| Error::component("consensus", e))?;
            let sealer = Sealer::new(keys.clone(), me.clone(), incarnation).with_max_bytes(MAX_FRAME_BYTES);
            let opener = Opener::new(keys.clone(), me).with_max_bytes(MAX_FRAME_BYTES);
            Ok(MemberHost { node, sealer, opener, write_done_at: 0, cpu_us: 0.0, sent_bytes: 0 })
        };
        let hosts = (0..count).map(&mut host).collect::<Result<Vec<_>, _>>()?;
        let member_indices = names.iter().cloned().enumerate().map(|(n, name)| (name, n)).collect();
        let (delay_us, disk_us) = ((options.delay_ms.0 * 1_000, options.delay_ms.1 * 1_000), options.disk_us);
        let (event_queue, committed_at) = (BTreeMap::new(), None);
        let (now, event_sequence, steps, messages, bytes, last_ticket) = (0, 0, 0, 0, 0, 0);
        let mut cluster = SimCluster {
            now,
            deadline,
            rng,
            delay_us,
            disk_us,
            member_indices,
            hosts,
            event_queue,
            event_sequence,
            steps,
            messages,
            bytes,
            last_ticket,
            committed_at,
        };
        for n in 0..count {
            let at = cluster.rng.random_range(0..START_SPREAD_US);
            cluster.schedule(at, n, SimEvent::Wake);
        }
        Ok(cluster)
    }

    /// The simulated time, in microseconds.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// Usage so far, with the given member as leader.
    pub fn usage(&self, leader: usize) -> Usage {
        Usage {
            span_us: self.now,
            messages: self.messages,
            bytes: self.bytes,
            leader_bytes: self.hosts[leader].sent_bytes,
            leader_us: self.hosts[leader].cpu_us,
            all_us: self.hosts.iter().map(|h| h.cpu_us).sum(),
            followers: self.hosts.len() as f64 - 1.0,
        }
    }

    fn schedule(&mut self, at: u64, target: usize, event: SimEvent) {
        self.event_sequence += 1;
        self.event_queue.insert((at.max(self.now), self.event_sequence), (target, event));
    }

    /// Processes the next scheduled event. Returns false, with the clock at `end`, if there is none before that.
    fn step(&mut self, end: u64) -> Result<bool, StopReason> {
        self.steps += 1;
        if self.steps.is_multiple_of(CHECK_INTERVAL) && self.deadline.has_passed() {
            return Err(StopReason::DeadlinePassed(self.now));
        }
        let event = self.event_queue.first_entry().filter(|next| next.key().0 <= end);
        let Some(((at, _), (target, event))) = event.map(|next| next.remove_entry()) else {
            self.now = end;
            return Ok(false);
        };
        self.now = at;
        match event {
            SimEvent::Wake if self.hosts[target].node.next_wakeup().is_some_and(|wake| wake.0 <= at) => {
                self.deliver(target, Event::Tick);
            }
            SimEvent::Wake => {}
            SimEvent::Written(batch) => self.deliver(target, Event::Persisted { batch_id: batch }),
            SimEvent::Sealed(bytes) => {
                let (event, took) = cpu_time::measure(|| self.hosts[target].open(&bytes));
                self.hosts[target].cpu_us += took;
                if let Some(event) = event {
                    self.deliver(target, event);
                }
            }
        }
        Ok(true)
    }

    fn deliver(&mut self, target: usize, event: Event) {
        let (now, host, mut out) = (self.now, &mut self.hosts[target], Vec::new());
        let (wake, took) = cpu_time::measure(|| {
            host.node.handle(Time(now), event, &mut out);
            host.node.next_wakeup()
        });
        host.cpu_us += took;
        for action in out {
            match action {
                Action::Send { to, message } => self.send(target, &to, &message),
                Action::Persist(batch) => {
                    let write_time = self.rng.random_range(self.disk_us.0..=self.disk_us.1);
                    let at = self.hosts[target].write_done_at.max(now) + write_time;
                    self.hosts[target].write_done_at = at;
                    self.schedule(at, target, SimEvent::Written(batch.id));
                }
                Action::Committed { ticket, .. } if ticket == self.last_ticket => {
                    self.committed_at = Some(now)
                }
                _ => {}
            }
        }
        if let Some(wake) = wake {
            self.schedule(wake.0.max(now + 1), target, SimEvent::Wake);
        }
    }

    fn send(&mut self, from: usize, to: &MemberId, message: &Message) {
        let Some(receiver) = self.member_indices.get(to).copied() else { return };
        let host = &mut self.hosts[from];
        let (sealed, took) = cpu_time::measure(|| host.seal(incarnation(from), to, message));
        host.cpu_us += took;
        let Some(sealed) = sealed else { return };
        host.sent_bytes += sealed.len() as u64;
        self.messages += 1;
        self.bytes += sealed.len() as u64;
        let delay = self.rng.random_range(self.delay_us.0..=self.delay_us.1);
        self.schedule(self.now + delay, receiver, SimEvent::Sealed(sealed));
    }

    /// Runs up to the given simulated time.
    pub fn run_to(&mut self, end: u64) -> Result<(), StopReason> {
        while self.step(end)? {}
        Ok(())
    }

    /// Runs for a random time of at most `max_us`.
    pub fn pause(&mut self, max_us: u64) -> Result<(), StopReason> {
        let span = self.rng.random_range(0..=max_us);
        self.run_to(self.now + span)
    }

    /// Runs until there is a leader with a lease, at most for the given time; returns its index.
    pub fn run_until_leader(&mut self, limit_us: u64) -> Result<usize, StopReason> {
        let end = self.now + limit_us;
        loop {
            let now = Time(self.now);
            let leads = |h: &MemberHost| h.node.role() == Role::Leader && h.node.lease_expiry(now).is_some();
            if let Some(leader) = self.hosts.iter().position(leads) {
                return Ok(leader);
            }
            if !self.step(end)? {
                return Err(StopReason::TimedOut("no leader", limit_us));
            }
        }
    }

    /// Puts an entry into the log and runs until it is committed, at most for the given time; returns the time taken.
    pub fn commit(&mut self, leader: usize, data: Vec<u8>, limit_us: u64) -> Result<u64, StopReason> {
        let from = self.now;
        self.last_ticket += 1;
        self.committed_at = None;
        self.deliver(leader, Event::Propose { ticket: self.last_ticket, data: data.into() });
        loop {
            if let Some(at) = self.committed_at {
                return Ok(at - from);
            }
            if !self.step(from + limit_us)? {
                return Err(StopReason::TimedOut("an entry was not committed", limit_us));
            }
        }
    }
}

impl MemberHost {
    /// Seals a message as it is sent over a link, without the host's own frame around it.
    fn seal(&mut self, incarnation: u64, to: &MemberId, message: &Message) -> Option<Vec<u8>> {
        let body = postcard::to_stdvec(&(incarnation, message)).ok()?;
        self.sealer.seal(Some(to), &body).ok()
    }

    fn open(&mut self, bytes: &[u8]) -> Option<Event> {
        let opened = self.opener.open(bytes).ok()?;
        let (incarnation, message) = postcard::from_bytes(&opened.body).ok()?;
        Some(Event::Message { from: opened.from, incarnation, message })
    }
}
