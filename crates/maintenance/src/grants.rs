//! Boxes go out: grants, and what fronts report of them.
use crate::back::Returning;
use crate::bounds::{Step, Tally};
use crate::command::Effect;
use crate::desk::{Desk, Place};
use crate::why::Why;
use crate::wish::Fate;
use cluster_types::{BackendId, Index, MemberId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A grant, by its number: the place of its command in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The wish.
    pub name: String,
    /// The boxes that are still out under it.
    pub boxes: BTreeSet<BackendId>,
    /// The fronts that have drained them, each with the life in which it did.
    pub drained: BTreeSet<MemberId>,
    /// The log's time at which all had, and the operator was told to open.
    pub free_ms: Option<u64>,
    /// How long they may be open.
    pub work_ms: u64,
    /// Whether it was told that they are out for longer.
    pub overdue: bool,
}

/// What a step is judged by.
pub(crate) struct Judge<'a> {
    tally: Tally<'a>,
    granted: Tally<'a>,
    queue: Vec<(Index, &'a str, Step)>,
}

impl Desk {
    /// Whether a step may be granted now. All is judged by replicated facts: who proposes it is not trusted.
    pub(crate) fn may_go(&self, judge: &Judge, name: &str, step: &Step) -> Result<(), Why> {
        let Judge { tally, granted, queue } = judge;
        let wish = self.wishes.get(name).ok_or(Why::Unknown)?;
        if !wish.steps().contains(step) {
            return Err(Why::Late);
        }
        for id in step {
            let fact = self.facts.fact(id).filter(|f| f.listed).ok_or_else(|| Why::NotListed(id.clone()))?;
            match self.places.get(id) {
                Some(Place::Returning(_)) if fact.died => {}
                Some(_) => return Err(Why::Busy(id.clone())),
                None => {}
            }
        }
        if self.present().next().is_none() {
            return Err(Why::NoFronts);
        }
        tally.fits_now(step).and_then(|()| granted.fits_now(step)).map_err(Why::Bound)?;
        if !self.fresh(step) {
            return Err(Why::Stale);
        }
        let mut older = queue.iter().take_while(|(number, _, _)| *number < wish.number);
        let held = older.find(|(_, _, s)| tally.holds(granted, s, step));
        held.map_or(Ok(()), |(_, n, _)| Err(Why::Behind((*n).into())))
    }

