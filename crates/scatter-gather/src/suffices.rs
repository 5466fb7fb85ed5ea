//! When a set of parts suffices, when an answer is still possible, and which parts come first where memory is short.
use crate::policy::{Needs, Otherwise, Policy, Suffices};
use cluster_types::Zone;
use std::collections::{BTreeMap, BTreeSet};

impl Policy {
    fn needs(&self) -> Option<&Needs> {
        match &self.suffices {
            Suffices::All => None,
            Suffices::Needs(needs) => Some(needs),
        }
    }

    /// Whether nothing is an answer without this part.
    pub fn is_named(&self, part: usize) -> bool {
        let name = self.parts.get(part).map(|p| &p.name);
        self.needs().is_some_and(|n| n.named.iter().any(|x| Some(x) == name))
    }

    /// Whether the parts that `has` tells suffice.
    pub fn suffices(&self, has: impl Fn(usize) -> bool) -> bool {
        let count = (0..self.parts.len()).filter(|i| has(*i)).count();
        let Some(needs) = self.needs() else { return count > 0 && count == self.parts.len() };
        count > 0
            && needs.at_least.is_none_or(|n| count >= n)
            && (0..self.parts.len()).all(|i| has(i) || !self.is_named(i))
            && needs.each_hall.is_none_or(|share| {
                self.by_hall()
                    .values()
                    .all(|parts| parts.iter().filter(|i| has(**i)).count() >= of_hall(share, parts.len()))
            })
    }

    /// Whether the parts that `has` tells make an answer of some kind, whole or in part.
    pub fn answers(&self, has: impl Fn(usize) -> bool) -> bool {
        match self.otherwise {
            Otherwise::Fail => self.suffices(has),
            Otherwise::InPart => {
                let all = 0..self.parts.len();
                all.clone().any(&has) && all.clone().all(|i| has(i) || !self.is_named(i))
            }
        }
    }

    /// The parts of each hall, in the tier's order.
    pub fn by_hall(&self) -> BTreeMap<&Zone, Vec<usize>> {
        let mut halls: BTreeMap<&Zone, Vec<usize>> = BTreeMap::new();
        for (i, part) in self.parts.iter().enumerate() {
            halls.entry(&part.hall).or_default().push(i);
        }
        halls
    }

    /// The fewest bytes that suffice: named parts, the smallest of each hall, then the smallest of all.
    pub(crate) fn leanest(&self) -> BTreeSet<usize> {
        let all = 0..self.parts.len();
        let Some(needs) = self.needs() else { return all.collect() };
        let mut set: BTreeSet<usize> = all.clone().filter(|i| self.is_named(*i)).collect();
        let mut small: Vec<usize> = all.collect();
        small.sort_by_key(|i| (self.bytes(*i), *i));
        if let Some(share) = needs.each_hall {
            for parts in self.by_hall().values() {
                let have = parts.iter().filter(|i| set.contains(i)).count();
                let lacking = of_hall(share, parts.len()).saturating_sub(have);
                let more = small.iter().filter(|i| parts.contains(i) && !set.contains(i));
                let more: Vec<usize> = more.take(lacking).copied().collect();
                set.extend(more);
            }
        }
        let lacking = needs.at_least.unwrap_or(0).saturating_sub(set.len());
        let more: Vec<usize> = small.iter().filter(|i| !set.contains(i)).take(lacking).copied().collect();
        set.extend(more);
        set
    }

    /// The order in which parts are given memory: those that suffice first. Guards an answer against large parts that
    /// it does not need.
    pub(crate) fn order(&self) -> Vec<usize> {
        let first = self.leanest();
        let rest: Vec<usize> = (0..self.parts.len()).filter(|i| !first.contains(i)).collect();
        first.into_iter().chain(rest).collect()
    }
}

/// How many of a hall's parts a share is: rounded up, at least one.
fn of_hall(share: f64, parts: usize) -> usize {
    ((share * parts as f64 - 1e-9).ceil() as usize).clamp(1, parts.max(1))
}
