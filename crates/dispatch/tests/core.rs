//! The core without any wire: exactly one final answer, whatever comes in whatever order.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use dispatch::{Answer, Attempt, Bound, Bytes, Core, Effect, Ended, Request};
use scheduler::interface::*;

const BOUND: Bound = Bound { requests: 4, bytes: 1 << 20 };

fn core(repeats: Repeats) -> Core<u32> {
    let class = Class {
        aim: Micros(200_000),
        deadline: Micros(2_000_000),
        worth: 1.0,
        repeats,
        repeat_window: Micros(0),
        in_order: false,
    };
    let plan = Plan { reservation: 100.0, weight: 1.0, limit_rate: 0.0, limit_burst: 0.0 };
    let settings = Settings {
        hosts: 1,
        classes: vec![class],
        plans: vec![plan],
        most_units: 4.0,
        mean_units: 2.0,
        max_attempts: 2,
        max_wait_hint: Micros(1_000_000),
        connect_timeout: Micros(1_000),
        ..Settings::default()
    };
    let mut core = Core::new(settings, 1, BOUND).unwrap();
    let entry = NodeEntry { node: NodeId("a".into()), ..NodeEntry::default() };
    core.news(Micros(1), ListNews::Cached(vec![entry]));
    core
}

fn request(until: i64) -> Request {
    Request {
        name: "n".into(),
        class: 0,
        plan: 0,
        write: false,
        piece: "p".into(),
        volume: "v".into(),
        units: 1,
        shard: Some(0),
        hosts: 1,
        extra: "".into(),
        body: None,
        piecemeal: false,
        extent: None,
        until: Micros(until),
    }
}

fn effects(core: &mut Core<u32>) -> (Vec<Attempt>, Vec<(u32, Answer)>) {
    let (mut starts, mut answers) = (vec![], vec![]);
    for effect in core.effects.drain(..) {
        match effect {
            Effect::Start(attempt) => starts.push(attempt),
            Effect::Answer(ticket, answer) => answers.push((ticket, answer)),
            Effect::Watch => {}
        }
    }
    (starts, answers)
}

fn served(attempt: &Attempt) -> Ended {
    Ended { value: Some(Bytes::from(*b"x")), ..attempt.ended(Ending::Ok) }
}

#[test]
fn the_first_that_is_served_is_the_answer_and_an_end_told_twice_counts_once() {
    let mut core = core(Repeats::Safe);
    core.take(Micros(10), RequestId(1), request(1_000_000), 7);
    let (starts, _) = effects(&mut core);
    assert_eq!(starts[0].until, Micros(1_000_000).min(starts[0].until));
    core.ended(Micros(20), served(&starts[0]));
    core.ended(Micros(30), served(&starts[0]));
    core.ended(Micros(30), starts[0].ended(Ending::Reset));
    assert_eq!(effects(&mut core).1, vec![(7, Answer::Served(Bytes::from(*b"x")))]);
    assert_eq!((core.open(), core.counters.served, core.counters.endings[0]), (0, 1, 1));
}

#[test]
fn a_write_that_may_have_run_fails_and_one_that_did_not_is_refused_with_a_hint() {
    for (ending, fails) in [
        (Ending::Reset, true),
        (Ending::Timeout, true),
        (Ending::Error, true),
        (Ending::ConnectFailed, false),
    ] {
        let mut core = core(Repeats::Unsafe);
        core.take(Micros(10), RequestId(1), request(1_000_000), 7);
        let mut now = 20;
        let answer = loop {
            let (starts, answers) = effects(&mut core);
            if let Some((_, answer)) = answers.first() {
                break answer.clone();
            }
            match starts.first() {
                Some(attempt) => core.ended(Micros(now), attempt.ended(ending)),
                None => {
                    now = core.next_wake().unwrap().0;
                    core.wake(Micros(now));
                }
            }
        };
        match answer {
            Answer::Failed(_) => assert!(fails, "{ending:?}"),
            Answer::Refused(hint) => assert!(!fails && hint.is_some_and(|h| h.0 > 0), "{ending:?}"),
            other => panic!("{other:?}"),
        }
        assert_eq!(core.counters.sent, if fails { 1 } else { core.counters.sent });
        assert_eq!(core.open(), 0);
    }
}

#[test]
fn a_client_that_left_gets_nothing_and_its_attempt_is_still_heard() {
    let mut core = core(Repeats::Safe);
    core.take(Micros(10), RequestId(1), request(1_000_000), 7);
    let (starts, _) = effects(&mut core);
    core.left(Micros(15), RequestId(1));
    assert_eq!(core.open(), 1, "its attempt is out");
    core.ended(Micros(20), served(&starts[0]));
    assert!(effects(&mut core).1.is_empty());
    assert_eq!((core.open(), core.counters.left, core.counters.served), (0, 1, 0));
}

#[test]
fn beyond_the_bound_requests_are_refused_and_counted() {
    let mut core = core(Repeats::Safe);
    for id in 0..6 {
        let request = Request { name: id.to_string().into(), ..request(1_000_000) };
        core.take(Micros(10), RequestId(id), request, id as u32);
    }
    let refused = effects(&mut core).1;
    assert!(refused.iter().all(|(_, a)| matches!(a, Answer::Refused(Some(_)))));
    assert_eq!((core.counters.bounded, core.open() + refused.len()), (2, 6));
}

#[test]
fn a_request_whose_attempt_is_never_heard_of_is_failed_after_its_time() {
    // Guards the rule that each request is answered against a peer that loses an attempt.
    let mut core = core(Repeats::Safe);
    core.take(Micros(10), RequestId(1), request(300_000), 7);
    let (starts, _) = effects(&mut core);
    assert_eq!(starts.len(), 1);
    while let Some(at) = core.next_wake().filter(|at| at.0 < 1_000_000) {
        core.wake(at);
    }
    assert_eq!(effects(&mut core).1, vec![(7, Answer::Failed("no answer in time"))]);
    assert_eq!(core.counters.overdue, 1);
}

#[test]
fn the_id_of_an_open_request_is_an_error_and_leaves_the_first_alone() {
    let mut core = core(Repeats::Safe);
    core.take(Micros(10), RequestId(1), request(1_000_000), 1);
    let (starts, _) = effects(&mut core);
    core.take(Micros(20), RequestId(2), request(1_000_000), 2);
    let failed = Answer::Failed("the id is that of an open request");
    let (none, answers) = effects(&mut core);
    assert_eq!((none.len(), answers), (0, vec![(2, failed)]));
    let value: Bytes = Bytes::from(&b"A"[..]);
    core.ended(Micros(30), Ended { value: Some(value.clone()), ..starts[0].ended(Ending::Ok) });
    assert_eq!(effects(&mut core).1, vec![(1, Answer::Served(value))]);
    core.take(Micros(40), RequestId(3), request(1_000_000), 3);
    assert_eq!(effects(&mut core).0.len(), 1, "it is free again once the first has its answer");
    assert_eq!((core.counters.duplicates, core.open()), (1, 1));
}
