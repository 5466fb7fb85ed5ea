//! A front's side: who may use which blocks where, now. Ranges that do not move are served from the last
//! placement that is known, whatever is silent.
pub use crate::answers::{Controlled, Ending, Kept, May, Part, Why};
use crate::moves::{Move, Moves, Phase, Standing};
use crate::runs::Runs;
use crate::Rules;
use cluster_types::{BlockRange, Index, MemberId, Time, Volume};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// So many commands may be out.
const OUT: usize = 65_536;
/// So many ranges one command may touch.
const PARTS: usize = 16;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Out {
    volume: Volume,
    blocks: BlockRange,
    epochs: Vec<Index>,
    write: bool,
    sent: Time,
    away: Index,
}

/// What was written behind the copy of one move.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Marks {
    pub fresh: Runs,
    pub said: Runs,
    pub number: u64,
}

/// The gate of one front, or of one shard of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Gate {
    pub(crate) me: MemberId,
    pub(crate) life: u64,
    pub(crate) rules: Rules,
    pub(crate) started: Time,
    pub(crate) known: Arc<Moves>,
    pub(crate) promised: BTreeSet<Index>,
    pub(crate) marks: BTreeMap<Index, Marks>,
    controlled: Controlled,
    until: Time,
    barrier: Option<Index>,
    caught_up: bool,
    outs: BTreeMap<u64, Out>,
    lingering: Vec<(Time, Volume, BlockRange)>,
    next: u64,
    /// Commands refused, by reason, and those that may have run.
    pub counts: [u64; 4],
}

enum Right {
    Free,
    Held,
    Soon,
    None,
}

impl Gate {
    /// The gate of a process that starts, with what it kept of the log.
    pub fn new(
        me: MemberId,
        life: u64,
        rules: Rules,
        controlled: Controlled,
        kept: Arc<Moves>,
        now: Time,
    ) -> Gate {
        Gate {
            me,
            life,
            rules,
            started: now,
            known: kept,
            promised: BTreeSet::new(),
            marks: BTreeMap::new(),
            controlled,
            until: Time(0),
            barrier: None,
            caught_up: false,
            outs: BTreeMap::new(),
            lingering: Vec::new(),
            next: 0,
            counts: [0; 4],
        }
    }

    /// What this front has applied of the log.
    pub fn learn(&mut self, moves: Arc<Moves>) {
        if moves.applied >= self.known.applied {
            self.known = moves;
        }
        self.caught_up |= self.barrier.is_some_and(|b| self.known.applied >= b);
        let moves = &self.known;
        self.promised.retain(|id| moves.active.contains_key(id));
        self.marks.retain(|id, _| moves.active.get(id).is_some_and(|m| m.phase.may_go_back()));
    }

    /// A lease that was asked for at that time has been granted.
    pub fn granted(&mut self, asked: Time, upto: Index) {
        self.until = self.until.max(self.rules.until(asked));
        self.barrier.get_or_insert(upto);
        self.caught_up |= self.known.applied >= upto;
    }

    /// Until when the front may use ranges in motion.
    pub fn lease(&self) -> Time {
        self.until
    }

    /// Whether the lease holds, and the front has caught up since its start.
    pub fn leased(&self, now: Time) -> bool {
        self.caught_up && now < self.until
    }

    fn right(&self, now: Time, id: Index, m: &Move) -> Right {
        match m.fronts.get(&self.me) {
            Some(Standing::Awaited) if !self.promised.contains(&id) && self.caught_up => Right::Free,
            _ if !self.leased(now) => Right::None,
            Some(Standing::Uses { life, .. }) if *life == self.life => Right::Held,
            Some(Standing::Awaited) if self.promised.contains(&id) => Right::Held,
            _ => Right::Soon,
        }
    }

