//! What the leader of the log proposes next. Nothing hangs on its being right: `apply` checks all of it again.
use crate::back::Returning;
use crate::bounds::Step;
use crate::command::Command;
use crate::desk::Desk;
use crate::facts::{BoxFact, VolumeFact};
use crate::limits;
use crate::share;
use cluster_types::{BackendId, Index, MemberId, Volume};
use std::collections::{BTreeMap, BTreeSet};

/// So many `Observe` commands at once; the next call has the others.
const OBSERVES: usize = 4;

/// What the leader has collected of all fronts' measures.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Every front whose measures are in it had applied the log up to there when it measured.
    pub seen: Index,
    /// Whether discovery's list and the measures are complete. As long as they aren't, no box is taken for gone and none is
    /// granted.
    pub whole: bool,
    /// All boxes.
    pub boxes: BTreeMap<BackendId, BoxFact>,
    /// All volumes.
    pub volumes: BTreeMap<Volume, VolumeFact>,
    /// What each front usually sends to a box, by any measure; those not named are taken for none.
    pub traffic: BTreeMap<BackendId, BTreeMap<MemberId, u64>>,
    /// For how long a returning box has done well at its stage ([`crate::Watch`]).
    pub well_ms: BTreeMap<BackendId, u64>,
}

impl Desk {
    /// What to put into the log next. A step that is proposed again before it is applied does no harm.
    pub fn propose(&self, at_ms: u64, view: &View) -> Vec<Command> {
        let now = self.at_ms.max(at_ms);
        let mut out = self.observations(now, view);
        if out.is_empty() && self.due(now) {
            out.push(Command::Tick);
        }
        // What was observed stands before it in the log, and it is judged by that. To wait until nothing changes would
        // be to wait for ever in a large fleet.
        out.extend(self.next_grant(now, view));
        out.extend(self.returning().filter_map(|(id, returning)| self.next_stage(id, returning, view)));
        out
    }

    /// What differs from the replicated facts.
    fn observations(&self, now: u64, view: &View) -> Vec<Command> {
        let mut boxes: Vec<(BackendId, BoxFact)> = Vec::new();
        for (id, fact) in &view.boxes {
            let held = self.facts.boxes.get(id);
            let room = self.facts.boxes.len() < limits::KNOWN;
            if held.map_or(fact.listed && room, |k| k.fact != *fact && k.changed <= view.seen) {
                boxes.push((id.clone(), fact.clone()));
            }
        }
        if view.whole {
            let gone = self.facts.boxes.iter().filter(|(id, _)| !view.boxes.contains_key(*id));
            let gone = gone.filter(|(_, k)| k.fact.listed && k.changed <= view.seen);
            boxes.extend(gone.map(|(id, k)| (id.clone(), BoxFact { listed: false, ..k.fact.clone() })));
        }
        let concerned = self.concerned();
        let mut volumes: Vec<(Volume, VolumeFact)> = Vec::new();
        // Boxes come first: a volume's boxes must be known by then.
        if boxes.is_empty() {
            let known = |fact: &VolumeFact| {
                let mut fact = fact.clone();
                fact.boxes.retain(|b, _| self.facts.boxes.contains_key(b));
                fact
            };
            for (id, fact) in &view.volumes {
                if fact.boxes.len() <= limits::CARRIERS
                    && self.volume_differs(now, id, &known(fact), &concerned, view)
                {
                    volumes.push((id.clone(), fact.clone()));
                }
            }
            if view.whole {
                let gone = self.facts.volumes.iter().filter(|(id, _)| !view.volumes.contains_key(*id));
                let gone = gone.filter(|(_, m)| m.changed <= view.seen);
                volumes.extend(gone.map(|(id, _)| (id.clone(), VolumeFact::default())));
            }
        }
        let aged = self.facts.whole_ms.is_none_or(|at| at.saturating_add(self.rules.fresh_ms / 2) < now);
        let needed = self.facts.whole_ms.is_none() || self.wishes.values().any(|w| w.waits());
        // With boxes to come the volumes were not looked at yet.
        let mut whole = view.whole && boxes.is_empty();
        if boxes.is_empty() && volumes.is_empty() && !(whole && aged && needed) {
            return Vec::new();
        }
        let count = boxes.len().max(volumes.len()).div_ceil(limits::OBSERVED).max(1);
        whole &= count <= OBSERVES;
        let (mut boxes, mut volumes) = (boxes.into_iter(), volumes.into_iter());
        let observe = |n: usize| Command::Observe {
            seen: view.seen,
            whole: whole && n == count,
            boxes: boxes.by_ref().take(limits::OBSERVED).collect(),
            volumes: volumes.by_ref().take(limits::OBSERVED).collect(),
        };
        (1..=count.min(OBSERVES)).map(observe).collect()
    }

