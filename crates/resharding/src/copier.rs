//! A mover's side: which blocks to copy next, at which pace, and which of them are done. The bytes stay with the
//! host, which passes the orders to the decision module as a background session: it pays credits, yields to
//! reservations, and keeps limits, drains and cold budgets; what the module does not let through ends as refused.
use crate::moves::{Command, Move, PARTS};
use crate::Rules;
use cluster_types::{BackendId, BlockRange, Index, Time, Volume};
use std::collections::BTreeMap;
use std::time::Duration;

/// After so many failures without a success the mover gives the copy to another.
const FAILURES: u32 = 16;

/// What is to be done at a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Work {
    /// Read the blocks and keep them under the token.
    Read,
    /// Write what is kept under the token.
    Write,
    /// Read the blocks and compare them with what is kept under the token.
    Compare,
}

/// An order. The host looks at the time again right before it sends.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Order {
    /// The move.
    pub id: Index,
    /// The mover's number.
    pub number: Index,
    /// The chunk's token.
    pub token: u64,
    /// What to do.
    pub work: Work,
    /// At this box.
    pub on: BackendId,
    /// The volume.
    pub volume: Volume,
    /// The blocks.
    pub blocks: BlockRange,
    /// It must not be sent after this.
    pub until: Time,
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum End {
    /// It ran; a comparison found the same.
    Done,
    /// A comparison found something else.
    Differs,
    /// It did not run, nor will.
    Refused,
    /// It may have run, or may yet.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stage {
    Out(Work, Time),
    Next(Work),
    Rests(Time),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Slot {
    blocks: BlockRange,
    seen: Index,
    stage: Stage,
}

/// The copier of one move under one number.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Copier {
    id: Index,
    /// Under which it copies.
    pub number: Index,
    rules: Rules,
    slots: BTreeMap<u64, Slot>,
    token: u64,
    /// Copied, and not yet gone from what is to be copied.
    copied: Vec<(BlockRange, Index)>,
    said: Option<Time>,
    /// Whether something was copied since.
    new: bool,
    budget: u64,
    paid: Time,
    failures: u32,
    /// Chunks that did not compare, and orders that may have run.
    pub counts: [u64; 2],
}

impl Copier {
    /// One that begins.
    pub fn new(id: Index, number: Index, rules: Rules, now: Time) -> Copier {
        // The first chunk goes at once.
        let budget = rules.chunk.max(1).saturating_mul(1_000_000);
        Copier {
            id,
            number,
            rules,
            slots: BTreeMap::new(),
            token: 0,
            copied: Vec::new(),
            said: None,
            new: false,
            budget,
            paid: now,
            failures: 0,
            counts: [0; 2],
        }
    }

    /// Whether none of its orders is out, nor may run yet.
    pub fn idle(&self) -> bool {
        !self.slots.values().any(|s| !matches!(s.stage, Stage::Next(_)))
    }

    /// Whether it fails so often that another should copy.
    pub fn fails(&self) -> bool {
        self.failures >= FAILURES
    }

    /// Drops what is not sent yet, and what has rested long enough.
    pub fn stop(&mut self, now: Time) {
        self.slots.retain(|_, s| !matches!(s.stage, Stage::Next(_)));
        self.slots.retain(|_, s| !matches!(s.stage, Stage::Rests(until) if until < now));
    }

