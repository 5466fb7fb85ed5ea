//! The load of a whole fleet on one service, in simulated time: 30, 300 and 2,300 callers with the same policy.
//!
//! The service needs 6.8 s to serve all of them one after the other; rejecting a call costs an eighth of serving one.
mod sim;
use backoff::{Caller, Failure};
use rstest::rstest;
use sim::fixed_backoff::FixedBackoff;
use sim::{CallPacing, Fleet, Observations, Outage, Rejections, Service, SECOND};

/// How long the service needs to serve all callers, one after the other.
const SERVE_ALL_S: f64 = 6.8;
/// Bounds on the time until 90 % and until all callers have their list, as multiples of the time that the service needs
/// to serve those that lost it.
const RECOVERY_BOUND_FACTORS: (f64, f64) = (1.2, 1.35);

fn service(callers: usize, serve_all_s: f64, rejections: Rejections, outage: Outage) -> Service {
    let serve_us = (serve_all_s * 1e6 / callers as f64) as i64;
    Service { serve_us, reject_us: serve_us / 8, max_wait_us: 2 * SECOND, rejections, outage }
}

#[derive(Clone, Copy, Debug)]
enum Incident {
    /// All callers start at the same moment.
    Start,
    /// All watches end, and for 8 s no call is served.
    Outage(Outage),
    /// 70 % of the callers are killed and restart 0.7 s later.
    Kill,
}

impl Incident {
    /// Bounds on the time until 90 % and until all callers have their list, in seconds.
    fn recovery_bounds_s(self) -> (f64, f64) {
        let lost_s = if let Incident::Kill = self { 0.7 * SERVE_ALL_S } else { SERVE_ALL_S };
        (RECOVERY_BOUND_FACTORS.0 * lost_s, RECOVERY_BOUND_FACTORS.1 * lost_s)
    }
}

/// Simulates a fleet through an incident; returns the observations, and when the service could serve callers again.
fn simulate<P: CallPacing>(
    incident: Incident,
    callers: usize,
    serve_all_s: f64,
    rejections: Rejections,
    seed: u64,
) -> (Observations, i64) {
    let outage = if let Incident::Outage(outage) = incident { outage } else { Outage::Down };
    let service = service(callers, serve_all_s, rejections, outage);
    let starts = vec![0; callers];
    if let Incident::Start = incident {
        let mut fleet: Fleet<P> = Fleet::new(service, &starts, (0, 0), seed);
        fleet.run(60 * SECOND);
        return (fleet.observed, 0);
    }
    // All callers have their list before the incident, so that only the recovery from it is measured.
    let start_times: Vec<i64> = (0..callers as i64).map(|n| n * 20 * SECOND / callers as i64).collect();
    let incident_at = 40 * SECOND;
    let recovered_at =
        if let Incident::Outage(_) = incident { incident_at + 8 * SECOND } else { incident_at + 700_000 };
    let outage_window = if let Incident::Outage(_) = incident { (incident_at, recovered_at) } else { (0, 0) };
    let mut fleet: Fleet<P> = Fleet::new(service, &start_times, outage_window, seed);
    fleet.run(incident_at);
    assert_eq!(fleet.observed.listed_after_s(1.0, incident_at), Some(0.0), "all had their list before");
    match incident {
        Incident::Kill => fleet.restart(recovered_at, (0..callers).filter(|n| n % 10 < 7)),
        _ => fleet.end_watches(incident_at, 0..callers, Failure::Ended),
    }
    fleet.run(recovered_at + 60 * SECOND);
    (fleet.observed, recovered_at)
}

const INCIDENTS: [Incident; 4] =
    [Incident::Start, Incident::Outage(Outage::Down), Incident::Outage(Outage::Unavailable), Incident::Kill];

