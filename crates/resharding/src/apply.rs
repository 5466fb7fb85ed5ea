//! Applying commands: the same on all fronts, whatever comes. A command that is late, doubled or wrong changes
//! nothing and is counted.
use crate::judge::same;
use crate::moves::{Command, Effect, Move, Moves, Phase, Standing, PARTS, STEPS};
use crate::plan::Bounds;
use crate::planner::Step;
use crate::runs::Runs;
use cluster_types::{BackendId, BlockRange, Index, MemberId, Volume};
use std::collections::BTreeMap;

impl Moves {
    /// Applies a command of the log.
    pub fn apply(&mut self, index: Index, at_ms: u64, by: &MemberId, command: &Command) -> Vec<Effect> {
        let mut out = Vec::new();
        if index <= self.applied {
            self.ignored += 1;
            return out;
        }
        self.applied = index;
        let (i, ms, o) = (index, at_ms, &mut out);
        let taken = match command {
            Command::Present { life } => self.joined(by, *life),
            Command::Left { life } => self.lives.get(by) == Some(life) && self.left(by, i, ms, o),
            Command::Adopt { volume, ranges } => self.adopt(volume, ranges, i, o),
            Command::Replace { plan, steps, bounds } => self.replace(plan, steps, bounds, ms, o),
            Command::Begin { step } => self.begin(*step, i, ms, o),
            Command::Ready { id, life, after } => self.ready(*id, by, *life, *after, i, ms, o),
            Command::Assign { id, mover } => self.assign(*id, mover, i),
            Command::Dirty { id, life, number, marks } => self.dirty(*id, by, *life, *number, marks, i),
            Command::Copied { id, number, parts } => self.copied(*id, by, *number, parts, i, ms, o),
            Command::Freeze { id } => self.freeze(*id, i, ms, o),
            Command::Quiet { id, freeze, life, number, marks } => {
                self.hears_quiet(*id, *freeze, by) && self.dirty(*id, by, *life, *number, marks, i) && {
                    if let Some(Phase::HandOver { quiet, .. }) = self.active.get_mut(id).map(|m| &mut m.phase)
                    {
                        quiet.insert(by.clone());
                    }
                    self.advance(*id, i, ms, o);
                    true
                }
            }
            Command::Thaw { id, freeze } => {
                let frozen = |m: &Move| matches!(&m.phase, Phase::HandOver { freeze: f, .. } if f == freeze);
                let taken = self.active.get(id).is_some_and(frozen);
                if let Some(m) = self.active.get_mut(id).filter(|_| taken) {
                    m.thaws = m.thaws.saturating_add(1);
                    self.turn(*id, Phase::CatchUp, ms, o);
                }
                taken
            }
            Command::Moved { id, life } => self.moved(*id, by, *life, i, ms, o),
            Command::Away { member, life } => {
                self.away.insert(member.clone(), i);
                self.judged(member, *life, i, ms, o);
                true
            }
            Command::Excuse { member } => self.excuse(member, i, ms, o),
            Command::Back { id, why } => self.back(*id, why, ms, o),
            Command::Cancel { id } => {
                let step = self.active.get(id).map(|m| m.step);
                let taken = self.back(*id, "an operator's word", ms, o);
                if let Some(step) = step.filter(|_| taken) {
                    self.queue.remove(&step);
                }
                taken
            }
            Command::Stopped { id, number } => self.stopped(*id, by, *number, i, ms, o),
            Command::Released { id } => self.end(*id, o),
        };
        self.ignored += u64::from(!taken);
        out
    }

    fn joined(&mut self, by: &MemberId, life: u64) -> bool {
        if self.lives.get(by).is_some_and(|l| *l >= life) {
            return false;
        }
        self.lives.insert(by.clone(), life);
        self.present.insert(by.clone());
        self.active.values_mut().for_each(|m| {
            m.fronts.entry(by.clone()).or_insert(Standing::Away);
        });
        true
    }

    fn left(&mut self, by: &MemberId, index: Index, at_ms: u64, out: &mut Vec<Effect>) -> bool {
        let was = self.present.remove(by);
        for id in self.active.keys().copied().collect::<Vec<_>>() {
            if let Some(m) = self.active.get_mut(&id).filter(|_| was) {
                m.fronts.remove(by);
                m.owing.remove(by);
                m.mover = m.mover.take().filter(|(f, _)| f != by);
            }
            self.advance(id, index, at_ms, out);
        }
        was
    }

    fn adopt(
        &mut self,
        volume: &Volume,
        ranges: &[(BlockRange, BackendId)],
        index: Index,
        out: &mut Vec<Effect>,
    ) -> bool {
        let mut sorted: Vec<BlockRange> = ranges.iter().map(|(b, _)| *b).collect();
        sorted.sort();
        let apart = sorted.windows(2).all(|w| w[0].end == w[1].first);
        let whole = sorted.first().is_some_and(|b| b.first == 0) && sorted.iter().all(|b| !b.is_empty());
        if self.placement.knows(volume) || !apart || !whole || ranges.len() > PARTS {
            return false;
        }
        for (blocks, on) in ranges {
            self.placement.put(volume, *blocks, on, index);
            out.push(Effect::Placed {
                volume: volume.clone(),
                blocks: *blocks,
                on: on.clone(),
                epoch: index,
            });
        }
        true
    }

    fn replace(
        &mut self,
        plan: &str,
        steps: &[Step],
        bounds: &Bounds,
        at_ms: u64,
        out: &mut Vec<Effect>,
    ) -> bool {
        let queue: BTreeMap<u32, Step> = steps.iter().map(|s| (s.id, s.clone())).collect();
        if queue.len() != steps.len() || steps.len() > STEPS || steps.iter().any(|s| s.blocks.is_empty()) {
            return false;
        }
        self.plan = Some(plan.to_string());
        self.bounds = bounds.clone();
        self.done.clear();
        for id in self.active.keys().copied().collect::<Vec<_>>() {
            let Some(m) = self.active.get_mut(&id) else { continue };
            match steps.iter().find(|s| same(s, m)) {
                Some(step) => (m.step, m.why) = (step.id, step.why.clone()),
                None => {
                    // It is no step of this plan; its end must not count as one.
                    m.step = 0;
                    self.back(id, "the plan was replaced", at_ms, out);
                }
            }
        }
        self.queue = queue;
        true
    }

    fn begin(&mut self, step: u32, index: Index, at_ms: u64, out: &mut Vec<Effect>) -> bool {
        let Some(s) = self.queue.get(&step).cloned() else { return false };
        if self.hindered(&s).is_some() {
            return false;
        }
        if !self.placement.wholly(&s.volume, s.blocks, &s.from) || s.from == s.to {
            self.queue.remove(&step);
            let why = format!("{} of {} are not on {}", s.blocks, s.volume, s.from);
            out.push(Effect::Dropped { step, why });
            return true;
        }
        let fronts = self.present.iter().map(|f| (f.clone(), Standing::Awaited)).collect();
        let m = Move {
            step,
            volume: s.volume,
            blocks: s.blocks,
            from: s.from,
            to: s.to,
            why: s.why,
            phase: Phase::Prepare,
            fronts,
            mover: None,
            last: None,
            todo: Runs::default(),
            pass: index,
            thaws: 0,
            owing: BTreeMap::new(),
            since_ms: at_ms,
        };
        self.active.insert(index, m);
        out.push(Effect::Changed { id: index, phase: "prepare" });
        true
    }
}
