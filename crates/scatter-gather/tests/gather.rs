//! Edge cases of one gather. Remote zones are waited for during half of the remaining time minus a reply margin of 20 ms:
//! with a client deadline of 1000 ms until 480 ms, while the gather ends at 980 ms.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod common;
use common::*;
use rstest::rstest;
use scatter_gather::*;

const FOUR_REQUESTS: &str = "a@home b@home c@east d@west";
const ALLOW_PARTIAL: &str = "otherwise = \"in-part\"";

fn failure(reason: &'static str, is_zone_reachable: bool) -> ShardResponse<Bytes> {
    ShardResponse::Failed { reason: reason.into(), is_zone_reachable }
}

#[test]
fn answers_completely_once_all_responses_arrive() {
    let mut test = TestGather::new(&policy(FOUR_REQUESTS, ""), 0, 1000, shared());
    [3, 1, 0, 2].iter().enumerate().for_each(|(i, request)| test.respond_value(10 + i as u64, *request));
    assert_eq!(test.answer(), expected_answer(13, "whole"));
    let Answer::Gathered(gathered) = &test.answers[0].1 else { panic!() };
    assert_eq!(gathered.joined().unwrap(), [[0u8; 10], [1; 10], [2; 10], [3; 10]].concat());
    assert_eq!((gathered.reserved_bytes(), test.shared.budget.reserved()), (40, 40));
    test.answers.clear();
    assert_eq!(test.shared.budget.reserved(), 0);
}

#[test]
fn answers_partially_if_deadline_passes_between_responses() {
    let mut test = TestGather::new(&policy("a@home b@home", ALLOW_PARTIAL), 0, 1000, shared());
    test.respond_value(980, 0);
    test.respond_value(981, 1);
    assert_eq!(test.answer(), expected_answer(980, "part missing=home/b:late"));
    assert_eq!((test.shared.counters.late_responses, test.abandoned.clone()), (1, vec![1]));
}

#[test]
fn rejects_late_response_despite_late_wakeup() {
    let mut test = TestGather::new(&policy("a@home b@home", ALLOW_PARTIAL), 0, 1000, shared());
    test.respond_value(5, 0);
    test.respond_value(990, 1);
    assert_eq!(test.answer(), expected_answer(990, "part missing=home/b:late"));
    assert_eq!((test.shared.counters.overdue, test.shared.counters.late_responses), (1, 1));
}

#[rstest]
#[case::fail("otherwise = \"fail\"")]
#[case::allow_partial("otherwise = \"in-part\"")]
fn fails_when_required_response_is_late(#[case] partial_results: &str) {
    let extra_lines = format!("suffices = {{ named = [\"c\"], at_least = 2 }}\n{partial_results}");
    let mut test = TestGather::new(&policy(FOUR_REQUESTS, &extra_lines), 0, 1000, shared());
    [0, 1, 3].iter().for_each(|request| test.respond_value(10, *request));
    test.advance(2000);
    assert_eq!(test.answer(), expected_answer(480, "failed cause=named:c missing=east/c:late"));
    test.respond_value(500, 2);
    assert_eq!(test.shared.counters.late_responses, 1);
}

#[rstest]
#[case::partial(ALLOW_PARTIAL, "part missing=east/c:late,west/d:late")]
#[case::fail("", "failed cause=too-few missing=east/c:late,west/d:late")]
fn answers_without_late_remote_zones(#[case] partial_results: &str, #[case] text: &str) {
    let mut test = TestGather::new(&policy(FOUR_REQUESTS, partial_results), 0, 1000, shared());
    [0, 1].iter().for_each(|request| test.respond_value(10, *request));
    test.advance(2000);
    assert_eq!(test.answer(), expected_answer(480, text));
}

#[test]
fn fails_when_all_zones_are_late() {
    let mut test = TestGather::new(&policy(FOUR_REQUESTS, ALLOW_PARTIAL), 0, 1000, shared());
    test.advance(2000);
    let (when, text) = test.answer().unwrap();
    assert_eq!((when, text.matches(":late").count()), (980, 4));
    assert!(text.starts_with("failed cause=too-few "));
}

#[test]
fn waits_for_missing_responses_despite_quorum() {
    let policy = policy(FOUR_REQUESTS, "suffices = { at_least = 2 }");
    let mut test = TestGather::new(&policy, 0, 1000, shared());
    [0, 1].iter().for_each(|request| test.respond_value(10, *request));
    test.advance(479);
    assert_eq!(test.answer(), None);
    test.respond_value(479, 2);
    test.advance(2000);
    assert_eq!(test.answer(), expected_answer(480, "part missing=west/d:late"));
}

