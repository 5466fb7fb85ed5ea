//! Thresholds and intervals of zone health tracking.
use std::time::Duration;

/// Thresholds and intervals that decide when a zone is suspect or ejected, and when it is healthy again.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthRules {
    /// An unhealthy zone is probed once per this number of gathers, subject to the two intervals below.
    pub probe_every_gathers: u32,
    /// The minimum interval between probes of a zone.
    pub min_probe_interval: Duration,
    /// The interval after which a probe is due regardless of the number of gathers.
    pub max_probe_interval: Duration,
    /// The minimum of the typical latency with its margin, and the wait for a suspect zone that is expected to respond too
    /// late.
    pub min_wait: Duration,
    /// The assumed latency of a zone without measurements.
    pub default_latency: Duration,
    /// The factor by which waits for a suspect zone exceed its latency.
    pub latency_margin: f64,
    /// The quantile of measured latencies that counts as the typical latency.
    pub latency_quantile: f64,
    /// A wait of this length without a response always counts as a miss, whatever the typical latency.
    pub conclusive_wait: Duration,
    /// A zone is suspect once its gathers without a response outnumber those with one by this many.
    pub suspect_misses: u32,
    /// A zone is ejected after this number of consecutive gathers without a response.
    pub eject_misses: u32,
    /// A suspect zone is healthy after this number of consecutive responses; each relapse doubles it, up to eightfold.
    pub recovery_responses: u32,
    /// A zone that becomes suspect again within this time of its recovery has relapsed.
    pub relapse_window: Duration,
    /// How long this process's measurements are valid.
    pub measurement_validity: Duration,
    /// How long other members' reports and the latency of a late response are valid, from their observation.
    pub report_validity: Duration,
    /// Other members' reports are ignored for a zone that responded to this process within this time, if nothing was missed
    /// since.
    pub recent_response: Duration,
    /// The reported suspicion at which a zone is suspect.
    pub suspect_suspicion: f32,
    /// The reported suspicion at which a zone is ejected, given enough sources and a miss of this process.
    pub eject_suspicion: f32,
    /// The minimum number of reporting members to eject a zone.
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
