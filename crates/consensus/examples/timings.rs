//! How long elections and commits take, and how much an idle group sends, in simulated time: messages take 0.2 to 2 ms, a write
//! takes 0.5 to 3 ms. Prints the least, the middle and the greatest value over the seeds.
use cluster_types::{MemberId, Time};
use consensus::{Action, Config, Event, Message, Node, Role, StoredState, WriteBatch};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

enum Step {
    Packet { from: usize, message: Message },
    Written { batch: u64 },
    Wake,
}

struct Group {
    now: u64,
    seq: u64,
    rng: SmallRng,
    names: Vec<MemberId>,
    nodes: Vec<Option<Node>>,
    stored: Vec<StoredState>,
    agenda: BTreeMap<(u64, u64), (usize, Step)>,
    messages: u64,
    bytes: u64,
    committed: Option<u64>,
}

impl Group {
    fn new(members: usize, seed: u64) -> Group {
        let names: Vec<MemberId> =
            (0..members).map(|nth| MemberId::from(format!("front-{nth:03}").as_str())).collect();
        let stored: Vec<StoredState> = (0..members).map(|nth| StoredState::empty(nth as u64 + 1)).collect();
        let start = |nth: usize| {
            let config = Config::new(names[nth].clone(), names.clone());
            Node::new(config, stored[nth].clone(), Time(0), seed * 1000 + nth as u64).ok()
        };
        let nodes = (0..members).map(start).collect();
        let rng = SmallRng::seed_from_u64(seed);
        let (agenda, messages, bytes, committed) = (BTreeMap::new(), 0, 0, None);
        let mut group =
            Group { now: 0, seq: 0, rng, names, nodes, stored, agenda, messages, bytes, committed };
        for nth in 0..members {
            let at = group.rng.random_range(0..50_000);
            group.plan(at, nth, Step::Wake);
        }
        group
    }

    fn plan(&mut self, after: u64, to: usize, what: Step) {
        self.seq += 1;
        self.agenda.insert((self.now + after, self.seq), (to, what));
    }

    fn give(&mut self, to: usize, event: Event) {
        let Some(node) = self.nodes.get_mut(to).and_then(Option::as_mut) else { return };
        let mut out = Vec::new();
        node.handle(Time(self.now), event, &mut out);
        let wake = node.next_wakeup();
        for action in out {
            match action {
                Action::Send { to: name, message } => {
                    let Ok(there) = self.names.binary_search(&name) else { continue };
                    self.messages += 1;
                    self.bytes += postcard::to_stdvec(&message).map_or(0, |m| m.len() as u64);
                    let after = self.rng.random_range(200..2_000);
                    self.plan(after, there, Step::Packet { from: to, message });
                }
                Action::Persist(batch) => self.write(to, &batch),
                Action::Committed { .. } => self.committed = Some(self.now),
                _ => {}
            }
        }
        if let Some(at) = wake {
            self.plan(at.0.saturating_sub(self.now).max(1), to, Step::Wake);
        }
    }

    fn write(&mut self, to: usize, batch: &WriteBatch) {
        self.stored[to].apply_batch(batch);
        let after = self.rng.random_range(500..3_000);
        self.plan(after, to, Step::Written { batch: batch.id });
    }

    /// Runs until it is so, or for that long. Whether it came to be.
    fn run(&mut self, most: u64, until: impl Fn(&Group) -> bool) -> bool {
        let end = self.now + most;
        while !until(self) {
            let Some(((now, _), (to, what))) = self.agenda.pop_first() else { return false };
            if now > end {
                return false;
            }
            self.now = now;
            let due = |node: &Node| node.next_wakeup().is_some_and(|at| at <= Time(now));
            match what {
                Step::Packet { from, message } => {
                    let incarnation = from as u64 + 1;
                    self.give(to, Event::Message { from: self.names[from].clone(), incarnation, message });
                }
                Step::Written { batch } => self.give(to, Event::Persisted { batch_id: batch }),
                Step::Wake if self.nodes[to].as_ref().is_some_and(due) => self.give(to, Event::Tick),
                Step::Wake => {}
            }
        }
        true
    }

    fn leader(&self) -> Option<usize> {
        let leads = |n: &Node| n.role() == Role::Leader && n.lease_expiry(Time(self.now)).is_some();
        self.nodes.iter().position(|n| n.as_ref().is_some_and(leads))
    }
}

fn spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let at = |share: f64| {
        values.get((values.len() as f64 * share) as usize).or(values.last()).copied().unwrap_or(f64::NAN)
    };
    format!("{:>8.1} {:>8.1} {:>8.1}", at(0.0), at(0.5), at(1.0))
}

fn main() {
    println!("members  what                        least   middle greatest");
    for (members, seeds) in [(5, 40), (25, 20), (100, 5)] {
        let (mut bootstrapped_ms, mut commit, mut idle_messages, mut bytes, mut elected) =
            (vec![], vec![], vec![], vec![], vec![]);
        for seed in 0..seeds {
            let mut group = Group::new(members, seed);
            group.run(60_000_000, |g| g.leader().is_some());
            bootstrapped_ms.push(group.now as f64 / 1e3);
            group.run(500_000, |_| false);
            let Some(leader) = group.leader() else { continue };
            for ticket in 0..20 {
                let start = group.now;
                group.committed = None;
                group.give(leader, Event::Propose { ticket, data: vec![0; 200].into() });
                group.run(5_000_000, |g| g.committed.is_some());
                commit.push((group.now - start) as f64 / 1e3);
            }
            group.run(500_000, |_| false);
            (group.messages, group.bytes) = (0, 0);
            let start = group.now;
            group.run(5_000_000, |_| false);
            let each = members as f64 * (group.now - start) as f64 / 1e6;
            idle_messages.push(group.messages as f64 / each);
            bytes.push(group.bytes as f64 / each);
            let start = group.now;
            group.nodes[leader] = None;
            group.run(60_000_000, |g| g.leader().is_some());
            elected.push((group.now - start) as f64 / 1e3);
        }
        for (what, values) in [
            ("bootstrapped, ms from start", bootstrapped_ms),
            ("committed, ms", commit),
            ("new leader, ms", elected),
            ("idle messages/member/s", idle_messages),
            ("idle bytes/member/s", bytes),
        ] {
            println!("{members:>7}  {what:<24} {}", spread(values));
        }
    }
}
