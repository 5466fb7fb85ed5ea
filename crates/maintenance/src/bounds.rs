//! How many boxes are out, and whether some more may go.
use crate::desk::{Desk, Place};
use cluster_types::{BackendId, Volume, Zone};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// What limits how many may be out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Bound {
    /// The whole.
    Whole,
    /// A hall.
    Zone(Zone),
    /// A volume's boxes.
    Volume(Volume),
    /// What is reserved for a volume.
    Reserve(Volume),
}

impl fmt::Display for Bound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Bound::Whole => f.write_str("as many are out as may be in the whole"),
            Bound::Zone(hall) => write!(f, "as many are out as may be in hall {hall}"),
            Bound::Volume(volume) => write!(f, "as many are out as may be of volume {volume}"),
            Bound::Reserve(volume) => write!(f, "volume {volume} would be left without what is reserved"),
        }
    }
}

/// Why a box counts as out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutBy {
    /// By a grant, or it will be warm by itself: it comes back in time.
    Turn,
    /// It died or is gone: nobody knows when it comes back.
    Fate,
}

/// The boxes that count as out.
pub(crate) struct Tally<'a> {
    pub(crate) desk: &'a Desk,
    pub(crate) out: BTreeMap<&'a BackendId, OutBy>,
    /// Whether only grants count.
    granted: bool,
}

pub(crate) type Step = BTreeSet<BackendId>;

impl<'a> Tally<'a> {
    pub(crate) fn new(desk: &'a Desk) -> Tally<'a> {
        let mut out = BTreeMap::new();
        for (id, known) in &desk.facts.boxes {
            let (fact, place) = (&known.fact, desk.places.get(id));
            let by_turn = place.is_some() || fact.cold;
            if matches!(place, Some(Place::Out(_))) {
                out.insert(id, OutBy::Turn);
            } else if fact.died || !fact.listed {
                out.insert(id, OutBy::Fate);
            } else if by_turn {
                out.insert(id, OutBy::Turn);
            }
        }
        Tally { desk, out, granted: false }
    }

    /// Only what is out by grants or on its way back. A box that died may be granted beyond the bounds that it exceeds as it is, but
    /// grants by themselves never exceed any. Guards against a leader that is cut off from a hall, takes all of it for
    /// dead, and would grant all of it.
    pub(crate) fn granted(desk: &'a Desk) -> Tally<'a> {
        let out = desk.places.keys().map(|id| (id, OutBy::Turn)).collect();
        Tally { desk, out, granted: true }
    }

    pub(crate) fn is_in(&self, id: &BackendId, bound: &Bound) -> bool {
        match bound {
            Bound::Whole => true,
            Bound::Zone(hall) => self.desk.facts.fact(id).is_some_and(|f| f.hall == *hall),
            Bound::Volume(v) | Bound::Reserve(v) => {
                self.desk.facts.volumes.get(v).is_some_and(|m| m.fact.boxes.contains_key(id))
            }
        }
    }

    /// All bounds that boxes come under.
    pub(crate) fn bounds_of<'b>(&self, boxes: impl Iterator<Item = &'b BackendId>) -> BTreeSet<Bound> {
        let mut bounds = BTreeSet::from([Bound::Whole]);
        for id in boxes {
            bounds.extend(self.desk.facts.fact(id).map(|f| Bound::Zone(f.hall.clone())));
            for (volume, _) in self.desk.facts.volumes_of(id) {
                bounds.insert(Bound::Volume(volume.clone()));
                if !self.granted {
                    bounds.insert(Bound::Reserve(volume.clone()));
                }
            }
        }
        bounds
    }

    pub(crate) fn cap(&self, bound: &Bound) -> usize {
        let rules = &self.desk.rules;
        let cap = match bound {
            Bound::Whole => rules.out,
            Bound::Zone(_) => rules.out_hall,
            Bound::Volume(_) | Bound::Reserve(_) => rules.out_volume,
        };
        cap as usize
    }

    /// Whether a volume has what is reserved with all those out for which `out` holds.
    pub(crate) fn reserve_kept(&self, volume: &Volume, out: impl Fn(&BackendId) -> bool) -> bool {
        let Some(measured) = self.desk.facts.volumes.get(volume) else { return true };
        let fact = &measured.fact;
        let rest = fact.boxes.iter().filter(|(b, _)| !out(b)).map(|(_, n)| u128::from(*n)).sum::<u128>();
        rest >= u128::from(fact.reserved)
    }

    /// Whether a step may go beside those out for which `counted` holds: what it adds goes beyond no bound. What
    /// counts already adds nothing.
    pub(crate) fn fits(&self, step: &Step, counted: impl Fn(OutBy) -> bool) -> Result<(), Bound> {
        let is_out = |b: &BackendId| self.out.get(b).is_some_and(|by| counted(*by));
        let adds: Step = step.iter().filter(|b| !is_out(b)).cloned().collect();
        if adds.is_empty() {
            return Ok(());
        }
        for bound in self.bounds_of(adds.iter()) {
            let kept = match &bound {
                Bound::Reserve(volume) => self.reserve_kept(volume, |b| is_out(b) || adds.contains(b)),
                _ => {
                    let out =
                        self.out.iter().filter(|(b, by)| counted(**by) && self.is_in(b, &bound)).count();
                    out + adds.iter().filter(|b| self.is_in(b, &bound)).count() <= self.cap(&bound)
                }
            };
            if !kept {
                return Err(bound);
            }
        }
        Ok(())
    }

    /// Whether a step may go now.
    pub(crate) fn fits_now(&self, step: &Step) -> Result<(), Bound> {
        self.fits(step, |_| true)
    }

    /// Whether a step could go once all that comes back in time is back. One that could not waits for no other's turn.
    pub(crate) fn fits_in_time(&self, step: &Step) -> bool {
        step.iter().all(|b| self.desk.facts.fact(b).is_some_and(|f| f.listed))
            && self.fits(step, |by| by == OutBy::Fate).is_ok()
    }

    /// Whether a step counts in full already, by its fate.
    pub(crate) fn by_fate(&self, id: &BackendId) -> bool {
        self.out.get(id) == Some(&OutBy::Fate)
    }
}
