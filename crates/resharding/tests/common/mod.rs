//! Fronts over an idealised replicated log, with stand-in boxes, clients and failures. All of it from one seed.
#![allow(dead_code)]
pub mod clients;
pub mod history;
pub mod mishaps;
pub mod net;

use clients::Op;
use cluster_types::{BackendId, BlockRange, Index, MemberId, Time, Volume};
use history::History;
use net::Mail;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use resharding::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

pub const TICK: u64 = 4_000;
pub const LED: u64 = 100_000;

pub fn rules() -> Rules {
    let ms = Duration::from_millis;
    Rules {
        lease: ms(200),
        drift: ms(12),
        longest: ms(50),
        hand_over: ms(250),
        report: ms(24),
        small: 12,
        chunk: 4,
        window: 3,
        verify: true,
    }
}

pub struct Node {
    pub me: MemberId,
    pub up: bool,
    pub cut: bool,
    pub stalled: u64,
    pub life: u64,
    pub moves: Moves,
    pub front: Front,
    pub ops: BTreeMap<u64, Op>,
    pub held: BTreeMap<(Index, u64), Vec<u64>>,
    pub orders: BTreeMap<u64, Order>,
    pub next_apply: u64,
}

pub struct Sim {
    pub rng: SmallRng,
    pub now: u64,
    pub log: Vec<(u64, MemberId, Command)>,
    pub nodes: Vec<Node>,
    pub leader: Option<usize>,
    pub led_until: u64,
    pub lead: Leader,
    pub mail: BTreeMap<(u64, u64), Mail>,
    pub boxes: BTreeMap<BackendId, BTreeMap<u64, u64>>,
    pub dead: BTreeSet<BackendId>,
    pub history: History,
    /// Of each block: the newest place that some front may write to, by its epoch.
    pub open: BTreeMap<u64, Index>,
    pub seq: u64,
    pub stalls: f64,
    /// The next copy is stalled right before it is written.
    pub stray_copy: bool,
    pub lossy: f64,
    pub load: f64,
    pub stats: BTreeMap<&'static str, u64>,
    pub longest_wait: u64,
    pub bad: Vec<String>,
    pub seen: BTreeSet<&'static str>,
}

pub fn volume() -> Volume {
    Volume::from("0000000000000001")
}

impl Sim {
    pub fn new(seed: u64, fronts: usize, blocks: u64, on: &str) -> Sim {
        let mut sim = Sim {
            rng: SmallRng::seed_from_u64(seed),
            now: 1_000_000,
            log: Vec::new(),
            nodes: Vec::new(),
            leader: None,
            led_until: 0,
            lead: Leader::new(rules()),
            mail: BTreeMap::new(),
            boxes: ["a", "b", "c"].into_iter().map(|b| (BackendId::from(b), BTreeMap::new())).collect(),
            dead: BTreeSet::new(),
            history: History::default(),
            open: BTreeMap::new(),
            seq: 0,
            stalls: 0.0,
            stray_copy: false,
            lossy: 0.0,
            load: 0.2,
            stats: BTreeMap::new(),
            longest_wait: 0,
            bad: Vec::new(),
            seen: BTreeSet::new(),
        };
        for i in 0..fronts {
            let me = MemberId::from(format!("f{i}").as_str());
            sim.append(me.clone(), Command::Present { life: 1 });
            let moves = Moves::new();
            let front =
                Front::new(me.clone(), 1, rules(), Controlled::All, Arc::new(moves.clone()), sim.local(i));
            sim.nodes.push(Node {
                me,
                up: true,
                cut: false,
                stalled: 0,
                life: 1,
                moves,
                front,
                ops: BTreeMap::new(),
                held: BTreeMap::new(),
                orders: BTreeMap::new(),
                next_apply: 0,
            });
        }
        let ranges = vec![(BlockRange { first: 0, end: blocks }, BackendId::from(on))];
        sim.append(MemberId::from("f0"), Command::Adopt { volume: volume(), ranges });
        sim
    }

