//! Prints the effect of zone health tracking during a zone failure. For gathers that started while the zone failed: the
//! share of answers in time, the median wait, and the shares of failed and complete answers. For the zone: the time until
//! it was found healthy again. Each value is the mean over all seeds, with minimum and maximum.
//!
//! Eight gateways gather 2.5 times a second each, with one request to each of four zones; in time is within 250 ms.
#[path = "../tests/common/sim/mod.rs"]
mod sim;

use sim::{run, Fault, Knowledge, Measurements};

const SEEDS: u64 = 20;

/// Mean, minimum and maximum of a measurement over all runs.
fn summarize(runs: &[Measurements], value: impl Fn(&Measurements) -> f64) -> String {
    let values: Vec<f64> = runs.iter().map(value).collect();
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    let min = values.iter().copied().fold(f64::MAX, f64::min);
    let max = values.iter().copied().fold(f64::MIN, f64::max);
    format!("{mean:.2} ({min:.2}..{max:.2})")
}

/// A count as a percentage of all gathers.
fn percent(measured: &Measurements, count: usize) -> f64 {
    100.0 * count as f64 / measured.waits_us.len().max(1) as f64
}

fn main() {
    println!(
        "| zone | quorum | known | in time, % | median wait, ms | failed, % | complete, % | found healthy, s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for quorum in ["{ at_least = 3 }", "\"all\""] {
        for fault in [Fault::Unreachable, Fault::Slow, Fault::Flapping, Fault::FalseReports] {
            for knowledge in [Knowledge::Nothing, Knowledge::OwnMeasurements, Knowledge::Shared] {
                let runs: Vec<Measurements> =
                    (0..SEEDS).map(|seed| run(seed, fault, knowledge, quorum)).collect();
                println!(
                    "| {fault:?} | {quorum} | {knowledge:?} | {} | {} | {} | {} | {} |",
                    summarize(&runs, |measured| 100.0 * measured.share_in_time()),
                    summarize(&runs, Measurements::median_ms),
                    summarize(&runs, |measured| percent(measured, measured.failed)),
                    summarize(&runs, |measured| percent(measured, measured.complete)),
                    summarize(&runs, |measured| measured.found_healthy_after.as_secs_f64()),
                );
            }
        }
    }
}
