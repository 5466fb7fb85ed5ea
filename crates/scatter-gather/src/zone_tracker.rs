//! The health of all zones, and how long waiting for their responses is worthwhile.
use crate::health_rules::HealthRules;
use crate::zone::{OwnObservation, PeerReport, ZoneHealth, ZoneRecord};
use cluster_types::{Time, Zone};
use std::collections::BTreeMap;
use std::time::Duration;

/// The most zones that are tracked. Reports on others are counted and ignored, and they are waited for to the end.
pub const MAX_ZONES: usize = 256;

/// What the other members report of a zone, as membership has combined it.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneReport {
    /// The zone.
    pub zone: Zone,
    /// How much they suspect it, from 0 to 1.
    pub suspicion: f32,
    /// How many members report it, without this process.
    pub sources: u32,
    /// How long ago the newest of them observed it.
    pub age: Duration,
}

/// How a zone was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneCondition {
    /// It responds.
    Healthy,
    /// It responds too late.
    Slow,
    /// It can't be reached, or its backends fail.
    Failing,
    /// It does not respond.
    Silent,
}

/// What this process reports of a zone to the other members.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneObservation {
    /// The zone.
    pub zone: Zone,
    /// How it was found.
    pub condition: ZoneCondition,
    /// How certain that is, from 0 to 1.
    pub confidence: f32,
    /// How long ago it was found so.
    pub age: Duration,
    /// How long it may count.
    pub valid_for: Duration,
}

/// What a gather does about a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitPlan {
    /// Whether requests are sent to it at all.
    pub is_sent: bool,
    /// How long its responses are waited for.
    pub wait: Duration,
    /// Whether this is a probe.
    pub is_probe: bool,
}

/// The health of all zones.
#[derive(Clone, Debug)]
pub struct ZoneTracker {
    own: Option<Zone>,
    rules: HealthRules,
    zones: BTreeMap<Zone, ZoneRecord>,
    version: u64,
    /// Reports that were malformed: a suspicion out of range.
    pub malformed_reports: u64,
    /// Reports and measurements of zones beyond the bound.
    pub untracked: u64,
}

impl ZoneTracker {
    /// A tracker without measurements. `own` is the zone of this process; without it each zone counts as remote.
    pub fn new(own: Option<Zone>, rules: HealthRules) -> ZoneTracker {
        let zones = BTreeMap::new();
        ZoneTracker { own, rules, zones, version: 0, malformed_reports: 0, untracked: 0 }
    }

    /// Whether a zone is another than that of this process.
    pub fn is_remote(&self, zone: &Zone) -> bool {
        self.own.as_ref() != Some(zone)
    }

    /// Grows whenever the health of a zone has changed, so that open gathers can be notified.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The health of a zone.
    pub fn health(&self, now: Time, zone: &Zone) -> ZoneHealth {
        self.zones.get(zone).map_or(ZoneHealth::Healthy, |record| record.health(now, &self.rules))
    }

    /// How long waiting for a zone is worthwhile, of the time left for it. Where it is needed, that is, where there is no
    /// answer without it, it is waited for as in a probe, and to the end where only others suspect it: a wrong report fails
    /// no gather.
    pub fn worthwhile_wait(&self, now: Time, zone: &Zone, left: Duration, is_needed: bool) -> Duration {
        let Some(record) = self.zones.get(zone) else { return left };
        let late = record.late_latency(now, &self.rules);
        let long = late.unwrap_or_default().max(record.typical_latency(&self.rules)).min(left);
        match record.health(now, &self.rules) {
            ZoneHealth::Healthy => left,
            _ if is_needed && record.is_suspected_by_others_only(now, &self.rules) => left,
            _ if is_needed => long,
            ZoneHealth::Ejected => Duration::ZERO,
            // Its responses won't arrive in time: only a probe waits for that.
            ZoneHealth::Suspect if late.is_some_and(|late| late > left) => self.rules.min_wait.min(left),
            ZoneHealth::Suspect => long,
        }
    }

    /// What a gather that starts does about a zone; to be called once a zone. A needed one is always sent its requests.
    pub fn plan_wait(&mut self, now: Time, zone: &Zone, left: Duration, is_needed: bool) -> WaitPlan {
        let wait = self.worthwhile_wait(now, zone, left, is_needed);
        let Some(record) = self.zones.get_mut(zone) else {
            return WaitPlan { is_sent: true, wait, is_probe: false };
        };
        let health = record.health(now, &self.rules);
        if health == ZoneHealth::Healthy {
            return WaitPlan { is_sent: true, wait, is_probe: false };
        }
        record.gathers_since_probe = record.gathers_since_probe.saturating_add(1);
        let is_probe = record.is_probe_due(now, left, &self.rules);
        if is_probe {
            record.probed_at = Some(now);
            record.gathers_since_probe = 0;
        }
        // Where it was too slow recently, its usual latency is enough to find it healthy: a late response is recorded anyway.
        let late = record.late_latency(now, &self.rules).filter(|late| *late <= left);
        let long = late.unwrap_or_default().max(record.typical_latency(&self.rules));
        let wait = if is_probe { wait.max(long.min(left)) } else { wait };
        WaitPlan { is_sent: is_probe || is_needed || health != ZoneHealth::Ejected, wait, is_probe }
    }

    /// Whether a wait of that length without a response shows anything of a zone.
    fn is_conclusive(&self, zone: &Zone, waited: Duration) -> bool {
        let record = self.zones.get(zone);
        let usual = record.map_or(self.rules.default_latency, |record| record.typical_latency(&self.rules));
        waited >= usual.min(self.rules.conclusive_wait)
    }

    /// A zone has responded in time; `is_first` for its first response in a gather.
    pub fn record_response(&mut self, now: Time, zone: &Zone, latency: Duration, is_first: bool) {
        self.update(now, zone, |record, rules| record.record_response(now, latency, is_first, rules));
    }

    /// A gather ended without any response of a zone, having waited that long. A wait too short to be conclusive is ignored.
    pub fn record_silence(&mut self, now: Time, zone: &Zone, waited: Duration) {
        if self.is_conclusive(zone, waited) {
            self.update(now, zone, |record, rules| record.record_miss(now, false, rules));
        }
    }

    /// A gather ended without any response of a zone, and a request could not reach it.
    pub fn record_unreachable(&mut self, now: Time, zone: &Zone) {
        self.update(now, zone, |record, rules| record.record_miss(now, true, rules));
    }

    /// A zone responded after its gather had ended. A response that took no longer than usual counts as one in time.
    pub fn record_late_response(&mut self, now: Time, zone: &Zone, latency: Duration) {
        if self.is_conclusive(zone, latency) {
            self.update(now, zone, |record, _| record.record_late_response(now, latency));
        } else {
            self.record_response(now, zone, latency, true);
        }
    }

    /// Takes the report of the other members; it replaces the one before.
    pub fn receive_report(&mut self, now: Time, report: &ZoneReport) {
        if !(0.0..=1.0).contains(&report.suspicion) {
            self.malformed_reports += 1;
            return;
        }
        let ZoneReport { suspicion, sources, .. } = *report;
        let peer_report = PeerReport { suspicion, sources, observed_at: now - report.age };
        self.update(now, &report.zone, |record, _| record.peer_report = Some(peer_report));
    }

    /// What is reported to the other members: only measurements of this process.
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
