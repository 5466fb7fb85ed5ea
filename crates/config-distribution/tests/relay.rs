//! What a relay sends to whom, and whom it cuts off.
mod common;
use cluster_types::Index;
use common::served::{changes, closed, pieces, shard, told, Served};
use config_distribution::{
    Catalogue, Cut, FromRelay, Key, Refusal, RelayAction, RelayEvent, Scope, Settings, ToRelay, Topic,
};
use rstest::rstest;

/// One live subscriber for shard 1 on link 1, as of version 1.
fn live() -> Served {
    let mut served = Served::new();
    served.primary();
    let out = served.join(1, shard(1), 1);
    assert_eq!(told(&out, 1), 1, "nothing has come since");
    served
}

#[test]
fn a_primary_goes_out_at_once_and_to_those_whom_it_concerns() {
    let mut served = live();
    served.join(2, shard(2), 1);
    let out = served.primary();
    assert_eq!(changes(&out, 1), [(1, 2, vec!["box".to_string()])]);
    assert_eq!(changes(&out, 2), []);
}

#[test]
fn configuration_is_gathered_and_the_newest_of_a_key_wins() {
    let mut served = live();
    for n in 0..5u8 {
        let out = served.setting("limit", &[n]);
        assert_eq!(changes(&out, 1), []);
        served.wait(100);
    }
    served.setting("other", b"x");
    let out = served.wait(2_000);
    assert_eq!(changes(&out, 1), [(1, 7, vec!["limit".to_string(), "other".to_string()])]);
}

#[test]
fn a_primary_takes_along_what_waits() {
    let mut served = live();
    served.setting("limit", b"x");
    let out = served.primary();
    assert_eq!(changes(&out, 1), [(1, 3, vec!["limit".to_string(), "box".to_string()])]);
    assert_eq!(changes(&served.wait(3_000), 1), []);
}

#[test]
fn nothing_more_is_sent_before_the_answer_and_then_all_that_is_newest() {
    let mut served = live();
    served.primary();
    for n in 0..100u8 {
        assert_eq!(changes(&served.setting("limit", &[n]), 1), []);
        assert_eq!(changes(&served.primary(), 1), []);
    }
    let out = served.decided(1, 2);
    assert_eq!(changes(&out, 1), [(2, 202, vec!["limit".to_string(), "box".to_string()])]);
}

#[test]
fn one_that_does_not_answer_is_cut_off_and_holds_up_nobody() {
    let mut served = live();
    served.join(2, shard(1), 1);
    served.primary();
    served.decided(2, 2);
    let out = served.primary();
    assert_eq!(changes(&out, 2).len(), 1);
    served.decided(2, 3);
    let out = served.wait(6_100);
    assert_eq!((closed(&out, 1), closed(&out, 2)), (Some(Cut::Slow), None));
    assert!(told(&out, 1) >= 2, "it heard all the while that the relay is there");
    assert_eq!(served.relay.figures().slow, 1);
}

#[test]
fn what_is_no_answer_makes_nobody_quicker() {
    let mut served = live();
    served.primary();
    for _ in 0..10 {
        served.wait(700);
        served.decided(1, 1);
    }
    assert_eq!(closed(&served.out, 1), Some(Cut::Slow));
}

#[test]
fn one_that_is_ahead_of_its_relay_is_given_nothing_older_and_owes_nothing() {
    let mut served = live();
    let out = served.join(2, shard(1), 5);
    assert!(matches!(&out[..], [RelayAction::Send { message: FromRelay::Subscribed { .. }, .. }]), "{out:?}");
    (0..4).for_each(|n| drop(served.setting(&format!("s{n}"), b"x")));
    // Also while they are gathered.
    served.wait(1_200);
    let known = served.relay.fleet().all().next().unwrap().clone();
    assert!(known.worst.iter().all(|lag| *lag.front != *"front-2"), "{known:?}");
    let out = served.wait(12_000);
    assert_eq!(changes(&out, 2), []);
    let known = served.relay.fleet().all().next().unwrap().clone();
    assert!(known.worst.iter().all(|lag| *lag.front != *"front-2"), "{known:?}");
    assert_eq!(changes(&served.primary(), 2), [(5, 6, vec!["box".to_string()])]);
}

