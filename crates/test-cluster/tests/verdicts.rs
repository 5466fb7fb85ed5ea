//! Each verdict holds where it should, and finds what was planted.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use std::time::Duration;
use test_cluster::boxes::store::Shelf;
use test_cluster::boxes::{Answer, Entry};
use test_cluster::clients::{End, Request};
use test_cluster::discovery::{Lifecycle, Told};
use test_cluster::engine::lock;
use test_cluster::fronts::Outage;
use test_cluster::links::Pause;
use test_cluster::verdict::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A request that was sent and ended at these times; the order is the time.
fn request(id: &str, booked: bool, sent: u64, ended: u64, end: End) -> Request {
    Request {
        id: id.into(),
        front: "f".into(),
        key: ("v".into(), 1),
        booked: booked.then(|| format!("booking-{id}").into_bytes()),
        units: 1,
        sent: (ms(sent), sent),
        ended: (ms(ended), ended),
        end,
        extra: 0,
    }
}

fn entry(id: &str, write: bool, at: u64, ran: bool, answer: Answer) -> Entry {
    Entry {
        order: at,
        first: ms(at),
        whole: ms(at),
        place: "b".into(),
        front: "f".into(),
        id: id.into(),
        key: ("v".into(), 1),
        write,
        shard: 0,
        units: 1,
        wait_ms: 100,
        ran: ran.then_some((ms(at), at)),
        answer,
    }
}

fn value(text: &str) -> Answer {
    Answer::Value(text.as_bytes().into())
}

fn served(text: &str) -> End {
    End::Served(text.as_bytes().to_vec())
}

fn told(at: u64, whole: bool, boxes: &[(&str, Lifecycle)]) -> Told {
    let boxes = boxes.iter().map(|(n, l)| (n.to_string(), *l)).collect();
    Told { order: at, at: ms(at), front: "f".into(), generation: at, whole, boxes }
}

fn pause(from: &str, to: &str, since: u64, until: u64) -> Pause {
    Pause { from: from.into(), to: to.into(), since: ms(since), until: Some(ms(until)) }
}

fn outage(since: u64, until: u64) -> Evidence {
    let out = Outage { since: ms(since), until: Some(ms(until)), ended: true };
    Evidence { outages: [("f".to_string(), vec![out])].into(), ..Evidence::default() }
}

#[track_caller]
fn finds(verdict: Verdict, broken: usize, excused: usize) {
    assert_eq!((verdict.broken, verdict.excused), (broken, excused), "{verdict}");
    assert_eq!(verdict.holds(), broken == 0);
    assert_eq!(verdict.first.len(), broken);
}

#[test]
fn answers() {
    let good = request("1", false, 0, 9, served("-"));
    let silent = request("2", false, 100, 900, End::Unanswered);
    let closed_ = request("3", false, 100, 900, End::Closed);
    let senseless = request("4", false, 0, 9, End::Failed("bytes that are no reply: x".into()));
    let twice = Request { extra: 4, ..request("5", false, 0, 9, End::Busy(None)) };
    let requests = vec![good, silent, closed_, senseless, twice];
    let evidence = Evidence { requests: requests.clone(), ..Evidence::default() };
    finds(one_answer(&evidence), 3, 0);
    finds(closed(&evidence), 1, 0);
    let evidence = Evidence { requests: requests.clone(), ..outage(200, 300) };
    finds(one_answer(&evidence), 2, 1);
    finds(closed(&evidence), 0, 1);
    let evidence = Evidence { requests, ..outage(901, 1000) };
    finds(one_answer(&evidence), 3, 0);
}

