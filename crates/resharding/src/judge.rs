//! What a move does by itself once a command has changed it: all fronts replicate the same.
use crate::moves::{Effect, Move, Moves, Phase, Standing, PAST};
use crate::runs::Runs;
use cluster_types::{Index, MemberId};

impl Moves {
    /// Puts a move to another phase.
    pub(crate) fn turn(&mut self, id: Index, phase: Phase, at_ms: u64, out: &mut Vec<Effect>) {
        if let Some(m) = self.active.get_mut(&id) {
            out.push(Effect::Changed { id, phase: phase.name() });
            (m.phase, m.since_ms) = (phase, at_ms);
        }
    }

    /// Lets a move go on as far as it can.
    pub(crate) fn advance(&mut self, id: Index, index: Index, at_ms: u64, out: &mut Vec<Effect>) {
        loop {
            let Some(m) = self.active.get_mut(&id) else { return };
            let awaited = m.fronts.values().any(|s| *s == Standing::Awaited);
            let uses = |s: &Standing| matches!(s, Standing::Uses { .. });
            let next = match &m.phase {
                Phase::Prepare if !awaited => {
                    (m.todo, m.pass) = (Runs::of(m.blocks, index), index);
                    Phase::Copy
                }
                Phase::Copy if m.todo.iter().all(|(_, at)| at > m.pass) => Phase::CatchUp,
                Phase::HandOver { quiet, .. } => {
                    let all = m.fronts.iter().all(|(f, s)| !uses(s) || quiet.contains(f));
                    if awaited || !all || m.stray() || !m.todo.is_empty() {
                        return;
                    }
                    m.mover = None;
                    let (volume, blocks, on) = (m.volume.clone(), m.blocks, m.to.clone());
                    self.placement.put(&volume, blocks, &on, index);
                    self.fence = index;
                    out.push(Effect::Placed { volume, blocks, on, epoch: index });
                    Phase::Switch { epoch: index, knows: Default::default() }
                }
                Phase::Switch { epoch, knows } => {
                    if !m.fronts.iter().all(|(f, s)| !uses(s) || knows.contains(f)) {
                        return;
                    }
                    Phase::Release { epoch: *epoch }
                }
                _ => return,
            };
            self.turn(id, next, at_ms, out);
        }
    }

    /// What a front wrote is not known: all has to be copied again.
    pub(crate) fn anew(
        &mut self,
        id: Index,
        member: &MemberId,
        index: Index,
        at_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        if let Some(m) = self.active.get_mut(&id) {
            (m.todo, m.pass) = (Runs::of(m.blocks, index), index);
            out.push(Effect::Anew { id, member: member.clone() });
            self.turn(id, Phase::Copy, at_ms, out);
        }
    }

    /// A front has no right to any range in motion from here on.
    pub(crate) fn judged(
        &mut self,
        member: &MemberId,
        life: u64,
        index: Index,
        at_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        let ids: Vec<Index> = self.active.keys().copied().collect();
        for id in ids {
            let Some(m) = self.active.get_mut(&id) else { continue };
            let uses = matches!(m.fronts.get(member), Some(Standing::Uses { life: l, .. }) if *l == life);
            if !uses {
                continue;
            }
            m.fronts.insert(member.clone(), Standing::Away);
            let number = m.mover.as_ref().filter(|(f, _)| f == member).map(|(_, n)| *n);
            if number.is_some() {
                m.mover = None;
            }
            let before = m.owing.get(member).copied().flatten();
            m.owing.insert(member.clone(), number.or(before));
            match &m.phase {
                Phase::Copy | Phase::CatchUp => self.anew(id, member, index, at_ms, out),
                // A quiet front has said all that it wrote, and writes nothing until it knows of a thaw.
                Phase::HandOver { quiet, .. } if number.is_none() && quiet.contains(member) => {}
                Phase::HandOver { .. } => self.anew(id, member, index, at_ms, out),
                Phase::Prepare | Phase::Switch { .. } | Phase::Release { .. } | Phase::Back { .. } => {}
            }
            self.advance(id, index, at_ms, out);
        }
    }

    /// Sends a move back to its old place.
    pub(crate) fn back(&mut self, id: Index, why: &str, at_ms: u64, out: &mut Vec<Effect>) -> bool {
        let open = self.active.get(&id).is_some_and(|m| m.phase.may_go_back());
        if open {
            self.turn(id, Phase::Back { why: why.to_string() }, at_ms, out);
        }
        open
    }

    /// Whether the place that a move leaves can be given to others, but for the time that has to pass.
    pub fn may_release(&self, m: &Move) -> bool {
        match &m.phase {
            Phase::Release { .. } => m.owing.is_empty(),
            Phase::Back { .. } => m.mover.is_none() && !m.stray(),
            _ => false,
        }
    }

    /// Ends a move.
    pub(crate) fn end(&mut self, id: Index, out: &mut Vec<Effect>) -> bool {
        if !self.active.get(&id).is_some_and(|m| self.may_release(m)) {
            return false;
        }
        let Some(m) = self.active.remove(&id) else { return false };
        let (on, how) = match &m.phase {
            Phase::Back { why } => (m.to.clone(), format!("went back: {why}")),
            _ => (m.from.clone(), "done".to_string()),
        };
        if how == "done" && self.queue.get(&m.step).is_some_and(|s| same(s, &m)) {
            self.queue.remove(&m.step);
            self.done.insert(m.step);
        }
        out.push(Effect::Changed { id, phase: "ended" });
        out.push(Effect::Freed { on, volume: m.volume.clone(), blocks: m.blocks });
        self.past.push_back((m.step, how));
        while self.past.len() > PAST {
            self.past.pop_front();
        }
        true
    }
}

/// Whether a move is that of a step.
pub(crate) fn same(step: &crate::planner::Step, m: &Move) -> bool {
    step.volume == m.volume && step.blocks == m.blocks && step.from == m.from && step.to == m.to
}
