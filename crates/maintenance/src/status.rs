//! How a wish stands, for those who ask: what it waits for, and why.
use crate::bounds::Tally;
use crate::desk::{Desk, Place};
use crate::front::Order;
use crate::why::Why;
use crate::wish::{Fate, Wish};
use cluster_types::{BackendId, Index, MemberId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// How a wish stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Its name.
    pub name: String,
    /// What was asked, and what has become of its boxes.
    pub wish: Wish,
    /// For each of its grants that is not free yet, the fronts that have not reported their drain.
    pub waits_for: BTreeMap<Index, BTreeSet<MemberId>>,
    /// Why nothing more of it goes out now, as of its first box that waits.
    pub why: Option<Why>,
}

impl fmt::Display for Status {
    /// In a line: what has become of each box, and what is waited for.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "wish {}:", self.name)?;
        for (id, fate) in &self.wish.boxes {
            match fate {
                Fate::Waiting => write!(f, " {id} waits")?,
                Fate::Out(grant) => match self.waits_for.get(grant) {
                    None => write!(f, " {id} is out, open it")?,
                    Some(fronts) => {
                        write!(f, " {id} drains, not yet at")?;
                        fronts.iter().try_for_each(|m| write!(f, " {m}"))?;
                    }
                },
                Fate::Back => write!(f, " {id} is back")?,
                Fate::Missed => write!(f, " {id} missed its time")?,
                Fate::Withdrawn => write!(f, " {id} was withdrawn")?,
                Fate::Gone => write!(f, " {id} is no longer listed")?,
            }
            f.write_str(",")?;
        }
        match &self.why {
            Some(why) => write!(f, " because {why}"),
            None if self.wish.open() => f.write_str(" in time"),
            None => f.write_str(" ended"),
        }
    }
}

impl Desk {
    pub(crate) fn waits_for(&self, wish: &Wish) -> BTreeMap<Index, BTreeSet<MemberId>> {
        let grants = wish.boxes.values().filter_map(|f| match f {
            Fate::Out(grant) => self.grants.get_key_value(grant),
            _ => None,
        });
        let open = grants.filter(|(_, g)| g.free_ms.is_none());
        let missing = |drained: &BTreeSet<MemberId>| {
            self.present().filter(|m| !drained.contains(*m)).cloned().collect()
        };
        open.map(|(n, g)| (*n, missing(&g.drained))).collect()
    }

    pub(crate) fn why(&self, name: &str) -> Option<Why> {
        let judge = self.judge();
        self.steps_of(name).iter().find_map(|s| self.may_go(&judge, name, s).err())
    }

    /// What this front is ordered to do, as of now: its drains, and its parts of what comes back.
    pub fn orders(&self, me: &MemberId) -> BTreeMap<BackendId, Order> {
        let order = |place: &Place| match place {
            Place::Out(grant) => {
                let held = self.grants.get(grant);
                let heard = held.is_none_or(|g| g.free_ms.is_some() || g.drained.contains(me));
                Order::Drain { grant: *grant, heard }
            }
            Place::Returning(returning) => {
                let part = returning.parts.get(me);
                Order::Part {
                    number: returning.number,
                    part: part.map_or(0, |p| p.now),
                    heard: part.is_none_or(|p| p.heard),
                }
            }
        };
        self.places.iter().map(|(id, place)| (id.clone(), order(place))).collect()
    }

    /// Where the log stands.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// How many commands were refused.
    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// The wishes that are open, the longest-waiting first.
    pub fn open(&self) -> Vec<(&str, &Wish)> {
        let mut wishes: Vec<_> = self.wishes.iter().map(|(n, w)| (n.as_str(), w)).collect();
        wishes.sort_by_key(|(_, w)| w.number);
        wishes
    }

    /// The boxes that count as out.
    pub fn out(&self) -> BTreeSet<BackendId> {
        Tally::new(self).out.into_keys().cloned().collect()
    }
}

impl Desk {
    /// Whether these rules are in force.
    pub fn rules_are(&self, rules: &crate::rules::Rules) -> bool {
        self.rules == *rules
    }
}
