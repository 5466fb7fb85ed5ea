//! Each check passes where it should, and detects violations.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use std::time::Duration;
use test_cluster::backends::store::SharedStore;
use test_cluster::backends::{Answer, CommandRecord};
use test_cluster::checks::*;
use test_cluster::clients::{Request, RequestEnd};
use test_cluster::discovery::{Lifecycle, SentUpdate};
use test_cluster::gateway_process::Outage;
use test_cluster::links::Impairment;
use test_cluster::runtime::lock;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A request that was sent and ended at these times; its sequence numbers are the times.
fn request(id: &str, is_write: bool, sent: u64, ended: u64, end: RequestEnd) -> Request {
    Request {
        id: id.into(),
        gateway: "f".into(),
        key: ("v".into(), 1),
        written: is_write.then(|| format!("booking-{id}").into_bytes()),
        units: 1,
        sent: (ms(sent), sent),
        ended: (ms(ended), ended),
        end,
        extra: 0,
    }
}

/// An entry of a backend's command log.
fn entry(id: &str, is_write: bool, at: u64, executed: bool, answer: Answer) -> CommandRecord {
    CommandRecord {
        sequence: at,
        first_byte_at: ms(at),
        last_byte_at: ms(at),
        backend: "b".into(),
        gateway: "f".into(),
        id: id.into(),
        key: ("v".into(), 1),
        is_write,
        shard: 0,
        units: 1,
        wait_ms: 100,
        executed: executed.then_some((ms(at), at)),
        answer,
    }
}

fn value(text: &str) -> Answer {
    Answer::Value(text.as_bytes().into())
}

fn served(text: &str) -> RequestEnd {
    RequestEnd::Served(text.as_bytes().to_vec())
}

fn sent_update(at: u64, is_full_list: bool, backends: &[(&str, Lifecycle)]) -> SentUpdate {
    let backends = backends.iter().map(|(n, l)| (n.to_string(), *l)).collect();
    SentUpdate { sequence: at, at: ms(at), gateway: "f".into(), generation: at, is_full_list, backends }
}

fn impairment(from: &str, to: &str, since: u64, until: u64) -> Impairment {
    Impairment { from: from.into(), to: to.into(), since: ms(since), until: Some(ms(until)) }
}

fn outage(since: u64, until: u64) -> RunRecord {
    let out = Outage { since: ms(since), until: Some(ms(until)), process_ended: true };
    RunRecord { outages: [("f".to_string(), vec![out])].into(), ..RunRecord::default() }
}

#[track_caller]
fn expect(result: CheckResult, violations: usize, excused: usize) {
    assert_eq!((result.violations, result.excused), (violations, excused), "{result}");
    assert_eq!(result.holds(), violations == 0);
    assert_eq!(result.examples.len(), violations);
}

#[test]
fn final_answers_and_closed_connections() {
    let good = request("1", false, 0, 9, served("-"));
    let silent = request("2", false, 100, 900, RequestEnd::Unanswered);
    let disconnected = request("3", false, 100, 900, RequestEnd::Closed);
    let malformed = request("4", false, 0, 9, RequestEnd::Failed("bytes that are no reply: x".into()));
    let twice_sent = Request { extra: 4, ..request("5", false, 0, 9, RequestEnd::Busy(None)) };
    let requests = vec![good, silent, disconnected, malformed, twice_sent];
    let run_record = RunRecord { requests: requests.clone(), ..RunRecord::default() };
    expect(one_final_answer(&run_record), 3, 0);
    expect(connections_stay_open(&run_record), 1, 0);
    let run_record = RunRecord { requests: requests.clone(), ..outage(200, 300) };
    expect(one_final_answer(&run_record), 2, 1);
    expect(connections_stay_open(&run_record), 0, 1);
    let run_record = RunRecord { requests, ..outage(901, 1000) };
    expect(one_final_answer(&run_record), 3, 0);
}