#[test]
fn bookings() {
    let twice = vec![
        entry("1", true, 5, true, value("")),
        Entry { place: "c".into(), ..entry("1", true, 8, true, Answer::None) },
        entry("2", true, 5, false, Answer::Busy),
        entry("2", true, 6, true, value("")),
        entry("3", false, 5, true, value("-")),
        entry("3", false, 6, true, value("-")),
        entry("4", true, 7, true, Answer::Failed),
    ];
    let requests = vec![
        request("1", true, 0, 9, served("booked")),
        request("2", true, 0, 9, served("booked")),
        request("4", true, 0, 9, End::Busy(Some(3))),
        request("5", true, 0, 9, End::Busy(None)),
        request("6", true, 0, 9, served("booked")),
    ];
    let evidence = Evidence { requests, entries: twice, ..Evidence::default() };
    finds(booked_once(&evidence), 1, 0);
    finds(refused_never_ran(&evidence), 1, 0);
    finds(test_cluster::verdict::served(&evidence), 1, 0);
    let shelf = Shelf::default();
    lock(&shelf).write(("v".into(), 1), b"booking-1"[..].into());
    lock(&shelf).write(("v".into(), 1), b"booking-9"[..].into());
    let place = |r: &Request| (r.id != "6").then(|| (shelf.clone(), r.key.clone()));
    finds(found(&evidence, &place), 1, 1);
}

#[test]
fn values() {
    let check = |read: Request, entries: Vec<Entry>| {
        test_cluster::verdict::served(&Evidence { requests: vec![read], entries, ..Evidence::default() })
    };
    finds(check(request("1", false, 0, 9, served("x")), vec![entry("1", false, 5, true, value("x"))]), 0, 0);
    finds(check(request("1", false, 0, 9, served("x")), vec![entry("1", false, 5, true, value("y"))]), 1, 0);
    finds(check(request("1", false, 0, 9, served("x")), vec![entry("2", false, 5, true, value("x"))]), 1, 0);
    finds(
        check(request("1", false, 0, 9, served("x")), vec![entry("task-2", false, 5, true, value("x"))]),
        0,
        0,
    );
    finds(
        check(request("1", true, 0, 9, served("x")), vec![entry("1", true, 5, true, Answer::Failed)]),
        1,
        0,
    );
}

#[test]
fn staleness() {
    let write = |id: &str, sent, ended| request(id, true, sent, ended, served("booked"));
    let lost = |id: &str, sent, ended| request(id, true, sent, ended, End::Failed("x".into()));
    let read = |sent, ended, text: &str| request("r", false, sent, ended, served(text));
    let check = |requests: Vec<Request>| never_stale(&Evidence { requests, ..Evidence::default() });
    let old_new = || vec![write("a", 0, 10), write("b", 20, 30)];
    let with = |mut all: Vec<Request>, more: Request| {
        all.push(more);
        check(all)
    };
    finds(with(old_new(), read(40, 50, "booking-b")), 0, 0);
    finds(with(old_new(), read(40, 50, "booking-a")), 1, 0);
    finds(with(old_new(), read(25, 50, "booking-a")), 0, 0);
    finds(with(vec![write("a", 0, 25), write("b", 20, 30)], read(40, 50, "booking-a")), 0, 0);
    finds(with(old_new(), read(40, 50, "-")), 1, 0);
    finds(with(old_new(), read(5, 15, "-")), 0, 0);
    finds(with(old_new(), read(12, 15, "booking-b")), 1, 0);
    finds(with(vec![lost("a", 0, 10), write("b", 20, 30)], read(40, 50, "booking-a")), 0, 0);
    finds(with(vec![], read(40, 50, "booking-z")), 1, 0);
}

