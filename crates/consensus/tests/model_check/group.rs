//! Three members whose clocks move only so that every wait is over when it matters.
use cluster_types::{MemberId, Time};
use consensus::{Action, Batch, Config, Event, Message, Node, Role, Stored};
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::time::Duration;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Packet {
    pub from: usize,
    pub life: u64,
    pub to: usize,
    pub message: Message,
}

#[derive(Clone, Debug)]
pub struct Group {
    pub nodes: Vec<Node>,
    stored: Vec<Stored>,
    image: Vec<Stored>,
    pub queues: Vec<VecDeque<Batch>>,
    /// Whether batches are written at once, so that a search gets further.
    pub prompt: bool,
    clocks: Vec<Time>,
    pub net: Vec<Packet>,
    lives: u64,
    leaders: BTreeMap<u64, usize>,
    /// What was applied first at each index, and in which leader's term.
    applied: BTreeMap<u64, (u64, Vec<u8>, u64)>,
    pub spent: crate::model::Budget,
    pub fault: Option<String>,
}

const LONG: Duration = Duration::from_secs(10);

fn name(nth: usize) -> MemberId {
    MemberId::from(["a", "b", "c", "d", "e"][nth])
}

impl Group {
    /// All have started, and the founder is about to hear of all.
    pub fn heard(members: usize) -> Group {
        let stored: Vec<Stored> = (0..members).map(|nth| Stored::empty(nth as u64 + 1)).collect();
        let clocks = vec![Time(0); members];
        let nodes = (0..members).map(|nth| start(nth, &stored[nth], members, clocks[nth])).collect();
        let mut group = Group {
            nodes,
            image: stored.clone(),
            stored,
            queues: vec![VecDeque::new(); members],
            prompt: false,
            clocks,
            net: Vec::new(),
            lives: members as u64,
            leaders: BTreeMap::new(),
            applied: BTreeMap::new(),
            spent: Default::default(),
            fault: None,
        };
        (0..members).for_each(|nth| group.give(nth, Event::Tick));
        group
    }

    /// Delivers and writes in order among those until it is so, or nothing is left.
    pub fn settle(&mut self, among: &[usize], until: impl Fn(&Group) -> bool) {
        while !until(self) {
            let inside = |p: &Packet| among.contains(&p.from) && among.contains(&p.to);
            if let Some(nth) = among.iter().find(|n| !self.queues[**n].is_empty()) {
                self.persist(*nth);
            } else if let Some(place) = self.net.iter().position(inside) {
                self.deliver(place);
            } else {
                return;
            }
        }
    }

    /// One stands and is voted for, but does not know it yet; the others hear of nothing.
    pub fn campaign(&mut self, nth: usize, voter: usize) {
        self.timeout(nth);
        self.settle(&[nth, voter], |g| {
            g.net.iter().any(|p| matches!(p.message, Message::Voted { pre: false, .. }))
        });
        self.net.retain(|p| matches!(p.message, Message::Voted { pre: false, .. }));
    }

    pub fn deliver(&mut self, place: usize) {
        let Packet { from, life, to, message } = self.net.remove(place);
        if matches!(message, Message::Vote { .. } | Message::PreVote { .. }) {
            self.clocks[to] = self.clocks[to] + LONG;
        }
        self.give(to, Event::Message { from: name(from), life, message });
    }

    pub fn deliver_and_die(&mut self, place: usize) {
        let to = self.net[place].to;
        self.prompt = false;
        self.deliver(place);
        self.prompt = true;
        self.crash(to, 0, false);
    }

    pub fn timeout(&mut self, nth: usize) {
        self.clocks[nth] = self.clocks[nth] + LONG;
        self.give(nth, Event::Tick);
    }

    /// A leader's next heartbeat.
    pub fn beat(&mut self, nth: usize) {
        self.clocks[nth] = self.clocks[nth] + Duration::from_millis(100);
        self.give(nth, Event::Tick);
    }

    pub fn propose(&mut self, nth: usize) {
        let data = vec![self.applied.len() as u8, nth as u8];
        self.give(nth, Event::Propose { ticket: 1, data: data.into() });
    }

