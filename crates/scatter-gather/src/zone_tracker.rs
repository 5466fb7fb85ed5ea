//! Tracks the health of all zones, and decides how long to wait for their responses.
use crate::health_rules::HealthRules;
use crate::zone::{OwnObservation, PeerReport, ZoneHealth, ZoneRecord};
use cluster_types::{Time, Zone};
use std::collections::BTreeMap;
use std::time::Duration;

/// The maximum number of tracked zones. Observations of further zones are counted and ignored: they count as healthy
/// and are waited for until the deadline.
pub const MAX_ZONES: usize = 256;

/// The other members' report on a zone, as combined by membership.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneReport {
    /// The zone.
    pub zone: Zone,
    /// How strongly they suspect the zone, from 0 to 1.
    pub suspicion: f32,
    /// How many members report it, excluding this process.
    pub sources: u32,
    /// The age of the newest observation.
    pub age: Duration,
}

/// The observed condition of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneCondition {
    /// It responds.
    Healthy,
    /// It responds too late.
    Slow,
    /// It is unreachable, or its backends fail.
    Failing,
    /// It does not respond.
    Silent,
}

/// This process's observation of a zone, for the other members.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneObservation {
    /// The zone.
    pub zone: Zone,
    /// The observed condition.
    pub condition: ZoneCondition,
    /// The confidence in the condition, from 0 to 1.
    pub confidence: f32,
    /// The age of the observation.
    pub age: Duration,
    /// How long the observation is valid.
    pub valid_for: Duration,
}

/// Whether a gather sends requests to a zone, and how long it waits for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitPlan {
    /// Whether requests are sent to the zone at all.
    pub is_sent: bool,
    /// How long to wait for its responses.
    pub wait: Duration,
    /// Whether the gather probes the zone.
    pub is_probe: bool,
}

/// The health of all zones.
#[derive(Clone, Debug)]
pub struct ZoneTracker {
    own_zone: Option<Zone>,
    rules: HealthRules,
    zones: BTreeMap<Zone, ZoneRecord>,
    version: u64,
    /// Reports that were rejected because their suspicion was out of range.
    pub malformed_reports: u64,
    /// Reports and measurements of zones beyond [`MAX_ZONES`].
    pub untracked: u64,
}

impl ZoneTracker {
    /// A tracker without measurements. `own_zone` is the zone of this process; if it is `None`, every zone is remote.
    pub fn new(own_zone: Option<Zone>, rules: HealthRules) -> ZoneTracker {
        let zones = BTreeMap::new();
        ZoneTracker { own_zone, rules, zones, version: 0, malformed_reports: 0, untracked: 0 }
    }

    /// Whether a zone is not the zone of this process.
    pub fn is_remote(&self, zone: &Zone) -> bool {
        self.own_zone.as_ref() != Some(zone)
    }

    /// A version that grows with each recorded change of a zone's health, so that open gathers can be notified.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The health of a zone.
    pub fn health(&self, now: Time, zone: &Zone) -> ZoneHealth {
        self.zones.get(zone).map_or(ZoneHealth::Healthy, |record| record.health(now, &self.rules))
    }

    /// How long waiting for a zone is worthwhile, within the remaining time. A needed zone (there is no answer without it)
    /// is waited for as long as in a probe, or for all the remaining time if only other members suspect it, so that a false
    /// report cannot make a gather fail.
    pub fn worthwhile_wait(&self, now: Time, zone: &Zone, remaining: Duration, is_needed: bool) -> Duration {
        let Some(record) = self.zones.get(zone) else { return remaining };
        let late = record.late_latency(now, &self.rules);
        let extended = late.unwrap_or_default().max(record.typical_latency(&self.rules)).min(remaining);
        match record.health(now, &self.rules) {
            ZoneHealth::Healthy => remaining,
            _ if is_needed && record.is_suspected_by_others_only(now, &self.rules) => remaining,
            _ if is_needed => extended,
            ZoneHealth::Ejected => Duration::ZERO,
            // Its responses are expected too late, so only a probe waits for them.
            ZoneHealth::Suspect if late.is_some_and(|late| late > remaining) => {
                self.rules.min_wait.min(remaining)
            }
            ZoneHealth::Suspect => extended,
        }
    }

