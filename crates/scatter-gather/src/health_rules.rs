//! When a zone is suspect or ejected, and when it is healthy again.
use std::time::Duration;

/// When a zone is suspect or ejected, and when it is healthy again.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthRules {
    /// A zone that is not healthy is probed by every so many gathers,
    pub probe_every_gathers: u32,
    /// but not more often than this,
    pub min_probe_interval: Duration,
    /// and at least this often.
    pub max_probe_interval: Duration,
    /// The shortest time that a zone is waited for, where a request is sent to it.
    pub min_wait: Duration,
    /// The latency of a zone that was not measured yet.
    pub default_latency: Duration,
    /// The factor on a suspect zone's usual latency for which it is waited for.
    pub latency_margin: f64,
    /// The quantile of the measured times that is the usual latency.
    pub latency_quantile: f64,
    /// A wait of this length without a response always counts as a miss, however slow the zone was before.
    pub conclusive_wait: Duration,
    /// So many more gathers without a response than with one make a zone suspect.
    pub suspect_misses: u32,
    /// So many gathers in a row without a response eject it.
    pub eject_misses: u32,
    /// So many responses in a row make it healthy; twice as many after each relapse, eight times at most.
    pub recovery_responses: u32,
    /// A zone that is suspect again so soon after its recovery has relapsed.
    pub relapse_window: Duration,
    /// How long the measurements of this process count.
    pub measurement_validity: Duration,
    /// How long the reports of others count, from their observation on.
    pub report_validity: Duration,
    /// A zone that responded to this process so recently is not suspected by the reports of others.
    pub recent_response: Duration,
    /// The suspicion of others from which a zone is suspect.
    pub suspect_suspicion: f32,
    /// The suspicion of others from which a zone is ejected,
    pub eject_suspicion: f32,
    /// if so many members report it.
    pub eject_sources: u32,
}

impl Default for HealthRules {
    fn default() -> Self {
        HealthRules {
            probe_every_gathers: 16,
            min_probe_interval: Duration::from_millis(100),
            max_probe_interval: Duration::from_secs(1),
            min_wait: Duration::from_millis(10),
            default_latency: Duration::from_millis(200),
            latency_margin: 1.5,
            latency_quantile: 0.95,
            conclusive_wait: Duration::from_millis(500),
            suspect_misses: 3,
            eject_misses: 6,
            recovery_responses: 3,
            relapse_window: Duration::from_secs(30),
            measurement_validity: Duration::from_secs(60),
            report_validity: Duration::from_secs(10),
            recent_response: Duration::from_millis(500),
            suspect_suspicion: 0.5,
            eject_suspicion: 0.8,
            eject_sources: 2,
        }
    }
}