    /// Whether a command may go now. To be asked right before it is sent.
    pub fn may(&mut self, now: Time, volume: &Volume, blocks: BlockRange, write: bool) -> May {
        let controlled = match &self.controlled {
            Controlled::All => true,
            Controlled::Only(some) => some.contains(volume),
        };
        if write && !self.caught_up && (controlled || self.known.placement.knows(volume)) {
            return self.refuse(Why::Started);
        }
        let known = Arc::clone(&self.known);
        let parts: Vec<Part> =
            known.placement.find(volume, blocks).unwrap_or_default().into_iter().map(part).collect();
        if self.outs.len() >= OUT || parts.len() > PARTS {
            return self.refuse(Why::Full);
        }
        let mut wait = false;
        for (id, m) in known.over(volume, &blocks).filter(|(_, m)| m.phase.moves()) {
            match self.right(now, id, m) {
                Right::Free => continue,
                Right::None => return self.refuse(Why::Lease),
                Right::Soon => wait = true,
                Right::Held => {
                    wait |= write && matches!(m.phase, Phase::HandOver { .. } | Phase::Switch { .. });
                }
            }
        }
        if wait {
            return May::Wait;
        }
        self.next += 1;
        let epochs = parts.iter().map(|p| p.epoch).collect();
        let away = known.away_at(&self.me);
        self.outs.insert(self.next, Out { volume: volume.clone(), blocks, epochs, write, sent: now, away });
        May::Go { parts, ticket: self.next, sure: self.caught_up }
    }

    fn refuse(&mut self, why: Why) -> May {
        self.counts[why as usize] += 1;
        May::Refuse(why)
    }

    /// A command has ended. Tells whether its answer may be passed on.
    pub fn done(&mut self, ticket: u64, now: Time, ending: Ending) -> Kept {
        let Some(out) = self.outs.remove(&ticket) else { return Kept::MayHaveRun };
        if !out.write || ending == Ending::NotRun {
            return Kept::Keep;
        }
        let known = Arc::clone(&self.known);
        let mut keep = true;
        for (id, m) in known.over(&out.volume, &out.blocks) {
            if m.phase.may_go_back() {
                self.marks.entry(id).or_default().fresh.add(out.blocks, Index(0));
            }
            let held = match self.right(now, id, m) {
                Right::Free => true,
                Right::Held => out.away == known.away_at(&self.me),
                Right::Soon | Right::None => false,
            };
            keep &= held || !m.phase.moves();
        }
        if ending == Ending::Unknown {
            self.lingering.push((out.sent + self.rules.longest, out.volume.clone(), out.blocks));
        }
        let epochs = known.placement.find(&out.volume, out.blocks).unwrap_or_default();
        keep &= epochs.iter().map(|p| p.epoch).eq(out.epochs.iter().copied());
        if keep && ending == Ending::Ran {
            return Kept::Keep;
        }
        self.counts[3] += 1;
        Kept::MayHaveRun
    }

    /// Forgets what lingered for long enough; it may have run until now, and is marked once more.
    pub(crate) fn settle(&mut self, now: Time) {
        let known = Arc::clone(&self.known);
        let (ended, left) =
            std::mem::take(&mut self.lingering).into_iter().partition(|(until, _, _)| *until < now);
        self.lingering = left;
        let ended: Vec<(Time, Volume, BlockRange)> = ended;
        for (_, volume, blocks) in ended {
            for (id, _) in known.over(&volume, &blocks).filter(|(_, m)| m.phase.may_go_back()) {
                self.marks.entry(id).or_default().fresh.add(blocks, Index(0));
            }
        }
    }

    /// Whether no write to a range is out, nor may run yet.
    pub(crate) fn quiet(&self, m: &Move) -> bool {
        let over = |v: &Volume, b: &BlockRange| *v == m.volume && m.blocks.overlaps(b);
        !self.outs.values().any(|o| o.write && over(&o.volume, &o.blocks))
            && !self.lingering.iter().any(|(_, v, b)| over(v, b))
    }

    /// Whether nothing is out and nothing is left to say: the front may leave by its own word.
    pub fn may_leave(&self) -> bool {
        let said = self.marks.values().all(|m| m.fresh.is_empty() && m.said.is_empty());
        said && self.lingering.is_empty() && !self.outs.values().any(|o| o.write)
    }
}

fn part(placed: crate::Placed) -> Part {
    Part { blocks: placed.blocks, on: placed.on, epoch: placed.epoch }
}
