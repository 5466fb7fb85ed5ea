//! The seven rules, each held by the module alone.
mod common;
use common::*;
use scheduler::interface::*;
use scheduler::Scheduler;

fn patient() -> Settings {
    let mut s = settings();
    s.classes[0].aim = Micros(1900 * MS);
    s
}

fn list(host: &mut Host, entries: Vec<NodeEntry>) -> Vec<Action> {
    host.tell(Event::List(ListNews::Delta(entries)))
}

#[test]
fn a_held_request_is_answered_before_its_client_gives_up() {
    let mut host = Host::new(settings());
    list(&mut host, vec![NodeEntry { state: NodeState::Gone, ..entry("a", 0) }]);
    assert_eq!(host.arrive(request(1)), vec![]);
    assert_eq!(refused(&host.pass(2 * S - 1)), vec![1]);
    assert_eq!(host.pass(10 * S), vec![], "one final answer");
}

#[test]
fn a_time_out_at_the_deadline_is_answered_at_once() {
    let mut host = Host::new(settings());
    assert_eq!(sent(&host.arrive(request(1))), vec![1]);
    host.pass(2 * S);
    assert_eq!(refused(&host.end(1, Ending::Timeout, 2 * S)), vec![1]);
}

#[test]
fn an_unsafe_request_that_may_have_run_is_failed_not_refused_nor_repeated() {
    let mut s = settings();
    s.classes[0].repeats = Repeats::Unsafe;
    let mut host = Host::new(s);
    host.arrive(request(1));
    assert_eq!(failed(&host.end(1, Ending::Reset, 10 * MS)), vec![1]);
    assert_eq!((host.attempts[&1], failed(&host.pass(2 * S))), (1, vec![]));
    host.arrive(request(2));
    host.end(2, Ending::ConnectFailed, 10 * MS);
    host.pass(S);
    assert_eq!(host.attempts[&2], 2, "an attempt that never ran may be repeated");
}

#[test]
fn a_keyed_request_is_repeated_inside_its_window_only() {
    for (took, attempts, failures) in [(100 * MS, 2, vec![]), (1100 * MS, 1, vec![1])] {
        let mut s = settings();
        s.classes[0].repeats = Repeats::Keyed(Group::Shard);
        let mut host = Host::new(s);
        host.arrive(request(1));
        host.pass(took);
        let mut actions = host.end(1, Ending::Reset, took);
        actions.extend(host.pass(300 * MS));
        assert_eq!((host.attempts[&1], failed(&actions)), (attempts, failures));
    }
}

#[test]
fn a_draining_node_gets_nothing_new_and_its_successor_takes_over() {
    let mut host = Host::new(settings());
    list(&mut host, vec![NodeEntry { state: NodeState::Draining, ..entry("a", 0) }]);
    assert_eq!(sent(&host.arrive(request(1))), Vec::<u64>::new());
    let actions = list(&mut host, vec![NodeEntry { started: Some(Micros(90 * S)), ..entry("c", 0) }]);
    assert_eq!(sent(&actions), vec![1]);
    assert_eq!(host.nodes[&1], NodeId("c".into()));
}

#[test]
fn a_cold_node_gets_this_hosts_part_of_its_budget_in_every_window() {
    let mut host = Host::new(patient());
    host.pass(5 * S);
    list(&mut host, vec![entry("c", 2)]);
    let mut log: Vec<(i64, f64)> = vec![];
    for id in 0..200 {
        let mut out = sent(&host.arrive(Request { shard: Some(ShardId(2)), ..request(id) }));
        out.extend(sent(&host.pass(20 * MS)));
        while let Some(id) = out.pop() {
            log.push((host.now, 2.0));
            // Refused sends count too.
            let ending = if id % 8 == 7 { Ending::Full } else { Ending::Ok };
            out.extend(sent(&host.end(id, ending, MS)));
        }
    }
    assert!(log.len() > 3);
    for (at, _) in &log {
        let spent: f64 = log.iter().filter(|(t, _)| t >= at && t - at < S - 20 * MS).map(|(_, u)| u).sum();
        let age = (at + S - 105 * S) as f64 / 1e7;
        assert!(spent <= 8.0 / 2.0 * (1.0 + 3.0 * age), "{spent} units within a second of {at}");
    }
}

