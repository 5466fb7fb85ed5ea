//! What is known of halls, and what it does to gathers.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod common;
use common::*;
use scatter_gather::*;
use std::time::Duration;

const FOUR: &str = "a@home b@home c@east d@west";
const IN_PART: &str = "otherwise = \"in-part\"";

fn news(hall: &str, doubt: f32, sources: u32) -> HallNews {
    HallNews { hall: hall.into(), doubt, sources, age: Duration::ZERO }
}

#[test]
fn a_hall_found_cut_off_is_not_waited_for_and_not_asked_but_for_trials() {
    let p = policy(FOUR, "suffices = { at_least = 3 }");
    let mut shared = missed("west", 6);
    assert_eq!(shared.halls.stage(at(60), &"west".into()), Stage::CutOff);
    assert_eq!(shared.halls.worth_waiting(at(60), &"west".into(), ms(480)), Duration::ZERO);
    let mut asked = Vec::new();
    for i in 0..40u64 {
        let mut b = Bench::new(&p, 100 + i * 50, 1100 + i * 50, shared);
        (0..3).for_each(|part| b.served(110 + i * 50, part));
        b.pass(3200);
        let (when, text) = b.told().unwrap();
        assert!(when < 100 + i * 50 + 100 && text == "part missing=west/d:cut-off", "{when} {text}");
        asked.push(b.asked.len());
        shared = b.shared;
    }
    let trials = asked.iter().filter(|n| **n == 4).count();
    assert!((2..=5).contains(&trials) && asked[0] == 4, "{asked:?}");
}

#[test]
fn a_needed_hall_is_asked_and_waited_for_though_cut_off() {
    let mut shared = missed("west", 6);
    shared.halls.outlook(at(90), &"west".into(), ms(480), false);
    let mut b = Bench::new(&policy(FOUR, ""), 100, 1100, shared);
    assert_eq!(b.asked.len(), 4);
    (0..4).for_each(|part| b.served(120, part));
    assert_eq!(b.told(), told(120, "whole"));
}

#[test]
fn a_gather_without_time_says_nothing_against_a_hall() {
    let mut shared = missed("west", 0);
    for i in 0..20u64 {
        let mut b = Bench::new(&policy("a@west", ""), 100 + i * 30, 150 + i * 30, shared);
        b.pass(5000);
        shared = b.shared;
    }
    assert_eq!(shared.halls.stage(at(900), &"west".into()), Stage::Well);
}

#[test]
fn one_peers_word_alone_cuts_off_no_hall_and_many_none_that_answers_here() {
    let hall = "west".into();
    let mut halls = missed("west", 0).halls;
    halls.heard(at(100), &news("west", 1.0, 9));
    assert_eq!(halls.stage(at(100), &hall), Stage::Well, "it answered here just now");
    assert_eq!(halls.stage(at(900), &hall), Stage::Doubted, "not any more, and nothing was missed here");
    halls.silent(at(901), &hall, ms(480));
    assert_eq!(halls.stage(at(901), &hall), Stage::CutOff, "both");
    halls.heard(at(902), &news("west", 1.0, 1));
    assert_eq!(halls.stage(at(902), &hall), Stage::Doubted, "one alone");
    assert_eq!(halls.stage(at(60_000), &hall), Stage::Well, "all of it expires");
    halls.heard(at(902), &news("west", f32::NAN, 1));
    assert_eq!(halls.malformed, 1);
}

#[test]
fn others_word_is_not_told_on() {
    let mut halls = shared().halls;
    halls.heard(at(1), &news("west", 1.0, 9));
    assert!(halls.stage(at(1), &"west".into()) != Stage::Well && halls.observed(at(1)).is_empty());
    halls.answered(at(2), &"east".into(), ms(20), true);
    halls.heard(at(700), &news("east", 1.0, 9));
    assert_eq!(halls.stage(at(700), &"east".into()), Stage::Doubted);
    let told = halls.observed(at(700));
    assert_eq!((told[0].kind, told[0].weight, told[0].age), (Kind::Well, 1.0, ms(698)));
    (0..3).for_each(|_| halls.unreached(at(2), &"west".into()));
    assert_eq!(halls.observed(at(3))[1].kind, Kind::Failing);
}

