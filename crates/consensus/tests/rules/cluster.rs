//! A simulated cluster on one clock with steps of one millisecond. Every message takes one step, and disks write immediately unless
//! they are stalled.
use cluster_types::{Index, MemberId, Time};
use consensus::{Action, Config, Event, Message, Node, Role, StoredState, WriteBatch};
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

pub struct Cluster {
    pub now_ms: u64,
    pub nodes: Vec<Option<Node>>,
    pub stored: Vec<StoredState>,
    pub write_queues: Vec<VecDeque<WriteBatch>>,
    /// Members whose disk completes no writes.
    pub stalled_disks: BTreeSet<usize>,
    /// Links, as pairs of sender and receiver, that lose all messages.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// Messages in flight: sender, its incarnation, receiver, message.
    pub network: Vec<(usize, u64, usize, Message)>,
    pub config: Config,
    /// All actions other than messages and writes, with the member that returned them.
    pub actions: Vec<(usize, Action)>,
}

pub fn member_id(member: usize) -> MemberId {
    MemberId::from(["a", "b", "c", "d", "e"][member])
}

pub fn config(member: usize, members: usize) -> Config {
    Config {
        heartbeat_interval: Duration::from_millis(50),
        min_election_timeout: Duration::from_millis(300),
        max_election_timeout: Duration::from_millis(600),
        snapshot_threshold_entries: 8,
        max_log_entries: 20,
        snapshot_chunk_bytes: 16,
        max_pending_proposals: 4,
        ..Config::new(member_id(member), (0..members).map(member_id).collect())
    }
}

impl Cluster {
    /// Creates members that have just started for the first time, with empty stores.
    pub fn new(members: usize) -> Cluster {
        let mut cluster = Cluster {
            now_ms: 0,
            nodes: vec![None; members],
            stored: (0..members).map(|member| StoredState::empty(member as u64 + 1)).collect(),
            write_queues: vec![VecDeque::new(); members],
            stalled_disks: BTreeSet::new(),
            cut_links: BTreeSet::new(),
            network: Vec::new(),
            config: config(0, members),
            actions: Vec::new(),
        };
        (0..members).for_each(|member| cluster.start(member));
        cluster
    }

    /// Creates a bootstrapped group that the first member leads.
    pub fn with_leader(members: usize) -> Cluster {
        let mut cluster = Cluster::new(members);
        cluster.run(400);
        assert!(
            cluster.is_leader(0)
                && (0..members).all(|member| cluster.node(member).commit_index() == Index(2))
        );
        cluster
    }

    pub fn start(&mut self, member: usize) {
        let config = Config { own_id: member_id(member), ..self.config.clone() };
        let seed = self.now_ms + member as u64;
        self.nodes[member] = Some(Node::new(config, self.stored[member].clone(), self.time(), seed).unwrap());
        self.write_queues[member].clear();
        self.handle(member, Event::Tick);
    }

    /// Restarts a member from its disk or, given an incarnation, with a new empty store.
    pub fn restart(&mut self, member: usize, new_incarnation: Option<u64>) {
        if let Some(incarnation) = new_incarnation {
            self.stored[member] = StoredState::empty(incarnation);
        }
        self.start(member);
    }

    pub fn time(&self) -> Time {
        Time(self.now_ms * 1000)
    }

    pub fn node(&self, member: usize) -> &Node {
        self.nodes[member].as_ref().unwrap()
    }

    pub fn is_leader(&self, member: usize) -> bool {
        self.nodes[member].as_ref().is_some_and(|n| n.role() == Role::Leader)
    }

    pub fn lease_holders(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|n| self.nodes[*n].as_ref().is_some_and(|n| n.lease_expiry(self.time()).is_some()))
            .collect()
    }

    /// Cuts the links between a member and others in both directions.
    pub fn disconnect(&mut self, member: usize, others: &[usize]) {
        for other in others {
            self.cut_links.extend([(member, *other), (*other, member)]);
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
                    self.handle(to, Event::Message { from: member_id(from), incarnation, message });
                }
            }
            for member in 0..self.nodes.len() {
                let is_due = self.nodes[member]
                    .as_ref()
                    .and_then(Node::next_wakeup)
                    .is_some_and(|at| at <= self.time());
                if is_due {
                    self.handle(member, Event::Tick);
                }
            }
            check(self);
        }
    }

    pub fn propose(&mut self, member: usize, ticket: u64) {
        self.handle(member, Event::Propose { ticket, data: ticket.to_le_bytes().to_vec().into() });
    }

    pub fn deliver(&mut self, from: usize, incarnation: u64, to: usize, message: Message) {
        self.handle(to, Event::Message { from: member_id(from), incarnation, message });
    }

    pub fn handle(&mut self, member: usize, event: Event) {
        let now = self.time();
        let Some(node) = &mut self.nodes[member] else { return };
        let mut out = Vec::new();
        node.handle(now, event, &mut out);
        for action in out {
            match action {
                Action::Send { to, message } => {
                    let to = (0..self.nodes.len()).find(|n| member_id(*n) == to).unwrap();
                    self.network.push((member, self.stored[member].incarnation, to, message));
                }
                Action::Persist(batch) => self.write_queues[member].push_back(batch),
                other => self.actions.push((member, other)),
            }
        }
        if !self.stalled_disks.contains(&member) {
            if let Some(batch) = self.write_queues[member].pop_front() {
                self.stored[member].apply_batch(&batch);
                self.handle(member, Event::Persisted { batch_id: batch.id });
            }
        }
    }

    pub fn is_committed(&self, ticket: u64) -> bool {
        self.actions.iter().any(|(_, a)| matches!(a, Action::Committed { ticket: t, .. } if *t == ticket))
    }
}
