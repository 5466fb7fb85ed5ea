//! Where changes are in force, and why not: by reports whose size does not grow with the fleet.
mod common;
use cluster_types::{Index, Time};
use common::report;
use common::served::{shard, Served};
use config_distribution::{
    Fleet, FromRelay, Lag, Refusal, RelayAction, RelayEvent, Report, Scope, ToRelay, Where, WORST,
};
use config_distribution::{Key, Topic};
use std::time::Duration;

const SILENCE: Duration = Duration::from_secs(5);

fn lag(front: &str, owes: u64) -> Lag {
    Lag { front: front.into(), owes: Index(owes), why: "it was sent it".into() }
}

fn behind(relay: &str, worst: Vec<Lag>, behind: u32) -> Report {
    Report { worst, behind, ..report(relay, 1, 9) }
}

fn ask(reports: Vec<Report>, version: u64) -> Where {
    let mut fleet = Fleet::default();
    reports.into_iter().for_each(|r| assert!(fleet.take(Time(0), r)));
    fleet.ask(Time(1_000_000), Index(version), SILENCE)
}

#[test]
fn everywhere_means_that_all_have_decided() {
    let answer = ask(vec![report("a", 1, 9), report("b", 1, 9)], 9);
    assert!(answer.everywhere);
    assert_eq!(answer.fronts, 20);
    assert!(!ask(vec![], 0).everywhere, "who knows of nobody says nothing");
}

#[test]
fn a_front_that_owes_it_is_named_with_why() {
    let reports = vec![report("a", 1, 9), behind("b", vec![lag("front-3", 8)], 1)];
    let answer = ask(reports.clone(), 9);
    assert_eq!((answer.everywhere, answer.lags, answer.more), (false, vec![lag("front-3", 8)], 0));
    assert!(ask(reports, 7).everywhere, "what it owes is later");
}

#[test]
fn more_are_counted_than_are_named() {
    let worst = (0..WORST).map(|n| lag(&format!("front-{n}"), 8)).collect();
    let answer = ask(vec![behind("b", worst, 100)], 9);
    assert_eq!((answer.lags.len(), answer.more), (8, 92));
}

#[test]
fn a_relay_that_is_behind_or_silent_or_unheard_is_named() {
    let mut fleet = Fleet::default();
    fleet.expect_reports(["a", "b", "c"].map(Into::into));
    fleet.take(Time(0), report("a", 1, 9));
    fleet.take(Time(6_000_000), report("b", 1, 8));
    let answer = fleet.ask(Time(7_000_000), Index(9), SILENCE);
    assert_eq!(answer.relays, ["b".into()]);
    assert_eq!(answer.silent, ["a".into(), "c".into()]);
    assert!(!fleet.ask(Time(7_000_000), Index(3), SILENCE).everywhere);
    fleet.forget(Time(100_000_000), Duration::from_secs(60));
    assert_eq!(fleet.ask(Time(100_000_000), Index(3), SILENCE).silent.len(), 3, "forgotten is not settled");
}

#[test]
fn a_report_told_again_is_neither_new_nor_a_sign_of_life() {
    let mut fleet = Fleet::default();
    assert!(fleet.take(Time(0), report("a", 5, 9)));
    assert!(!fleet.take(Time(6_000_000), report("a", 5, 9)));
    assert!(!fleet.take(Time(6_000_000), report("a", 4, 3)), "an older one that came late");
    let answer = fleet.ask(Time(6_000_000), Index(9), SILENCE);
    assert_eq!((answer.silent.len(), answer.relays.len()), (1, 0));
    assert!(fleet.take(Time(6_000_000), report("a", 6, 9)));
}

#[test]
fn an_old_report_is_not_told_to_relays_that_follow() {
    let mut served = Served::new();
    served.join(1, Scope::Everything, 1);
    served.event(RelayEvent::Reports(vec![report("b", 1, 9)]));
    let told = |out: &[RelayAction]| {
        let of = |r: &Report| *r.relay == *"b";
        let b = |a: &&RelayAction| matches!(a, RelayAction::Send { message: FromRelay::Fleet(all), .. } if all.iter().any(of));
        out.iter().filter(b).count()
    };
    assert!(told(&served.wait(2_000)) > 0);
    served.wait(1_000);
    assert_eq!(told(&served.wait(5_000)), 0);
}

#[test]
fn what_relays_below_tell_goes_to_the_others_once_and_what_others_tell_does_not() {
    let mut served = Served::new();
    served.join(1, Scope::Everything, 1);
    let mut out = vec![];
    let message = ToRelay::Report(report("front-1", 1, 9));
    let event = RelayEvent::Message { link: 1, message };
    served.relay.handle(served.now, event.clone(), &mut out);
    assert!(matches!(&out[..], [RelayAction::Reports(r)] if r.len() == 1), "{out:?}");
    out.clear();
    served.relay.handle(served.now, event, &mut out);
    served.relay.handle(served.now, RelayEvent::Reports(vec![report("c", 1, 9)]), &mut out);
    assert_eq!(out, []);
}

#[test]
fn an_oversized_report_is_dropped_and_counted() {
    let mut served = Served::new();
    let big = behind("b", (0..9).map(|n| lag(&format!("front-{n}"), 8)).collect(), 9);
    served.event(RelayEvent::Reports(vec![big]));
    assert_eq!((served.relay.figures().bad, served.relay.fleet().all().count()), (1, 0));
}

#[test]
fn a_relay_tells_who_owes_what_and_who_refused_it() {
    let mut served = Served::new();
    served.primary();
    (1..=20).for_each(|link| drop(served.join(link, shard(1), 1)));
    served.primary();
    served.refused(1, 2, &Key::new(Topic::Shard(1), "box"));
    served.wait(1_100);
    let answer = served.relay.fleet().ask(served.now, Index(2), SILENCE);
    assert_eq!((answer.everywhere, answer.fronts, answer.lags.len(), answer.more), (false, 20, 8, 11));
    assert_eq!((answer.refusing, answer.refused.len()), (1, 1));
    assert!(
        matches!(&answer.refused[0], (front, Refusal { why, .. }) if **front == *"front-1" && why == "no")
    );
    (1..=20).for_each(|link| drop(served.decided(link, 2)));
    served.wait(1_100);
    let answer = served.relay.fleet().ask(served.now, Index(2), SILENCE);
    assert!(answer.everywhere, "a value that was refused is decided on: {answer:?}");
    assert_eq!(answer.refusing, 0);
}

#[test]
fn an_answer_has_the_same_size_whatever_the_fleet() {
    let size = |fronts: u32| {
        let one = |n: u32| {
            let worst = (0..WORST).map(|k| lag(&format!("front-{n}-{k}"), 8)).collect();
            Report { fronts, ..behind(&format!("relay-{n:02}"), worst, fronts) }
        };
        postcard::to_stdvec(&ask((0..40).map(one).collect(), 9)).unwrap().len()
    };
    assert!(size(1_000_000) - size(100) < 400, "{} and {}", size(100), size(1_000_000));
}