#[test]
fn drains() {
    use Lifecycle::*;
    let list = vec![told(0, true, &[("b", Active)]), told(1000, false, &[("b", Leaving)])];
    let check = |told: &[Told], at: u64, more: Evidence| {
        let entries = vec![entry("1", false, at, true, value("-"))];
        drained(&Evidence { entries, told: told.to_vec(), ..more }, ms(250), ms(6000))
    };
    finds(check(&list, 900, Evidence::default()), 0, 0);
    finds(check(&list, 1250, Evidence::default()), 0, 1);
    finds(check(&list, 1251, Evidence::default()), 1, 0);
    // Told again it still drains from the first word on; told active it does not.
    let again = [list.clone(), vec![told(1200, true, &[("b", Leaving)])]].concat();
    finds(check(&again, 1300, Evidence::default()), 1, 0);
    let back = [list.clone(), vec![told(1200, false, &[("b", Active)])]].concat();
    finds(check(&back, 1300, Evidence::default()), 0, 0);
    let gone = vec![told(0, true, &[("b", Active)]), told(1000, true, &[("c", Active)])];
    finds(check(&gone, 1300, Evidence::default()), 1, 0);
    finds(check(&list, 1400, outage(1100, 1300)), 0, 1);
    finds(check(&list, 1500, outage(1100, 1300)), 1, 0);
    finds(check(&list, 1400, outage(100, 1000)), 1, 0);
    let link =
        |from: &str, to: &str| Evidence { pauses: vec![pause(from, to, 900, 1200)], ..Evidence::default() };
    finds(check(&list, 1450, link("f", "b")), 0, 1);
    finds(check(&list, 1451, link("f", "b")), 1, 0);
    finds(check(&list, 1451, link("f", "c")), 1, 0);
    finds(check(&list, 7000, link("discovery", "f")), 0, 1);
    finds(check(&list, 7500, link("discovery", "f")), 1, 0);
    let still = Evidence { hiccups: vec![(ms(1100), ms(1300))], ..Evidence::default() };
    finds(check(&list, 1450, still), 0, 1);
}

#[test]
fn volumes_limits() {
    let limit = |volume: &str| (volume == "v").then_some(Limit { rate: 10.0, depth: 5.0, slack: 1.0 });
    let at = |units: u32, at: u64, front: &str| Entry {
        units,
        front: front.into(),
        ..entry("1", false, at, true, value("-"))
    };
    let check = |entries: Vec<Entry>, pauses: Vec<Pause>| {
        limits(&Evidence { entries, pauses, ..Evidence::default() }, limit)
    };
    finds(check(vec![at(3, 0, "f"), at(3, 0, "g")], vec![]), 0, 0);
    finds(check(vec![at(3, 0, "f"), at(4, 0, "g")], vec![]), 1, 0);
    finds(check(vec![at(6, 0, "f"), at(5, 500, "g")], vec![]), 0, 0);
    finds(check(vec![at(6, 0, "f"), at(5, 400, "g")], vec![]), 1, 0);
    finds(check(vec![at(6, 0, "f"), at(5, 400, "g")], vec![pause("g", "b", 100, 300)]), 0, 1);
}

#[test]
fn boxes_out_and_agreement() {
    let line = |at: u64, text: &str| (ms(at), text.to_string());
    let lines = [
        line(1, "suspension backend=b-1 suspended=true"),
        line(2, "conn kind=box"),
        line(5, "suspension backend=b-1 suspended=false"),
    ];
    let events = bans(&lines);
    assert_eq!(events, [(ms(1), "b-1".to_string(), true), (ms(5), "b-1".to_string(), false)]);
    let with = |at: u64| [events.clone(), vec![(ms(at), "b-2".to_string(), true)]].concat();
    finds(most_out(&with(4), 1), 1, 0);
    finds(most_out(&with(5), 1), 0, 0);
    finds(most_out(&with(4), 2), 0, 0);
    let answers = |all: &[&str]| all.iter().map(|a| ("f".to_string(), a.to_string())).collect::<Vec<_>>();
    finds(agree(&answers(&["x", "x", "y"])), 1, 0);
    finds(agree(&answers(&[])), 0, 0);
}

#[test]
fn only_the_first_lines_are_kept() {
    let mut verdict = Verdict::new("x");
    (0..100).for_each(|n| verdict.look(Some(n.to_string())));
    assert_eq!((verdict.broken, verdict.first.len()), (100, 8));
    assert!(verdict.to_string().starts_with("BROKEN x: 100 checked"));
}
