//! The load of a whole fleet on one service, in simulated time: 30, 300 and 2,300 callers with the same policy.
//!
//! The service can serve all of them one after the other in 6.8 s; rejecting a call costs it an eighth of serving one.
mod sim;
use backoff::{Caller, Failure};
use rstest::rstest;
use sim::fixed_backoff::FixedBackoff;
use sim::{CallPacing, Fleet, Observations, Outage, Rejections, Service, SECOND};

/// How long the service needs to serve all callers, one after the other, in seconds.
const ALL: f64 = 6.8;
/// Bounds on the time until 90 % and until all callers have their list, as multiples of the time that the service needs
/// to serve those that lost it.
const WITHIN: (f64, f64) = (1.2, 1.35);

fn service(callers: usize, all: f64, rejections: Rejections, outage: Outage) -> Service {
    let serves = (all * 1e6 / callers as f64) as i64;
    Service { serves, refuses: serves / 8, waits: 2 * SECOND, rejections, outage }
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
    fn within(self) -> (f64, f64) {
        let lost = if let Incident::Kill = self { 0.7 * ALL } else { ALL };
        (WITHIN.0 * lost, WITHIN.1 * lost)
    }
}

/// Plays a fleet through an incident; returns what was observed, and when the service could serve all callers again.
fn play<P: CallPacing>(
    incident: Incident,
    callers: usize,
    all: f64,
    rejections: Rejections,
    seed: u64,
) -> (Observations, i64) {
    let outage = if let Incident::Outage(outage) = incident { outage } else { Outage::Down };
    let service = service(callers, all, rejections, outage);
    let starts = vec![0; callers];
    if let Incident::Start = incident {
        let mut fleet: Fleet<P> = Fleet::new(service, &starts, (0, 0), seed);
        fleet.run(60 * SECOND);
        return (fleet.observed, 0);
    }
    // All callers have their list before the incident, so that only the incident is measured.
    let spread: Vec<i64> = (0..callers as i64).map(|n| n * 20 * SECOND / callers as i64).collect();
    let began = 40 * SECOND;
    let back = if let Incident::Outage(_) = incident { began + 8 * SECOND } else { began + 700_000 };
    let down = if let Incident::Outage(_) = incident { (began, back) } else { (0, 0) };
    let mut fleet: Fleet<P> = Fleet::new(service, &spread, down, seed);
    fleet.run(began);
    assert_eq!(fleet.observed.by(1.0, began), Some(0.0), "all had their list before");
    match incident {
        Incident::Kill => fleet.restart(back, (0..callers).filter(|n| n % 10 < 7)),
        _ => fleet.cut(began, 0..callers, Failure::Ended),
    }
    fleet.run(back + 60 * SECOND);
    (fleet.observed, back)
}

const INCIDENTS: [Incident; 4] =
    [Incident::Start, Incident::Outage(Outage::Down), Incident::Outage(Outage::Unavailable), Incident::Kill];

#[rstest]
fn all_callers_have_their_list_within_seconds(
    #[values(30, 300, 2_300)] callers: usize,
    #[values(Rejections::Immediate, Rejections::Late)] rejections: Rejections,
) {
    for incident in INCIDENTS {
        let (mut slowest, mut most) = ((0.0f64, 0.0f64), 0);
        for seed in 0..20 {
            let (observed, back) = play::<Caller>(incident, callers, ALL, rejections, seed);
            let (nine, all) = (observed.by(0.9, back), observed.by(1.0, back));
            let (Some(nine), Some(all)) = (nine, all) else { panic!("{incident:?}, seed {seed}: never") };
            slowest = (slowest.0.max(nine), slowest.1.max(all));
            most = most.max(observed.most(back, i64::MAX));
            let late = (observed.calls.len() as i64 - 1) * 100_000;
            assert!(
                late <= back + (all * 1e6) as i64 + 100_000,
                "{incident:?}, seed {seed}: calls after all were served"
            );
        }
        println!(
            "{callers} {rejections:?} {incident:?}: nine in ten {:.1} s, all {:.1} s, {most} calls/s",
            slowest.0, slowest.1
        );
        let within = incident.within();
        assert!(
            slowest.0 < within.0 && slowest.1 < within.1,
            "{callers} {rejections:?} {incident:?}: {slowest:?}"
        );
        assert!(most as usize <= callers, "{callers} {rejections:?} {incident:?}: {most} calls in a second");
    }
}

/// The call rate during an outage is bounded however long it lasts.
#[rstest]
fn call_rate_is_bounded_during_outage(
    #[values(30, 300, 2_300)] callers: usize,
    #[values((Outage::Down, 1.6), (Outage::Unavailable, 1.0))] (outage, longest): (Outage, f64),
) {
    for (span, seed) in [2, 8, 30, 120].into_iter().zip(0..) {
        let service = service(callers, ALL, Rejections::Immediate, outage);
        let mut fleet: Fleet<Caller> = Fleet::new(service, &vec![0; callers], (0, span * SECOND), seed);
        fleet.run(span * SECOND + 60 * SECOND);
        let steady = fleet.observed.most(4 * SECOND, span * SECOND);
        println!(
            "{callers}, {span} s {outage:?}: {steady} calls/s, all {:?} s",
            fleet.observed.by(1.0, span * SECOND)
        );
        assert!(f64::from(steady) <= longest * callers as f64, "{span} s: {steady} calls in a second");
        let (nine, all) = (fleet.observed.by(0.9, span * SECOND), fleet.observed.by(1.0, span * SECOND));
        assert!(nine.is_some_and(|t| t < WITHIN.0 * ALL), "{span} s: {nine:?}");
        assert!(all.is_some_and(|t| t < WITHIN.1 * ALL), "{span} s: {all:?}");
    }
}

/// A service too slow for the staleness bound: it takes longer, but every caller is served.
#[rstest]
fn slow_service_still_serves_all(#[values(30, 300, 2_300)] callers: usize) {
    for (all, within) in [(9.0, 16.0), (12.0, 30.0)] {
        for rejections in [Rejections::Immediate, Rejections::Late] {
            let (observed, _) = play::<Caller>(Incident::Start, callers, all, rejections, 3);
            println!("{callers} {rejections:?}, {all} s of work: all after {:?} s", observed.by(1.0, 0));
            assert!(
                observed.by(1.0, 0).is_some_and(|t| t < within),
                "{callers} {rejections:?} {all}: {:?}",
                observed.by(1.0, 0)
            );
        }
    }
}

/// Checks the checks: the backoff that the policy replaced doesn't pass them.
#[rstest]
fn fixed_backoff_starves_the_fleet(
    #[values(30, 300, 2_300)] callers: usize,
    #[values(0, 1, 2, 3)] incident: usize,
) {
    let (observed, back) = play::<FixedBackoff>(INCIDENTS[incident], callers, ALL, Rejections::Immediate, 1);
    let (nine, all) = (observed.by(0.9, back), observed.by(1.0, back));
    println!("{callers} {:?}: nine in ten {nine:?} s, all {all:?} s", INCIDENTS[incident]);
    let within = INCIDENTS[incident].within();
    assert!(nine.is_none_or(|t| t >= within.0), "{nine:?}");
    assert!(all.is_none_or(|t| t >= within.1), "{all:?}");
}
