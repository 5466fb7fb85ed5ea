//! A group under one seed. Sockets and disks are all that is not real.
use super::load::{Load, Stopped};
use super::Options;
use crate::plan::Bound;
use crate::{cpu, Error};
use cluster_types::{MemberId, Time};
use consensus::{Action, Config, Event, Message, Node, Role, StoredState};
use message_auth::{Keys, Opener, Sealer, MAX_FRAME_BYTES};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, HashMap};

/// All start within so many microseconds.
const STARTS: u64 = 50_000;
/// How often is looked whether the play's time has passed, in events.
const LOOK: u64 = 4_096;

enum Due {
    Wake,
    Sealed(Vec<u8>),
    Written(u64),
}

/// A member, and what the host has for it.
struct Host {
    node: Node,
    sealer: Sealer,
    opener: Opener,
    /// When the disk has written all that it was given.
    written: u64,
    cpu_us: f64,
    sent_bytes: u64,
}

/// The group.
pub struct Group {
    now: u64,
    bound: Bound,
    rng: SmallRng,
    delay_us: (u64, u64),
    disk_us: (u64, u64),
    places: HashMap<MemberId, usize>,
    hosts: Vec<Host>,
    agenda: BTreeMap<(u64, u64), (usize, Due)>,
    planned: u64,
    steps: u64,
    messages: u64,
    bytes: u64,
    tickets: u64,
    committed: Option<u64>,
}

fn life(nth: usize) -> u64 {
    nth as u64 + 1
}

impl Group {
    /// So many members with empty stores.
    pub fn new(options: &Options, count: usize, seed: u64, bound: Bound) -> Result<Group, Error> {
        let names: Vec<MemberId> =
            (0..count).map(|n| MemberId::from(format!("front-{n:03}").as_str())).collect();
        let keys = Keys::new([9; 32], None);
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut host = |nth: usize| -> Result<Host, Error> {
            let (me, life) = (names[nth].clone(), life(nth));
            let config = Config::new(me.clone(), names.clone());
            let node = Node::new(config, StoredState::empty(life), Time(0), rng.random());
            let node = node.map_err(|e| Error::part("consensus", e))?;
            let sealer = Sealer::new(keys.clone(), me.clone(), life).with_max_bytes(MAX_FRAME_BYTES);
            let opener = Opener::new(keys.clone(), me).with_max_bytes(MAX_FRAME_BYTES);
            Ok(Host { node, sealer, opener, written: 0, cpu_us: 0.0, sent_bytes: 0 })
        };
        let hosts = (0..count).map(&mut host).collect::<Result<Vec<_>, _>>()?;
        let places = names.iter().cloned().enumerate().map(|(n, name)| (name, n)).collect();
        let (delay_us, disk_us) = ((options.delay_ms.0 * 1_000, options.delay_ms.1 * 1_000), options.disk_us);
        let (agenda, committed) = (BTreeMap::new(), None);
        let (now, planned, steps, messages, bytes, tickets) = (0, 0, 0, 0, 0, 0);
        let mut group = Group {
            now,
            bound,
            rng,
            delay_us,
            disk_us,
            places,
            hosts,
            agenda,
            planned,
            steps,
            messages,
            bytes,
            tickets,
            committed,
        };
        for n in 0..count {
            let at = group.rng.random_range(0..STARTS);
            group.plan(at, n, Due::Wake);
        }
        Ok(group)
    }

    /// The simulated time, in microseconds.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// What was said and done so far, with that one as the leader.
    pub fn load(&self, leader: usize) -> Load {
        Load {
            span_us: self.now,
            messages: self.messages,
            bytes: self.bytes,
            leader_bytes: self.hosts[leader].sent_bytes,
            leader_us: self.hosts[leader].cpu_us,
            all_us: self.hosts.iter().map(|h| h.cpu_us).sum(),
            followers: self.hosts.len() as f64 - 1.0,
        }
    }

    fn plan(&mut self, at: u64, whom: usize, due: Due) {
        self.planned += 1;
        self.agenda.insert((at.max(self.now), self.planned), (whom, due));
    }

