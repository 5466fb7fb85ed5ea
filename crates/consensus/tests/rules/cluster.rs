//! Members on one clock, a millisecond a step: every message takes one, disks are prompt unless held.
use cluster_types::{Index, MemberId, Time};
use consensus::{Action, Batch, Config, Event, Message, Node, Role, Stored};
use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

pub struct Trio {
    pub now: u64,
    pub nodes: Vec<Option<Node>>,
    pub stored: Vec<Stored>,
    pub queues: Vec<VecDeque<Batch>>,
    /// Whose disk does not answer.
    pub held: BTreeSet<usize>,
    pub cut: BTreeSet<(usize, usize)>,
    pub net: Vec<(usize, u64, usize, Message)>,
    pub config: Config,
    /// All that came out beside messages and writes, with whose it was.
    pub told: Vec<(usize, Action)>,
}

pub fn name(nth: usize) -> MemberId {
    MemberId::from(["a", "b", "c", "d", "e"][nth])
}

pub fn config(me: usize, members: usize) -> Config {
    Config {
        heartbeat: Duration::from_millis(50),
        election_min: Duration::from_millis(300),
        election_max: Duration::from_millis(600),
        snapshot_after: 8,
        log_entries: 20,
        chunk_bytes: 16,
        proposals: 4,
        ..Config::new(name(me), (0..members).map(name).collect())
    }
}

impl Trio {
    /// Members that have just started for the first time.
    pub fn new(members: usize) -> Trio {
        let mut trio = Trio {
            now: 0,
            nodes: vec![None; members],
            stored: (0..members).map(|nth| Stored::empty(nth as u64 + 1)).collect(),
            queues: vec![VecDeque::new(); members],
            held: BTreeSet::new(),
            cut: BTreeSet::new(),
            net: Vec::new(),
            config: config(0, members),
            told: Vec::new(),
        };
        (0..members).for_each(|nth| trio.start(nth));
        trio
    }

    /// Founded, and led by the first.
    pub fn led(members: usize) -> Trio {
        let mut trio = Trio::new(members);
        trio.run(400);
        assert!(trio.leads(0) && (0..members).all(|nth| trio.node(nth).commit() == Index(2)));
        trio
    }

    pub fn start(&mut self, nth: usize) {
        let config = Config { me: name(nth), ..self.config.clone() };
        let seed = self.now + nth as u64;
        self.nodes[nth] = Some(Node::new(config, self.stored[nth].clone(), self.time(), seed).unwrap());
        self.queues[nth].clear();
        self.give(nth, Event::Tick);
    }

    /// Stops and starts it, with what its disk has or a new one.
    pub fn restart(&mut self, nth: usize, life: Option<u64>) {
        if let Some(life) = life {
            self.stored[nth] = Stored::empty(life);
        }
        self.start(nth);
    }

    pub fn time(&self) -> Time {
        Time(self.now * 1000)
    }

    pub fn node(&self, nth: usize) -> &Node {
        self.nodes[nth].as_ref().unwrap()
    }

    pub fn leads(&self, nth: usize) -> bool {
        self.nodes[nth].as_ref().is_some_and(|n| n.role().0 == Role::Leader)
    }

    pub fn leased(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|n| self.nodes[*n].as_ref().is_some_and(|n| n.lease(self.time()).is_some()))
            .collect()
    }

    /// Parts one from those, both ways.
    pub fn part(&mut self, one: usize, others: &[usize]) {
        for other in others {
            self.cut.extend([(one, *other), (*other, one)]);
        }
    }

    pub fn run(&mut self, ms: u64) {
        self.watch(ms, |_| {});
    }

    /// Runs, and looks at all after each step.
    pub fn watch(&mut self, ms: u64, mut look: impl FnMut(&Trio)) {
        for _ in 0..ms {
            self.now += 1;
            for (from, life, to, message) in std::mem::take(&mut self.net) {
                if !self.cut.contains(&(from, to)) {
                    self.give(to, Event::Message { from: name(from), life, message });
                }
            }
            for nth in 0..self.nodes.len() {
                let due = self.nodes[nth].as_ref().and_then(Node::wake).is_some_and(|at| at <= self.time());
                if due {
                    self.give(nth, Event::Tick);
                }
            }
            look(self);
        }
    }

    pub fn propose(&mut self, nth: usize, ticket: u64) {
        self.give(nth, Event::Propose { ticket, data: ticket.to_le_bytes().to_vec().into() });
    }

    pub fn say(&mut self, from: usize, life: u64, to: usize, message: Message) {
        self.give(to, Event::Message { from: name(from), life, message });
    }

    pub fn give(&mut self, nth: usize, event: Event) {
        let now = self.time();
        let Some(node) = &mut self.nodes[nth] else { return };
        let mut out = Vec::new();
        node.handle(now, event, &mut out);
        for action in out {
            match action {
                Action::Send { to, message } => {
                    let to = (0..self.nodes.len()).find(|n| name(*n) == to).unwrap();
                    self.net.push((nth, self.stored[nth].life, to, message));
                }
                Action::Persist(batch) => self.queues[nth].push_back(batch),
                other => self.told.push((nth, other)),
            }
        }
        if !self.held.contains(&nth) {
            if let Some(batch) = self.queues[nth].pop_front() {
                self.stored[nth].write(&batch);
                self.give(nth, Event::Persisted { batch: batch.id });
            }
        }
    }

    pub fn committed(&self, ticket: u64) -> bool {
        self.told.iter().any(|(_, a)| matches!(a, Action::Committed { ticket: t, .. } if *t == ticket))
    }
}
