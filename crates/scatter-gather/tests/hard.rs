//! The hard cases, each by name. Remote halls are waited for during half of the time left less 20 ms: with a client that
//! waits 1000 ms that is until 480, and all ends at 980.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod common;
use common::*;
use rstest::rstest;
use scatter_gather::*;

const FOUR: &str = "a@home b@home c@east d@west";
const IN_PART: &str = "otherwise = \"in-part\"";

fn failed(reason: &'static str, reached: bool) -> Ended<V> {
    Ended::Failed { reason: reason.into(), reached }
}

#[test]
fn all_parts_make_a_whole_answer_at_once() {
    let mut b = Bench::new(&policy(FOUR, ""), 0, 1000, shared());
    [3, 1, 0, 2].iter().enumerate().for_each(|(i, part)| b.served(10 + i as u64, *part));
    assert_eq!(b.told(), told(13, "whole"));
    let Answer::Gathered(gathered) = &b.answers[0].1 else { panic!() };
    assert_eq!(gathered.joined().unwrap(), [[0u8; 10], [1; 10], [2; 10], [3; 10]].concat());
    assert_eq!((gathered.held(), b.shared.budget.held()), (40, 40));
    b.answers.clear();
    assert_eq!(b.shared.budget.held(), 0);
}

#[test]
fn the_deadline_between_two_parts() {
    let mut b = Bench::new(&policy("a@home b@home", IN_PART), 0, 1000, shared());
    b.served(980, 0);
    b.served(981, 1);
    assert_eq!(b.told(), told(980, "part missing=home/b:late"));
    assert_eq!((b.shared.counts.late, b.dropped.clone()), (1, vec![1]));
}

#[test]
fn a_host_that_wakes_it_late_changes_nothing_in_what_counts_as_late() {
    let mut b = Bench::new(&policy("a@home b@home", IN_PART), 0, 1000, shared());
    b.served(5, 0);
    b.served(990, 1);
    assert_eq!(b.told(), told(990, "part missing=home/b:late"));
    assert_eq!((b.shared.counts.overdue, b.shared.counts.late), (1, 1));
}

#[rstest]
#[case::fails("otherwise = \"fail\"")]
#[case::fails_in_part_as_well("otherwise = \"in-part\"")]
fn the_only_named_part_late(#[case] otherwise: &str) {
    let more = format!("suffices = {{ named = [\"c\"], at_least = 2 }}\n{otherwise}");
    let mut b = Bench::new(&policy(FOUR, &more), 0, 1000, shared());
    [0, 1, 3].iter().for_each(|part| b.served(10, *part));
    b.pass(2000);
    assert_eq!(b.told(), told(480, "failed cause=named:c missing=east/c:late"));
    b.served(500, 2);
    assert_eq!(b.shared.counts.late, 1);
}

#[rstest]
#[case::in_part(IN_PART, "part missing=east/c:late,west/d:late")]
#[case::fail("", "failed cause=too-few missing=east/c:late,west/d:late")]
fn all_remote_halls_late(#[case] otherwise: &str, #[case] text: &str) {
    let mut b = Bench::new(&policy(FOUR, otherwise), 0, 1000, shared());
    [0, 1].iter().for_each(|part| b.served(10, *part));
    b.pass(2000);
    assert_eq!(b.told(), told(480, text));
}

#[test]
fn all_halls_late_is_a_failure_even_in_part() {
    let mut b = Bench::new(&policy(FOUR, IN_PART), 0, 1000, shared());
    b.pass(2000);
    let (when, text) = b.told().unwrap();
    assert_eq!((when, text.matches(":late").count()), (980, 4));
    assert!(text.starts_with("failed cause=too-few "));
}

#[test]
fn what_suffices_still_waits_for_the_rest_until_the_remote_wait_ends() {
    let p = policy(FOUR, "suffices = { at_least = 2 }");
    let mut b = Bench::new(&p, 0, 1000, shared());
    [0, 1].iter().for_each(|part| b.served(10, *part));
    b.pass(479);
    assert_eq!(b.told(), None);
    b.served(479, 2);
    b.pass(2000);
    assert_eq!(b.told(), told(480, "part missing=west/d:late"));
}

