//! Many gathers of eight fronts with a hall that fails for ten seconds, in simulated time.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod common;
use common::sim::{run, Figures, Knows, Trouble};
use rstest::rstest;
use std::time::Duration;

const SEEDS: u64 = 3;

fn all(trouble: Trouble, knows: Knows, suffices: &str) -> Vec<Figures> {
    (0..SEEDS).map(|seed| run(seed, trouble, knows, suffices)).collect()
}

fn share(figures: &[Figures]) -> f64 {
    figures.iter().map(Figures::share).sum::<f64>() / figures.len() as f64
}

#[rstest]
#[case(Trouble::CutOff, 0.5, 4)]
#[case(Trouble::Slow, 0.5, 5)]
#[case(Trouble::Flapping, 0.03, 20)]
fn knowing_is_worth_it_and_the_hall_is_found_well_again(
    #[case] trouble: Trouble,
    #[case] gain: f64,
    #[case] seconds: u64,
) {
    let needs = "{ at_least = 3 }";
    let nothing = all(trouble, Knows::Nothing, needs);
    let own = all(trouble, Knows::Own, needs);
    let shared = all(trouble, Knows::Shared, needs);
    let (n, o, s) = (share(&nothing), share(&own), share(&shared));
    assert!(s >= o && o >= n + gain, "in time: {n} knowing nothing, {o} own, {s} shared");
    for (seed, figures) in own.iter().chain(&shared).enumerate() {
        assert!(figures.found_well <= Duration::from_secs(seconds), "run {seed}: {:?}", figures.found_well);
        assert_eq!(figures.failed, 0, "run {seed}");
    }
}

#[rstest]
#[case("{ at_least = 3 }")]
#[case("\"all\"")]
fn lies_about_a_hall_that_is_well_change_nothing(#[case] suffices: &str) {
    for seed in 0..SEEDS {
        let lied = run(seed, Trouble::Lies, Knows::Shared, suffices);
        assert_eq!((lied.share(), lied.failed, lied.whole), (1.0, 0, lied.waits.len()), "seed {seed}");
    }
}

#[test]
fn where_no_answer_is_possible_without_the_hall_what_comes_in_time_is_never_lost() {
    for seed in 0..SEEDS {
        let without = run(seed, Trouble::Flapping, Knows::Nothing, "\"all\"");
        let with = run(seed, Trouble::Flapping, Knows::Shared, "\"all\"");
        let served = |f: &Figures| f.waits.len() - f.failed;
        assert!(served(&with) >= served(&without) && with.median_ms() <= without.median_ms(), "seed {seed}");
    }
}
