//! Property tests: for any order of events there is one answer, in time, never complete with a response missing, and all
//! memory is released.
#![allow(clippy::unwrap_used)]
mod common;
use cluster_types::Time;
use common::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use scatter_gather::*;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

const ZONES: [&str; 3] = ["home", "east", "we%st/,:"];

/// The zone of each request, and extra lines of a policy.
fn policy_lines() -> impl Strategy<Value = (Vec<usize>, String)> {
    let required = proptest::collection::vec(any::<prop::sample::Index>(), 0..3);
    let zones = proptest::collection::vec(0..ZONES.len(), 1..8);
    (zones, 0..4u8, required, 0.1..1.0f64, any::<bool>(), 150..900u64, 0.0..1.0f64).prop_map(
        |(zones, kind, required, share, is_partial, max_total_bytes, remote_share)| {
            let count = zones.len();
            let mut names: Vec<String> =
                required.iter().map(|index| format!("\"p{}\"", index.index(count))).collect();
            names.sort();
            names.dedup();
            let quorum = match kind {
                0 => "\"all\"".into(),
                1 => format!("{{ at_least = {}, named = [{}] }}", count / 2 + 1, names.join(",")),
                2 => format!("{{ each_hall = {share:.2} }}"),
                _ => format!("{{ named = [\"p0\"], at_least = 1, each_hall = {share:.2} }}"),
            };
            let partial_results = if is_partial { "in-part" } else { "fail" };
            let text = format!(
                "suffices = {quorum}\notherwise = \"{partial_results}\"\nmost_bytes = {max_total_bytes}\n\
                 remote_share = {remote_share:.2}"
            );
            (zones, text.replace("remote_share = 0.5\n", ""))
        },
    )
}

/// One step: a delay in milliseconds, then the kind, request and size of an event. A request ends, time passes, a report
/// arrives, or the client disconnects.
fn step() -> impl Strategy<Value = (u64, u8, usize, u64)> {
    (0..200u64, 0..20u8, 0..9usize, 0..260u64)
}

fn build_policy(zones: &[usize], extra_lines: &str) -> Policy {
    let request = |(index, zone): (usize, &usize)| format!("p{index}@{}", ZONES[*zone]);
    let requests: Vec<String> = zones.iter().enumerate().map(request).collect();
    let text = extra_lines.replace("remote_share = ", "#");
    let remote_share = extra_lines.split("remote_share = ").nth(1).unwrap().parse().unwrap();
    Policy { remote_share, ..(*policy(&requests.join(" "), &text)).clone() }
}

/// The test's model of a gather.
struct Expected {
    /// Requests that are pending, or were when the gather ended.
    outstanding: BTreeSet<usize>,
    /// The sizes of the values that arrived before the answer.
    received: BTreeMap<usize, u64>,
    late_responses: u64,
    has_client_left: bool,
}

/// The response for a step's kind; `None` for other events.
fn response(kind: u8, size: u64) -> Option<ShardResponse<Bytes>> {
    match kind {
        0..10 => Some(ShardResponse::Value(vec![7; size as usize])),
        10..12 => Some(ShardResponse::Rejected((size > 100).then(|| ms(size)))),
        12..14 => Some(ShardResponse::Failed { reason: "x".into(), is_zone_reachable: size > 100 }),
        _ => None,
    }
}

/// Applies one step to the gather and the model.
fn apply_step(test: &mut TestGather, expected: &mut Expected, now: u64, kind: u8, request: usize, size: u64) {
    let is_over = test.gather.is_over();
    match (kind, response(kind, size)) {
        (_, Some(response)) => {
            let is_value = matches!(response, ShardResponse::Value(_));
            if expected.outstanding.remove(&request) && is_value {
                if is_over {
                    expected.late_responses += 1;
                } else {
                    expected.received.insert(request, size);
                }
            }
            test.respond(now, request, response);
        }
        (14, None) if size < 30 => {
            expected.has_client_left |= !is_over;
            test.handle(at_ms(now), GatherEvent::ClientLeft);
        }
        (15, None) => {
            let (zone, suspicion) = (ZONES[request % 3].into(), size as f32 / 200.0);
            let report = ZoneReport { zone, suspicion, sources: 3, age: Duration::ZERO };
            test.shared.zones.receive_report(at_ms(now), &report);
            test.handle(at_ms(now), GatherEvent::ZoneHealthChanged);
        }
        _ => {}
    }
}