#[test]
fn fails_at_once_without_quorum_with_shortest_useful_retry_time() {
    let mut test = TestGather::new(&policy(FOUR_REQUESTS, "suffices = { at_least = 3 }"), 0, 1000, shared());
    test.respond(10, 0, ShardResponse::Rejected(Some(ms(70))));
    assert_eq!(test.answer(), None);
    test.respond(20, 1, ShardResponse::Rejected(Some(ms(50))));
    assert_eq!(
        test.answer(),
        expected_answer(20, "failed cause=too-few missing=home/a:refused,home/b:refused")
    );
    let Answer::Failed(failure) = &test.answers[0].1 else { panic!() };
    assert!(
        failure.is_rejection() && failure.retry_after == Some(ms(50)),
        "a retry of one of the two suffices: {failure:?}"
    );
    assert_eq!((test.sent.len(), test.abandoned.len()), (4, 2), "each request is sent once");
}

#[test]
fn names_reason_of_each_missing_response() {
    let mut test =
        TestGather::new(&policy(FOUR_REQUESTS, ALLOW_PARTIAL), 0, 1000, shared_after_misses("west", 6));
    test.respond_value(60, 0);
    test.respond(60, 1, ShardResponse::Rejected(None));
    test.respond(60, 2, failure("disk error", true));
    test.advance(2000);
    let (_, text) = test.answer().unwrap();
    assert_eq!(text, "part missing=home/b:refused,east/c:failed(disk%20error),west/d:cut-off");
    assert_eq!(parse_status(&text).unwrap().to_string(), text);
}

#[test]
fn client_disconnect_ends_gather_and_releases_memory() {
    let mut test = TestGather::new(&policy(FOUR_REQUESTS, ALLOW_PARTIAL), 0, 1000, shared());
    test.respond_value(10, 0);
    assert_eq!(test.shared.budget.reserved(), 310);
    test.handle(at_ms(20), GatherEvent::ClientLeft);
    assert_eq!(
        (test.shared.budget.reserved(), test.abandoned.clone(), test.answer()),
        (0, vec![1, 2, 3], None)
    );
    test.respond_value(30, 1);
    test.advance(2000);
    assert_eq!(
        (test.answer(), test.shared.counters.late_responses, test.shared.counters.client_left),
        (None, 1, 1)
    );
}

#[test]
fn reserves_memory_for_required_responses_first() {
    let policy = policy(FOUR_REQUESTS, "suffices = { named = [\"d\"] }\nmost_bytes = 250");
    let mut test = TestGather::new(&policy, 0, 1000, shared());
    assert_eq!(test.sent, [3, 0], "the required request first, and only as many as fit");
    test.respond(10, 3, ShardResponse::Value(vec![0; 150]));
    test.respond(11, 0, ShardResponse::Value(vec![0; 101]));
    let text =
        "part missing=home/a:failed(too%20large),home/b:failed(too%20large),east/c:failed(too%20large)";
    assert_eq!(test.answer(), expected_answer(11, text));
    assert_eq!(test.shared.budget.reserved(), 150);
    // Another gather holds memory, so the request does not fit in the budget and is rejected.
    let budget = MemoryBudget::new(100);
    let other_reservation = budget.reserve(1).unwrap();
    let test = TestGather::new(&policy, 0, 1000, shared_with(budget.clone()));
    assert!(
        test.sent.is_empty() && test.answer().unwrap().1.contains("west/d:refused") && budget.reserved() == 1
    );
    drop(other_reservation);
}

#[test]
fn rejects_gathers_at_limit_and_removes_ended_ones() {
    let mut gathers: Gathers<Bytes> = Gathers::new(2, shared().zones, MemoryBudget::new(10_000));
    let mut out = Vec::new();
    let policy = policy(FOUR_REQUESTS, ALLOW_PARTIAL);
    let first_id = gathers.start(at_ms(0), policy.clone(), at_ms(1000), &mut out).unwrap();
    gathers.start(at_ms(0), policy.clone(), at_ms(1000), &mut out).unwrap();
    assert_eq!(gathers.start(at_ms(0), policy.clone(), at_ms(1000), &mut out), Err(TooManyGathers));
    gathers.handle(at_ms(1), first_id, GatherEvent::ClientLeft, &mut out);
    gathers.start(at_ms(2), policy, at_ms(1000), &mut out).unwrap();
    gathers.handle(
        at_ms(3),
        first_id,
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
