//! What is under way: words to the leader, leases, commands to boxes and their ends.
use super::*;

pub enum Mail {
    Propose { from: usize, command: Command },
    Ask { from: usize, life: u64, asked: Time, applied: Index },
    Grant { to: usize, life: u64, asked: Time, upto: Index },
    Write { from: usize, life: u64, op: u64, part: Part, value: u64, stray: bool },
    Read { from: usize, life: u64, op: u64, part: Part },
    Ran { to: usize, life: u64, op: u64, part: Part, values: Option<Vec<u64>> },
    Order { from: usize, life: u64, order: Order, values: Vec<u64>, stray: bool },
    Ended { to: usize, life: u64, order: Order, end: End, values: Vec<u64> },
}

impl Mail {
    /// Whether it is a command that a stalled front has not sent yet.
    pub fn unsent_of(&self, i: usize, l: u64) -> bool {
        match self {
            Mail::Write { from, life, stray, .. } | Mail::Order { from, life, stray, .. } => {
                *stray && *from == i && *life == l
            }
            _ => false,
        }
    }
}

impl Sim {
    pub fn at(&mut self, due: u64, mail: Mail) {
        self.seq += 1;
        self.mail.insert((due, self.seq), mail);
    }

    /// Sends something that may get lost, or come twice, or late.
    pub fn post(&mut self, mail: Mail) {
        if self.rng.random_bool(self.lossy) {
            return;
        }
        let late = if self.rng.random_bool(self.lossy / 2.0) { 400_000 } else { 8_000 };
        let due = self.now + self.rng.random_range(0..late);
        if let (Mail::Propose { from, command }, true) = (&mail, self.rng.random_bool(self.lossy)) {
            let again = Mail::Propose { from: *from, command: command.clone() };
            let due = due + self.rng.random_range(0..300_000);
            self.at(due, again);
        }
        self.at(due, mail);
    }

    /// How long a command takes on its way to a box.
    fn way(&mut self) -> u64 {
        self.rng.random_range(0..18_000)
    }

    /// Now and then a front stalls right before it sends, after its last look at its lease.
    pub fn sends(&mut self, i: usize) -> (u64, bool) {
        let stray = self.rng.random_bool(self.stalls);
        if stray {
            let span = self.rng.random_range(50_000..900_000);
            self.stall(i, span);
            self.count("strays");
        }
        let way = self.way();
        (self.now.max(self.nodes[i].stalled) + way, stray)
    }

    pub fn order(&mut self, i: usize, order: Order) {
        let now = self.local(i);
        if !self.nodes[i].front.may_order(&order, now) {
            self.nodes[i].front.ended(&order, now, End::Refused);
            return;
        }
        let values = self.nodes[i].held.get(&(order.number, order.token)).cloned().unwrap_or_default();
        let (mut due, mut stray) = self.sends(i);
        if self.stray_copy && order.work == Work::Write {
            (self.stray_copy, stray) = (false, true);
            self.stall(i, 900_000);
            due = self.nodes[i].stalled + self.way();
        }
        let life = self.nodes[i].life;
        self.at(due, Mail::Order { from: i, life, order, values, stray });
    }

    pub fn deliver(&mut self, mail: Mail) {
        match mail {
            Mail::Propose { from, command } => {
                let linked = self.leader.is_some_and(|l| self.linked(l)) && !self.nodes[from].cut;
                if linked {
                    self.append(self.nodes[from].me.clone(), command);
                }
            }
            Mail::Ask { from, life, asked, applied } => {
                let Some(l) = self.leader.filter(|l| self.linked(*l) && self.linked(from)) else { return };
                let (now, me) = (self.local(l), self.nodes[from].me.clone());
                if let Some(grant) = self.lead.ask(now, &me, life, applied, &self.nodes[l].moves) {
                    self.post(Mail::Grant { to: from, life, asked, upto: grant.upto });
                }
            }
            Mail::Grant { to, life, asked, upto } => {
                if self.nodes[to].up && self.nodes[to].life == life {
                    self.nodes[to].front.granted(asked, upto);
                }
            }
            Mail::Write { from, life, op, part, value, stray } => {
                let alive = !self.dead.contains(&part.on);
                for b in part.blocks.first..part.blocks.end {
                    if !alive {
                        continue;
                    }
                    self.boxes.get_mut(&part.on).unwrap().insert(b, value);
                    let ran = self.history.runs(b, value, &part.on.0);
                    self.bad.extend(ran.err());
                    let late = self.open.get(&b).is_some_and(|open| part.epoch < *open);
                    if late && !stray {
                        self.bad.push(format!("{value} ran at the old place of block {b} at {}", self.now));
                    }
                    if late {
                        self.count("late strays");
                    }
                }
                let due = self.now + self.way();
                let values = alive.then(Vec::new);
                self.at(due, Mail::Ran { to: from, life, op, part, values });
            }
            Mail::Read { from, life, op, part } => {
                let on = &self.boxes[&part.on];
                let read =
                    (part.blocks.first..part.blocks.end).map(|b| on.get(&b).copied().unwrap_or(0)).collect();
                let values = (!self.dead.contains(&part.on)).then_some(read);
                let due = self.now + self.way();
                self.at(due, Mail::Ran { to: from, life, op, part, values });
            }
            Mail::Order { from, life, order, values, .. } => {
                let due = self.now + self.way();
                let on = self.boxes.get_mut(&order.on).unwrap();
                let blocks = order.blocks.first..order.blocks.end;
                let read: Vec<u64> = blocks.clone().map(|b| on.get(&b).copied().unwrap_or(0)).collect();
                let (mut end, mut back) = (End::Done, Vec::new());
                match order.work {
                    _ if self.dead.contains(&order.on) => end = End::Unknown,
                    Work::Read => back = read,
                    Work::Compare if read != values => end = End::Differs,
                    Work::Compare => {}
                    Work::Write => {
                        for (b, value) in blocks.clone().zip(values) {
                            on.insert(b, value);
                        }
                        let newer = |b: &u64| self.open.get(b).is_some_and(|open| *open > order.id);
                        if blocks.clone().any(|b| newer(&b)) {
                            self.bad.push(format!("a late copy ran over {:?}", order.blocks));
                        }
                    }
                }
                if self.rng.random_bool(self.lossy) && end == End::Done {
                    end = End::Unknown;
                }
                self.at(due, Mail::Ended { to: from, life, order, end, values: back });
            }
            Mail::Ended { to, .. } | Mail::Ran { to, .. }
                if self.nodes[to].up && self.nodes[to].stalled > self.now =>
            {
                let due = self.nodes[to].stalled + self.way();
                self.at(due, mail);
            }
            Mail::Ended { to, life, order, end, values } => {
                let now = self.local(to);
                let node = &mut self.nodes[to];
                if node.up && node.life == life {
                    if order.work == Work::Read {
                        node.held.insert((order.number, order.token), values);
                    }
                    node.front.ended(&order, now, end);
                }
            }
            Mail::Ran { to, life, op, part, values } => {
                if self.nodes[to].up && self.nodes[to].life == life {
                    self.ran(to, op, part, values);
                }
            }
        }
    }
}