#[test]
fn it_fails_at_once_when_it_cannot_suffice_with_the_hint_that_helps() {
    let mut b = Bench::new(&policy(FOUR, "suffices = { at_least = 3 }"), 0, 1000, shared());
    b.ended(10, 0, Ended::Refused(Some(ms(70))));
    assert_eq!(b.told(), None);
    b.ended(20, 1, Ended::Refused(Some(ms(50))));
    assert_eq!(b.told(), told(20, "failed cause=too-few missing=home/a:refused,home/b:refused"));
    let Answer::Failed(failure) = &b.answers[0].1 else { panic!() };
    assert!(failure.turned_away() && failure.hint == Some(ms(50)), "one of the two is enough: {failure:?}");
    assert_eq!((b.asked.len(), b.dropped.len()), (4, 2), "asked once each");
}

#[test]
fn each_reason_is_told() {
    let mut b = Bench::new(&policy(FOUR, IN_PART), 0, 1000, missed("west", 6));
    b.served(60, 0);
    b.ended(60, 1, Ended::Refused(None));
    b.ended(60, 2, failed("disk error", true));
    b.pass(2000);
    let (_, text) = b.told().unwrap();
    assert_eq!(text, "part missing=home/b:refused,east/c:failed(disk%20error),west/d:cut-off");
    assert_eq!(parse(&text).unwrap().text(), text);
}

#[test]
fn a_gather_whose_client_left_gives_no_answer_and_all_memory_back() {
    let mut b = Bench::new(&policy(FOUR, IN_PART), 0, 1000, shared());
    b.served(10, 0);
    assert_eq!(b.shared.budget.held(), 310);
    b.event(at(20), Event::ClientLeft);
    assert_eq!((b.shared.budget.held(), b.dropped.clone(), b.told()), (0, vec![1, 2, 3], None));
    b.served(30, 1);
    b.pass(2000);
    assert_eq!((b.told(), b.shared.counts.late, b.shared.counts.left), (None, 1, 1));
}

#[test]
fn memory_when_every_part_is_large() {
    let p = policy(FOUR, "suffices = { named = [\"d\"] }\nmost_bytes = 250");
    let mut b = Bench::new(&p, 0, 1000, shared());
    assert_eq!(b.asked, [3, 0], "the named one first, and no more than fit");
    b.ended(10, 3, Ended::Served(vec![0; 150]));
    b.ended(11, 0, Ended::Served(vec![0; 101]));
    let text =
        "part missing=home/a:failed(too%20large),home/b:failed(too%20large),east/c:failed(too%20large)";
    assert_eq!(b.told(), told(11, text));
    assert_eq!(b.shared.budget.held(), 150);
    // Others hold the memory: the part is turned away, not held.
    let budget = Budget::new(100);
    let other = budget.take(1).unwrap();
    let b = Bench::new(&p, 0, 1000, shared_with(budget.clone()));
    assert!(b.asked.is_empty() && b.told().unwrap().1.contains("west/d:refused") && budget.held() == 1);
    drop(other);
}

#[test]
fn the_table_refuses_at_its_bound_and_forgets_what_has_ended() {
    let mut gathers: Gathers<V> = Gathers::new(2, shared().halls, Budget::new(10_000));
    let mut out = Vec::new();
    let p = policy(FOUR, IN_PART);
    let first = gathers.begin(at(0), p.clone(), at(1000), &mut out).unwrap();
    gathers.begin(at(0), p.clone(), at(1000), &mut out).unwrap();
    assert_eq!(gathers.begin(at(0), p.clone(), at(1000), &mut out), Err(Full));
    gathers.handle(at(1), first, Event::ClientLeft, &mut out);
    gathers.begin(at(2), p, at(1000), &mut out).unwrap();
    gathers.handle(at(3), first, Event::Ended { part: 0, result: Ended::Served(vec![1]) }, &mut out);
    assert_eq!((gathers.len(), gathers.shared.counts.full, gathers.shared.counts.stray), (2, 1, 1));
    (0..10).for_each(|i| gathers.tick(at(i * 1000), &mut out));
    assert!(gathers.is_empty() && gathers.wake().is_none());
    assert!(out.drain(..).count() > 0 && gathers.shared.budget.held() == 0);
}
