//! The hard cases of one gather. Remote zones are waited for during half of the time left less 20 ms: with a client that
//! waits 1000 ms that is until 480, and everything ends at 980.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod common;
use common::*;
use rstest::rstest;
use scatter_gather::*;

const FOUR: &str = "a@home b@home c@east d@west";
const PARTIAL: &str = "otherwise = \"in-part\"";

fn failed(reason: &'static str, is_zone_reachable: bool) -> ShardResponse<Bytes> {
    ShardResponse::Failed { reason: reason.into(), is_zone_reachable }
}

#[test]
fn all_responses_make_complete_answer_at_once() {
    let mut test = TestGather::new(&policy(FOUR, ""), 0, 1000, shared());
    [3, 1, 0, 2].iter().enumerate().for_each(|(i, request)| test.respond_value(10 + i as u64, *request));
    assert_eq!(test.answer(), answer(13, "whole"));
    let Answer::Gathered(gathered) = &test.answers[0].1 else { panic!() };
    assert_eq!(gathered.joined().unwrap(), [[0u8; 10], [1; 10], [2; 10], [3; 10]].concat());
    assert_eq!((gathered.reserved_bytes(), test.shared.budget.reserved()), (40, 40));
    test.answers.clear();
    assert_eq!(test.shared.budget.reserved(), 0);
}

#[test]
fn deadline_between_two_responses_gives_partial_answer() {
    let mut test = TestGather::new(&policy("a@home b@home", PARTIAL), 0, 1000, shared());
    test.respond_value(980, 0);
    test.respond_value(981, 1);
    assert_eq!(test.answer(), answer(980, "part missing=home/b:late"));
    assert_eq!((test.shared.counters.late_responses, test.abandoned.clone()), (1, vec![1]));
}

#[test]
fn late_wakeup_does_not_accept_late_response() {
    let mut test = TestGather::new(&policy("a@home b@home", PARTIAL), 0, 1000, shared());
    test.respond_value(5, 0);
    test.respond_value(990, 1);
    assert_eq!(test.answer(), answer(990, "part missing=home/b:late"));
    assert_eq!((test.shared.counters.overdue, test.shared.counters.late_responses), (1, 1));
}

#[rstest]
#[case::fails("otherwise = \"fail\"")]
#[case::fails_with_partial_results_too("otherwise = \"in-part\"")]
fn fails_when_required_response_is_late(#[case] partial_results: &str) {
    let more = format!("suffices = {{ named = [\"c\"], at_least = 2 }}\n{partial_results}");
    let mut test = TestGather::new(&policy(FOUR, &more), 0, 1000, shared());
    [0, 1, 3].iter().for_each(|request| test.respond_value(10, *request));
    test.pass(2000);
    assert_eq!(test.answer(), answer(480, "failed cause=named:c missing=east/c:late"));
    test.respond_value(500, 2);
    assert_eq!(test.shared.counters.late_responses, 1);
}

#[rstest]
#[case::partial(PARTIAL, "part missing=east/c:late,west/d:late")]
#[case::fail("", "failed cause=too-few missing=east/c:late,west/d:late")]
fn answers_without_late_remote_zones(#[case] partial_results: &str, #[case] text: &str) {
    let mut test = TestGather::new(&policy(FOUR, partial_results), 0, 1000, shared());
    [0, 1].iter().for_each(|request| test.respond_value(10, *request));
    test.pass(2000);
    assert_eq!(test.answer(), answer(480, text));
}

#[test]
fn fails_when_all_zones_are_late() {
    let mut test = TestGather::new(&policy(FOUR, PARTIAL), 0, 1000, shared());
    test.pass(2000);
    let (when, text) = test.answer().unwrap();
    assert_eq!((when, text.matches(":late").count()), (980, 4));
    assert!(text.starts_with("failed cause=too-few "));
}

#[test]
fn waits_for_missing_responses_despite_quorum() {
    let policy = policy(FOUR, "suffices = { at_least = 2 }");
    let mut test = TestGather::new(&policy, 0, 1000, shared());
    [0, 1].iter().for_each(|request| test.respond_value(10, *request));
    test.pass(479);
    assert_eq!(test.answer(), None);
    test.respond_value(479, 2);
    test.pass(2000);
    assert_eq!(test.answer(), answer(480, "part missing=west/d:late"));
}

