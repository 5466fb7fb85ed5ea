//! Health record of one zone, from this process's measurements and the other members' reports.
use crate::health_rules::HealthRules;
use crate::latency::LatencyHistogram;
use cluster_types::Time;
use std::time::Duration;

/// The maximum number of relapses that count; each doubles the responses needed for recovery.
const MAX_RELAPSES: u32 = 3;

/// The health of a zone, from best to worst.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ZoneHealth {
    /// Its responses are waited for until the deadline.
    #[default]
    Healthy,
    /// Requests are sent, but waited for only as long as its responses usually take.
    Suspect,
    /// Requests are sent only as a probe, or if there is no answer without the zone.
    Ejected,
}

/// The other members' combined report on a zone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerReport {
    pub suspicion: f32,
    pub sources: u32,
    /// When they observed the zone, on this process's clock.
    pub observed_at: Time,
}

/// This process's observation of a zone.
pub(crate) struct OwnObservation {
    pub is_responding: bool,
    pub is_slow: bool,
    pub is_unreachable: bool,
    pub confidence: f32,
    pub age: Duration,
}

/// A response that arrived after its gather had ended.
#[derive(Clone, Copy, Debug)]
struct LateResponse {
    latency: Duration,
    at: Time,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct ZoneRecord {
    /// The health according to this process's measurements.
    health: ZoneHealth,
    /// How many more gathers had no response than had one; never below 0.
    excess_misses: u32,
    /// Consecutive gathers without a response, and how many of them could not reach the zone.
    misses: u32,
    unreachable_misses: u32,
    /// Consecutive gathers with a response.
    responses: u32,
    relapses: u32,
    recovered_at: Option<Time>,
    measured_at: Option<Time>,
    responded_at: Option<Time>,
    latencies: LatencyHistogram,
    late_response: Option<LateResponse>,
    pub peer_report: Option<PeerReport>,
    pub probed_at: Option<Time>,
    pub gathers_since_probe: u32,
}

impl ZoneRecord {
    /// The typical latency times the margin.
    pub fn typical_latency(&self, rules: &HealthRules) -> Duration {
        match self.latencies.quantile(rules.latency_quantile) {
            Some(latency) => with_margin(latency, rules.latency_margin).max(rules.min_wait),
            None => rules.default_latency,
        }
    }

    /// The latency of the last late response times the margin; `None` without a recent one.
    pub fn late_latency(&self, now: Time, rules: &HealthRules) -> Option<Duration> {
        let late = self.late_response.filter(|late| now.since(late.at) < rules.report_validity)?;
        Some(with_margin(late.latency, rules.latency_margin))
    }

    /// Resets everything except the latencies if the last measurement is too old.
    fn expire(&mut self, now: Time, rules: &HealthRules) {
        if self.measured_at.is_some_and(|at| now.since(at) >= rules.measurement_validity) {
            self.health = ZoneHealth::Healthy;
            self.excess_misses = 0;
            self.misses = 0;
            self.unreachable_misses = 0;
            self.responses = 0;
            self.relapses = 0;
            self.recovered_at = None;
        }
        self.measured_at = Some(now);
    }

    /// Records a response. `is_first` is true for a gather's first response of the zone: all of them are one observation.
    pub fn record_response(&mut self, now: Time, latency: Duration, is_first: bool, rules: &HealthRules) {
        self.latencies.record(latency);
        if !is_first {
            return;
        }
        self.expire(now, rules);
        self.responded_at = Some(now);
        self.misses = 0;
        self.unreachable_misses = 0;
        self.excess_misses = self.excess_misses.saturating_sub(1);
        self.responses = self.responses.saturating_add(1);
        match self.health {
            ZoneHealth::Ejected => {
                self.health = ZoneHealth::Suspect;
                self.responses = 1;
            }
            ZoneHealth::Suspect if self.responses >= rules.recovery_responses << self.relapses => {
                self.health = ZoneHealth::Healthy;
                self.recovered_at = Some(now);
                self.late_response = None;
                self.excess_misses = 0;
            }
            ZoneHealth::Healthy | ZoneHealth::Suspect => {}
        }
    }

    /// Records that a gather ended without a response of the zone, after a conclusive wait or without reaching it.
    pub fn record_miss(&mut self, now: Time, is_unreachable: bool, rules: &HealthRules) {
        self.expire(now, rules);
        self.responses = 0;
        self.misses = self.misses.saturating_add(1);
        self.excess_misses = self.excess_misses.saturating_add(1).min(rules.eject_misses);
        self.unreachable_misses = self.unreachable_misses.saturating_add(u32::from(is_unreachable));
        if self.health == ZoneHealth::Healthy && self.excess_misses >= rules.suspect_misses {
            // A flapping zone needs more responses for each recovery.
            let is_relapse = self.recovered_at.is_some_and(|at| now.since(at) < rules.relapse_window);
            self.relapses = if is_relapse { (self.relapses + 1).min(MAX_RELAPSES) } else { 0 };
            self.health = ZoneHealth::Suspect;
        }
        if self.misses >= rules.eject_misses {
            self.health = ZoneHealth::Ejected;
        }
    }

