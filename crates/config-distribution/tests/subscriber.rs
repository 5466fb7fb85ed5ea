//! What a subscriber takes, refuses, and leaves alone.
mod common;
use cluster_types::Index;
use common::{change, sent, Front};
use config_distribution::{Action, Change, Event, FromRelay, Key, Scope, ToRelay, Topic};

fn changes(from: u64, upto: u64, changes: Vec<Change>) -> FromRelay {
    FromRelay::Changes { from: Index(from), upto: Index(upto), changes }
}

fn said(out: Vec<Action>) -> Option<(u64, Vec<String>)> {
    out.into_iter().filter_map(sent).find_map(|message| match message {
        ToRelay::Decided { upto, refused } => {
            Some((upto.0, refused.into_iter().map(|r| format!("{} {}", r.key, r.why)).collect()))
        }
        _ => None,
    })
}

fn decides(out: &[Action]) -> Option<Vec<(String, u64)>> {
    out.iter().find_map(|action| match action {
        Action::Decide { changes, .. } => {
            Some(changes.iter().map(|c| (c.key.name.to_string(), c.version.0)).collect())
        }
        _ => None,
    })
}

#[test]
fn what_has_changed_is_decided_on_together_and_then_answered() {
    let mut front = Front::following(&[("a", 1, "one")], 3);
    let out = front.say(changes(3, 6, vec![change("a", 4, Some("two")), change("b", 6, Some("x"))]));
    assert_eq!(decides(&out), Some(vec![("a".into(), 4), ("b".into(), 6)]));
    assert_eq!(said(out), None, "not before it is in force");
    assert_eq!(front.value("a"), Some((1, "one".into())));
    assert_eq!(said(front.decide()), Some((6, vec![])));
    assert_eq!(front.value("a"), Some((4, "two".into())));
}

#[test]
fn a_refused_value_falls_with_its_order_and_later_ones_still_come() {
    let mut front = Front::following(&[("a", 1, "one"), ("b", 2, "b1")], 3);
    let ordered = vec![change("a", 4, Some("bad")), change("b", 4, Some("b2")), change("c", 5, Some("c1"))];
    front.say(changes(3, 5, ordered));
    let (upto, told) = said(front.refuse("a", "no such limit")).unwrap();
    assert_eq!(upto, 5);
    assert_eq!(told, ["fleet/a no such limit", "fleet/b ordered together with a value that is refused"]);
    assert_eq!(front.value("a"), Some((1, "one".into())), "the old one stays");
    assert_eq!(front.value("b"), Some((2, "b1".into())), "whole or not at all");
    assert_eq!(front.value("c"), Some((5, "c1".into())));
    front.say(changes(5, 6, vec![change("a", 6, Some("good")), change("b", 6, Some("b3"))]));
    assert_eq!(said(front.decide()), Some((6, vec![])), "a newer one that is taken ends it");
    assert_eq!(front.value("a"), Some((6, "good".into())));
}

#[test]
fn a_withdrawal_that_is_refused_leaves_the_value() {
    let mut front = Front::following(&[("a", 1, "one")], 3);
    front.say(changes(3, 4, vec![change("a", 4, None)]));
    assert_eq!(said(front.refuse("a", "in use")), Some((4, vec!["fleet/a in use".into()])));
    assert_eq!(front.value("a"), Some((1, "one".into())));
}

#[test]
fn a_value_refused_in_a_snapshot_leaves_the_old_one_in_force_at_the_host() {
    let mut front = Front::following(&[("a", 1, "one"), ("b", 2, "b1")], 3);
    front.snapshot(vec![change("a", 8, Some("bad")), change("b", 9, Some("b2"))], 9);
    let out = front.event(Event::Decided { refused: vec![(Key::new(Topic::Fleet, "a"), "no".into())] });
    let left = decides(&out).unwrap();
    assert_eq!(left, [("b".to_string(), 9), ("a".to_string(), 1)], "else a whole set would withdraw it");
    front.decide();
    assert_eq!(front.value("a"), Some((1, "one".into())));
    assert_eq!(front.subscriber.held().refused().len(), 1);
}

