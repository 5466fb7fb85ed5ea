//! Three members whose clocks move only so that every timeout has passed when it matters.
use cluster_types::{MemberId, Time};
use consensus::{Action, Config, Event, Message, Node, Role, StoredState, VoteResponse, WriteBatch};
use std::collections::{BTreeMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::time::Duration;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Packet {
    pub from: usize,
    pub incarnation: u64,
    pub to: usize,
    pub message: Message,
}

#[derive(Clone, Debug)]
pub struct Group {
    pub nodes: Vec<Node>,
    stored: Vec<StoredState>,
    image: Vec<StoredState>,
    pub queues: Vec<VecDeque<WriteBatch>>,
    /// Whether batches are written at once, so that the search gets further.
    pub writes_at_once: bool,
    clocks: Vec<Time>,
    pub network: Vec<Packet>,
    incarnations: u64,
    leaders: BTreeMap<u64, usize>,
    /// What was applied first at each index, and in which leader's term.
    applied: BTreeMap<u64, (u64, Vec<u8>, u64)>,
    pub spent: crate::model::Budget,
    pub violation: Option<String>,
}

/// Longer than every timeout.
const LONG: Duration = Duration::from_secs(10);

fn name(nth: usize) -> MemberId {
    MemberId::from(["a", "b", "c", "d", "e"][nth])
}

impl Group {
    /// All have started, and their reports to the bootstrapping member are in flight.
    pub fn started(members: usize) -> Group {
        let stored: Vec<StoredState> = (0..members).map(|nth| StoredState::empty(nth as u64 + 1)).collect();
        let clocks = vec![Time(0); members];
        let nodes = (0..members).map(|nth| start(nth, &stored[nth], members, clocks[nth])).collect();
        let mut group = Group {
            nodes,
            image: stored.clone(),
            stored,
            queues: vec![VecDeque::new(); members],
            writes_at_once: false,
            clocks,
            network: Vec::new(),
            incarnations: members as u64,
            leaders: BTreeMap::new(),
            applied: BTreeMap::new(),
            spent: Default::default(),
            violation: None,
        };
        (0..members).for_each(|nth| group.give(nth, Event::Tick));
        group
    }

    /// Delivers and writes in order among some members until a condition holds, or nothing is left.
    pub fn settle(&mut self, among: &[usize], until: impl Fn(&Group) -> bool) {
        while !until(self) {
            let inside = |p: &Packet| among.contains(&p.from) && among.contains(&p.to);
            if let Some(nth) = among.iter().find(|n| !self.queues[**n].is_empty()) {
                self.persist(*nth);
            } else if let Some(place) = self.network.iter().position(inside) {
                self.deliver(place);
            } else {
                return;
            }
        }
    }

    /// One member campaigns and is voted for; the votes are still in flight, and nothing else is.
    pub fn campaign(&mut self, nth: usize, voter: usize) {
        self.timeout(nth);
        self.settle(&[nth, voter], |g| {
            g.network
                .iter()
                .any(|p| matches!(p.message, Message::VoteResponse(VoteResponse { is_pre_vote: false, .. })))
        });
        self.network
            .retain(|p| matches!(p.message, Message::VoteResponse(VoteResponse { is_pre_vote: false, .. })));
    }

    pub fn deliver(&mut self, place: usize) {
        let Packet { from, incarnation, to, message } = self.network.remove(place);
        if matches!(message, Message::VoteRequest { .. } | Message::PreVoteRequest { .. }) {
            self.clocks[to] = self.clocks[to] + LONG;
        }
        self.give(to, Event::Message { from: name(from), incarnation, message });
    }

    pub fn deliver_and_die(&mut self, place: usize) {
        let to = self.network[place].to;
        self.writes_at_once = false;
        self.deliver(place);
        self.writes_at_once = true;
        self.crash(to, 0, false);
    }

    pub fn timeout(&mut self, nth: usize) {
        self.clocks[nth] = self.clocks[nth] + LONG;
        self.give(nth, Event::Tick);
    }

    /// Lets a leader send its next heartbeat.
    pub fn heartbeat(&mut self, nth: usize) {
        self.clocks[nth] = self.clocks[nth] + Duration::from_millis(100);
        self.give(nth, Event::Tick);
    }

    pub fn propose(&mut self, nth: usize) {
        let data = vec![self.applied.len() as u8, nth as u8];
        self.give(nth, Event::Propose { ticket: 1, data: data.into() });
    }

    pub fn persist(&mut self, nth: usize) {
        if let Some(batch) = self.queues[nth].pop_front() {
            self.stored[nth].apply_batch(&batch);
            self.give(nth, Event::Persisted { batch_id: batch.id });
        }
    }

    /// Restarts a member with `written` of its pending batches on disk, or with a new store.
    pub fn crash(&mut self, nth: usize, written: usize, lose: bool) {
        for batch in std::mem::take(&mut self.queues[nth]).into_iter().take(written) {
            self.stored[nth].apply_batch(&batch);
        }
        if lose {
            self.incarnations += 1;
            self.stored[nth] = StoredState::empty(self.incarnations);
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
                    let packet = Packet { from: nth, incarnation: self.stored[nth].incarnation, to, message };
                    if !self.network.contains(&packet) {
                        self.network.push(packet);
                    }
                }
                Action::Persist(batch) => {
                    self.image[nth].apply_batch(&batch);
                    self.queues[nth].push_back(batch);
                }
                Action::RoleChanged { role: Role::Leader, term, .. } => self.elected(nth, term),
                Action::Apply { index, term, data } => {
                    let leader_term = self.nodes[nth].term();
                    let first =
                        self.applied.entry(index.0).or_insert_with(|| (term, data.to_vec(), leader_term));
                    if (first.0, first.1.as_slice()) != (term, &data[..]) {
                        self.violation = Some(format!("two entries are applied at {}", index.0));
                    }
                }
                _ => {}
            }
        }
        while self.writes_at_once && !self.queues[nth].is_empty() {
            self.persist(nth);
        }
        // Pre-votes promise nothing; the search gets further where they are not steps of their own.
        let is_pre_vote = |p: &Packet| {
            matches!(
                p.message,
                Message::PreVoteRequest { .. }
                    | Message::VoteResponse(VoteResponse { is_pre_vote: true, .. })
            )
        };
        while let Some(place) = self.network.iter().position(is_pre_vote) {
            self.deliver(place);
        }
    }

    fn elected(&mut self, nth: usize, term: u64) {
        if *self.leaders.entry(term).or_insert(nth) != nth {
            self.violation = Some(format!("two lead in term {term}"));
        }
        for (index, (of, _, committed)) in &self.applied {
            let there = self.image[nth].entries.iter().find(|e| e.index.0 == *index);
            if *committed < term && there.map(|e| e.term) != Some(*of) {
                self.violation = Some(format!("a leader of term {term} lacks entry {index}"));
            }
        }
    }
}

fn start(nth: usize, stored: &StoredState, members: usize, now: Time) -> Node {
    // Entries go one by one, so that a follower may have any part of a log.
    let config =
        Config { max_message_entries: 1, ..Config::new(name(nth), (0..members).map(name).collect()) };
    Node::new(config, stored.clone(), now, 0).unwrap()
}

impl Hash for Group {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.nodes.iter().for_each(|n| n.fingerprint(state));
        (&self.stored, &self.leaders, &self.applied, &self.spent).hash(state);
        for queue in &self.queues {
            queue.len().hash(state);
            queue.iter().for_each(|b| (&b.hard_state, &b.append, &b.snapshot).hash(state));
        }
        // The order of the messages in flight does not matter.
        let sums = self.network.iter().map(|packet| {
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
