//! The fleet's progress in applying the log, from the newest report of each relay.
use crate::report::{GatewayRejection, Lag, Report};
use cluster_types::{Index, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// The maximum number of relays whose reports are held; beyond it, the least recently received report is dropped.
const MAX_RELAYS: usize = 256;

/// A report and its time of arrival.
#[derive(Clone, Debug)]
struct Received {
    report: Report,
    at: Time,
}

/// The newest report of each relay.
#[derive(Clone, Debug, Default)]
pub struct FleetStatus {
    reports: BTreeMap<Arc<str>, Received>,
    expected: BTreeSet<Arc<str>>,
}

/// The rollout of a version, and what is still missing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// Whether every gateway served by a relay has acknowledged the version, and no relay is lagging or silent.
    pub is_complete: bool,
    /// The number of gateways served by relays.
    pub gateways: u32,
    /// Gateways that have not acknowledged it, as far as the reports name them.
    pub lags: Vec<Lag>,
    /// The number of further gateways that may not have acknowledged it.
    pub unnamed_lagging: u32,
    /// Relays that have not applied it themselves.
    pub lagging_relays: Vec<Arc<str>>,
    /// Relays without a recent report: their gateways may meanwhile be served by other relays.
    pub silent_relays: Vec<Arc<str>>,
    /// Rejections of exactly this version.
    pub rejections: Vec<GatewayRejection>,
    /// The number of gateways that reject a value of this or another version.
    pub rejecting: u32,
}

impl FleetStatus {
    /// Sets the relays that are expected to report: one without a report counts as silent.
    pub fn expect_reports(&mut self, relays: impl IntoIterator<Item = Arc<str>>) {
        self.expected = relays.into_iter().collect();
    }

    /// Records a relay's report, and returns whether it is newer than the one held. Repeated and older reports are ignored.
    pub fn record(&mut self, now: Time, report: Report) -> bool {
        let held = self.reports.get(&report.relay);
        if held.is_some_and(|held| held.report.sequence >= report.sequence) {
            return false;
        }
        if held.is_none() && self.reports.len() >= MAX_RELAYS {
            self.drop_oldest_report();
        }
        self.reports.insert(report.relay.clone(), Received { report, at: now });
        true
    }

    fn drop_oldest_report(&mut self) {
        let oldest = self.reports.iter().min_by_key(|(_, held)| held.at);
        if let Some(relay) = oldest.map(|(relay, _)| relay.clone()) {
            self.reports.remove(&relay);
        }
    }

    /// All reports.
    pub fn reports(&self) -> impl Iterator<Item = &Report> {
        self.reports.values().map(|held| &held.report)
    }

    /// Reports that arrived within the last `within`.
    pub fn recent_reports(&self, now: Time, within: Duration) -> impl Iterator<Item = &Report> {
        let recent = self.reports.values().filter(move |held| now.since(held.at) <= within);
        recent.map(|held| &held.report)
    }

    /// Drops reports that were not renewed for `after`.
    pub fn expire(&mut self, now: Time, after: Duration) {
        self.reports.retain(|_, held| now.since(held.at) < after);
    }

    /// The rollout of a version. Relays whose report is older than `silence` count as silent.
    pub fn rollout(&self, now: Time, version: Index, silence: Duration) -> RolloutStatus {
        let mut status = RolloutStatus { is_complete: !self.reports.is_empty(), ..Default::default() };
        for (relay, Received { report, at }) in &self.reports {
            if now.since(*at) > silence {
                status.silent_relays.push(relay.clone());
            }
            status.add(report, version);
        }
        let missing = self.expected.iter().filter(|relay| !self.reports.contains_key(*relay));
        status.silent_relays.extend(missing.cloned());
        status.is_complete &= status.silent_relays.is_empty();
        status
    }
}

impl RolloutStatus {
    fn add(&mut self, report: &Report, version: Index) {
        if report.applied < version {
            self.lagging_relays.push(report.relay.clone());
        }
        self.gateways += report.gateways;
        self.rejecting += report.rejecting;
        let lags: Vec<&Lag> = report.lags.iter().filter(|lag| lag.first_pending <= version).collect();
        // Reports name the gateways that lag furthest: the unnamed ones may lack the version only if all the named ones do.
        if lags.len() == report.lags.len() {
            self.unnamed_lagging += report.lagging.saturating_sub(lags.len() as u32);
        }
        self.lags.extend(lags.into_iter().cloned());
        let of_version = report.rejections.iter().filter(|found| found.rejection.version == version);
        self.rejections.extend(of_version.cloned());
        self.is_complete &= report.is_acknowledged(version);
    }
}