#[test]
fn one_of_another_log_is_given_a_snapshot() {
    let mut served = live();
    served.event(RelayEvent::Joined { link: 3, name: "front-3".into() });
    let out = served.say(3, ToRelay::Subscribe { lineage: 6, scope: shard(1), from: Index(90) });
    assert_eq!(pieces(&out, 3).len(), 1);
    assert_eq!(changes(&out, 3), [(1, 1, vec![])]);
}

#[test]
fn a_relay_that_holds_nothing_yet_asks_to_come_later() {
    let mut served = Served::new();
    served.relay =
        config_distribution::Relay::new(Settings::default(), "relay-1", Catalogue::new(0), served.now);
    let out = served.join(1, shard(1), 0);
    assert_eq!(closed(&out, 1), Some(Cut::Later));
}

#[test]
fn it_serves_so_many_and_no_more() {
    let mut served = live();
    served.relay = config_distribution::Relay::new(
        Settings { most: 3, ..Settings::default() },
        "r",
        Catalogue::new(7),
        served.now,
    );
    let closed: Vec<_> = (1..=5).map(|link| closed(&served.join(link, shard(1), 1), link)).collect();
    assert_eq!(closed, [None, None, None, Some(Cut::Later), Some(Cut::Later)]);
    served.event(RelayEvent::Left { link: 2 });
    served.join(6, shard(1), 1);
    assert_eq!(served.relay.subscribed(), 3);
}

#[test]
fn a_front_that_comes_again_takes_the_place_of_itself() {
    let mut served = live();
    let out = served.event(RelayEvent::Joined { link: 2, name: "front-1".into() });
    assert_eq!(closed(&out, 1), Some(Cut::Replaced));
    served.event(RelayEvent::Left { link: 1 });
    served.say(2, ToRelay::Subscribe { lineage: 7, scope: shard(1), from: Index(1) });
    assert_eq!(changes(&served.primary(), 2).len(), 1);
}

fn refusals(count: usize, why: usize) -> ToRelay {
    let key = Key::new(Topic::Shard(1), "box");
    let one = Refusal { key, version: Index(1), why: "x".repeat(why) };
    ToRelay::Decided { upto: Index(1), refused: vec![one; count] }
}

#[rstest]
#[case::decided_ahead(ToRelay::Decided { upto: Index(9), refused: vec![] })]
#[case::too_many_refused(refusals(9, 3))]
#[case::a_long_why(refusals(1, 5_000))]
#[case::next_unasked(ToRelay::Next)]
#[case::a_report_of_no_relay(ToRelay::Report(common::report("front-1", 1, 1)))]
#[case::a_scope_without_the_fleet(ToRelay::Subscribe { lineage: 7, scope: Scope::Topics([].into()), from: Index(1) })]
#[case::a_scope_too_big(ToRelay::Subscribe { lineage: 7, scope: Scope::of((0..20_000).map(Topic::Shard)), from: Index(1) })]
fn what_makes_no_sense_is_counted_and_ends_the_connection(#[case] message: ToRelay) {
    let mut served = live();
    served.join(2, shard(1), 1);
    let out = served.say(1, message);
    assert_eq!((closed(&out, 1), served.relay.figures().bad), (Some(Cut::Bad), 1));
    assert_eq!(changes(&served.primary(), 2).len(), 1, "others go on");
}

#[test]
fn at_rest_a_sum_comes_now_and_then() {
    let mut served = live();
    let out = served.wait(21_000);
    let sums = |a: &&RelayAction| {
        matches!(a, RelayAction::Send { message: FromRelay::Alive { sum: Some(_), .. }, .. })
    };
    assert_eq!(out.iter().filter(sums).count(), 2);
    assert!((10..=13).contains(&told(&out, 1)));
}
