//! A fleet in simulated time, with hundreds of seeds; `SEEDS=5000` sets their number, `SEED=17` runs a single one.
#![allow(clippy::unwrap_used)]
mod sim;
use config_distribution::{Class, RateLimit, Settings};
use rstest::rstest;
use sim::build::FleetSize;
use sim::defect::Defect;
use sim::schedule::{run_schedule, run_single_fault, Faults, SingleFault};
use sim::World;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::time::Duration;

const THREADS: usize = 4;

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok().and_then(|value| value.parse().ok())
}

fn seed_count(default: u64) -> u64 {
    env_number("SEEDS").unwrap_or(default)
}

/// Runs simulations in parallel, and inspects each after its end.
fn for_each_seed(
    seeds: Range<u64>,
    run: impl Fn(u64) -> World + Sync,
    mut inspect: impl FnMut(u64, World) + Send,
) {
    let next = AtomicU64::new(seeds.start);
    let inspect = Mutex::new(&mut inspect);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= seeds.end {
                    return;
                }
                let world = run(seed);
                inspect.lock().unwrap()(seed, world);
            });
        }
    });
}

/// The violations in schedules that had any, by seed.
fn violations(seeds: Range<u64>, faults: Faults, defect: Option<Defect>) -> Vec<(u64, Vec<String>)> {
    let mut failed = vec![];
    for_each_seed(
        seeds,
        |seed| run_schedule(seed, faults, defect),
        |seed, world| {
            if !world.violations.is_empty() {
                failed.push((seed, world.violations));
            }
        },
    );
    failed.sort();
    failed
}

#[test]
fn converges_without_applying_older_values_under_random_faults() {
    let seeds = env_number("SEED").map_or(0..seed_count(200), |seed| seed..seed + 1);
    let failed = violations(seeds, Faults::All, None);
    let first_failures: Vec<_> = failed.iter().take(3).collect();
    assert!(failed.is_empty(), "{} seeds failed: {first_failures:#?}", failed.len());
}

#[rstest]
#[case(SingleFault::None)]
#[case(SingleFault::RelayCrash)]
#[case(SingleFault::RelayVanishes)]
#[case(SingleFault::RelayStall)]
#[case(SingleFault::VoterCrash)]
#[case(SingleFault::VoterVanishes)]
#[case(SingleFault::AllGatewaysRestart)]
fn applies_changes_within_bounds_under_single_fault(#[case] fault: SingleFault) {
    let (mut primary_s, mut configuration_s, mut failed) = (0.0f64, 0.0f64, vec![]);
    for_each_seed(
        0..seed_count(8).min(200),
        |seed| run_single_fault(seed, fault),
        |seed, world| {
            primary_s = primary_s.max(world.measurements.latencies(Class::Primary).max_s);
            configuration_s = configuration_s.max(world.measurements.latencies(Class::Configuration).max_s);
            if !world.violations.is_empty() {
                failed.push((seed, world.violations));
            }
        },
    );
    println!("{fault:?}: primary {primary_s:.2} s, configuration {configuration_s:.2} s at most");
    assert!(failed.is_empty(), "{failed:#?}");
    assert!(primary_s <= 6.0, "{primary_s} s");
    assert!(configuration_s <= 19.0, "{configuration_s} s");
}

#[rstest]
#[case(Defect::OldValue, "goes back")]
#[case(Defect::PartialBatch, "is incomplete")]
#[case(Defect::LostChangeWithoutChecksum, "at the end gateway")]
#[case(Defect::EarlyAcknowledgement, "reports a complete rollout")]
fn detects_injected_defects(#[case] defect: Defect, #[case] expected: &str) {
    let found = violations(0..4, Faults::None, Some(defect));
    let is_expected = |violation: &String| violation.contains(expected);
    assert!(found.iter().any(|(_, violations)| violations.iter().any(is_expected)), "{found:#?}");
}

