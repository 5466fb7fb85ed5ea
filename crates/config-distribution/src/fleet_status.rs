//! How far the fleet has applied the log: the newest report of each relay.
use crate::report::{GatewayRejection, Lag, Report};
use cluster_types::{Index, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// The most relays whose reports are held; beyond it the one heard from least recently is dropped.
const MAX_RELAYS: usize = 256;

/// A report and when it arrived.
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

/// How far a version is rolled out, and what it waits for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutStatus {
    /// Whether every gateway that a relay serves has acknowledged it.
    pub is_everywhere: bool,
    /// The number of gateways that are served.
    pub gateways: u32,
    /// Gateways that have not acknowledged it, as far as they are named.
    pub lags: Vec<Lag>,
    /// How many more may not have.
    pub unnamed_lagging: u32,
    /// Relays that do not hold it themselves.
    pub lagging_relays: Vec<Arc<str>>,
    /// Relays that have not reported for a while: their gateways may be served by others by now.
    pub silent_relays: Vec<Arc<str>>,
    /// Rejections of exactly that version.
    pub rejections: Vec<GatewayRejection>,
    /// How many gateways reject a value, of that or another version.
    pub rejecting: u32,
}

impl FleetStatus {
    /// Names the relays that are expected to report: one without a report counts as silent.
    pub fn expect_reports(&mut self, relays: impl IntoIterator<Item = Arc<str>>) {
        self.expected = relays.into_iter().collect();
    }

    /// Takes a relay's report; returns whether it is newer than the one held. A repeated report is not, and is ignored.
    pub fn record(&mut self, now: Time, report: Report) -> bool {
        let held = self.reports.get(&report.relay);
        if held.is_some_and(|held| held.report.sequence >= report.sequence) {
            return false;
        }
        if held.is_none() && self.reports.len() >= MAX_RELAYS {
            self.drop_oldest();
        }
        self.reports.insert(report.relay.clone(), Received { report, at: now });
        true
    }

    fn drop_oldest(&mut self) {
        let oldest = self.reports.iter().min_by_key(|(_, held)| held.at);
        if let Some(relay) = oldest.map(|(relay, _)| relay.clone()) {
            self.reports.remove(&relay);
        }
    }

    /// All reports.
    pub fn reports(&self) -> impl Iterator<Item = &Report> {
        self.reports.values().map(|held| &held.report)
    }

    /// Reports that arrived within that span.
    pub fn recent_reports(&self, now: Time, within: Duration) -> impl Iterator<Item = &Report> {
        let recent = self.reports.values().filter(move |held| now.since(held.at) <= within);
        recent.map(|held| &held.report)
    }

    /// Drops reports that were not renewed within that span.
    pub fn expire(&mut self, now: Time, after: Duration) {
        self.reports.retain(|_, held| now.since(held.at) < after);
    }

    /// How far a version is rolled out. Relays whose report is older than `silence` count as silent.
    pub fn rollout(&self, now: Time, version: Index, silence: Duration) -> RolloutStatus {
        let mut status = RolloutStatus { is_everywhere: !self.reports.is_empty(), ..Default::default() };
        for (relay, Received { report, at }) in &self.reports {
            if now.since(*at) > silence {
                status.silent_relays.push(relay.clone());
            }
            status.add(report, version);
        }
        let missing = self.expected.iter().filter(|relay| !self.reports.contains_key(*relay));
        status.silent_relays.extend(missing.cloned());
        status.is_everywhere &= status.silent_relays.is_empty();
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
        // The unnamed ones lag less than all that are named: they may lack the version only if all of those do.
        if lags.len() == report.lags.len() {
            self.unnamed_lagging += report.lagging.saturating_sub(lags.len() as u32);
        }
        self.lags.extend(lags.into_iter().cloned());
        let of_version = report.rejections.iter().filter(|found| found.rejection.version == version);
        self.rejections.extend(of_version.cloned());
        self.is_everywhere &= report.is_settled(version);
    }
}
