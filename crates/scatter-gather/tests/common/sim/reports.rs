//! The reports of several gateways as one, as membership combines them.
use cluster_types::Zone;
use scatter_gather::*;
use std::time::Duration;

/// How old a report is when it arrives.
const REPORT_DELAY: Duration = Duration::from_millis(150);

/// What the majority of the others reports; none without a report.
pub fn combined_report(zone: &Zone, others: &[&ZoneObservation]) -> Option<ZoneReport> {
    let is_bad = |observed: &ZoneObservation| observed.condition != ZoneCondition::Healthy;
    let confidence = |bad: bool| -> f32 {
        others.iter().filter(|observed| is_bad(observed) == bad).map(|observed| observed.confidence).sum()
    };
    let suspicion = confidence(true) / (confidence(true) + confidence(false)).max(0.001);
    let majority_is_bad = suspicion >= 0.5;
    let majority = || others.iter().filter(|observed| is_bad(observed) == majority_is_bad);
    let age = majority().map(|observed| observed.age).min()? + REPORT_DELAY;
    Some(ZoneReport { zone: zone.clone(), suspicion, sources: majority().count() as u32, age })
}
