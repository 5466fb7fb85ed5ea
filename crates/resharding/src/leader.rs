//! The leader's side: it grants leases, judges which are out, and proposes the next steps. Nothing of it is
//! replicated; a new leader starts with a whole span of waiting.
use crate::moves::{Command, Move, Moves, Phase, Standing};
use crate::plan::Fault;
use crate::Rules;
use cluster_types::{BackendId, Index, MemberId, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What the leader knows beside the log.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Boxes that do not answer.
    pub dead: BTreeSet<BackendId>,
}

/// A lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// How long it lasts, from when it was asked for.
    pub span: Duration,
    /// How far the log was committed: a started front has caught up once it has applied this.
    pub upto: Index,
}

/// The leader's side.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leader {
    rules: Rules,
    since: Option<Time>,
    granted: BTreeMap<MemberId, Time>,
    judged: BTreeMap<MemberId, Index>,
    seen: BTreeMap<Index, (Index, u8, Time)>,
    thawed: BTreeMap<Index, (u32, Time)>,
}

fn stage(m: &Move) -> (Index, u8) {
    match &m.phase {
        Phase::HandOver { freeze, .. } => (*freeze, 1),
        Phase::Release { epoch } => (*epoch, 2),
        Phase::Back { .. } => (Index(0), 3),
        _ => (Index(0), 0),
    }
}

impl Leader {
    /// One that does not lead.
    pub fn new(rules: Rules) -> Leader {
        Leader {
            rules,
            since: None,
            granted: BTreeMap::new(),
            judged: BTreeMap::new(),
            seen: BTreeMap::new(),
            thawed: BTreeMap::new(),
        }
    }

    /// It leads, and has applied an entry of its own term. What others granted before may last for a whole lease
    /// from now.
    pub fn lead(&mut self, now: Time) {
        *self = Leader::new(self.rules.clone());
        self.since = Some(now);
    }

    /// It does not lead any more.
    pub fn follow(&mut self) {
        *self = Leader::new(self.rules.clone());
    }

    /// A front asks for its lease, and says how far it has applied the log. To be called only while no other can
    /// lead; nothing is given to a front that has not applied what took a right from it.
    pub fn ask(
        &mut self,
        now: Time,
        member: &MemberId,
        life: u64,
        applied: Index,
        moves: &Moves,
    ) -> Option<Grant> {
        self.since?;
        if let Some(at) = self.judged.get(member) {
            if moves.away_at(member) <= *at {
                return None;
            }
        }
        let other = moves.holds(member).is_some_and(|held| held != life);
        let there = moves.present.contains(member) && moves.lives.get(member) == Some(&life);
        if other || applied < moves.fence(member) || !there {
            return None;
        }
        self.judged.remove(member);
        self.granted.insert(member.clone(), now);
        Some(Grant { span: self.rules.lease, upto: moves.applied })
    }

    /// How long ago a front can have been given a lease; nothing where this one does not lead.
    pub fn silent(&self, now: Time, member: &MemberId) -> Option<Duration> {
        let since = self.since?;
        Some(now.since(self.granted.get(member).copied().unwrap_or(since).max(since)))
    }

    /// An operator says that a front does not run. Refused until it has been away for long enough.
    pub fn excuse(&self, now: Time, member: &MemberId) -> Result<Command, Fault> {
        match self.silent(now, member) {
            Some(silent) if silent > self.rules.expired_after() => {
                Ok(Command::Excuse { member: member.clone() })
            }
            Some(silent) => {
                let left = self.rules.expired_after().saturating_sub(silent).as_millis();
                Err(Fault::new("excuse", format!("{member} may still act: wait {left} ms and ask again")))
            }
            None => Err(Fault::new("excuse", "this front does not lead")),
        }
    }

    /// The next steps. To be asked often; what was not applied is proposed again.
    pub fn propose(&mut self, now: Time, moves: &Moves, view: &View) -> Vec<Command> {
        let mut out = Vec::new();
        if self.since.is_none() {
            return out;
        }
        let holders: BTreeMap<MemberId, u64> =
            moves.present.iter().filter_map(|f| moves.holds(f).map(|l| (f.clone(), l))).collect();
        for (member, life) in holders {
            if self.silent(now, &member).is_some_and(|s| s > self.rules.expired_after()) {
                self.judged.entry(member.clone()).or_insert(moves.applied);
                out.push(Command::Away { member, life });
            }
        }
        self.seen.retain(|id, _| moves.active.contains_key(id));
        self.thawed.retain(|id, _| moves.active.contains_key(id));
        for (id, m) in &moves.active {
            let (mark, kind) = stage(m);
            let seen = self.seen.entry(*id).or_insert((mark, kind, now));
            if (seen.0, seen.1) != (mark, kind) {
                *seen = (mark, kind, now);
            }
            let waited = now.since(seen.2);
            out.extend(self.next(now, *id, m, waited, moves, view));
        }
        let begins = moves.queue.values().find(|s| {
            let dead = view.dead.contains(&s.from) || view.dead.contains(&s.to);
            !dead && moves.hindered(s).is_none()
        });
        out.extend(begins.map(|s| Command::Begin { step: s.id }));
        out
    }

    fn next(
        &mut self,
        now: Time,
        id: Index,
        m: &Move,
        waited: Duration,
        moves: &Moves,
        view: &View,
    ) -> Option<Command> {
        if m.phase.may_go_back() && view.dead.contains(&m.to) {
            return Some(Command::Back { id, why: format!("{} does not answer", m.to) });
        }
        let alive = !view.dead.contains(&m.from);
        match &m.phase {
            Phase::Copy | Phase::CatchUp | Phase::HandOver { .. } if m.mover.is_none() => {
                self.mover(now, m, moves).map(|mover| Command::Assign { id, mover })
            }
            Phase::CatchUp if alive && m.todo.len() <= self.rules.small && !m.stray() => {
                let rested = self.thawed.get(&id).is_none_or(|(_, until)| now >= *until);
                rested.then_some(Command::Freeze { id })
            }
            Phase::HandOver { freeze, .. } if waited > self.rules.hand_over => {
                let times = self.thawed.get(&id).map_or(1, |(n, _)| (n + 1).min(4));
                self.thawed.insert(id, (times, now + self.rules.hand_over * 2u32.pow(times)));
                Some(Command::Thaw { id, freeze: *freeze })
            }
            Phase::Release { .. } | Phase::Back { .. }
                if moves.may_release(m) && waited > self.rules.longest =>
            {
                Some(Command::Released { id })
            }
            _ => None,
        }
    }

    /// The front that copies next: one that was heard of late, that copies least, and not the last one again
    /// where another can.
    fn mover(&self, now: Time, m: &Move, moves: &Moves) -> Option<MemberId> {
        let copies = |f: &MemberId| {
            moves.active.values().filter(|o| o.mover.as_ref().is_some_and(|(x, _)| x == f)).count()
        };
        m.fronts
            .iter()
            .filter(|(_, s)| matches!(s, Standing::Uses { .. }))
            .filter(|(f, _)| self.silent(now, f).is_some_and(|s| s < self.rules.lease))
            .map(|(f, _)| (m.last.as_ref() == Some(f), copies(f), f.clone()))
            .min()
            .map(|(_, _, f)| f)
    }
}