#[test]
fn an_order_with_a_value_refused_in_a_snapshot_falls_whole() {
    let mut front = Front::following(&[("a", 1, "one"), ("b", 2, "b1")], 3);
    front.snapshot(vec![change("a", 8, Some("bad")), change("b", 8, Some("b2"))], 9);
    front.refuse("a", "no");
    assert_eq!((front.value("a"), front.value("b")), (Some((1, "one".into())), Some((2, "b1".into()))));
}

#[test]
fn a_host_that_refuses_what_it_has_in_force_ends_all_the_same() {
    let mut front = Front::following(&[("a", 1, "one")], 3);
    front.done.clear();
    front.snapshot(vec![change("a", 8, Some("bad"))], 9);
    for _ in 0..3 {
        front.event(Event::Decided { refused: vec![(Key::new(Topic::Fleet, "a"), "no".into())] });
    }
    assert_eq!(said(front.done.clone()), Some((9, vec!["fleet/a no".into()])));
    assert_eq!(front.subscriber.held().refused().len(), 1);
    assert_eq!(front.subscriber.held().upto(), Index(9));
}

#[test]
fn refusals_are_told_to_a_relay_that_is_new() {
    let mut front = Front::following(&[("a", 1, "one")], 3);
    front.say(changes(3, 4, vec![change("a", 4, Some("bad"))]));
    front.refuse("a", "no");
    front.end();
    front.done.clear();
    front.connect();
    assert_eq!(said(front.done.clone()), Some((4, vec!["fleet/a no".into()])));
}

#[test]
fn a_relay_of_an_older_log_is_left_and_counted() {
    let mut front = Front::following(&[("a", 3, "three")], 3);
    front.end();
    front.connect_to(6);
    assert_eq!((front.follows(), front.subscriber.figures().foreign), (None, 1));
    assert_eq!(front.value("a"), Some((3, "three".into())));
    assert!(front.subscriber.alone().is_some());
}

#[test]
fn a_later_log_takes_the_place_of_all_that_was_held() {
    let mut front = Front::following(&[("a", 300, "three"), ("b", 7, "x")], 400);
    front.end();
    front.connect_to(8);
    assert_eq!(front.value("a"), Some((300, "three".into())), "until it is there whole");
    front.snapshot(vec![change("a", 2, Some("new"))], 2);
    front.decide();
    assert_eq!((front.value("a"), front.value("b")), (Some((2, "new".into())), None));
}

#[test]
fn a_relay_that_is_behind_gives_nothing_older_and_the_next_one_is_asked() {
    let mut front = Front::following(&[("a", 3, "three")], 10);
    front.subscriber.rescope(Scope::of([Topic::Shard(5)]), &mut vec![]);
    front.say(FromRelay::Subscribed { lineage: 7 });
    front.say(FromRelay::Piece { base: Index(9), first: true, last: true, entries: vec![] });
    assert_eq!((front.follows(), front.value("a")), (None, Some((3, "three".into()))));
    assert_eq!(front.connect_to(7).1, 1, "not the same one again");
}

#[test]
fn a_snapshot_with_an_older_value_in_it_is_left() {
    let mut front = Front::following(&[("a", 3, "three")], 10);
    front.snapshot(vec![change("a", 2, Some("older"))], 12);
    assert_eq!((front.follows(), front.value("a")), (None, Some((3, "three".into()))));
}