    /// Records a response that arrived after its gather had ended and took longer than usual.
    pub fn record_late_response(&mut self, now: Time, latency: Duration) {
        self.late_response = Some(LateResponse { latency, at: now });
    }

    /// The health according to this process's measurements alone.
    pub fn own_health(&self, now: Time, rules: &HealthRules) -> ZoneHealth {
        match self.measured_at {
            Some(at) if now.since(at) < rules.measurement_validity => self.health,
            _ => ZoneHealth::Healthy,
        }
    }

    /// The health according to other members' reports. Reports are ignored if the zone has responded to this process since
    /// they were observed, or recently without a miss after that. They eject a zone only if several members report it and
    /// this process has missed a response too; otherwise they make it suspect.
    fn peer_health(&self, now: Time, rules: &HealthRules) -> ZoneHealth {
        let Some(report) = self.valid_report(now, rules) else { return ZoneHealth::Healthy };
        let is_responding = self.responded_at.is_some_and(|at| {
            at >= report.observed_at || (self.misses == 0 && now.since(at) < rules.recent_response)
        });
        if is_responding || report.suspicion < rules.suspect_suspicion || report.sources == 0 {
            return ZoneHealth::Healthy;
        }
        let is_certain = report.sources >= rules.eject_sources && report.suspicion >= rules.eject_suspicion;
        if is_certain && self.misses > 0 {
            ZoneHealth::Ejected
        } else {
            ZoneHealth::Suspect
        }
    }

    fn valid_report(&self, now: Time, rules: &HealthRules) -> Option<PeerReport> {
        self.peer_report.filter(|report| now.since(report.observed_at) < rules.report_validity)
    }

    /// The worse of the measured and the reported health.
    pub fn health(&self, now: Time, rules: &HealthRules) -> ZoneHealth {
        self.own_health(now, rules).max(self.peer_health(now, rules))
    }

    /// Whether other members found the zone healthy since the last probe, so that the next probe should come early.
    fn is_reported_healthy(&self, now: Time, rules: &HealthRules) -> bool {
        self.valid_report(now, rules).is_some_and(|report| {
            let is_newer = self.probed_at.is_none_or(|at| report.observed_at > at);
            is_newer && report.sources > 0 && report.suspicion < rules.suspect_suspicion / 2.0
        })
    }

    /// Whether a gather with this much time for the zone should probe it.
    pub fn is_probe_due(&self, now: Time, remaining: Duration, rules: &HealthRules) -> bool {
        let may_probe_early =
            self.gathers_since_probe >= rules.probe_every_gathers || self.is_reported_healthy(now, rules);
        let since = self.probed_at.map(|at| now.since(at));
        let is_due = since.is_none_or(|since| {
            since >= rules.max_probe_interval || (since >= rules.min_probe_interval && may_probe_early)
        });
        // A probe that is shorter than the typical latency is inconclusive, so it is left to a later gather, unless there
        // was no probe for twice the maximum interval.
        let is_conclusive = remaining >= self.typical_latency(rules)
            || since.is_none_or(|since| since >= rules.max_probe_interval * 2);
        is_due && is_conclusive
    }

    /// Whether only other members suspect the zone: this process has missed no response.
    pub fn is_suspected_by_others_only(&self, now: Time, rules: &HealthRules) -> bool {
        self.misses == 0 && self.own_health(now, rules) == ZoneHealth::Healthy
    }

    /// The observation to report to other members. It covers only this process's measurements, so that reports don't
    /// circulate.
    pub fn observation(&self, now: Time, rules: &HealthRules) -> Option<OwnObservation> {
        let measured_at = self.measured_at.filter(|at| now.since(*at) < rules.measurement_validity)?;
        let confidence = match self.own_health(now, rules) {
            // With too few misses for suspicion (one or two by default), report neither for nor against the zone.
            ZoneHealth::Healthy if self.excess_misses > 0 => return None,
            ZoneHealth::Healthy => 1.0,
            _ if self.misses == 0 => 0.5,
            _ => {
                let misses = self.excess_misses.max(self.misses) as f32;
                (misses / rules.eject_misses.max(1) as f32).min(1.0)
            }
        };
        Some(OwnObservation {
            is_responding: self.misses == 0,
            is_slow: self.late_latency(now, rules).is_some(),
            is_unreachable: self.unreachable_misses * 2 > self.misses,
            confidence,
            age: now.since(measured_at),
        })
    }
}

/// A latency times a margin, in whole microseconds like every `Time`. A wait with a finer fraction would be truncated to
/// less than the latency it is compared with, and would then be inconclusive.
fn with_margin(latency: Duration, margin: f64) -> Duration {
    Duration::from_micros((latency.as_micros() as f64 * margin) as u64)
}
