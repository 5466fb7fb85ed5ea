//! Clients that read and book, and never try again.
use super::*;

pub struct Op {
    pub blocks: BlockRange,
    pub value: Option<u64>,
    pub began: u64,
    pub ticket: Option<u64>,
    pub sent: u64,
    pub left: u64,
    pub stray: bool,
    pub sure: bool,
    pub unknown: bool,
    pub read: BTreeMap<u64, u64>,
}

/// So long a client waits until its command is sent, and from then on.
const WAITS: u64 = 600_000;
const RUNS: u64 = 40_000;

impl Sim {
    /// A front's clients: new ones, those that wait, and those that have waited too long.
    pub fn clients(&mut self, i: usize) {
        if self.rng.random_bool(self.load) {
            let first = self.rng.random_range(0..30);
            let blocks = BlockRange { first, end: first + self.rng.random_range(1..3) };
            self.seq += 1;
            let value = self.rng.random_bool(0.5).then_some(self.seq);
            if let Some(value) = value {
                (blocks.first..blocks.end).for_each(|b| self.history.begins(b, value, self.now));
            }
            let (began, read) = (self.now, BTreeMap::new());
            let op = Op {
                blocks,
                value,
                began,
                ticket: None,
                sent: 0,
                left: 0,
                stray: false,
                sure: true,
                unknown: false,
                read,
            };
            self.nodes[i].ops.insert(self.seq, op);
        }
        for id in self.nodes[i].ops.keys().copied().collect::<Vec<_>>() {
            let op = &self.nodes[i].ops[&id];
            match op.ticket {
                None => self.send(i, id),
                Some(ticket) if !op.stray && self.now > op.sent + RUNS => {
                    self.nodes[i].ops.remove(&id);
                    let now = self.local(i);
                    self.nodes[i].front.done(ticket, now, Ending::Unknown);
                    self.count("too late");
                }
                Some(_) => {}
            }
            if !self.able(i) {
                return;
            }
        }
    }

    fn send(&mut self, i: usize, id: u64) {
        let now = self.local(i);
        let op = &self.nodes[i].ops[&id];
        let (blocks, value, began) = (op.blocks, op.value, op.began);
        match self.nodes[i].front.may(now, &volume(), blocks, value.is_some()) {
            May::Refuse(why) => {
                self.nodes[i].ops.remove(&id);
                self.count(match why {
                    Why::Lease => "refused: lease",
                    Why::Started => "refused: started",
                    Why::Full => "refused: full",
                });
            }
            May::Wait => {
                self.longest_wait = self.longest_wait.max(self.now - began);
                if value.is_none() {
                    self.count("reads that wait");
                }
                if self.now > began + WAITS {
                    self.nodes[i].ops.remove(&id);
                    self.count("waited too long");
                }
            }
            May::Go { parts, ticket, sure } => {
                let (due, stray) = self.sends(i);
                let (life, sent) = (self.nodes[i].life, self.now);
                let op = self.nodes[i].ops.get_mut(&id).unwrap();
                (op.ticket, op.sent, op.left, op.stray, op.sure) =
                    (Some(ticket), sent, parts.len() as u64, stray, sure);
                for part in parts {
                    let due = due + self.rng.random_range(0..3_000);
                    let mail = match value {
                        Some(value) => Mail::Write { from: i, life, op: id, part, value, stray },
                        None => Mail::Read { from: i, life, op: id, part },
                    };
                    self.at(due, mail);
                }
            }
        }
    }

    /// A part of a command has ended at its box.
    pub fn ran(&mut self, i: usize, id: u64, part: Part, values: Option<Vec<u64>>) {
        let now = self.local(i);
        let Some(op) = self.nodes[i].ops.get_mut(&id) else { return };
        op.left -= 1;
        op.unknown |= values.is_none();
        op.read.extend((part.blocks.first..part.blocks.end).zip(values.unwrap_or_default()));
        if op.left > 0 {
            return;
        }
        let op = self.nodes[i].ops.remove(&id).unwrap();
        let ending = if op.unknown { Ending::Unknown } else { Ending::Ran };
        let kept = self.nodes[i].front.done(op.ticket.unwrap(), now, ending);
        match op.value {
            Some(_) if kept == Kept::MayHaveRun => self.count("may have run"),
            Some(value) => {
                for b in op.blocks.first..op.blocks.end {
                    self.history.answered(b, value, self.now);
                }
                self.count("bookings");
            }
            None if op.unknown => {}
            None if !op.sure => self.count("unsure reads"),
            None => {
                for (b, value) in op.read {
                    let found = self.history.found(b, value, op.began.max(op.sent));
                    self.bad.extend(found.err());
                }
                self.count("reads");
            }
        }
    }
}
