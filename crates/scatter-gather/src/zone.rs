//! What is known of one zone: measurements of this process, and reports of others.
use crate::health_rules::HealthRules;
use crate::latency::LatencyHistogram;
use cluster_types::Time;
use std::time::Duration;

/// The most that relapses lengthen a recovery: twice as many responses are needed for each.
const MAX_RELAPSES: u32 = 3;

/// The health of a zone, the best first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ZoneHealth {
    /// Waited for to the end.
    #[default]
    Healthy,
    /// Sent requests, and waited for as long as its responses usually take.
    Suspect,
    /// Sent requests only as a probe, or where there is no answer without it.
    Ejected,
}

/// What others report of a zone.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerReport {
    pub suspicion: f32,
    pub sources: u32,
    /// When they observed it, on this process's clock.
    pub observed_at: Time,
}

/// What this process has observed of a zone.
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
    /// The health by the measurements of this process.
    health: ZoneHealth,
    /// How many more gathers had no response than had one; 0 at least.
    excess_misses: u32,
    /// Gathers in a row without a response, and how many of them could not reach the zone.
    misses: u32,
    unreachable_misses: u32,
    /// Gathers in a row with a response.
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
    /// The usual latency, with a margin.
    pub fn typical_latency(&self, rules: &HealthRules) -> Duration {
        match self.latencies.quantile(rules.latency_quantile) {
            Some(latency) => with_margin(latency, rules.latency_margin).max(rules.min_wait),
            None => rules.default_latency,
        }
    }

    /// The latency of the last late response, with a margin; none where there was none recently.
    pub fn late_latency(&self, now: Time, rules: &HealthRules) -> Option<Duration> {
        let late = self.late_response.filter(|late| now.since(late.at) < rules.report_validity)?;
        Some(with_margin(late.latency, rules.latency_margin))
    }

    /// Forgets everything but the latencies once the last measurement is too old.
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

    /// The zone has responded. `is_first` is true once a gather: all its responses are one observation.
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

    /// A gather ended without a response of the zone, though it waited long enough, or could not reach it.
    pub fn record_miss(&mut self, now: Time, is_unreachable: bool, rules: &HealthRules) {
        self.expire(now, rules);
        self.responses = 0;
        self.misses = self.misses.saturating_add(1);
        self.excess_misses = self.excess_misses.saturating_add(1).min(rules.eject_misses);
        self.unreachable_misses = self.unreachable_misses.saturating_add(u32::from(is_unreachable));
        if self.health == ZoneHealth::Healthy && self.excess_misses >= rules.suspect_misses {
            // Guards against a zone that comes and goes: each time it has to respond for longer.
            let is_relapse = self.recovered_at.is_some_and(|at| now.since(at) < rules.relapse_window);
            self.relapses = if is_relapse { (self.relapses + 1).min(MAX_RELAPSES) } else { 0 };
            self.health = ZoneHealth::Suspect;
        }
        if self.misses >= rules.eject_misses {
            self.health = ZoneHealth::Ejected;
        }
    }

    /// The zone responded after its gather had ended, and slower than usual.
    pub fn record_late_response(&mut self, now: Time, latency: Duration) {
        self.late_response = Some(LateResponse { latency, at: now });
    }

    /// The health by the measurements of this process alone.
    pub fn own_health(&self, now: Time, rules: &HealthRules) -> ZoneHealth {
        match self.measured_at {
            Some(at) if now.since(at) < rules.measurement_validity => self.health,
            _ => ZoneHealth::Healthy,
        }
    }

    /// The health by the reports of others, as far as they count here. They are nothing against a zone that responded to this
    /// process since, or does so now. They eject a zone only where several members report it and this process has missed a
    /// response too; otherwise they make it suspect.
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

    /// The health by measurements and reports.
    pub fn health(&self, now: Time, rules: &HealthRules) -> ZoneHealth {
        self.own_health(now, rules).max(self.peer_health(now, rules))
    }

    /// Whether others found it healthy since the last probe: worth a probe soon.
    fn is_reported_healthy(&self, now: Time, rules: &HealthRules) -> bool {
        self.valid_report(now, rules).is_some_and(|report| {
            let is_newer = self.probed_at.is_none_or(|at| report.observed_at > at);
            is_newer && report.sources > 0 && report.suspicion < rules.suspect_suspicion / 2.0
        })
    }

    /// Whether a gather that has so long for the zone is to be a probe.
    pub fn is_probe_due(&self, now: Time, left: Duration, rules: &HealthRules) -> bool {
        let is_early =
            self.gathers_since_probe >= rules.probe_every_gathers || self.is_reported_healthy(now, rules);
        let since = self.probed_at.map(|at| now.since(at));
        let is_due = since.is_none_or(|since| {
            since >= rules.max_probe_interval || (since >= rules.min_probe_interval && is_early)
        });
        // A probe that can't wait as long as the zone takes shows nothing; it is left to a later gather, unless none had the
        // time for long.
        let is_able = left >= self.typical_latency(rules)
            || since.is_none_or(|since| since >= rules.max_probe_interval * 2);
        is_due && is_able
    }

    /// Whether only others suspect it: this process has missed nothing.
    pub fn is_suspected_by_others_only(&self, now: Time, rules: &HealthRules) -> bool {
        self.misses == 0 && self.own_health(now, rules) == ZoneHealth::Healthy
    }

    /// What is reported to others: only measurements of this process, so that no report is passed on in circles.
    pub fn observation(&self, now: Time, rules: &HealthRules) -> Option<OwnObservation> {
        let measured_at = self.measured_at.filter(|at| now.since(*at) < rules.measurement_validity)?;
        let confidence = match self.own_health(now, rules) {
            // One or two misses are no report against it, and none for it.
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

/// A latency with a margin, in whole microseconds as all times are. Guards against a wait that is cut to microseconds, hence
/// shorter than the latency that it was made from, and then shows nothing.
fn with_margin(latency: Duration, margin: f64) -> Duration {
    Duration::from_micros((latency.as_micros() as f64 * margin) as u64)
}
