//! Prints what tracking the health of a failing zone is worth: the share of answers in time and the median wait of gathers
//! that started while it failed, each as the mean over seeds with the least and the most, and how long it took to find the
//! zone healthy again. Eight gateways, 2.5 gathers a second each, one request in each of four zones; in time is within 250 ms.
#[path = "../tests/common/sim/mod.rs"]
mod sim;

use sim::{run, Fault, Knowledge, Measurements};

const SEEDS: u64 = 20;

/// Mean, least and most of a figure.
fn spread(runs: &[Measurements], figure: impl Fn(&Measurements) -> f64) -> String {
    let all: Vec<f64> = runs.iter().map(figure).collect();
    let mean = all.iter().sum::<f64>() / all.len() as f64;
    let least = all.iter().copied().fold(f64::MAX, f64::min);
    let most = all.iter().copied().fold(f64::MIN, f64::max);
    format!("{mean:.2} ({least:.2}..{most:.2})")
}

/// The share of a count among all gathers, in percent.
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
                    spread(&runs, |measured| 100.0 * measured.share_in_time()),
                    spread(&runs, Measurements::median_ms),
                    spread(&runs, |measured| percent(measured, measured.failed)),
                    spread(&runs, |measured| percent(measured, measured.complete)),
                    spread(&runs, |measured| measured.found_healthy_after.as_secs_f64()),
                );
            }
        }
    }
}
