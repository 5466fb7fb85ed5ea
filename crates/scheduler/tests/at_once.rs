//! A request that is given up on gets its final answer in that moment, with a hint: one test for each path.
mod common;
use common::*;
use scheduler::interface::*;

/// Who was refused, and that each was told when to come back.
fn refused_with_hint(actions: &[Action]) -> Vec<u64> {
    let hinted = |a: &Action| !matches!(a, Action::Refuse { wait, .. } if wait.is_none_or(|w| w.0 <= 0));
    assert!(actions.iter().all(hinted), "{actions:?}");
    refused(actions)
}

/// A node that takes 100 ms for a request, and has two out, which is its window.
fn busy(s: Settings) -> Host {
    let mut host = Host::new(s);
    host.arrive(request(1));
    host.end(1, Ending::Ok, 100 * MS);
    host.arrive(request(2));
    host.arrive(request(3));
    host
}

#[test]
fn one_behind_the_head_of_its_queue() {
    let mut s = settings();
    s.classes.push(Class { aim: Micros(400 * MS), ..class() });
    let mut host = busy(s);
    assert_eq!(host.arrive(Request { class: 1, ..request(4) }), vec![]);
    assert_eq!(host.arrive(request(5)), vec![]);
    assert_eq!(refused_with_hint(&host.pass(210 * MS)), vec![5], "its head can wait for longer");
    assert_eq!(refused_with_hint(&host.pass(210 * MS)), vec![4]);
}

#[test]
fn one_whose_node_may_not_be_tried_before_its_aim() {
    let mut host = busy(Settings { connect_timeout: Micros(4 * S), ..settings() });
    assert_eq!(host.arrive(request(4)), vec![]);
    let mut actions = host.end(2, Ending::ConnectFailed, 20 * MS);
    actions.extend(host.end(3, Ending::ConnectFailed, 20 * MS));
    let mut ids = refused_with_hint(&actions);
    ids.sort_unstable();
    assert_eq!(ids, vec![2, 3, 4], "in that moment, not at the alarm");
}

#[test]
fn one_blocked_behind_its_key() {
    let mut s = settings();
    s.classes[0].in_order = true;
    let mut host = Host::new(s);
    let keyed = |id| Request { key: Some(KeyId("k".into())), ..request(id) };
    assert_eq!(sent(&host.arrive(keyed(1))), vec![1]);
    assert_eq!(host.arrive(keyed(2)), vec![]);
    assert_eq!(refused_with_hint(&host.pass(200 * MS)), vec![2], "at its aim, not at its deadline");
}

#[test]
fn one_without_a_node() {
    let mut host = Host::new(settings());
    let gone = NodeEntry { state: NodeState::Gone, ..entry("a", 0) };
    host.tell(Event::List(ListNews::Delta(vec![gone])));
    assert_eq!(host.arrive(request(1)), vec![]);
    assert_eq!(refused_with_hint(&host.pass(200 * MS)), vec![1]);
}

#[test]
fn one_whose_limit_was_taken_by_another_of_its_volume() {
    let mut s = settings();
    (s.plans[0].limit_rate, s.plans[0].limit_burst) = (4.0, 8.0);
    let mut host = Host::new(s);
    host.pass(450 * MS);
    // The store holds 1.8 units and fills by 4 a second: in 50 ms this one may go.
    assert_eq!(host.arrive(request(1)), vec![]);
    let other = Request { shard: Some(ShardId(1)), units: 1.0, ..request(2) };
    assert_eq!(sent(&host.arrive(other)), vec![2]);
    assert_eq!(refused_with_hint(&host.pass(60 * MS)), vec![1], "it would take 250 ms more");
}

#[test]
fn one_that_no_further_attempt_is_allowed_to() {
    let mut s = settings();
    s.classes[0].repeats = Repeats::Unsafe;
    let mut host = Host::new(s);
    host.arrive(request(1));
    assert_eq!(failed(&host.end(1, Ending::Reset, 10 * MS)), vec![1]);
    let mut host = Host::new(Settings { max_attempts: 1, ..settings() });
    host.arrive(request(1));
    assert_eq!(refused_with_hint(&host.end(1, Ending::Full, 10 * MS)), vec![1]);
}

#[test]
fn one_whose_window_of_repeats_closes_while_it_waits() {
    let mut s = settings();
    s.classes[0] = Class { repeats: Repeats::Keyed(Group::Shard), repeat_window: Micros(60 * MS), ..class() };
    let mut host = busy(s);
    host.pass(20 * MS);
    let mut actions = host.end(2, Ending::Reset, 20 * MS);
    actions.extend(host.pass(50 * MS));
    assert_eq!(host.attempts[&2] as usize + failed(&actions).len(), 2, "repeated at once or failed in time");
}

#[test]
fn a_turn_that_can_still_come_in_time_is_waited_for() {
    let mut host = busy(settings());
    assert_eq!(host.arrive(request(4)), vec![]);
    assert_eq!(host.pass(90 * MS), vec![]);
    assert_eq!(sent(&host.end(2, Ending::Ok, 90 * MS)), vec![4]);
}