#[test]
fn what_changes_between_pieces_is_in_the_end_state() {
    let mut front = Front::fresh();
    front.connect();
    let piece = |first, last, entries| FromRelay::Piece { base: Index(5), first, last, entries };
    let out = front.say(piece(true, false, vec![change("a", 1, Some("a1")), change("b", 2, Some("b1"))]));
    assert!(matches!(&out[..], [Action::Send { message: ToRelay::Next, .. }]));
    front.say(piece(false, false, vec![change("c", 7, Some("c2"))]));
    // What has changed meanwhile may come in pieces too.
    front.say(piece(false, true, vec![change("b", 6, None), change("c", 4, Some("c1"))]));
    let out = front.say(changes(5, 8, vec![change("a", 8, Some("a2"))]));
    assert_eq!(decides(&out), Some(vec![("a".into(), 8), ("c".into(), 7)]));
    assert_eq!(said(front.decide()), Some((8, vec![])));
    assert_eq!((front.value("b"), front.value("c")), (None, Some((7, "c2".into()))));
}

#[test]
fn a_sum_that_differs_asks_for_all_and_what_was_on_its_way_is_passed_over() {
    let mut front = Front::following(&[("a", 3, "three")], 3);
    let out = front.say(FromRelay::Alive { upto: Index(3), sum: Some(1), alone: None });
    assert!(matches!(out.into_iter().find_map(sent), Some(ToRelay::Subscribe { from: Index(0), .. })));
    front.say(changes(3, 4, vec![change("a", 4, Some("four"))]));
    assert!(front.follows().is_some(), "that is no fault of the relay");
    assert_eq!(front.value("a"), Some((3, "three".into())));
    front.say(FromRelay::Subscribed { lineage: 7 });
    front.snapshot(vec![change("a", 4, Some("four"))], 4);
    front.decide();
    assert_eq!((front.value("a"), front.subscriber.figures().missed), (Some((4, "four".into())), 1));
}

#[test]
fn another_scope_while_something_is_decided_is_still_asked_for_whole() {
    let mut front = Front::following(&[("a", 3, "three")], 3);
    front.say(changes(3, 4, vec![change("a", 4, Some("four"))]));
    front.subscriber.rescope(Scope::of([Topic::Shard(5)]), &mut vec![]);
    front.decide();
    front.end();
    assert!(matches!(front.connect(), ToRelay::Subscribe { from: Index(0), .. }));
}

#[test]
fn refusals_are_told_to_a_new_relay_as_of_what_was_asked_for() {
    let mut front = Front::following(&[("a", 1, "one")], 3);
    front.say(changes(3, 4, vec![change("a", 4, Some("bad"))]));
    front.refuse("a", "no");
    front.say(changes(4, 9, vec![change("b", 9, Some("nine"))]));
    front.end();
    // It goes on deciding, and has decided when the new relay takes it on.
    let up = front.call();
    front.event(Event::Up { call: up });
    front.decide();
    let out = front.event(Event::Message { call: up, message: FromRelay::Subscribed { lineage: 7 } });
    assert_eq!(said(out).map(|(upto, _)| upto), Some(4), "the relay was told no more");
}

#[test]
fn what_comes_while_another_links_values_are_decided_waits() {
    let mut front = Front::following(&[("a", 3, "three")], 3);
    front.say(changes(3, 9, vec![change("a", 9, Some("nine"))]));
    front.end();
    front.connect();
    // The new relay is behind: it tells what the front is deciding on already.
    front.say(changes(3, 8, vec![change("a", 8, Some("eight"))]));
    let out = front.decide();
    assert_eq!(said(out), Some((8, vec![])), "to that relay, as far as it goes");
    assert_eq!((front.value("a"), front.follows().is_some()), (Some((9, "nine".into())), true));
}

#[test]
fn what_is_held_is_written_down_rarely() {
    let mut front = Front::following(&[("a", 1, "one")], 1);
    front.done.clear();
    for n in 2..=100 {
        front.say(changes(n - 1, n, vec![change("a", n, Some("x"))]));
        front.decide();
        front.now.0 += 50_000;
    }
    let kept = front.done.iter().filter(|a| matches!(a, Action::Keep(_))).count();
    assert_eq!(kept, 0, "within 5 s of the first");
    front.pass_time(1);
    assert!(front.kept().is_some());
}