#[test]
fn a_host_that_has_just_started_counts_a_cold_node_as_served_already() {
    let mut host = Host::new(patient());
    list(&mut host, vec![NodeEntry { started: Some(Micros(99 * S)), ..entry("a", 0) }]);
    assert_eq!(sent(&host.arrive(request(1))), Vec::<u64>::new());
    assert_eq!(sent(&host.pass(1500 * MS)), vec![1]);
}

#[test]
fn requests_with_one_key_run_in_turn_and_block_no_other_key() {
    let mut s = settings();
    s.classes[0].in_order = true;
    s.order_rest = Micros(50 * MS);
    let mut host = Host::new(s);
    let keyed = |id, key: &str| Request { key: Some(KeyId(key.into())), ..request(id) };
    assert_eq!(sent(&host.arrive(keyed(1, "k"))), vec![1]);
    assert_eq!(sent(&host.arrive(keyed(2, "k"))), Vec::<u64>::new());
    assert_eq!(sent(&host.arrive(keyed(3, "other"))), vec![3]);
    host.tell(Event::Left(RequestId(1)));
    assert_eq!(host.attempts.get(&2), None, "the first attempt has no outcome yet");
    host.end(1, Ending::Cancelled, 10 * MS);
    assert_eq!(host.attempts.get(&2), None, "the key rests");
    assert_eq!(sent(&host.pass(51 * MS)), vec![2]);
}

#[test]
fn further_attempts_stay_within_the_budget() {
    let mut s = settings();
    s.retry_budget = Some(RetryBudget { floor: 1.0, share: 0.1, window: Micros(5 * S) });
    s.max_attempts = 100;
    let mut host = Host::new(s);
    host.arrive(request(1));
    for _ in 0..10 {
        if host.attempts[&1] <= 2 && host.now < 101 * S {
            host.end(1, Ending::ConnectFailed, MS);
            host.pass(150 * MS);
        }
    }
    assert_eq!(host.attempts[&1], 2);
}

#[test]
fn a_limit_is_shared_among_the_hosts_and_a_restart_gives_nothing_away() {
    let mut s = settings();
    s.plans[0].limit_rate = 10.0;
    s.plans[0].limit_burst = 16.0;
    s.classes[0].aim = Micros(2 * S);
    let mut passed = 0.0;
    for _ in 0..3 {
        // Each start is a new host that remembers nothing: three starts within six seconds.
        let mut host = Host::new(s.clone());
        for id in 0..20 {
            let mut actions = host.arrive(Request { volume_hosts: 2, ..request(id) });
            actions.extend(host.pass(100 * MS));
            let mut out = sent(&actions);
            while let Some(id) = out.pop() {
                passed += 2.0;
                out.extend(sent(&host.end(id, Ending::Ok, 10 * MS)));
            }
        }
    }
    assert!(passed > 20.0 && passed <= 5.0 * 6.0, "{passed} units in 6 s at 5 a second");
}

#[test]
fn the_watch_is_asked_for_again_with_growing_waits() {
    let mut s = settings();
    s.list_mode = ListMode::Ask;
    s.ask_within = Micros(10 * S);
    let mut host = Host::new(s);
    let mut calls = vec![];
    for _ in 0..400 {
        if host.pass(50 * MS).contains(&Action::Watch) {
            calls.push(host.now);
            host.tell(Event::List(ListNews::Failed));
        }
    }
    let gaps: Vec<i64> = calls.windows(2).map(|w| w[1] - w[0]).collect();
    assert!(calls[0] < 101 * S && calls.len() >= 4, "{calls:?}");
    assert!(gaps.iter().all(|g| *g <= 10 * S) && gaps[3] > gaps[0], "{gaps:?}");
    list(&mut host, vec![]);
    assert_eq!(host.pass(60 * S), vec![], "a watch that holds is not asked for again");
}