    pub(crate) fn judge(&self) -> Judge<'_> {
        let tally = Tally::new(self);
        Judge { granted: Tally::granted(self), queue: tally.queue(), tally }
    }

    /// Whether what a step rests on was measured lately.
    pub(crate) fn fresh(&self, step: &Step) -> bool {
        let lately = |at: u64| at.saturating_add(self.rules.fresh_ms) >= self.at_ms;
        self.facts.whole_ms.is_some_and(lately)
            && step.iter().all(|b| self.facts.volumes_of(b).all(|(_, m)| lately(m.at_ms)))
    }

    pub(crate) fn grant(&mut self, name: &str, boxes: &Step, out: &mut Vec<Effect>) -> Result<(), Why> {
        self.may_go(&self.judge(), name, boxes)?;
        let grant = self.applied;
        let Some(wish) = self.wishes.get_mut(name) else { return Err(Why::Unknown) };
        for id in boxes {
            wish.boxes.insert(id.clone(), Fate::Out(grant));
            self.places.insert(id.clone(), Place::Out(grant));
        }
        let (name, boxes, work_ms) = (name.to_string(), boxes.clone(), wish.work_ms);
        out.push(Effect::Drain { grant, boxes: boxes.clone() });
        let drained = BTreeSet::new();
        self.grants.insert(grant, Grant { name, boxes, drained, free_ms: None, work_ms, overdue: false });
        Ok(())
    }

    pub(crate) fn drained(
        &mut self,
        by: &MemberId,
        grant: Index,
        member: &MemberId,
        out: &mut Vec<Effect>,
    ) -> Result<(), Why> {
        if by != member {
            return Err(Why::NotItsWord);
        }
        if !self.present().any(|m| m == member) {
            return Err(Why::NotPresent);
        }
        let held = self.grants.get_mut(&grant).ok_or(Why::Unknown)?;
        held.drained.insert(member.clone());
        self.free(out);
        Ok(())
    }

    /// Reports as free what all fronts that serve have drained: once each.
    pub(crate) fn free(&mut self, out: &mut Vec<Effect>) {
        let present: Vec<MemberId> = self.present().cloned().collect();
        for (number, grant) in &mut self.grants {
            if grant.free_ms.is_none() && present.iter().all(|m| grant.drained.contains(m)) {
                grant.free_ms = Some(self.at_ms);
                let (name, boxes) = (grant.name.clone(), grant.boxes.clone());
                out.push(Effect::Free { grant: *number, name, boxes });
            }
        }
    }

    /// Tells once of each grant that is open for longer than stated; it goes on counting.
    pub(crate) fn overdue(&mut self, out: &mut Vec<Effect>) {
        for (number, grant) in &mut self.grants {
            let until = grant.free_ms.map(|at| at.saturating_add(grant.work_ms));
            if !grant.overdue && until.is_some_and(|until| until < self.at_ms) {
                grant.overdue = true;
                let (name, boxes) = (grant.name.clone(), grant.boxes.clone());
                out.push(Effect::Overdue { grant: *number, name, boxes });
            }
        }
    }

    pub(crate) fn returned(&mut self, name: &str, id: &BackendId, out: &mut Vec<Effect>) -> Result<(), Why> {
        let number = self.applied;
        let held = self.wish_named(name).ok_or(Why::Unknown)?;
        let Some(Fate::Out(grant)) = held.boxes.get(id).copied() else { return Err(Why::Late) };
        let Some(wish) = self.wishes.get_mut(name) else { return Err(Why::Late) };
        wish.boxes.insert(id.clone(), Fate::Back);
        if let Some(held) = self.grants.get_mut(&grant) {
            held.boxes.remove(id);
            if held.boxes.is_empty() {
                self.grants.remove(&grant);
            }
        }
        // Whatever was measured before, it counts as cold until it was measured again.
        let known = self.facts.boxes.get_mut(id).filter(|k| k.fact.listed);
        let Some(known) = known else {
            self.places.remove(id);
            out.push(Effect::In { id: id.clone() });
            return Ok(());
        };
        known.fact.cold = true;
        known.changed = number;
        self.places.insert(id.clone(), Place::Returning(Returning::new(number)));
        out.push(Effect::Return { id: id.clone(), number, stage: None });
        Ok(())
    }

    pub(crate) fn withdraw(&mut self, name: &str, out: &mut Vec<Effect>) -> Result<(), Why> {
        let open = |desk: &Desk, grant: &Index| desk.grants.get(grant).is_some_and(|g| g.free_ms.is_some());
        self.leave(name, open, out)
    }

    pub(crate) fn done(&mut self, name: &str, out: &mut Vec<Effect>) -> Result<(), Why> {
        self.leave(name, |_, _| false, out)
    }

    /// Drops what waits of a wish and puts back what is out, but for what stays.
    fn leave(
        &mut self,
        name: &str,
        stays: fn(&Desk, &Index) -> bool,
        out: &mut Vec<Effect>,
    ) -> Result<(), Why> {
        if let Some(wish) = self.wishes.get_mut(name) {
            wish.end_waiting(Fate::Withdrawn);
            let outs: BTreeMap<BackendId, Fate> = wish.boxes.clone();
            for (id, fate) in outs {
                if matches!(fate, Fate::Out(grant) if !stays(self, &grant)) {
                    self.returned(name, &id, out)?;
                }
            }
        }
        out.push(Effect::Told(self.status(name).ok_or(Why::Unknown)?));
        Ok(())
    }

    /// The grant that is still running, by its number.
    pub fn grant_numbered(&self, grant: Index) -> Option<&Grant> {
        self.grants.get(&grant)
    }

    /// All grants that are running.
    pub fn grants(&self) -> impl Iterator<Item = (Index, &Grant)> {
        self.grants.iter().map(|(n, g)| (*n, g))
    }
}