#[rstest]
fn all_callers_have_their_list_within_seconds(
    #[values(30, 300, 2_300)] callers: usize,
    #[values(Rejections::Immediate, Rejections::Late)] rejections: Rejections,
) {
    for incident in INCIDENTS {
        let (mut slowest, mut max_rate) = ((0.0f64, 0.0f64), 0);
        for seed in 0..20 {
            let (observed, recovered_at) =
                simulate::<Caller>(incident, callers, SERVE_ALL_S, rejections, seed);
            let (p90, all) =
                (observed.listed_after_s(0.9, recovered_at), observed.listed_after_s(1.0, recovered_at));
            let (Some(p90), Some(all)) = (p90, all) else { panic!("{incident:?}, seed {seed}: never") };
            slowest = (slowest.0.max(p90), slowest.1.max(all));
            max_rate = max_rate.max(observed.max_calls_per_second(recovered_at, i64::MAX));
            let last_call_at = (observed.calls.len() as i64 - 1) * 100_000;
            assert!(
                last_call_at <= recovered_at + (all * 1e6) as i64 + 100_000,
                "{incident:?}, seed {seed}: calls after all were served"
            );
        }
        println!(
            "{callers} {rejections:?} {incident:?}: 90 % {:.1} s, all {:.1} s, {max_rate} calls/s",
            slowest.0, slowest.1
        );
        let bounds_s = incident.recovery_bounds_s();
        assert!(
            slowest.0 < bounds_s.0 && slowest.1 < bounds_s.1,
            "{callers} {rejections:?} {incident:?}: {slowest:?}"
        );
        assert!(
            max_rate as usize <= callers,
            "{callers} {rejections:?} {incident:?}: {max_rate} calls in a second"
        );
    }
}

/// The call rate during an outage is bounded, however long the outage lasts.
#[rstest]
fn call_rate_is_bounded_during_outage(
    #[values(30, 300, 2_300)] callers: usize,
    #[values((Outage::Down, 1.6), (Outage::Unavailable, 1.0))] (outage, max_calls_per_caller_s): (
        Outage,
        f64,
    ),
) {
    for (outage_s, seed) in [2, 8, 30, 120].into_iter().zip(0..) {
        let service = service(callers, SERVE_ALL_S, Rejections::Immediate, outage);
        let mut fleet: Fleet<Caller> = Fleet::new(service, &vec![0; callers], (0, outage_s * SECOND), seed);
        fleet.run(outage_s * SECOND + 60 * SECOND);
        let max_rate = fleet.observed.max_calls_per_second(4 * SECOND, outage_s * SECOND);
        println!(
            "{callers}, {outage_s} s {outage:?}: {max_rate} calls/s, all {:?} s",
            fleet.observed.listed_after_s(1.0, outage_s * SECOND)
        );
        assert!(
            f64::from(max_rate) <= max_calls_per_caller_s * callers as f64,
            "{outage_s} s: {max_rate} calls in a second"
        );
        let (p90, all) = (
            fleet.observed.listed_after_s(0.9, outage_s * SECOND),
            fleet.observed.listed_after_s(1.0, outage_s * SECOND),
        );
        assert!(p90.is_some_and(|t| t < RECOVERY_BOUND_FACTORS.0 * SERVE_ALL_S), "{outage_s} s: {p90:?}");
        assert!(all.is_some_and(|t| t < RECOVERY_BOUND_FACTORS.1 * SERVE_ALL_S), "{outage_s} s: {all:?}");
    }
}

/// A service that is too slow for the staleness bound still serves every caller, only later.
#[rstest]
fn slow_service_still_serves_all(#[values(30, 300, 2_300)] callers: usize) {
    for (serve_all_s, bound_s) in [(9.0, 16.0), (12.0, 30.0)] {
        for rejections in [Rejections::Immediate, Rejections::Late] {
            let (observed, _) = simulate::<Caller>(Incident::Start, callers, serve_all_s, rejections, 3);
            println!(
                "{callers} {rejections:?}, {serve_all_s} s of work: all after {:?} s",
                observed.listed_after_s(1.0, 0)
            );
            assert!(
                observed.listed_after_s(1.0, 0).is_some_and(|t| t < bound_s),
                "{callers} {rejections:?} {serve_all_s}: {:?}",
                observed.listed_after_s(1.0, 0)
            );
        }
    }
}

/// Validates the bounds themselves: the fixed backoff that the policy replaced exceeds them.
#[rstest]
fn fixed_backoff_starves_the_fleet(
    #[values(30, 300, 2_300)] callers: usize,
    #[values(0, 1, 2, 3)] incident: usize,
) {
    let (observed, recovered_at) =
        simulate::<FixedBackoff>(INCIDENTS[incident], callers, SERVE_ALL_S, Rejections::Immediate, 1);
    let (p90, all) = (observed.listed_after_s(0.9, recovered_at), observed.listed_after_s(1.0, recovered_at));
    println!("{callers} {:?}: 90 % {p90:?} s, all {all:?} s", INCIDENTS[incident]);
    let bounds_s = INCIDENTS[incident].recovery_bounds_s();
    assert!(p90.is_none_or(|t| t >= bounds_s.0), "{p90:?}");
    assert!(all.is_none_or(|t| t >= bounds_s.1), "{all:?}");
}