    pub fn persist(&mut self, nth: usize) {
        if let Some(batch) = self.queues[nth].pop_front() {
            self.stored[nth].write(&batch);
            self.give(nth, Event::Persisted { batch: batch.id });
        }
    }

    /// Stops and starts, with so many of the waiting batches on disk, or with a new one.
    pub fn crash(&mut self, nth: usize, written: usize, lose: bool) {
        for batch in std::mem::take(&mut self.queues[nth]).into_iter().take(written) {
            self.stored[nth].write(&batch);
        }
        if lose {
            self.lives += 1;
            self.stored[nth] = Stored::empty(self.lives);
        }
        self.image[nth] = self.stored[nth].clone();
        self.nodes[nth] = start(nth, &self.stored[nth], self.nodes.len(), self.clocks[nth]);
        self.give(nth, Event::Tick);
    }

    fn give(&mut self, nth: usize, event: Event) {
        let mut out = Vec::new();
        self.nodes[nth].handle(self.clocks[nth], event, &mut out);
        for action in out {
            match action {
                Action::Send { to, message } => {
                    let to = (0..self.nodes.len()).find(|n| name(*n) == to).unwrap();
                    let packet = Packet { from: nth, life: self.stored[nth].life, to, message };
                    if !self.net.contains(&packet) {
                        self.net.push(packet);
                    }
                }
                Action::Persist(batch) => {
                    self.image[nth].write(&batch);
                    self.queues[nth].push_back(batch);
                }
                Action::Role { role: Role::Leader, term, .. } => self.elected(nth, term),
                Action::Apply { index, term, data } => {
                    let leads_in = self.nodes[nth].role().1;
                    let first =
                        self.applied.entry(index.0).or_insert_with(|| (term, data.to_vec(), leads_in));
                    if (first.0, first.1.as_slice()) != (term, &data[..]) {
                        self.fault = Some(format!("two entries are applied at {}", index.0));
                    }
                }
                _ => {}
            }
        }
        while self.prompt && !self.queues[nth].is_empty() {
            self.persist(nth);
        }
        // Pre-votes promise nothing; a search gets further where they are no steps of their own.
        let asks =
            |p: &Packet| matches!(p.message, Message::PreVote { .. } | Message::Voted { pre: true, .. });
        while let Some(place) = self.net.iter().position(asks) {
            self.deliver(place);
        }
    }

    fn elected(&mut self, nth: usize, term: u64) {
        if *self.leaders.entry(term).or_insert(nth) != nth {
            self.fault = Some(format!("two lead in term {term}"));
        }
        for (index, (of, _, committed)) in &self.applied {
            let there = self.image[nth].entries.iter().find(|e| e.index.0 == *index);
            if *committed < term && there.map(|e| e.term) != Some(*of) {
                self.fault = Some(format!("a leader of term {term} lacks entry {index}"));
            }
        }
    }
}

fn start(nth: usize, stored: &Stored, members: usize, now: Time) -> Node {
    // Entries go one by one, so that a follower may have any part of a log.
    let config = Config { batch_entries: 1, ..Config::new(name(nth), (0..members).map(name).collect()) };
    Node::new(config, stored.clone(), now, 0).unwrap()
}

impl Hash for Group {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.nodes.iter().for_each(|n| n.fingerprint(state));
        (&self.stored, &self.leaders, &self.applied, &self.spent).hash(state);
        for queue in &self.queues {
            queue.len().hash(state);
            queue.iter().for_each(|b| (&b.hard, &b.append, &b.snapshot).hash(state));
        }
        // The order of what is under way does not matter.
        let sums = self.net.iter().map(|packet| {
            let mut one = std::collections::hash_map::DefaultHasher::new();
            packet.hash(&mut one);
            one.finish()
        });
        sums.fold(0_u64, u64::wrapping_add).hash(state);
    }
}

impl PartialEq for Group {
    fn eq(&self, other: &Group) -> bool {
        let sum = |group: &Group| {
            let mut all = std::collections::hash_map::DefaultHasher::new();
            group.hash(&mut all);
            all.finish()
        };
        sum(self) == sum(other)
    }
}