    /// Does what is due next; false where that is later than the end, which is the time then.
    fn step(&mut self, end: u64) -> Result<bool, Stopped> {
        self.steps += 1;
        if self.steps.is_multiple_of(LOOK) && self.bound.passed() {
            return Err(Stopped::Passed(self.now));
        }
        let due = self.agenda.first_entry().filter(|next| next.key().0 <= end);
        let Some(((at, _), (whom, due))) = due.map(|next| next.remove_entry()) else {
            self.now = end;
            return Ok(false);
        };
        self.now = at;
        match due {
            Due::Wake if self.hosts[whom].node.next_wakeup().is_some_and(|wake| wake.0 <= at) => {
                self.give(whom, Event::Tick);
            }
            Due::Wake => {}
            Due::Written(batch) => self.give(whom, Event::Persisted { batch_id: batch }),
            Due::Sealed(bytes) => {
                let (event, took) = cpu::timed(|| self.hosts[whom].open(&bytes));
                self.hosts[whom].cpu_us += took;
                if let Some(event) = event {
                    self.give(whom, event);
                }
            }
        }
        Ok(true)
    }

    fn give(&mut self, whom: usize, event: Event) {
        let (now, host, mut out) = (self.now, &mut self.hosts[whom], Vec::new());
        let (wake, took) = cpu::timed(|| {
            host.node.handle(Time(now), event, &mut out);
            host.node.next_wakeup()
        });
        host.cpu_us += took;
        for action in out {
            match action {
                Action::Send { to, message } => self.send(whom, &to, &message),
                Action::Persist(batch) => {
                    let takes = self.rng.random_range(self.disk_us.0..=self.disk_us.1);
                    let at = self.hosts[whom].written.max(now) + takes;
                    self.hosts[whom].written = at;
                    self.plan(at, whom, Due::Written(batch.id));
                }
                Action::Committed { ticket, .. } if ticket == self.tickets => self.committed = Some(now),
                _ => {}
            }
        }
        if let Some(wake) = wake {
            self.plan(wake.0.max(now + 1), whom, Due::Wake);
        }
    }

    fn send(&mut self, from: usize, to: &MemberId, message: &Message) {
        let Some(there) = self.places.get(to).copied() else { return };
        let host = &mut self.hosts[from];
        let (sealed, took) = cpu::timed(|| host.seal(life(from), to, message));
        host.cpu_us += took;
        let Some(sealed) = sealed else { return };
        host.sent_bytes += sealed.len() as u64;
        self.messages += 1;
        self.bytes += sealed.len() as u64;
        let delay = self.rng.random_range(self.delay_us.0..=self.delay_us.1);
        self.plan(self.now + delay, there, Due::Sealed(sealed));
    }

    /// Runs up to that simulated time.
    pub fn run_to(&mut self, end: u64) -> Result<(), Stopped> {
        while self.step(end)? {}
        Ok(())
    }

    /// Runs for a drawn time, up to that.
    pub fn pause(&mut self, most: u64) -> Result<(), Stopped> {
        let span = self.rng.random_range(0..=most);
        self.run_to(self.now + span)
    }

    /// Runs until there is a leader with a lease, no longer than that; which it is.
    pub fn found(&mut self, within: u64) -> Result<usize, Stopped> {
        let end = self.now + within;
        loop {
            let now = Time(self.now);
            let leads = |h: &Host| h.node.role() == Role::Leader && h.node.lease_expiry(now).is_some();
            if let Some(leader) = self.hosts.iter().position(leads) {
                return Ok(leader);
            }
            if !self.step(end)? {
                return Err(Stopped::Unsettled("no leader", within));
            }
        }
    }

    /// Puts an entry into the log and runs until it is committed, no longer than that; how long it took.
    pub fn commit(&mut self, leader: usize, data: Vec<u8>, within: u64) -> Result<u64, Stopped> {
        let from = self.now;
        self.tickets += 1;
        self.committed = None;
        self.give(leader, Event::Propose { ticket: self.tickets, data: data.into() });
        loop {
            if let Some(at) = self.committed {
                return Ok(at - from);
            }
            if !self.step(from + within)? {
                return Err(Stopped::Unsettled("an entry is not committed", within));
            }
        }
    }
}

impl Host {
    /// A message as it goes over a link, but for the host's own frame round it.
    fn seal(&mut self, life: u64, to: &MemberId, message: &Message) -> Option<Vec<u8>> {
        let body = postcard::to_stdvec(&(life, message)).ok()?;
        self.sealer.seal(Some(to), &body).ok()
    }

    fn open(&mut self, bytes: &[u8]) -> Option<Event> {
        let opened = self.opener.open(bytes).ok()?;
        let (life, message) = postcard::from_bytes(&opened.body).ok()?;
        Some(Event::Message { from: opened.from, incarnation: life, message })
    }
}