    /// The boxes whose volumes must be measured: all that a wish waits for.
    fn concerned(&self) -> BTreeSet<&BackendId> {
        let waiting = self.wishes.values().filter(|w| w.waits());
        waiting.flat_map(|w| w.boxes.keys()).collect()
    }

    /// Where a volume lies and what is reserved always matters; what boxes carry only as long as a wish hangs on it.
    fn volume_differs(
        &self,
        now: u64,
        id: &Volume,
        fact: &VolumeFact,
        concerned: &BTreeSet<&BackendId>,
        view: &View,
    ) -> bool {
        let Some(held) = self.facts.volumes.get(id) else {
            return !fact.boxes.is_empty() && self.facts.volumes.len() < limits::VOLUMES;
        };
        if held.changed > view.seen {
            return false;
        }
        if held.fact.reserved != fact.reserved || !held.fact.boxes.keys().eq(fact.boxes.keys()) {
            return true;
        }
        if !fact.boxes.keys().any(|b| concerned.contains(b)) {
            return false;
        }
        let far = |(a, b): (&u64, &u64)| a.abs_diff(*b) > a.max(b) / 16;
        held.at_ms.saturating_add(self.rules.fresh_ms / 2) < now
            || held.fact.boxes.values().zip(fact.boxes.values()).any(far)
    }

    /// Whether time alone brings something about.
    fn due(&self, now: u64) -> bool {
        let missed = self.wishes.values().any(|w| w.waits() && w.by_ms.is_some_and(|by| by <= now));
        let late = |at: u64, span: u64| at.saturating_add(span) < now;
        let overdue =
            self.grants.values().any(|g| !g.overdue && g.free_ms.is_some_and(|at| late(at, g.work_ms)));
        let gone = |k: &crate::facts::Known| k.gone_ms.is_some_and(|at| late(at, self.rules.gone_ms));
        let gone = self.facts.boxes.iter().any(|(id, k)| gone(k) && !self.places.contains_key(id));
        missed || overdue || gone
    }

    /// The first step that may go, the longest-waiting first. One at a time: the next is judged with this one applied.
    fn next_grant(&self, now: u64, view: &View) -> Option<Command> {
        if !view.whole || !self.wishes.values().any(|w| w.waits()) {
            return None;
        }
        let lately = |at: u64| at.saturating_add(self.rules.fresh_ms) >= now;
        if !self.facts.whole_ms.is_some_and(lately) {
            return None;
        }
        let judge = self.judge();
        let open = self.open();
        let mut steps = open.iter().flat_map(|(n, w)| w.steps().into_iter().map(move |s| (*n, s)));
        let (name, boxes): (&str, Step) = steps.find(|(n, s)| self.may_go(&judge, n, s).is_ok())?;
        Some(Command::Grant { name: name.into(), boxes })
    }

    /// The next stage of a box, other parts at the same one, or that it is warm.
    fn next_stage(&self, id: &BackendId, returning: &Returning, view: &View) -> Option<Command> {
        let fact = self.facts.fact(id)?;
        if fact.died || !fact.listed {
            return None;
        }
        let well = view.well_ms.get(id).is_some_and(|ms| *ms >= self.rules.stage_ms);
        let last = returning.stage.is_some_and(|s| s >= self.rules.last_stage());
        if last && well && !fact.cold {
            return Some(Command::Warm { id: id.clone(), number: returning.number });
        }
        let stage = match returning.stage {
            None => 0,
            Some(stage) if well && !last => stage + 1,
            Some(stage) => stage,
        };
        let traffic = |m: &MemberId| view.traffic.get(id).and_then(|t| t.get(m)).copied().unwrap_or(0);
        let weights = self.present().map(|m| (m.clone(), traffic(m))).collect();
        let mut parts = share::parts(self.rules.share(stage), &weights);
        if returning.stage == Some(stage) && !self.parts_amiss(returning, &parts) {
            return None;
        }
        let room = self.rules.share(stage);
        if returning.most_with(&parts) > u32::from(room) {
            parts = returning.within(&parts, room);
        }
        let mut held = returning.parts();
        held.retain(|_, n| *n > 0);
        parts.retain(|_, n| *n > 0);
        let same = returning.stage == Some(stage) && parts == held;
        (!same).then(|| Command::Stage { id: id.clone(), after: returning.number, stage, parts })
    }

    /// Whether other parts are worth a step: a front has come or left, or much of the stage is not given out.
    fn parts_amiss(&self, returning: &Returning, wanted: &BTreeMap<MemberId, u16>) -> bool {
        let mut held = returning.parts();
        held.retain(|_, n| *n > 0);
        let sum = |p: &BTreeMap<MemberId, u16>| p.values().map(|n| u32::from(*n)).sum::<u32>();
        !held.keys().eq(wanted.iter().filter(|(_, n)| **n > 0).map(|(m, _)| m))
            || sum(&held) * 4 < sum(wanted) * 3
    }
}
