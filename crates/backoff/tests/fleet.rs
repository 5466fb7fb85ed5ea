//! What a whole fleet does to one service, in simulated time: 30, 300 and 2,300 callers of the same law.
//!
//! The service can answer all of them one after the other in 6.8 s, as discovery could on the day that was lost; turning a call
//! away costs it an eighth of answering one.
mod sim;
use backoff::{Caller, Failure};
use rstest::rstest;
use sim::yesterday::Yesterday;
use sim::{Fleet, Outage, Pace, Seen, Service, Turns, SECOND};

/// How long the service needs for all callers, one after the other (s).
const ALL: f64 = 6.8;
/// Until nine in ten and until all have their list, as multiples of what the service needs for those that lost it.
const WITHIN: (f64, f64) = (1.2, 1.35);

fn service(callers: usize, all: f64, turns: Turns, outage: Outage) -> Service {
    let serves = (all * 1e6 / callers as f64) as i64;
    Service { serves, refuses: serves / 8, waits: 2 * SECOND, turns, outage }
}

#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// All start in the same instant.
    Start,
    /// All watches end, and for 8 s no call is answered.
    Outage(Outage),
    /// Seven in ten are killed and start again 0.7 s later.
    Kill,
}

impl Trouble {
    /// Until nine in ten and all have their list (s).
    fn within(self) -> (f64, f64) {
        let lost = if let Trouble::Kill = self { 0.7 * ALL } else { ALL };
        (WITHIN.0 * lost, WITHIN.1 * lost)
    }
}

/// A fleet through its trouble; and when the service could answer all again.
fn play<P: Pace>(trouble: Trouble, callers: usize, all: f64, turns: Turns, seed: u64) -> (Seen, i64) {
    let outage = if let Trouble::Outage(outage) = trouble { outage } else { Outage::Down };
    let service = service(callers, all, turns, outage);
    let starts = vec![0; callers];
    if let Trouble::Start = trouble {
        let mut fleet: Fleet<P> = Fleet::new(service, &starts, (0, 0), seed);
        fleet.run(60 * SECOND);
        return (fleet.seen, 0);
    }
    // Everybody had a list before: the trouble is set against the law, and not against how it got there.
    let spread: Vec<i64> = (0..callers as i64).map(|n| n * 20 * SECOND / callers as i64).collect();
    let began = 40 * SECOND;
    let back = if let Trouble::Outage(_) = trouble { began + 8 * SECOND } else { began + 700_000 };
    let down = if let Trouble::Outage(_) = trouble { (began, back) } else { (0, 0) };
    let mut fleet: Fleet<P> = Fleet::new(service, &spread, down, seed);
    fleet.run(began);
    assert_eq!(fleet.seen.by(1.0, began), Some(0.0), "all had their list before");
    match trouble {
        Trouble::Kill => fleet.restart(back, (0..callers).filter(|n| n % 10 < 7)),
        _ => fleet.cut(began, 0..callers, Failure::Ended),
    }
    fleet.run(back + 60 * SECOND);
    (fleet.seen, back)
}

const TROUBLES: [Trouble; 4] =
    [Trouble::Start, Trouble::Outage(Outage::Down), Trouble::Outage(Outage::Unavailable), Trouble::Kill];

#[rstest]
fn all_have_their_list_within_seconds(
    #[values(30, 300, 2_300)] callers: usize,
    #[values(Turns::Away, Turns::Late)] turns: Turns,
) {
    for trouble in TROUBLES {
        let (mut slowest, mut most) = ((0.0f64, 0.0f64), 0);
        for seed in 0..20 {
            let (seen, back) = play::<Caller>(trouble, callers, ALL, turns, seed);
            let (nine, all) = (seen.by(0.9, back), seen.by(1.0, back));
            let (Some(nine), Some(all)) = (nine, all) else { panic!("{trouble:?}, seed {seed}: never") };
            slowest = (slowest.0.max(nine), slowest.1.max(all));
            most = most.max(seen.most(back, i64::MAX));
            let late = (seen.calls.len() as i64 - 1) * 100_000;
            assert!(
                late <= back + (all * 1e6) as i64 + 100_000,
                "{trouble:?}, seed {seed}: calls after all was well"
            );
        }
        println!(
            "{callers} {turns:?} {trouble:?}: nine in ten {:.1} s, all {:.1} s, {most} calls/s",
            slowest.0, slowest.1
        );
        let within = trouble.within();
        assert!(slowest.0 < within.0 && slowest.1 < within.1, "{callers} {turns:?} {trouble:?}: {slowest:?}");
        assert!(most as usize <= callers, "{callers} {turns:?} {trouble:?}: {most} calls in a second");
    }
}

/// An hour of it would be the same: what is asked of a service that is down is bounded at all times.
#[rstest]
fn while_it_is_down_calls_fall_to_a_bound(
    #[values(30, 300, 2_300)] callers: usize,
    #[values((Outage::Down, 1.6), (Outage::Unavailable, 1.0))] (outage, longest): (Outage, f64),
) {
    for (span, seed) in [2, 8, 30, 120].into_iter().zip(0..) {
        let service = service(callers, ALL, Turns::Away, outage);
        let mut fleet: Fleet<Caller> = Fleet::new(service, &vec![0; callers], (0, span * SECOND), seed);
        fleet.run(span * SECOND + 60 * SECOND);
        let steady = fleet.seen.most(4 * SECOND, span * SECOND);
        println!(
            "{callers}, {span} s {outage:?}: {steady} calls/s, all {:?} s",
            fleet.seen.by(1.0, span * SECOND)
        );
        assert!(f64::from(steady) <= longest * callers as f64, "{span} s: {steady} calls in a second");
        let (nine, all) = (fleet.seen.by(0.9, span * SECOND), fleet.seen.by(1.0, span * SECOND));
        assert!(nine.is_some_and(|t| t < WITHIN.0 * ALL), "{span} s: {nine:?}");
        assert!(all.is_some_and(|t| t < WITHIN.1 * ALL), "{span} s: {all:?}");
    }
}

/// Slower than the clock can be kept with, and slower still: it takes as long as it must, and nobody is shut out.
#[rstest]
fn a_slow_service_still_answers_all(#[values(30, 300, 2_300)] callers: usize) {
    for (all, within) in [(9.0, 16.0), (12.0, 30.0)] {
        for turns in [Turns::Away, Turns::Late] {
            let (seen, _) = play::<Caller>(Trouble::Start, callers, all, turns, 3);
            println!("{callers} {turns:?}, {all} s of work: all after {:?} s", seen.by(1.0, 0));
            assert!(
                seen.by(1.0, 0).is_some_and(|t| t < within),
                "{callers} {turns:?} {all}: {:?}",
                seen.by(1.0, 0)
            );
        }
    }
}

/// Guards the verdicts: they turn down the pace that lost the day.
#[rstest]
fn the_pace_before_shuts_the_fleet_out(
    #[values(30, 300, 2_300)] callers: usize,
    #[values(0, 1, 2, 3)] trouble: usize,
) {
    let (seen, back) = play::<Yesterday>(TROUBLES[trouble], callers, ALL, Turns::Away, 1);
    let (nine, all) = (seen.by(0.9, back), seen.by(1.0, back));
    println!("{callers} {:?}: nine in ten {nine:?} s, all {all:?} s", TROUBLES[trouble]);
    let within = TROUBLES[trouble].within();
    assert!(nine.is_none_or(|t| t >= within.0), "{nine:?}");
    assert!(all.is_none_or(|t| t >= within.1), "{all:?}");
}
