//! Measures how long elections and commits take and how much an idle group sends, in simulated time: a message takes 0.2 to 2 ms, a
//! write 0.5 to 3 ms. Prints the minimum, the median and the maximum over the seeds.
use cluster_types::{MemberId, Time};
use consensus::{Action, Config, Event, Message, Node, Role, StoredState, WriteBatch};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;

enum Step {
    Deliver { from: usize, message: Message },
    WriteDone { batch: u64 },
    Wakeup,
}

struct Group {
    now_us: u64,
    sequence: u64,
    rng: SmallRng,
    names: Vec<MemberId>,
    nodes: Vec<Option<Node>>,
    stored: Vec<StoredState>,
    step_queue: BTreeMap<(u64, u64), (usize, Step)>,
    messages: u64,
    bytes: u64,
    committed_at_us: Option<u64>,
}

impl Group {
    fn new(members: usize, seed: u64) -> Group {
        let names: Vec<MemberId> =
            (0..members).map(|member| MemberId::from(format!("front-{member:03}").as_str())).collect();
        let stored: Vec<StoredState> =
            (0..members).map(|member| StoredState::empty(member as u64 + 1)).collect();
        let start = |member: usize| {
            let config = Config::new(names[member].clone(), names.clone());
            Node::new(config, stored[member].clone(), Time(0), seed * 1000 + member as u64).ok()
        };
        let nodes = (0..members).map(start).collect();
        let rng = SmallRng::seed_from_u64(seed);
        let (step_queue, messages, bytes, committed_at_us) = (BTreeMap::new(), 0, 0, None);
        let mut group = Group {
            now_us: 0,
            sequence: 0,
            rng,
            names,
            nodes,
            stored,
            step_queue,
            messages,
            bytes,
            committed_at_us,
        };
        for member in 0..members {
            let at = group.rng.random_range(0..50_000);
            group.schedule_in_us(at, member, Step::Wakeup);
        }
        group
    }

    fn schedule_in_us(&mut self, delay_us: u64, to: usize, step: Step) {
        self.sequence += 1;
        self.step_queue.insert((self.now_us + delay_us, self.sequence), (to, step));
    }

    fn handle_event(&mut self, to: usize, event: Event) {
        let Some(node) = self.nodes.get_mut(to).and_then(Option::as_mut) else { return };
        let mut out = Vec::new();
        node.handle(Time(self.now_us), event, &mut out);
        let wakeup = node.next_wakeup();
        for action in out {
            match action {
                Action::Send { to: name, message } => {
                    let Ok(recipient) = self.names.binary_search(&name) else { continue };
                    self.messages += 1;
                    self.bytes += postcard::to_stdvec(&message).map_or(0, |m| m.len() as u64);
                    let delay_us = self.rng.random_range(200..2_000);
                    self.schedule_in_us(delay_us, recipient, Step::Deliver { from: to, message });
                }
                Action::Persist(batch) => self.apply_and_schedule_write(to, &batch),
                Action::Committed { .. } => self.committed_at_us = Some(self.now_us),
                _ => {}
            }
        }
        if let Some(at) = wakeup {
            self.schedule_in_us(at.0.saturating_sub(self.now_us).max(1), to, Step::Wakeup);
        }
    }

    fn apply_and_schedule_write(&mut self, to: usize, batch: &WriteBatch) {
        self.stored[to].apply_batch(batch);
        let delay_us = self.rng.random_range(500..3_000);
        self.schedule_in_us(delay_us, to, Step::WriteDone { batch: batch.id });
    }

    /// Runs until a condition holds, but for at most `limit_us`. Returns whether the condition holds.
    fn run_until(&mut self, limit_us: u64, is_done: impl Fn(&Group) -> bool) -> bool {
        let end = self.now_us + limit_us;
        while !is_done(self) {
            let Some(((now, _), (to, step))) = self.step_queue.pop_first() else { return false };
            if now > end {
                return false;
            }
            self.now_us = now;
            let is_due = |node: &Node| node.next_wakeup().is_some_and(|at| at <= Time(now));
            match step {
                Step::Deliver { from, message } => {
                    let incarnation = from as u64 + 1;
                    self.handle_event(
                        to,
                        Event::Message { from: self.names[from].clone(), incarnation, message },
                    );
                }
                Step::WriteDone { batch } => self.handle_event(to, Event::Persisted { batch_id: batch }),
                Step::Wakeup if self.nodes[to].as_ref().is_some_and(is_due) => {
                    self.handle_event(to, Event::Tick)
                }
                Step::Wakeup => {}
            }
        }
        true
    }

    fn leader(&self) -> Option<usize> {
        let holds_lease = |n: &Node| n.role() == Role::Leader && n.lease_expiry(Time(self.now_us)).is_some();
        self.nodes.iter().position(|n| n.as_ref().is_some_and(holds_lease))
    }
}

fn min_median_max(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let quantile = |share: f64| {
        values.get((values.len() as f64 * share) as usize).or(values.last()).copied().unwrap_or(f64::NAN)
    };
    format!("{:>8.1} {:>8.1} {:>8.1}", quantile(0.0), quantile(0.5), quantile(1.0))
}

fn main() {
    println!("members  measurement                   min   median      max");
    for (members, seeds) in [(5, 40), (25, 20), (100, 5)] {
        let (mut bootstrapped_ms, mut commit_ms, mut idle_messages, mut idle_bytes, mut new_leader_ms) =
            (vec![], vec![], vec![], vec![], vec![]);
        for seed in 0..seeds {
            let mut group = Group::new(members, seed);
            group.run_until(60_000_000, |group| group.leader().is_some());
            bootstrapped_ms.push(group.now_us as f64 / 1e3);
            group.run_until(500_000, |_| false);
            let Some(leader) = group.leader() else { continue };
            for ticket in 0..20 {
                let start = group.now_us;
                group.committed_at_us = None;
                group.handle_event(leader, Event::Propose { ticket, data: vec![0; 200].into() });
                group.run_until(5_000_000, |group| group.committed_at_us.is_some());
                commit_ms.push((group.now_us - start) as f64 / 1e3);
            }
            group.run_until(500_000, |_| false);
            (group.messages, group.bytes) = (0, 0);
            let start = group.now_us;
            group.run_until(5_000_000, |_| false);
            let member_seconds = members as f64 * (group.now_us - start) as f64 / 1e6;
            idle_messages.push(group.messages as f64 / member_seconds);
            idle_bytes.push(group.bytes as f64 / member_seconds);
            let start = group.now_us;
            group.nodes[leader] = None;
            group.run_until(60_000_000, |group| group.leader().is_some());
            new_leader_ms.push((group.now_us - start) as f64 / 1e3);
        }
        for (label, values) in [
            ("bootstrapped, ms from start", bootstrapped_ms),
            ("committed, ms", commit_ms),
            ("new leader, ms", new_leader_ms),
            ("idle messages/member/s", idle_messages),
            ("idle bytes/member/s", idle_bytes),
        ] {
            println!("{members:>7}  {label:<24} {}", min_median_max(values));
        }
    }
}