#[test]
fn checksum_detects_lost_changes() {
    let (mut mismatches, mut failed) = (0, vec![]);
    for_each_seed(
        0..8,
        |seed| run_schedule(seed, Faults::None, Some(Defect::LostChange)),
        |seed, world| {
            let gateways = world.gateways.iter().map(|gateway| &gateway.subscriber);
            let relays = world.machines.iter().filter_map(|machine| machine.subscriber.as_ref());
            let found = gateways.chain(relays).map(|subscriber| subscriber.stats().checksum_mismatches);
            mismatches += found.sum::<u64>();
            let at_end = world.violations.into_iter().filter(|violation| violation.contains("at the end"));
            failed.extend(at_end.map(|violation| (seed, violation)));
        },
    );
    assert!(failed.is_empty() && mismatches > 0, "{mismatches} mismatches, {failed:#?}");
}

/// The maximum bytes that a relay sends in one second, in each scenario.
struct Peaks {
    /// When all gateways start for the first time.
    first_start: u64,
    /// When all are killed and restarted immediately with their persisted state.
    with_state: u64,
    /// When all are killed and restarted without their persisted state.
    without_state: u64,
}

fn measure_peaks(settings: Settings) -> Peaks {
    let size = FleetSize { gateways: 200, ..FleetSize::small() };
    let mut world = World::new(&size, 1, settings, None);
    world.checks_fleet_invariants = false;
    world.fill(&size, 600);
    // The relays have applied the whole log, as they have when all gateways restart.
    world.wait(Duration::from_secs(20));
    let first_start = measure_start_peak(&mut world);
    world.kill_gateways();
    let with_state = measure_start_peak(&mut world);
    world.kill_gateways();
    world.gateways.iter_mut().for_each(|gateway| gateway.persisted = None);
    let without_state = measure_start_peak(&mut world);
    world.check_end();
    assert_eq!(world.violations, Vec::<String>::new());
    Peaks { first_start, with_state, without_state }
}

fn measure_start_peak(world: &mut World) -> u64 {
    world.start_gateways();
    world.wait(Duration::from_secs(60));
    world.measurements.take().peak_bytes_per_second()
}

#[test]
fn full_restart_peak_does_not_exceed_first_start() {
    let subscription_rate = RateLimit { bytes_per_second: 20_000.0, burst_bytes: 5_000.0 };
    let settings = Settings { subscription_rate, ..Settings::default() };
    let Peaks { first_start, with_state, without_state } = measure_peaks(settings.clone());
    println!("bytes in one second: first {first_start}, with state {with_state}, without {without_state}");
    assert!(with_state <= first_start, "first {first_start}, second {with_state}");
    // The tokens of one second, the burst, one transfer beyond the tokens, and heartbeats, which take no tokens.
    let bound = 20_000 + 5_000 + 6_000 + 2_000;
    assert!(first_start <= bound && without_state <= bound, "first {first_start}, without {without_state}");
    let unlimited = RateLimit { bytes_per_second: f64::MAX, burst_bytes: f64::MAX };
    let unlimited_peak = measure_peaks(Settings { subscription_rate: unlimited, ..settings }).without_state;
    assert!(unlimited_peak > bound, "without the limit, the peak must exceed the bound: {unlimited_peak}");
}

#[test]
fn partitioned_regions_keep_values_report_isolation_and_converge() {
    let size = FleetSize::small();
    let mut world = World::new(&size, 3, Settings::default(), None);
    world.start_gateways();
    world.fill(&size, 120);
    world.wait(Duration::from_secs(10));
    world.partitions.insert((0, 1));
    let partitioned_at = world.now;
    world.run_with_writes(&size, Duration::from_secs(60), 500, Faults::None);
    let (mut isolated, mut connected) = (0, 0);
    for gateway in &world.gateways {
        let age = gateway.subscriber.isolated_since().map(|since| world.now.since(since));
        match world.region(gateway.zone) {
            0 => connected += usize::from(age.is_none()),
            _ => isolated += usize::from(age > Some(Duration::from_secs(45))),
        }
        assert!(!gateway.applied.is_empty());
    }
    let partitioned_for = world.now.since(partitioned_at);
    assert_eq!((connected, isolated), (15, 15), "of 15 each, {partitioned_for:?} after the partition");
    world.partitions.clear();
    world.run_idle(Duration::from_secs(40));
    world.check_end();
    assert_eq!(world.violations, Vec::<String>::new());
    assert!(world.gateways.iter().all(|gateway| gateway.subscriber.isolated_since().is_none()));
}
