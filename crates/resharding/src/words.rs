//! What fronts say of a move, as it is applied.
use crate::moves::{Effect, Move, Moves, Phase, Standing, PARTS};
use cluster_types::{BlockRange, Index, MemberId};

impl Moves {
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn ready(
        &mut self,
        id: Index,
        by: &MemberId,
        life: u64,
        after: Index,
        index: Index,
        at_ms: u64,
        out: &mut Vec<Effect>,
    ) -> bool {
        let newest = self.away_at(by);
        let alive = self.lives.get(by) == Some(&life);
        let Some(m) = self.active.get_mut(&id) else { return false };
        let open = alive && m.phase.may_go_back() && after >= newest;
        match m.fronts.get_mut(by) {
            Some(s @ (Standing::Awaited | Standing::Away)) if open => *s = Standing::Uses { life, heard: 0 },
            _ => return false,
        }
        let copied = m.owing.remove(by).flatten().is_some();
        self.ran_over(id, copied, by, index, at_ms, out);
        self.advance(id, index, at_ms, out);
        true
    }

    /// A deposed mover has given its word: until now a late copy of it may have run over what others copied since.
    fn ran_over(
        &mut self,
        id: Index,
        copied: bool,
        by: &MemberId,
        index: Index,
        at_ms: u64,
        out: &mut Vec<Effect>,
    ) {
        let copies = |m: &Move| matches!(m.phase, Phase::Copy | Phase::CatchUp | Phase::HandOver { .. });
        if copied && self.active.get(&id).is_some_and(copies) {
            self.anew(id, by, index, at_ms, out);
        }
    }

    pub(crate) fn assign(&mut self, id: Index, mover: &MemberId, index: Index) -> bool {
        let Some(m) = self.active.get_mut(&id) else { return false };
        let copies = matches!(m.phase, Phase::Copy | Phase::CatchUp | Phase::HandOver { .. });
        let uses = matches!(m.fronts.get(mover), Some(Standing::Uses { .. }));
        let taken = copies && uses && m.mover.is_none();
        if taken {
            m.mover = Some((mover.clone(), index));
            m.last = Some(mover.clone());
        }
        taken
    }

    pub(crate) fn dirty(
        &mut self,
        id: Index,
        by: &MemberId,
        life: u64,
        number: u64,
        marks: &[BlockRange],
        index: Index,
    ) -> bool {
        let Some(m) = self.active.get_mut(&id) else { return false };
        let Some(Standing::Uses { life: l, heard }) = m.fronts.get_mut(by) else { return false };
        if *l != life || marks.len() > PARTS {
            return false;
        }
        *heard = number.max(*heard);
        // In prepare the whole range is still to be copied.
        if matches!(m.phase, Phase::Copy | Phase::CatchUp | Phase::HandOver { .. }) {
            for blocks in marks {
                let first = blocks.first.max(m.blocks.first);
                m.todo.add(BlockRange { first, end: blocks.end.min(m.blocks.end) }, index);
            }
        }
        true
    }

    #[allow(clippy::too_many_arguments)]
    pub(crate) fn copied(
        &mut self,
        id: Index,
        by: &MemberId,
        number: Index,
        parts: &[(BlockRange, Index)],
        index: Index,
        at_ms: u64,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(m) = self.active.get_mut(&id) else { return false };
        let mine = m.mover.as_ref().is_some_and(|(f, n)| f == by && *n == number);
        let copies = matches!(m.phase, Phase::Copy | Phase::CatchUp | Phase::HandOver { .. });
        if !mine || !copies || parts.len() > PARTS {
            return false;
        }
        for (blocks, seen) in parts {
            m.todo.remove(*blocks, (*seen).min(index));
        }
        self.advance(id, index, at_ms, out);
        true
    }

    pub(crate) fn freeze(&mut self, id: Index, index: Index, at_ms: u64, out: &mut Vec<Effect>) -> bool {
        let Some(m) = self.active.get(&id) else { return false };
        if m.phase != Phase::CatchUp || m.mover.is_none() || m.stray() {
            return false;
        }
        self.fence = index;
        self.turn(id, Phase::HandOver { freeze: index, quiet: Default::default() }, at_ms, out);
        true
    }

    pub(crate) fn hears_quiet(&self, id: Index, freeze: Index, by: &MemberId) -> bool {
        let Some(m) = self.active.get(&id) else { return false };
        matches!(&m.phase, Phase::HandOver { freeze: f, quiet } if *f == freeze && !quiet.contains(by))
    }

    pub(crate) fn moved(
        &mut self,
        id: Index,
        by: &MemberId,
        life: u64,
        index: Index,
        at_ms: u64,
        out: &mut Vec<Effect>,
    ) -> bool {
        let alive = self.lives.get(by) == Some(&life);
        let Some(m) = self.active.get_mut(&id).filter(|_| alive) else { return false };
        let Some(standing) = m.fronts.get_mut(by) else { return false };
        match (&mut m.phase, *standing) {
            (Phase::Switch { knows, .. }, Standing::Uses { life: l, .. }) if l == life => {
                knows.insert(by.clone());
            }
            (Phase::Switch { .. } | Phase::Release { .. }, Standing::Away) => {}
            _ => return false,
        }
        m.owing.remove(by);
        self.advance(id, index, at_ms, out);
        true
    }

    pub(crate) fn stopped(
        &mut self,
        id: Index,
        by: &MemberId,
        number: Index,
        index: Index,
        at_ms: u64,
        out: &mut Vec<Effect>,
    ) -> bool {
        let Some(m) = self.active.get_mut(&id) else { return false };
        let mine = m.mover.as_ref().is_some_and(|(f, n)| f == by && *n == number);
        if mine {
            m.mover = None;
        }
        let owed = m.owing.get(by) == Some(&Some(number));
        if owed {
            m.owing.insert(by.clone(), None);
        }
        self.ran_over(id, owed, by, index, at_ms, out);
        self.advance(id, index, at_ms, out);
        mine || owed
    }

    pub(crate) fn excuse(
        &mut self,
        member: &MemberId,
        index: Index,
        at_ms: u64,
        out: &mut Vec<Effect>,
    ) -> bool {
        self.away.insert(member.clone(), index);
        let mut taken = false;
        for id in self.active.keys().copied().collect::<Vec<_>>() {
            let mut copied = false;
            if let Some(m) = self.active.get_mut(&id) {
                let owed = m.owing.remove(member);
                copied = owed.flatten().is_some();
                taken |= owed.is_some();
                if let Some(s) = m.fronts.get_mut(member).filter(|s| **s == Standing::Awaited) {
                    *s = Standing::Away;
                    taken = true;
                }
            }
            self.ran_over(id, copied, member, index, at_ms, out);
            self.advance(id, index, at_ms, out);
        }
        taken
    }
}