#[test]
fn odd_events_are_ignored_or_refused() {
    let mut host = Host::new(settings());
    assert_eq!(refused(&host.arrive(Request { class: 9, ..request(1) })), vec![1]);
    assert_eq!(refused(&host.arrive(Request { plan: 9, ..request(2) })), vec![2]);
    assert_eq!(refused(&host.arrive(Request { units: f64::NAN, ..request(3) })), vec![3]);
    assert_eq!(sent(&host.arrive(Request { volume_hosts: 0, ..request(4) })), vec![4]);
    host.arrive(Request { shard: Some(ShardId(77)), ..request(5) });
    assert_eq!(host.tell(Event::Left(RequestId(99))), vec![]);
    assert_eq!(host.tell(Event::Timer(12345)), vec![]);
    host.end(4, Ending::Ok, MS);
    assert_eq!(host.end(4, Ending::Ok, MS), vec![], "an outcome twice");
    host.tell(Event::List(ListNews::Full(vec![])));
    host.arrive(Request { shard: None, ..request(6) });
    let answered = refused(&host.pass(3 * S));
    assert!(answered.contains(&5) && answered.contains(&6));
}

#[test]
fn settings_that_cannot_work_are_named() {
    let field = |change: fn(&mut Settings)| {
        let mut s = settings();
        change(&mut s);
        Scheduler::new(s, 1).err().map(|e| e.field)
    };
    assert_eq!(field(|_| ()), None);
    assert_eq!(field(|s| s.classes.clear()), Some("classes"));
    assert_eq!(field(|s| s.classes[0].aim = Micros(-1)), Some("classes"));
    assert_eq!(field(|s| s.plans.clear()), Some("plans"));
    assert_eq!(field(|s| s.plans[0].weight = f64::NAN), Some("plans"));
    assert_eq!(field(|s| s.hosts = 0), Some("hosts"));
    assert_eq!(field(|s| s.mean_units = 0.0), Some("mean_units"));
    assert_eq!(field(|s| s.most_units = 1.0), Some("most_units"));
    assert_eq!(field(|s| s.tick = Micros(-1)), Some("tick"));
    assert_eq!(field(|s| s.cold.window = Micros(-1)), Some("cold"));
    assert_eq!(field(|s| s.cold.multiple = f64::NAN), Some("cold"));
}

#[test]
fn a_volume_that_names_more_hosts_than_the_fleet_has_gets_an_even_part_of_the_fleets() {
    let first_burst = |volume_hosts: u32| {
        let mut s = patient();
        s.plans[0].limit_rate = 10.0;
        s.plans[0].limit_burst = 16.0;
        let mut host = Host::new(s);
        host.pass(10 * S);
        let passed = (0..20).filter(|id| {
            let out = !sent(&host.arrive(Request { volume_hosts, ..request(*id) })).is_empty();
            if out {
                host.end(*id, Ending::Ok, MS);
            }
            out
        });
        passed.count()
    };
    assert_eq!(first_burst(4_000_000_000), first_burst(2));
    assert_eq!(first_burst(2), 4, "half of the burst, in requests of two units");
}

#[test]
fn a_cold_node_without_any_announced_budget_gets_nothing_from_a_host_new_to_it_till_it_is_warm() {
    let mut s = patient();
    (s.cold.units, s.cold.multiple) = (0.0, 0.0);
    let mut host = Host::new(s);
    list(&mut host, vec![NodeEntry { started: Some(Micros(100 * S)), ..entry("c", 2) }]);
    let mut out = vec![];
    for id in 0..10 {
        out.extend(sent(&host.arrive(Request { shard: Some(ShardId(2)), ..request(id) })));
        out.extend(sent(&host.pass(900 * MS)));
    }
    assert_eq!(out, Vec::<u64>::new());
    host.pass(2 * S);
    assert_eq!(sent(&host.arrive(Request { shard: Some(ShardId(2)), ..request(99) })), vec![99]);
}
