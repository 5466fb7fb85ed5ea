//! Members on one simulated clock, a millisecond a step: every message takes one step, disks write at once unless they are held.
use cluster_types::{Index, MemberId, Time};
use consensus::{Action, Config, Event, Message, Node, Role, StoredState, WriteBatch};
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

pub struct Cluster {
    pub now_ms: u64,
    pub nodes: Vec<Option<Node>>,
    pub stored: Vec<StoredState>,
    pub queues: Vec<VecDeque<WriteBatch>>,
    /// Members whose disk does not write.
    pub held_disks: BTreeSet<usize>,
    /// Pairs of sender and receiver whose messages are lost.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// Messages in flight: sender, its incarnation, receiver, message.
    pub network: Vec<(usize, u64, usize, Message)>,
    pub config: Config,
    /// All actions but messages and writes, with the member they are of.
    pub actions: Vec<(usize, Action)>,
}

pub fn name(nth: usize) -> MemberId {
    MemberId::from(["a", "b", "c", "d", "e"][nth])
}

pub fn config(me: usize, members: usize) -> Config {
    Config {
        heartbeat_interval: Duration::from_millis(50),
        min_election_timeout: Duration::from_millis(300),
        max_election_timeout: Duration::from_millis(600),
        snapshot_threshold_entries: 8,
        max_log_entries: 20,
        snapshot_chunk_bytes: 16,
        max_pending_proposals: 4,
        ..Config::new(name(me), (0..members).map(name).collect())
    }
}

impl Cluster {
    /// Members that have just started for the first time, with empty stores.
    pub fn new(members: usize) -> Cluster {
        let mut cluster = Cluster {
            now_ms: 0,
            nodes: vec![None; members],
            stored: (0..members).map(|nth| StoredState::empty(nth as u64 + 1)).collect(),
            queues: vec![VecDeque::new(); members],
            held_disks: BTreeSet::new(),
            cut_links: BTreeSet::new(),
            network: Vec::new(),
            config: config(0, members),
            actions: Vec::new(),
        };
        (0..members).for_each(|nth| cluster.start(nth));
        cluster
    }

    /// A bootstrapped group that the first member leads.
    pub fn with_leader(members: usize) -> Cluster {
        let mut cluster = Cluster::new(members);
        cluster.run(400);
        assert!(cluster.is_leader(0) && (0..members).all(|nth| cluster.node(nth).commit_index() == Index(2)));
        cluster
    }

    pub fn start(&mut self, nth: usize) {
        let config = Config { me: name(nth), ..self.config.clone() };
        let seed = self.now_ms + nth as u64;
        self.nodes[nth] = Some(Node::new(config, self.stored[nth].clone(), self.time(), seed).unwrap());
        self.queues[nth].clear();
        self.handle(nth, Event::Tick);
    }

    /// Restarts a member with what is on its disk, or with a new store.
    pub fn restart(&mut self, nth: usize, new_incarnation: Option<u64>) {
        if let Some(incarnation) = new_incarnation {
            self.stored[nth] = StoredState::empty(incarnation);
        }
        self.start(nth);
    }

    pub fn time(&self) -> Time {
        Time(self.now_ms * 1000)
    }

    pub fn node(&self, nth: usize) -> &Node {
        self.nodes[nth].as_ref().unwrap()
    }

    pub fn is_leader(&self, nth: usize) -> bool {
        self.nodes[nth].as_ref().is_some_and(|n| n.role() == Role::Leader)
    }

    pub fn lease_holders(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|n| self.nodes[*n].as_ref().is_some_and(|n| n.lease_expiry(self.time()).is_some()))
            .collect()
    }

    /// Cuts the links between one member and others, both ways.
    pub fn disconnect(&mut self, one: usize, others: &[usize]) {
        for other in others {
            self.cut_links.extend([(one, *other), (*other, one)]);
        }
    }

    pub fn run(&mut self, ms: u64) {
        self.run_checked(ms, |_| {});
    }

    /// Runs, and calls `check` after each step.
    pub fn run_checked(&mut self, ms: u64, mut check: impl FnMut(&Cluster)) {
        for _ in 0..ms {
            self.now_ms += 1;
            for (from, incarnation, to, message) in std::mem::take(&mut self.network) {
                if !self.cut_links.contains(&(from, to)) {
                    self.handle(to, Event::Message { from: name(from), incarnation, message });
                }
            }
            for nth in 0..self.nodes.len() {
                let due =
                    self.nodes[nth].as_ref().and_then(Node::next_wakeup).is_some_and(|at| at <= self.time());
                if due {
                    self.handle(nth, Event::Tick);
                }
            }
            check(self);
        }
    }

    pub fn propose(&mut self, nth: usize, ticket: u64) {
        self.handle(nth, Event::Propose { ticket, data: ticket.to_le_bytes().to_vec().into() });
    }

    pub fn deliver(&mut self, from: usize, incarnation: u64, to: usize, message: Message) {
        self.handle(to, Event::Message { from: name(from), incarnation, message });
    }

    pub fn handle(&mut self, nth: usize, event: Event) {
        let now = self.time();
        let Some(node) = &mut self.nodes[nth] else { return };
        let mut out = Vec::new();
        node.handle(now, event, &mut out);
        for action in out {
            match action {
                Action::Send { to, message } => {
                    let to = (0..self.nodes.len()).find(|n| name(*n) == to).unwrap();
                    self.network.push((nth, self.stored[nth].incarnation, to, message));
                }
                Action::Persist(batch) => self.queues[nth].push_back(batch),
                other => self.actions.push((nth, other)),
            }
        }
        if !self.held_disks.contains(&nth) {
            if let Some(batch) = self.queues[nth].pop_front() {
                self.stored[nth].apply_batch(&batch);
                self.handle(nth, Event::Persisted { batch_id: batch.id });
            }
        }
    }

    pub fn is_committed(&self, ticket: u64) -> bool {
        self.actions.iter().any(|(_, a)| matches!(a, Action::Committed { ticket: t, .. } if *t == ticket))
    }
}