#[test]
fn news_make_the_wait_of_an_open_gather_short() {
    let mut gathers: Gathers<V> = Gathers::new(4, missed("west", 1).halls, Budget::new(1000));
    let mut out = Vec::new();
    let id = gathers.begin(at(100), policy(FOUR, IN_PART), at(1100), &mut out).unwrap();
    (0..3).for_each(|part| {
        gathers.handle(at(110), id, Event::Ended { part, result: Ended::Served(vec![1]) }, &mut out)
    });
    assert_eq!(gathers.wake(), Some(at(580)));
    out.clear();
    gathers.heard(at(200), &news("west", 1.0, 3), &mut out);
    assert!(matches!(&out[0].1, Action::Answer(a) if a.told().text() == "part missing=west/d:cut-off"));
    assert!(matches!(&out[1].1, Action::Drop { part: 3 }));
}

#[test]
fn a_hall_that_flaps_has_to_answer_for_longer_each_time() {
    let (hall, mut halls) = ("west".into(), missed("west", 0).halls);
    let mut now = 1000;
    let mut needed = Vec::new();
    for _ in 0..6 {
        (0..3).for_each(|_| halls.silent(at(now), &hall, ms(480)));
        let mut answers = 0;
        while halls.stage(at(now), &hall) != Stage::Well {
            answers += 1;
            now += 20;
            halls.answered(at(now), &hall, ms(20), true);
        }
        needed.push(answers);
    }
    assert_eq!(needed, [3, 6, 12, 24, 24, 24]);
}

#[test]
fn a_hall_in_doubt_that_stays_silent_is_cut_off_by_its_short_waits_and_healed_by_trials() {
    let p = policy(FOUR, "suffices = { at_least = 3 }");
    let (mut shared, hall) = (missed("west", 3), "west".into());
    let mut stages = Vec::new();
    for i in 0..20u64 {
        let from = 100 + i * 400;
        let mut b = Bench::new(&p, from, from + 1000, shared);
        (0..3).for_each(|part| b.served(from + 10, part));
        if i >= 6 && b.asked.contains(&3) {
            b.served(from + 20, 3);
        }
        b.pass(from + 399);
        stages.push(b.shared.halls.stage(at(from + 399), &hall));
        shared = b.shared;
    }
    assert_eq!(stages[0], Stage::Doubted);
    assert_eq!(stages[2], Stage::CutOff);
    assert!(stages[5] == Stage::CutOff && stages[12] == Stage::Well, "{stages:?}");
}

#[test]
fn a_hall_grown_slower_is_learned_from_its_late_answers() {
    let (hall, mut halls) = ("west".into(), missed("west", 3).halls);
    let short = halls.worth_waiting(at(60), &hall, ms(480));
    halls.late(at(60), &hall, ms(200));
    assert!(short < ms(60) && halls.worth_waiting(at(60), &hall, ms(480)) == ms(300));
    halls.late(at(61), &hall, ms(900));
    assert_eq!(halls.worth_waiting(at(62), &hall, ms(480)), ms(10), "it would not come in time");
    assert_eq!(halls.observed(at(62))[0].kind, Kind::Slow);
}

#[test]
fn many_parts_of_one_gather_are_one_sign() {
    let mut b = Bench::new(&policy("a@west b@west c@west d@west", ""), 100, 1100, missed("west", 3));
    (0..4).for_each(|part| b.served(110, part));
    assert_eq!(b.shared.halls.stage(at(110), &"west".into()), Stage::Doubted);
}

#[test]
fn a_trial_waits_as_long_as_the_hall_usually_takes_and_a_needed_one_to_the_end_on_hearsay() {
    let (hall, mut halls) = ("west".into(), missed("west", 6).halls);
    let trial = halls.outlook(at(60), &hall, ms(480), false);
    assert!(trial.trial && trial.wait >= ms(30) && trial.wait < ms(60), "{trial:?}");
    let next = halls.outlook(at(61), &hall, ms(480), false);
    assert_eq!(next, Outlook { ask: false, wait: Duration::ZERO, trial: false });
    let mut halls = missed("west", 0).halls;
    halls.heard(at(900), &news("west", 1.0, 9));
    assert!(halls.outlook(at(900), &hall, ms(480), false).wait < ms(60));
    assert_eq!(halls.outlook(at(900), &hall, ms(480), true).wait, ms(480));
}

#[test]
fn a_hall_that_misses_more_often_than_it_answers_comes_into_doubt() {
    let (hall, mut halls) = ("west".into(), missed("west", 0).halls);
    for i in 0..12 {
        (0..2).for_each(|_| halls.silent(at(100 + i), &hall, ms(480)));
        halls.answered(at(100 + i), &hall, ms(20), true);
    }
    assert!(halls.stage(at(112), &hall) != Stage::Well);
}
