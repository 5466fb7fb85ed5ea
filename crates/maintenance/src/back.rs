//! Boxes come back: in stages, each of which gives every front its part of the box's cold budget.
use crate::command::Effect;
use crate::desk::{Desk, Place};
use crate::why::Why;
use cluster_types::{BackendId, Index, MemberId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A front's part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Part {
    /// What it is to keep to.
    pub(crate) now: u16,
    /// The most that it may still be acting on, as long as it has not said that it keeps to `now`.
    pub(crate) held: u16,
    /// Whether it has.
    pub(crate) heard: bool,
}

/// A box on its way back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Returning {
    /// The number of its last step: a report of an earlier one says nothing of it.
    pub(crate) number: Index,
    /// When its stage began.
    pub(crate) began: Index,
    /// The stage; none as long as no front has a part.
    pub(crate) stage: Option<usize>,
    pub(crate) parts: BTreeMap<MemberId, Part>,
}

impl Returning {
    pub(crate) fn new(number: Index) -> Returning {
        Returning { number, began: number, stage: None, parts: BTreeMap::new() }
    }

    /// It died on its way: all of it again. What fronts hold counts until each has said that it let go.
    pub(crate) fn restart(&mut self, number: Index) {
        (self.number, self.began, self.stage) = (number, number, None);
        self.parts.retain(|_, p| p.held > 0);
        self.parts.values_mut().for_each(|p| (p.now, p.heard) = (0, false));
    }

    /// The number of its last step.
    pub fn number(&self) -> Index {
        self.number
    }

    /// The step with which its stage began.
    pub fn began(&self) -> Index {
        self.began
    }

    /// Its stage.
    pub fn stage(&self) -> Option<usize> {
        self.stage
    }

    /// The parts per thousand of its cold budget that fronts keep to.
    pub fn parts(&self) -> BTreeMap<MemberId, u16> {
        self.parts.iter().map(|(m, p)| (m.clone(), p.now)).collect()
    }

    /// The most that all fronts together may be acting on, also those that have not heard of the last step.
    pub fn most(&self) -> u32 {
        self.parts.values().map(|p| u32::from(p.now.max(p.held))).sum()
    }

    /// What that would be with other parts.
    pub(crate) fn most_with(&self, parts: &BTreeMap<MemberId, u16>) -> u32 {
        let held = |m: &MemberId| self.parts.get(m).map_or(0, |p| p.held);
        let others =
            self.parts.iter().filter(|(m, _)| !parts.contains_key(*m)).map(|(_, p)| u32::from(p.held));
        others.sum::<u32>() + parts.iter().map(|(m, n)| u32::from((*n).max(held(m)))).sum::<u32>()
    }

    /// As near to what is wanted as can be reached in one step: what fronts hold, or may still hold, counts.
    pub(crate) fn within(&self, wanted: &BTreeMap<MemberId, u16>, room: u16) -> BTreeMap<MemberId, u16> {
        let held = |m: &MemberId| self.parts.get(m).map_or(0, |p| p.held);
        let mut parts: BTreeMap<_, _> = wanted.iter().map(|(m, n)| (m.clone(), (*n).min(held(m)))).collect();
        let mut left = u32::from(room).saturating_sub(self.most_with(&parts));
        for (member, n) in wanted {
            let Some(part) = parts.get_mut(member) else { continue };
            let more = u16::try_from(left).unwrap_or(u16::MAX).min(n - *part);
            *part += more;
            left -= u32::from(more);
        }
        parts
    }

    pub(crate) fn leave(&mut self, member: &MemberId) {
        self.parts.remove(member);
    }
}

impl Desk {
    /// The boxes that are on their way back.
    pub fn returning(&self) -> impl Iterator<Item = (&BackendId, &Returning)> {
        self.places.iter().filter_map(|(id, place)| match place {
            Place::Returning(returning) => Some((id, returning)),
            Place::Out(_) => None,
        })
    }

    fn returning_mut(&mut self, id: &BackendId) -> Result<&mut Returning, Why> {
        match self.places.get_mut(id) {
            Some(Place::Returning(returning)) => Ok(returning),
            _ => Err(Why::Unknown),
        }
    }

    pub(crate) fn stage(
        &mut self,
        id: &BackendId,
        after: Index,
        stage: usize,
        parts: &BTreeMap<MemberId, u16>,
        out: &mut Vec<Effect>,
    ) -> Result<(), Why> {
        let number = self.applied;
        let share = u32::from(self.rules.share(stage));
        let last = self.rules.last_stage();
        if self.facts.fact(id).is_some_and(|f| f.died) {
            return Err(Why::NotWarm);
        }
        if parts.keys().any(|m| !self.present().any(|p| p == m)) {
            return Err(Why::NotPresent);
        }
        let returning = self.returning_mut(id)?;
        let next = returning.stage.map_or(0, |s| s + 1);
        if returning.number != after || stage > next {
            return Err(Why::Late);
        }
        if stage > last {
            return Err(Why::TooMuch);
        }
        // Fronts hear of a step one after another: whatever mixture of old and new parts is in force meanwhile must be
        // within the stage. Lowering is always possible.
        let raises = parts.iter().any(|(m, n)| returning.parts.get(m).map_or(0, |p| p.held) < *n);
        let sum: u32 = parts.values().map(|n| u32::from(*n)).sum();
        if sum > share || (raises && returning.most_with(parts) > share) {
            return Err(Why::TooMuch);
        }
        if returning.stage != Some(stage) {
            returning.began = number;
        }
        (returning.number, returning.stage) = (number, Some(stage));
        returning.parts.values_mut().for_each(|p| (p.now, p.heard) = (0, false));
        for (member, n) in parts {
            let part = returning.parts.entry(member.clone()).or_default();
            *part = Part { now: *n, held: part.held.max(*n), heard: false };
        }
        returning.parts.retain(|_, p| p.held > 0);
        out.push(Effect::Return { id: id.clone(), number, stage: Some(stage) });
        Ok(())
    }

    pub(crate) fn staged(
        &mut self,
        by: &MemberId,
        id: &BackendId,
        number: Index,
        member: &MemberId,
    ) -> Result<(), Why> {
        if by != member {
            return Err(Why::NotItsWord);
        }
        let returning = self.returning_mut(id)?;
        if returning.number != number {
            return Err(Why::Late);
        }
        let part = returning.parts.get_mut(member).ok_or(Why::Unknown)?;
        (part.held, part.heard) = (part.now, true);
        returning.parts.retain(|_, p| p.held > 0);
        Ok(())
    }

    pub(crate) fn warm(&mut self, id: &BackendId, number: Index, out: &mut Vec<Effect>) -> Result<(), Why> {
        let last = self.rules.last_stage();
        let warm = self.facts.fact(id).is_some_and(|f| f.listed && !f.died && !f.cold);
        let returning = self.returning_mut(id)?;
        if returning.number != number {
            return Err(Why::Late);
        }
        if !warm || returning.stage.is_none_or(|s| s < last) {
            return Err(Why::NotWarm);
        }
        self.places.remove(id);
        out.push(Effect::In { id: id.clone() });
        Ok(())
    }
}
