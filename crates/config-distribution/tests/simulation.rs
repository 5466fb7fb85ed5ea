//! A fleet in simulated time, by hundreds of seeds; `SEEDS=5000` runs more.
#![allow(clippy::unwrap_used)]
mod sim;
use config_distribution::{Class, Settings};
use rstest::rstest;
use sim::build::Size;
use sim::plan::{play, with_one, One, Trouble};
use sim::{Broken, World};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Duration;

fn seeds(fewest: u64) -> u64 {
    std::env::var("SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(fewest)
}

/// Runs worlds by four at a time.
fn each(
    seeds: std::ops::Range<u64>,
    run: impl Fn(u64) -> World + Sync,
    mut then: impl FnMut(u64, World) + Send,
) {
    let next = AtomicU64::new(seeds.start);
    let then = Mutex::new(&mut then);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= seeds.end {
                    return;
                }
                let world = run(seed);
                then.lock().unwrap()(seed, world);
            });
        }
    });
}

/// The faults of schedules that did not hold, by seed.
fn faults(seeds: std::ops::Range<u64>, trouble: Trouble, broken: Option<Broken>) -> Vec<(u64, Vec<String>)> {
    let mut failed = vec![];
    each(
        seeds,
        |seed| play(seed, trouble, broken),
        |seed, world| {
            if !world.faults.is_empty() {
                failed.push((seed, world.faults));
            }
        },
    );
    failed.sort();
    failed
}

#[test]
fn whatever_befalls_the_end_is_exact_and_nothing_goes_back() {
    // `SEED=17` runs that one alone.
    let one: Option<u64> = std::env::var("SEED").ok().and_then(|s| s.parse().ok());
    let failed = faults(one.map_or(0..seeds(200), |seed| seed..seed + 1), Trouble::Everything, None);
    let few: Vec<_> = failed.iter().take(3).collect();
    assert!(failed.is_empty(), "{} seeds failed: {few:#?}", failed.len());
}

#[rstest]
#[case(One::Nothing)]
#[case(One::RelayDies)]
#[case(One::RelayGone)]
#[case(One::RelayStalls)]
#[case(One::VoterDies)]
#[case(One::VoterGone)]
#[case(One::FrontsRestart)]
fn with_any_one_failure_changes_are_in_force_in_time(#[case] one: One) {
    let (mut primary, mut configuration, mut failed) = (0.0f64, 0.0f64, vec![]);
    each(
        0..seeds(8).min(200),
        |seed| with_one(seed, one),
        |seed, world| {
            primary = primary.max(world.seen.spans(Class::Primary).2);
            configuration = configuration.max(world.seen.spans(Class::Configuration).2);
            if !world.faults.is_empty() {
                failed.push((seed, world.faults));
            }
        },
    );
    println!("{one:?}: primary {primary:.2} s, configuration {configuration:.2} s at most");
    assert!(failed.is_empty(), "{failed:#?}");
    assert!(primary <= 6.0, "{primary} s");
    assert!(configuration <= 19.0, "{configuration} s");
}

#[rstest]
#[case(Broken::Version, "goes back")]
#[case(Broken::Half, "is not whole")]
#[case(Broken::Digest, "at the end front")]
#[case(Broken::Early, "says everywhere")]
fn what_is_broken_on_purpose_is_found(#[case] broken: Broken, #[case] said: &str) {
    let found = faults(0..4, Trouble::None, Some(broken));
    assert!(found.iter().any(|(_, faults)| faults.iter().any(|f| f.contains(said))), "{found:#?}");
}

#[test]
fn a_digest_finds_what_was_missed() {
    let (mut missed, mut failed) = (0, vec![]);
    each(
        0..8,
        |seed| play(seed, Trouble::None, Some(Broken::Lost)),
        |seed, world| {
            missed += world.fronts.iter().map(|f| f.subscriber.figures().missed).sum::<u64>();
            missed += world
                .machines
                .iter()
                .filter_map(|m| Some(m.subscriber.as_ref()?.figures().missed))
                .sum::<u64>();
            failed.extend(world.faults.into_iter().filter(|f| f.contains("at the end")).map(|f| (seed, f)));
        },
    );
    assert!(failed.is_empty() && missed > 0, "{missed} missed, {failed:#?}");
}

/// The peak at a relay when all start for the first time; when all are killed and start again at once with what they
/// kept; and when they have kept nothing.
fn peaks(settings: Settings) -> [u64; 3] {
    let size = Size { fronts: 200, ..Size::small() };
    let mut world = World::new(&size, 1, settings, None);
    world.checks = false;
    world.fill(&size, 600);
    // The relays hold everything: so they do when all fronts restart.
    world.wait(Duration::from_secs(20));
    world.start_fronts();
    world.wait(Duration::from_secs(60));
    let mut peaks = [world.seen.anew().peak(), 0, 0];
    for (n, keeps) in [(1, true), (2, false)] {
        (0..world.fronts.len()).for_each(|n| world.kill_front(n));
        (0..world.fronts.len()).filter(|_| !keeps).for_each(|n| world.fronts[n].kept = None);
        world.start_fronts();
        world.wait(Duration::from_secs(60));
        peaks[n] = world.seen.anew().peak();
    }
    world.check_end();
    assert_eq!(world.faults, Vec::<String>::new());
    peaks
}

#[test]
fn a_full_restart_has_no_higher_peak_than_the_first_start() {
    let settings = Settings { admission: (20_000.0, 5_000.0), ..Settings::default() };
    let [first, kept, lost] = peaks(settings.clone());
    println!("bytes in one second: first {first}, again {kept}, again with nothing kept {lost}");
    assert!(kept <= first, "first {first}, second {kept}");
    // The tokens of a second, what was saved up, one debt, and what takes no tokens: words that the relay is there.
    let bound = 20_000 + 5_000 + 6_000 + 2_000;
    assert!(first <= bound && lost <= bound, "first {first}, with nothing kept {lost}");
    let [_, _, at_once] = peaks(Settings { admission: (f64::MAX, f64::MAX), ..settings });
    assert!(at_once > bound, "admitting all at once is seen: {at_once}");
}

#[test]
fn regions_apart_keep_what_they_know_tell_its_age_and_come_to_one_version() {
    let size = Size::small();
    let mut world = World::new(&size, 3, Settings::default(), None);
    world.start_fronts();
    world.fill(&size, 120);
    world.wait(Duration::from_secs(10));
    world.cuts.insert((0, 1));
    let apart = world.now;
    world.go_on(&size, Duration::from_secs(60), 500, Trouble::None);
    let (mut alone, mut here) = (0, 0);
    for front in &world.fronts {
        let age = front.subscriber.alone().map(|since| world.now.since(since));
        match world.region(front.zone) {
            0 => here += usize::from(age.is_none()),
            _ => alone += usize::from(age > Some(Duration::from_secs(45))),
        }
        assert!(!front.force.is_empty());
    }
    assert_eq!((here, alone), (15, 15), "of 15 each, {:?} after the cut", world.now.since(apart));
    world.cuts.clear();
    world.rest(Duration::from_secs(40));
    world.check_end();
    assert_eq!(world.faults, Vec::<String>::new());
    assert!(world.fronts.iter().all(|f| f.subscriber.alone().is_none()));
}
