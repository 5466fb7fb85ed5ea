//! Combines the reports of several gateways the way membership does.
use cluster_types::Zone;
use scatter_gather::*;
use std::time::Duration;

/// The age of a report on arrival.
const REPORT_DELAY: Duration = Duration::from_millis(150);

/// The report of the majority; `None` without a report.
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
