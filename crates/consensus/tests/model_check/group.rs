//! The state of the model: a group of members whose clocks advance only when a step needs its timeouts to have passed.
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
    /// What each disk will hold once all pending batches are written.
    projected: Vec<StoredState>,
    pub write_queues: Vec<VecDeque<WriteBatch>>,
    /// Whether batches are written immediately instead of as separate steps, which lets the search go deeper.
    pub writes_immediately: bool,
    clocks: Vec<Time>,
    pub network: Vec<Packet>,
    last_incarnation: u64,
    leader_by_term: BTreeMap<u64, usize>,
    /// The first entry applied at each index: its term, its data, and the term of the member that applied it first.
    applied: BTreeMap<u64, (u64, Vec<u8>, u64)>,
    pub used: crate::model::Budget,
    pub violation: Option<String>,
}

/// Longer than every configured timeout.
const PAST_ALL_TIMEOUTS: Duration = Duration::from_secs(10);

fn member_id(member: usize) -> MemberId {
    MemberId::from(["a", "b", "c", "d", "e"][member])
}

impl Group {
    /// A group whose members have started and whose reports to the bootstrapping member are in flight.
    pub fn started(members: usize) -> Group {
        let stored: Vec<StoredState> =
            (0..members).map(|member| StoredState::empty(member as u64 + 1)).collect();
        let clocks = vec![Time(0); members];
        let nodes =
            (0..members).map(|member| start(member, &stored[member], members, clocks[member])).collect();
        let mut group = Group {
            nodes,
            projected: stored.clone(),
            stored,
            write_queues: vec![VecDeque::new(); members],
            writes_immediately: false,
            clocks,
            network: Vec::new(),
            last_incarnation: members as u64,
            leader_by_term: BTreeMap::new(),
            applied: BTreeMap::new(),
            used: Default::default(),
            violation: None,
        };
        (0..members).for_each(|member| group.handle_event(member, Event::Tick));
        group
    }

    /// Writes batches and delivers messages among some members, in order, until a condition holds or nothing is left.
    pub fn run_among(&mut self, members: &[usize], is_done: impl Fn(&Group) -> bool) {
        while !is_done(self) {
            let is_among_members = |p: &Packet| members.contains(&p.from) && members.contains(&p.to);
            if let Some(member) = members.iter().find(|n| !self.write_queues[**n].is_empty()) {
                self.persist(*member);
            } else if let Some(position) = self.network.iter().position(is_among_members) {
                self.deliver(position);
            } else {
                return;
            }
        }
    }

    /// Lets a member campaign for a voter's vote. Afterwards only vote responses are in flight.
    pub fn campaign(&mut self, member: usize, voter: usize) {
        self.expire_timeouts(member);
        self.run_among(&[member, voter], |g| {
            g.network
                .iter()
                .any(|p| matches!(p.message, Message::VoteResponse(VoteResponse { is_pre_vote: false, .. })))
        });
        self.network
            .retain(|p| matches!(p.message, Message::VoteResponse(VoteResponse { is_pre_vote: false, .. })));
    }

    pub fn deliver(&mut self, position: usize) {
        let Packet { from, incarnation, to, message } = self.network.remove(position);
        if matches!(message, Message::VoteRequest { .. } | Message::PreVoteRequest { .. }) {
            self.clocks[to] = self.clocks[to] + PAST_ALL_TIMEOUTS;
        }
        self.handle_event(to, Event::Message { from: member_id(from), incarnation, message });
    }

    /// Delivers a message to a member, which handles it and then crashes before anything of it is on disk.
    pub fn deliver_and_crash(&mut self, position: usize) {
        let to = self.network[position].to;
        self.writes_immediately = false;
        self.deliver(position);
        self.writes_immediately = true;
        self.crash(to, 0, false);
    }

    pub fn expire_timeouts(&mut self, member: usize) {
        self.clocks[member] = self.clocks[member] + PAST_ALL_TIMEOUTS;
        self.handle_event(member, Event::Tick);
    }

    /// Advances a leader's clock to its next heartbeat.
    pub fn heartbeat(&mut self, member: usize) {
        self.clocks[member] = self.clocks[member] + Duration::from_millis(100);
        self.handle_event(member, Event::Tick);
    }

    pub fn propose(&mut self, member: usize) {
        let data = vec![self.applied.len() as u8, member as u8];
        self.handle_event(member, Event::Propose { ticket: 1, data: data.into() });
    }