#[test]
fn write_checks() {
    let twice_sent = vec![
        entry("1", true, 5, true, value("")),
        CommandRecord { backend: "c".into(), ..entry("1", true, 8, true, Answer::None) },
        entry("2", true, 5, false, Answer::Busy),
        entry("2", true, 6, true, value("")),
        entry("3", false, 5, true, value("-")),
        entry("3", false, 6, true, value("-")),
        entry("4", true, 7, true, Answer::Failed),
    ];
    let requests = vec![
        request("1", true, 0, 9, served("booked")),
        request("2", true, 0, 9, served("booked")),
        request("4", true, 0, 9, RequestEnd::Busy(Some(3))),
        request("5", true, 0, 9, RequestEnd::Busy(None)),
        request("6", true, 0, 9, served("booked")),
    ];
    let run_record = RunRecord { requests, commands: twice_sent, ..RunRecord::default() };
    expect(writes_run_once(&run_record), 1, 0);
    expect(refused_writes_never_run(&run_record), 1, 0);
    expect(served_by_backend(&run_record), 1, 0);
    let store = SharedStore::default();
    lock(&store).write(("v".into(), 1), b"booking-1"[..].into());
    lock(&store).write(("v".into(), 1), b"booking-9"[..].into());
    let locate = |r: &Request| (r.id != "6").then(|| (store.clone(), r.key.clone()));
    expect(served_writes_are_stored(&run_record, &locate), 1, 1);
}

#[test]
fn served_values_come_from_backends() {
    let check = |read: Request, commands: Vec<CommandRecord>| {
        served_by_backend(&RunRecord { requests: vec![read], commands, ..RunRecord::default() })
    };
    expect(check(request("1", false, 0, 9, served("x")), vec![entry("1", false, 5, true, value("x"))]), 0, 0);
    expect(check(request("1", false, 0, 9, served("x")), vec![entry("1", false, 5, true, value("y"))]), 1, 0);
    expect(check(request("1", false, 0, 9, served("x")), vec![entry("2", false, 5, true, value("x"))]), 1, 0);
    expect(
        check(request("1", false, 0, 9, served("x")), vec![entry("task-2", false, 5, true, value("x"))]),
        0,
        0,
    );
    expect(
        check(request("1", true, 0, 9, served("x")), vec![entry("1", true, 5, true, Answer::Failed)]),
        1,
        0,
    );
}

#[test]
fn stale_reads() {
    let write = |id: &str, sent, ended| request(id, true, sent, ended, served("booked"));
    let lost = |id: &str, sent, ended| request(id, true, sent, ended, RequestEnd::Failed("x".into()));
    let read = |sent, ended, text: &str| request("r", false, sent, ended, served(text));
    let check = |requests: Vec<Request>| reads_are_not_stale(&RunRecord { requests, ..RunRecord::default() });
    let old_new = || vec![write("a", 0, 10), write("b", 20, 30)];
    let with = |mut all: Vec<Request>, more: Request| {
        all.push(more);
        check(all)
    };
    expect(with(old_new(), read(40, 50, "booking-b")), 0, 0);
    expect(with(old_new(), read(40, 50, "booking-a")), 1, 0);
    expect(with(old_new(), read(25, 50, "booking-a")), 0, 0);
    expect(with(vec![write("a", 0, 25), write("b", 20, 30)], read(40, 50, "booking-a")), 0, 0);
    expect(with(old_new(), read(40, 50, "-")), 1, 0);
    expect(with(old_new(), read(5, 15, "-")), 0, 0);
    expect(with(old_new(), read(12, 15, "booking-b")), 1, 0);
    expect(with(vec![lost("a", 0, 10), write("b", 20, 30)], read(40, 50, "booking-a")), 0, 0);
    expect(with(vec![], read(40, 50, "booking-z")), 1, 0);
}