    /// The next orders. `spare` is what the slower of both boxes can do beyond reservations, in units a second, of
    /// which `share_milli` thousandths are taken; `until` is the end of the front's lease.
    pub fn next(
        &mut self,
        now: Time,
        m: &Move,
        seen: Index,
        spare: u64,
        share_milli: u32,
        until: Time,
    ) -> Vec<Order> {
        let chunk = self.rules.chunk.max(1);
        let span = now.since(self.paid).min(Duration::from_secs(1)).as_micros() as u64;
        let pay = u128::from(spare) * u128::from(share_milli) * u128::from(span) / 1000;
        let cap = chunk.saturating_mul(2_000_000);
        self.budget = self.budget.saturating_add(u64::try_from(pay).unwrap_or(u64::MAX)).min(cap);
        self.paid = now;
        self.slots.retain(|_, s| !matches!(s.stage, Stage::Rests(until) if until < now));
        self.copied.retain(|(b, s)| m.todo.within(*b).iter().any(|(_, at)| at <= s));
        if now >= until {
            return Vec::new();
        }
        while self.slots.len() < self.rules.window.max(1) && self.copied.len() < PARTS {
            let Some(blocks) = self.pick(m, chunk) else { break };
            let Some(left) = self.budget.checked_sub(blocks.len().saturating_mul(1_000_000)) else { break };
            self.budget = left;
            self.token += 1;
            self.slots.insert(self.token, Slot { blocks, seen, stage: Stage::Next(Work::Read) });
        }
        let mut out = Vec::new();
        for (token, slot) in &mut self.slots {
            let Stage::Next(work) = slot.stage else { continue };
            slot.stage = Stage::Out(work, now);
            let on = if work == Work::Read { m.from.clone() } else { m.to.clone() };
            let (volume, blocks) = (m.volume.clone(), slot.blocks);
            out.push(Order {
                id: self.id,
                number: self.number,
                token: *token,
                work,
                on,
                volume,
                blocks,
                until,
            });
        }
        out
    }

    /// The first chunk that is to be copied and is neither out nor just copied.
    fn pick(&self, m: &Move, chunk: u64) -> Option<BlockRange> {
        let mut picked: Option<BlockRange> = None;
        for (run, at) in m.todo.iter() {
            let mut first = run.first;
            while first < run.end {
                if picked.is_some_and(|p| p.end != first || p.len() >= chunk) {
                    return picked;
                }
                let copied = self.copied.iter().filter(|(_, seen)| at <= *seen).map(|(b, _)| *b);
                let taken = self.slots.values().map(|s| s.blocks).chain(copied);
                let next = taken.filter(|b| b.end > first && b.first < run.end).min_by_key(|b| b.first);
                if let Some(busy) = next.filter(|b| b.first <= first) {
                    if picked.is_some() {
                        return picked;
                    }
                    first = busy.end;
                    continue;
                }
                let from = picked.map_or(first, |p| p.first);
                let end = next.map_or(run.end, |b| b.first).min(from.saturating_add(chunk));
                picked = Some(BlockRange { first: from, end });
                first = end;
            }
        }
        picked
    }

    /// An order has ended.
    pub fn ended(&mut self, token: u64, now: Time, end: End) {
        let Some(slot) = self.slots.get_mut(&token) else { return };
        let Stage::Out(work, sent) = slot.stage else { return };
        let next = match (end, work) {
            (End::Done, Work::Read) => Some(Stage::Next(Work::Write)),
            (End::Done, Work::Write) if self.rules.verify => Some(Stage::Next(Work::Compare)),
            (End::Done, _) => {
                self.copied.push((slot.blocks, slot.seen));
                self.new = true;
                None
            }
            // What may yet run must be over before the same blocks are written again.
            (End::Unknown, Work::Write) => Some(Stage::Rests(sent + self.rules.longest)),
            // The module holds it back for now.
            (End::Refused, _) => Some(Stage::Rests(now + self.rules.report / 4)),
            (End::Unknown | End::Differs, _) => None,
        };
        match end {
            End::Done => self.failures = 0,
            End::Refused => {}
            End::Differs | End::Unknown => {
                self.failures = self.failures.saturating_add(1);
                self.counts[usize::from(end == End::Unknown)] += 1;
            }
        }
        match next {
            Some(stage) => slot.stage = stage,
            None => drop(self.slots.remove(&token)),
        }
    }

    /// What is copied, to be said in the log: at once where that is `fresh` and in a hurry, and again when it is
    /// not heard.
    pub fn report(&mut self, now: Time, fresh: bool) -> Option<Command> {
        let due = (fresh && self.new) || self.said.is_none_or(|at| now.since(at) >= self.rules.report);
        if self.copied.is_empty() || !due {
            return None;
        }
        (self.said, self.new) = (Some(now), false);
        Some(Command::Copied { id: self.id, number: self.number, parts: self.copied.clone() })
    }
}
