//! Prints what knowing of a failing hall is worth: the on-time share and the median wait of gathers that began while it
//! failed, each as the mean over seeds with the least and the most, and how long it took to find it well again.
//! Eight fronts, 2.5 gathers a second each, one part in each of four halls; in time is within 250 ms.
#[path = "../tests/common/sim.rs"]
mod sim;

use sim::{run, Figures, Knows, Trouble};

const SEEDS: u64 = 20;

fn spread(figures: &[Figures], of: impl Fn(&Figures) -> f64) -> String {
    let all: Vec<f64> = figures.iter().map(of).collect();
    let mean = all.iter().sum::<f64>() / all.len() as f64;
    let least = all.iter().copied().fold(f64::MAX, f64::min);
    let most = all.iter().copied().fold(f64::MIN, f64::max);
    format!("{mean:.2} ({least:.2}..{most:.2})")
}

fn main() {
    println!(
        "| hall | suffices | knows | on time, % | median wait, ms | failed, % | whole, % | well again, s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for suffices in ["{ at_least = 3 }", "\"all\""] {
        for trouble in [Trouble::CutOff, Trouble::Slow, Trouble::Flapping, Trouble::Lies] {
            for knows in [Knows::Nothing, Knows::Own, Knows::Shared] {
                let all: Vec<Figures> = (0..SEEDS).map(|seed| run(seed, trouble, knows, suffices)).collect();
                let whole = |f: &Figures| 100.0 * f.whole as f64 / f.waits.len().max(1) as f64;
                let failed = |f: &Figures| 100.0 * f.failed as f64 / f.waits.len().max(1) as f64;
                println!(
                    "| {trouble:?} | {} | {knows:?} | {} | {} | {} | {} | {} |",
                    suffices,
                    spread(&all, |f| 100.0 * f.share()),
                    spread(&all, Figures::median_ms),
                    spread(&all, failed),
                    spread(&all, whole),
                    spread(&all, |f| f.found_well.as_secs_f64()),
                );
            }
        }
    }
}