fn check_answer(
    policy: &Policy,
    answer: &Answer<Bytes>,
    expected: &Expected,
    reserved: u64,
) -> Result<(), TestCaseError> {
    let text = answer.status().to_string();
    prop_assert_eq!(parse_status(&text).unwrap(), answer.status());
    let count = policy.requests.len();
    let gathered = match answer {
        Answer::Gathered(gathered) => gathered,
        Answer::Failed(failure) => {
            prop_assert!(failure.missing.len() <= count);
            return Ok(());
        }
    };
    let values = gathered.values().enumerate();
    let present: Vec<usize> =
        values.filter(|(_, (_, value))| value.is_some()).map(|(request, _)| request).collect();
    prop_assert!(present.iter().all(|request| expected.received.contains_key(request)));
    prop_assert!(policy.is_answer(|request| present.contains(&request)));
    prop_assert_eq!(gathered.is_complete(), present.len() == count);
    prop_assert_eq!(gathered.joined().is_some(), text == "whole");
    prop_assert_eq!(gathered.missing().len() + present.len(), count);
    prop_assert_eq!(reserved, present.iter().map(|request| expected.received[request]).sum::<u64>());
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn gives_one_correct_answer_in_time((zones, extra_lines) in policy_lines(), steps in proptest::collection::vec(step(), 0..60),
                                         misses in 0..9u32, capacity in 100..2000u64) {
        let policy = Arc::new(build_policy(&zones, &extra_lines));
        let mut tracker = ZoneTracker::new(Some("home".into()), HealthRules::default());
        for miss in 0..misses {
            let zone = ZONES[1 + miss as usize % 2].into();
            tracker.record_silence(Time(u64::from(miss)), &zone, ms(900));
        }
        let budget = MemoryBudget::new(capacity);
        let shared = SharedState { zones: tracker, ..shared_with(budget.clone()) };
        let mut test = TestGather::new(&policy, 0, 1000, shared);
        let outstanding = test.sent.iter().copied().collect();
        let mut expected =
            Expected { outstanding, received: BTreeMap::new(), late_responses: 0, has_client_left: false };
        let mut now = 0;
        for (delay_ms, kind, request, size) in steps {
            now += delay_ms;
            test.advance(now);
            apply_step(&mut test, &mut expected, now, kind, request, size);
            let reserved = test.gather.reserved_bytes();
            prop_assert!(reserved <= budget.reserved() && budget.reserved() <= capacity);
            prop_assert!(reserved <= policy.max_total_bytes);
        }
        test.advance(5000);
        prop_assert_eq!(test.answers.len(), usize::from(!expected.has_client_left));
        prop_assert!(test.gather.is_over() && test.gather.next_wakeup().is_none());
        prop_assert_eq!(test.shared.counters.late_responses, expected.late_responses);
        prop_assert_eq!(test.shared.counters.overdue, 0);
        if let Some((when, answer)) = test.answers.first() {
            prop_assert!(*when <= at_ms(980));
            check_answer(&policy, answer, &expected, budget.reserved())?;
        }
        test.answers.clear();
        prop_assert_eq!(budget.reserved(), 0);
    }

    #[test]
    fn parses_every_written_status(list in proptest::collection::vec((".*", ".*", 0..4u8, ".*"), 1..6),
                                    required in proptest::option::of(".*"), is_failed: bool) {
        let missing = list.into_iter().map(|(zone, request, kind, reason)| {
            let reason = match kind {
                0 => MissingReason::Late,
                1 => MissingReason::ZoneEjected,
                2 => MissingReason::Rejected,
                _ => MissingReason::Failed(reason.into()),
            };
            MissingResponse { zone: zone.as_str().into(), request: request.into(), reason }
        });
        let missing: Vec<MissingResponse> = missing.collect();
        let cause = required.map_or(Cause::TooFew, |name| Cause::RequiredMissing(name.into()));
        let status =
            if is_failed { AnswerStatus::Failed(cause, missing) } else { AnswerStatus::Partial(missing) };
        prop_assert_eq!(parse_status(&status.to_string()), Some(status));
    }

    #[test]
    fn parses_only_canonical_status(text in "(whole|part|failed)?( missing=| cause=)?[a-z%/:,()0-9]{0,30}") {
        if let Some(status) = parse_status(&text) {
            prop_assert_eq!(status.to_string(), text);
        }
    }
}

#[test]
fn rejects_status_with_absent_or_misplaced_parts() {
    for text in [
        "part",
        "part missing=",
        "part missing=a/b",
        "whole missing=a/b:late",
        "whole ",
        "failed",
        "part missing=%41/b:late",
    ] {
        assert_eq!(parse_status(text), None, "{text}");
    }
}