    /// Plans a new gather's wait for a zone; call it once for each zone of the gather. A needed zone is always sent its
    /// requests.
    pub fn plan_wait(&mut self, now: Time, zone: &Zone, remaining: Duration, is_needed: bool) -> WaitPlan {
        let wait = self.worthwhile_wait(now, zone, remaining, is_needed);
        let Some(record) = self.zones.get_mut(zone) else {
            return WaitPlan { is_sent: true, wait, is_probe: false };
        };
        let health = record.health(now, &self.rules);
        if health == ZoneHealth::Healthy {
            return WaitPlan { is_sent: true, wait, is_probe: false };
        }
        record.gathers_since_probe = record.gathers_since_probe.saturating_add(1);
        let is_probe = record.is_probe_due(now, remaining, &self.rules);
        if is_probe {
            record.probed_at = Some(now);
            record.gathers_since_probe = 0;
        }
        // If the zone was recently too slow for the remaining time, a probe waits for the typical latency only: that is
        // enough to find a recovered zone healthy, and a late response is recorded anyway.
        let late = record.late_latency(now, &self.rules).filter(|late| *late <= remaining);
        let extended = late.unwrap_or_default().max(record.typical_latency(&self.rules));
        let wait = if is_probe { wait.max(extended.min(remaining)) } else { wait };
        WaitPlan { is_sent: is_probe || is_needed || health != ZoneHealth::Ejected, wait, is_probe }
    }

    /// Whether a wait of this length without a response counts as a miss.
    fn is_conclusive(&self, zone: &Zone, waited: Duration) -> bool {
        let record = self.zones.get(zone);
        let typical = record.map_or(self.rules.default_latency, |record| record.typical_latency(&self.rules));
        waited >= typical.min(self.rules.conclusive_wait)
    }

    /// Records a response in time; `is_first` is true for a zone's first response in a gather.
    pub fn record_response(&mut self, now: Time, zone: &Zone, latency: Duration, is_first: bool) {
        self.update(now, zone, |record, rules| record.record_response(now, latency, is_first, rules));
    }

    /// Records that a gather ended without any response of a zone after this wait. An inconclusive wait is ignored.
    pub fn record_silence(&mut self, now: Time, zone: &Zone, waited: Duration) {
        if self.is_conclusive(zone, waited) {
            self.update(now, zone, |record, rules| record.record_miss(now, false, rules));
        }
    }

    /// Records that a gather ended without any response of a zone and a request could not reach it.
    pub fn record_unreachable(&mut self, now: Time, zone: &Zone) {
        self.update(now, zone, |record, rules| record.record_miss(now, true, rules));
    }

    /// Records a response after its gather had ended. A latency too short to count as a miss counts as a response in time.
    pub fn record_late_response(&mut self, now: Time, zone: &Zone, latency: Duration) {
        if self.is_conclusive(zone, latency) {
            self.update(now, zone, |record, _| record.record_late_response(now, latency));
        } else {
            self.record_response(now, zone, latency, true);
        }
    }

    /// Applies the other members' report on a zone, replacing the previous one.
    pub fn receive_report(&mut self, now: Time, report: &ZoneReport) {
        if !(0.0..=1.0).contains(&report.suspicion) {
            self.malformed_reports += 1;
            return;
        }
        let ZoneReport { suspicion, sources, .. } = *report;
        let peer_report = PeerReport { suspicion, sources, observed_at: now - report.age };
        self.update(now, &report.zone, |record, _| record.peer_report = Some(peer_report));
    }

    /// The observations to report to the other members: this process's measurements only.
    pub fn observations(&self, now: Time) -> Vec<ZoneObservation> {
        let observe = |(zone, record): (&Zone, &ZoneRecord)| {
            let observed = record.observation(now, &self.rules)?;
            Some(ZoneObservation {
                zone: zone.clone(),
                condition: condition(&observed),
                confidence: observed.confidence,
                age: observed.age,
                valid_for: self.rules.report_validity,
            })
        };
        self.zones.iter().filter_map(observe).collect()
    }

    fn update(&mut self, now: Time, zone: &Zone, change: impl FnOnce(&mut ZoneRecord, &HealthRules)) {
        if !self.zones.contains_key(zone) && self.zones.len() >= MAX_ZONES {
            self.untracked += 1;
            return;
        }
        let record = self.zones.entry(zone.clone()).or_default();
        let before = record.health(now, &self.rules);
        change(record, &self.rules);
        if record.health(now, &self.rules) != before {
            self.version += 1;
        }
    }
}

fn condition(observed: &OwnObservation) -> ZoneCondition {
    if observed.is_responding {
        ZoneCondition::Healthy
    } else if observed.is_slow {
        ZoneCondition::Slow
    } else if observed.is_unreachable {
        ZoneCondition::Failing
    } else {
        ZoneCondition::Silent
    }
}