#[test]
fn commands_to_draining_backends() {
    use Lifecycle::*;
    let list = vec![sent_update(0, true, &[("b", Active)]), sent_update(1000, false, &[("b", Leaving)])];
    let check = |sent_updates: &[SentUpdate], at: u64, more: RunRecord| {
        let commands = vec![entry("1", false, at, true, value("-"))];
        drained_backends_get_nothing_new(
            &RunRecord { commands, sent_updates: sent_updates.to_vec(), ..more },
            ms(250),
            ms(6000),
        )
    };
    expect(check(&list, 900, RunRecord::default()), 0, 0);
    expect(check(&list, 1250, RunRecord::default()), 0, 1);
    expect(check(&list, 1251, RunRecord::default()), 1, 0);
    // A repeated notification does not restart the grace period; an update to active ends the drain.
    let again = [list.clone(), vec![sent_update(1200, true, &[("b", Leaving)])]].concat();
    expect(check(&again, 1300, RunRecord::default()), 1, 0);
    let back = [list.clone(), vec![sent_update(1200, false, &[("b", Active)])]].concat();
    expect(check(&back, 1300, RunRecord::default()), 0, 0);
    let gone = vec![sent_update(0, true, &[("b", Active)]), sent_update(1000, true, &[("c", Active)])];
    expect(check(&gone, 1300, RunRecord::default()), 1, 0);
    expect(check(&list, 1400, outage(1100, 1300)), 0, 1);
    expect(check(&list, 1500, outage(1100, 1300)), 1, 0);
    expect(check(&list, 1400, outage(100, 1000)), 1, 0);
    let link = |from: &str, to: &str| RunRecord {
        impairments: vec![impairment(from, to, 900, 1200)],
        ..RunRecord::default()
    };
    expect(check(&list, 1450, link("f", "b")), 0, 1);
    expect(check(&list, 1451, link("f", "b")), 1, 0);
    expect(check(&list, 1451, link("f", "c")), 1, 0);
    expect(check(&list, 7000, link("discovery", "f")), 0, 1);
    expect(check(&list, 7500, link("discovery", "f")), 1, 0);
    let stalled = RunRecord { machine_stalls: vec![(ms(1100), ms(1300))], ..RunRecord::default() };
    expect(check(&list, 1450, stalled), 0, 1);
}

#[test]
fn volume_limits_over_gateways() {
    let limit = |volume: &str| (volume == "v").then_some(VolumeLimit { rate: 10.0, depth: 5.0, slack: 1.0 });
    let at = |units: u32, at: u64, gateway: &str| CommandRecord {
        units,
        gateway: gateway.into(),
        ..entry("1", false, at, true, value("-"))
    };
    let check = |commands: Vec<CommandRecord>, impairments: Vec<Impairment>| {
        volume_limits_hold(&RunRecord { commands, impairments, ..RunRecord::default() }, limit)
    };
    expect(check(vec![at(3, 0, "f"), at(3, 0, "g")], vec![]), 0, 0);
    expect(check(vec![at(3, 0, "f"), at(4, 0, "g")], vec![]), 1, 0);
    expect(check(vec![at(6, 0, "f"), at(5, 500, "g")], vec![]), 0, 0);
    expect(check(vec![at(6, 0, "f"), at(5, 400, "g")], vec![]), 1, 0);
    expect(check(vec![at(6, 0, "f"), at(5, 400, "g")], vec![impairment("g", "b", 100, 300)]), 0, 1);
}

#[test]
fn suspension_lines_limit_and_agreement() {
    let line = |at: u64, text: &str| (ms(at), text.to_string());
    let lines = [
        line(1, "suspension backend=b-1 suspended=true"),
        line(2, "conn kind=box"),
        line(5, "suspension backend=b-1 suspended=false"),
    ];
    let events = suspensions(&lines);
    assert_eq!(events, [(ms(1), "b-1".to_string(), true), (ms(5), "b-1".to_string(), false)]);
    let with = |at: u64| [events.clone(), vec![(ms(at), "b-2".to_string(), true)]].concat();
    expect(suspended_at_most(&with(4), 1), 1, 0);
    expect(suspended_at_most(&with(5), 1), 0, 0);
    expect(suspended_at_most(&with(4), 2), 0, 0);
    let answers = |all: &[&str]| all.iter().map(|a| ("f".to_string(), a.to_string())).collect::<Vec<_>>();
    expect(gateways_agree(&answers(&["x", "x", "y"])), 1, 0);
    expect(gateways_agree(&answers(&[])), 0, 0);
}

#[test]
fn keeps_only_first_violations() {
    let mut result = CheckResult::new("x");
    (0..100).for_each(|n| result.record(Some(n.to_string())));
    assert_eq!((result.violations, result.examples.len()), (100, 8));
    assert!(result.to_string().starts_with("BROKEN x: 100 checked"));
}
