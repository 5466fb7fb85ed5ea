//! Where changes are in force, in reports whose size does not grow with the fleet.
use crate::message::{Refusal, WHY};
use crate::names::NAME;
use cluster_types::{Index, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// So many laggards and refusals are named in a report; the others are counted.
pub const WORST: usize = 8;

/// A front that owes a decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lag {
    /// The front.
    pub front: Arc<str>,
    /// The first version that it has not decided on.
    pub owes: Index,
    /// Why: what its relay sees.
    pub why: String,
}

/// What one relay tells of the fronts that it serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The relay.
    pub relay: Arc<str>,
    /// Its number: a relay's later ones have greater ones. Others count for nothing.
    pub number: u64,
    /// Up to where it holds everything itself.
    pub applied: Index,
    /// The fronts that it serves.
    pub fronts: u32,
    /// How many of them owe a decision.
    pub behind: u32,
    /// Those that owe the oldest, that first.
    pub worst: Vec<Lag>,
    /// How many hold something that they refused.
    pub refusing: u32,
    /// Some of what was refused, and by whom.
    pub refused: Vec<(Arc<str>, Refusal)>,
}

impl Report {
    /// Whether it is as long as a relay's may be.
    pub(crate) fn bounded(&self) -> bool {
        let named = |name: &str| name.len() <= 4 * NAME;
        named(&self.relay)
            && self.worst.len() <= WORST
            && self.worst.iter().all(|lag| named(&lag.front) && lag.why.len() <= 4 * WHY)
            && self.refused.len() <= WORST
            && self.refused.iter().all(|(front, r)| named(front) && r.bounded())
    }

    /// Whether everything up to that version is decided on by all fronts of the relay.
    pub fn settled(&self, version: Index) -> bool {
        self.applied >= version && self.worst.first().is_none_or(|lag| lag.owes > version)
    }
}

/// What a control machine knows of all relays.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    reports: BTreeMap<Arc<str>, (Report, Time)>,
    expected: BTreeSet<Arc<str>>,
}

/// Where a version is not in force yet, and why.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Where {
    /// Whether every front that is served by anybody has decided on it.
    pub everywhere: bool,
    /// Fronts that are served.
    pub fronts: u32,
    /// Fronts that have not decided on it, as far as they are named.
    pub lags: Vec<Lag>,
    /// How many more may not have.
    pub more: u32,
    /// Relays that do not hold it themselves.
    pub relays: Vec<Arc<str>>,
    /// Relays that have not told for a while: their fronts may be elsewhere by now.
    pub silent: Vec<Arc<str>>,
    /// Who refused that version of a key, and why.
    pub refused: Vec<(Arc<str>, Refusal)>,
    /// How many hold something that they refused, be it another version.
    pub refusing: u32,
}

impl Fleet {
    /// Relays that are forgotten only beyond this number.
    const RELAYS: usize = 256;

    /// Names those of whom reports are expected: who has not told is silent.
    pub fn expect_reports(&mut self, relays: impl IntoIterator<Item = Arc<str>>) {
        self.expected = relays.into_iter().collect();
    }

    /// Takes in a relay's report; tells whether it is a later one. One told again is not: it may be old.
    pub fn take(&mut self, now: Time, report: Report) -> bool {
        if self.reports.get(&report.relay).is_some_and(|(held, _)| held.number >= report.number) {
            return false;
        }
        if self.reports.len() >= Fleet::RELAYS && !self.reports.contains_key(&report.relay) {
            let oldest = self.reports.iter().min_by_key(|(_, (_, at))| *at).map(|(relay, _)| relay.clone());
            oldest.into_iter().for_each(|relay| drop(self.reports.remove(&relay)));
        }
        self.reports.insert(report.relay.clone(), (report, now));
        true
    }

    /// All reports.
    pub fn all(&self) -> impl Iterator<Item = &Report> {
        self.reports.values().map(|(report, _)| report)
    }

    /// Reports that came not longer ago than that.
    pub fn recent(&self, now: Time, within: Duration) -> impl Iterator<Item = &Report> {
        let recent = self.reports.values().filter(move |(_, at)| now.since(*at) <= within);
        recent.map(|(report, _)| report)
    }

    /// Drops what has not been told for so long.
    pub fn forget(&mut self, now: Time, after: Duration) {
        self.reports.retain(|_, (_, at)| now.since(*at) < after);
    }

    /// Where a version is not in force yet. Reports older than `silence` count as silent.
    pub fn ask(&self, now: Time, version: Index, silence: Duration) -> Where {
        let mut answer = Where { everywhere: !self.reports.is_empty(), ..Where::default() };
        for (relay, (report, at)) in &self.reports {
            if now.since(*at) > silence {
                answer.silent.push(relay.clone());
            }
            if report.applied < version {
                answer.relays.push(relay.clone());
            }
            answer.fronts += report.fronts;
            answer.refusing += report.refusing;
            let lags = report.worst.iter().filter(|lag| lag.owes <= version);
            let named = report.worst.len() as u32;
            let all_old = lags.clone().count() == report.worst.len();
            answer.more += if all_old { report.behind.saturating_sub(named) } else { 0 };
            answer.lags.extend(lags.cloned());
            answer.refused.extend(report.refused.iter().filter(|(_, r)| r.version == version).cloned());
            answer.everywhere &= report.settled(version);
        }
        let unheard = self.expected.iter().filter(|relay| !self.reports.contains_key(*relay));
        answer.silent.extend(unheard.cloned());
        answer.everywhere &= answer.silent.is_empty();
        answer
    }
}