    pub fn persist(&mut self, member: usize) {
        if let Some(batch) = self.write_queues[member].pop_front() {
            self.stored[member].apply_batch(&batch);
            self.handle_event(member, Event::Persisted { batch_id: batch.id });
        }
    }

    /// Restarts a member with `written` of its pending batches on disk, or with a new store.
    pub fn crash(&mut self, member: usize, written: usize, loses_disk: bool) {
        for batch in std::mem::take(&mut self.write_queues[member]).into_iter().take(written) {
            self.stored[member].apply_batch(&batch);
        }
        if loses_disk {
            self.last_incarnation += 1;
            self.stored[member] = StoredState::empty(self.last_incarnation);
        }
        self.projected[member] = self.stored[member].clone();
        self.nodes[member] = start(member, &self.stored[member], self.nodes.len(), self.clocks[member]);
        self.handle_event(member, Event::Tick);
    }

    fn handle_event(&mut self, member: usize, event: Event) {
        let mut out = Vec::new();
        self.nodes[member].handle(self.clocks[member], event, &mut out);
        for action in out {
            match action {
                Action::Send { to, message } => {
                    let to = (0..self.nodes.len()).find(|n| member_id(*n) == to).unwrap();
                    let packet =
                        Packet { from: member, incarnation: self.stored[member].incarnation, to, message };
                    if !self.network.contains(&packet) {
                        self.network.push(packet);
                    }
                }
                Action::Persist(batch) => {
                    self.projected[member].apply_batch(&batch);
                    self.write_queues[member].push_back(batch);
                }
                Action::RoleChanged { role: Role::Leader, term, .. } => self.check_new_leader(member, term),
                Action::Apply { index, term, data } => {
                    let leader_term = self.nodes[member].term();
                    let first_applied =
                        self.applied.entry(index.0).or_insert_with(|| (term, data.to_vec(), leader_term));
                    if (first_applied.0, first_applied.1.as_slice()) != (term, &data[..]) {
                        self.violation =
                            Some(format!("two different entries were applied at index {}", index.0));
                    }
                }
                _ => {}
            }
        }
        while self.writes_immediately && !self.write_queues[member].is_empty() {
            self.persist(member);
        }
        // Pre-votes change no durable state. Delivering them here instead of as separate steps lets the search go deeper.
        let is_pre_vote = |p: &Packet| {
            matches!(
                p.message,
                Message::PreVoteRequest { .. }
                    | Message::VoteResponse(VoteResponse { is_pre_vote: true, .. })
            )
        };
        while let Some(position) = self.network.iter().position(is_pre_vote) {
            self.deliver(position);
        }
    }

    fn check_new_leader(&mut self, member: usize, term: u64) {
        if *self.leader_by_term.entry(term).or_insert(member) != member {
            self.violation = Some(format!("two leaders in term {term}"));
        }
        for (index, (expected_term, _, commit_term)) in &self.applied {
            let entry_in_log = self.projected[member].entries.iter().find(|e| e.index.0 == *index);
            if *commit_term < term && entry_in_log.map(|e| e.term) != Some(*expected_term) {
                self.violation = Some(format!("the leader of term {term} lacks committed entry {index}"));
            }
        }
    }
}

fn start(member: usize, stored: &StoredState, members: usize, now: Time) -> Node {
    // One entry per message, so that a follower can hold any prefix of a log.
    let config = Config {
        max_message_entries: 1,
        ..Config::new(member_id(member), (0..members).map(member_id).collect())
    };
    Node::new(config, stored.clone(), now, 0).unwrap()
}

impl Hash for Group {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.nodes.iter().for_each(|n| n.fingerprint(state));
        (&self.stored, &self.leader_by_term, &self.applied, &self.used).hash(state);
        for queue in &self.write_queues {
            queue.len().hash(state);
            queue.iter().for_each(|b| (&b.hard_state, &b.append, &b.snapshot).hash(state));
        }
        // The order of the messages in flight does not matter.
        let packet_hashes = self.network.iter().map(|packet| {
            let mut hasher = std::collections::hash_map::DefaultHasher::new();
            packet.hash(&mut hasher);
            hasher.finish()
        });
        packet_hashes.fold(0_u64, u64::wrapping_add).hash(state);
    }
}

impl PartialEq for Group {
    fn eq(&self, other: &Group) -> bool {
        let group_hash = |group: &Group| {
            let mut hasher = std::collections::hash_map::DefaultHasher::new();
            group.hash(&mut hasher);
            hasher.finish()
        };
        group_hash(self) == group_hash(other)
    }
}