#[test]
fn fails_at_once_without_quorum_with_useful_retry_time() {
    let mut test = TestGather::new(&policy(FOUR, "suffices = { at_least = 3 }"), 0, 1000, shared());
    test.respond(10, 0, ShardResponse::Rejected(Some(ms(70))));
    assert_eq!(test.answer(), None);
    test.respond(20, 1, ShardResponse::Rejected(Some(ms(50))));
    assert_eq!(test.answer(), answer(20, "failed cause=too-few missing=home/a:refused,home/b:refused"));
    let Answer::Failed(failure) = &test.answers[0].1 else { panic!() };
    assert!(
        failure.is_rejection() && failure.retry_after == Some(ms(50)),
        "one of the two is enough: {failure:?}"
    );
    assert_eq!((test.sent.len(), test.abandoned.len()), (4, 2), "each sent once");
}

#[test]
fn names_each_reason() {
    let mut test = TestGather::new(&policy(FOUR, PARTIAL), 0, 1000, missed("west", 6));
    test.respond_value(60, 0);
    test.respond(60, 1, ShardResponse::Rejected(None));
    test.respond(60, 2, failed("disk error", true));
    test.pass(2000);
    let (_, text) = test.answer().unwrap();
    assert_eq!(text, "part missing=home/b:refused,east/c:failed(disk%20error),west/d:cut-off");
    assert_eq!(parse_status(&text).unwrap().to_string(), text);
}

#[test]
fn client_leaving_ends_gather_without_answer_and_frees_memory() {
    let mut test = TestGather::new(&policy(FOUR, PARTIAL), 0, 1000, shared());
    test.respond_value(10, 0);
    assert_eq!(test.shared.budget.reserved(), 310);
    test.handle(at_ms(20), GatherEvent::ClientLeft);
    assert_eq!(
        (test.shared.budget.reserved(), test.abandoned.clone(), test.answer()),
        (0, vec![1, 2, 3], None)
    );
    test.respond_value(30, 1);
    test.pass(2000);
    assert_eq!(
        (test.answer(), test.shared.counters.late_responses, test.shared.counters.client_left),
        (None, 1, 1)
    );
}

#[test]
fn reserves_memory_for_required_responses_first() {
    let policy = policy(FOUR, "suffices = { named = [\"d\"] }\nmost_bytes = 250");
    let mut test = TestGather::new(&policy, 0, 1000, shared());
    assert_eq!(test.sent, [3, 0], "the required one first, and no more than fit");
    test.respond(10, 3, ShardResponse::Value(vec![0; 150]));
    test.respond(11, 0, ShardResponse::Value(vec![0; 101]));
    let text =
        "part missing=home/a:failed(too%20large),home/b:failed(too%20large),east/c:failed(too%20large)";
    assert_eq!(test.answer(), answer(11, text));
    assert_eq!(test.shared.budget.reserved(), 150);
    // Other gathers hold the memory: the request is rejected.
    let budget = MemoryBudget::new(100);
    let other = budget.reserve(1).unwrap();
    let test = TestGather::new(&policy, 0, 1000, shared_with(budget.clone()));
    assert!(
        test.sent.is_empty() && test.answer().unwrap().1.contains("west/d:refused") && budget.reserved() == 1
    );
    drop(other);
}

#[test]
fn rejects_gathers_at_the_bound_and_forgets_finished_ones() {
    let mut gathers: Gathers<Bytes> = Gathers::new(2, shared().zones, MemoryBudget::new(10_000));
    let mut out = Vec::new();
    let policy = policy(FOUR, PARTIAL);
    let first = gathers.start(at_ms(0), policy.clone(), at_ms(1000), &mut out).unwrap();
    gathers.start(at_ms(0), policy.clone(), at_ms(1000), &mut out).unwrap();
    assert_eq!(gathers.start(at_ms(0), policy.clone(), at_ms(1000), &mut out), Err(TooManyGathers));
    gathers.handle(at_ms(1), first, GatherEvent::ClientLeft, &mut out);
    gathers.start(at_ms(2), policy, at_ms(1000), &mut out).unwrap();
    gathers.handle(
        at_ms(3),
        first,
        GatherEvent::Response { request: 0, response: ShardResponse::Value(vec![1]) },
        &mut out,
    );
    assert_eq!(
        (gathers.len(), gathers.shared.counters.rejected, gathers.shared.counters.unexpected_responses),
        (2, 1, 1)
    );
    (0..10).for_each(|i| gathers.tick(at_ms(i * 1000), &mut out));
    assert!(gathers.is_empty() && gathers.next_wakeup().is_none());
    assert!(out.drain(..).count() > 0 && gathers.shared.budget.reserved() == 0);
}