    /// Each front's own clock: other origin, a little faster or slower.
    pub fn local(&self, i: usize) -> Time {
        let rate = [1000, 1004, 997, 1002, 996][i % 5];
        Time(7_000_000 * (i as u64 + 1) + self.now * rate / 1000)
    }

    pub fn append(&mut self, by: MemberId, command: Command) {
        self.log.push((self.now / 1000, by, command));
    }

    pub fn count(&mut self, what: &'static str) {
        *self.stats.entry(what).or_default() += 1;
    }

    pub fn able(&self, i: usize) -> bool {
        self.nodes[i].up && self.nodes[i].stalled <= self.now
    }

    pub fn linked(&self, i: usize) -> bool {
        self.able(i) && !self.nodes[i].cut
    }

    /// Applies the next entry at a front.
    fn apply(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        let at = node.moves.applied.0 as usize;
        let (ms, by, command) = &self.log[at];
        for effect in node.moves.apply(Index(at as u64 + 1), *ms, by, command) {
            if let Effect::Changed { id, phase } = effect {
                self.seen.insert(phase);
                if let Some(m) = node.moves.active.get(&id) {
                    if let Phase::Release { epoch } = m.phase {
                        for b in m.blocks.first..m.blocks.end {
                            let open = self.open.entry(b).or_default();
                            *open = epoch.max(*open);
                        }
                    }
                }
            }
        }
        node.front.learn(Arc::new(node.moves.clone()));
    }

    fn lead(&mut self) {
        let most = self.nodes.len() / 2 + 1;
        let linked: Vec<usize> = (0..self.nodes.len()).filter(|i| self.linked(*i)).collect();
        match self.leader {
            Some(l) if linked.contains(&l) && linked.len() >= most => {
                self.led_until = self.now + LED;
                let view = View { dead: self.dead.clone() };
                let local = self.local(l);
                for command in self.lead.propose(local, &self.nodes[l].moves, &view) {
                    if !self.rng.random_bool(self.lossy) {
                        self.append(self.nodes[l].me.clone(), command);
                    }
                }
            }
            Some(_) if self.now <= self.led_until => {}
            _ if linked.len() >= most => {
                let l = linked[self.rng.random_range(0..linked.len())];
                while (self.nodes[l].moves.applied.0 as usize) < self.log.len() {
                    self.apply(l);
                }
                self.lead.lead(self.local(l));
                (self.leader, self.led_until) = (Some(l), self.now + LED);
                self.count("leaders");
            }
            _ => self.leader = None,
        }
    }

    /// One tick of everything.
    pub fn tick(&mut self) {
        self.now += TICK;
        self.lead();
        for i in 0..self.nodes.len() {
            if self.linked(i) && self.nodes[i].next_apply <= self.now {
                let upto = self.rng.random_range(0..8) + self.nodes[i].moves.applied.0 as usize;
                while (self.nodes[i].moves.applied.0 as usize) < self.log.len().min(upto) {
                    self.apply(i);
                }
                self.nodes[i].next_apply = self.now + self.rng.random_range(0..12_000);
            }
        }
        while let Some(entry) = self.mail.first_entry().filter(|e| e.key().0 <= self.now) {
            let mail = entry.remove();
            self.deliver(mail);
        }
        for i in 0..self.nodes.len() {
            if self.able(i) {
                self.front(i);
                self.clients(i);
            }
        }
    }

    /// A front's own tick: it asks for its lease, says its word, sends its orders.
    fn front(&mut self, i: usize) {
        let now = self.local(i);
        let node = &mut self.nodes[i];
        let (commands, orders) = node.front.step(now, &|_| 2_000);
        let (life, applied) = (node.life, node.moves.applied);
        let mut sends = vec![];
        if (self.now / TICK + i as u64).is_multiple_of(10) {
            sends.push(Mail::Ask { from: i, life, asked: now, applied });
        }
        sends.extend(commands.into_iter().map(|command| Mail::Propose { from: i, command }));
        for mail in sends {
            self.post(mail);
        }
        for order in orders {
            self.order(i, order);
        }
    }
}
