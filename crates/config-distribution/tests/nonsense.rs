//! Messages that make no sense, are old, or are somebody else's: they change nothing at a subscriber, and are counted.
mod common;
use cluster_types::Index;
use common::{change, Front};
use config_distribution::{Change, FromRelay, Key, Topic, VALUE};
use rstest::rstest;

fn changes(from: u64, upto: u64, changes: Vec<Change>) -> FromRelay {
    FromRelay::Changes { from: Index(from), upto: Index(upto), changes }
}

#[rstest]
#[case::replayed(changes(0, 3, vec![change("a", 1, Some("one"))]))]
#[case::older(changes(1, 2, vec![change("a", 2, Some("old"))]))]
#[case::older_beside_newer(changes(1, 4, vec![change("a", 2, Some("old"))]))]
#[case::a_gap(changes(4, 6, vec![change("a", 5, Some("new"))]))]
#[case::beyond_its_end(changes(3, 4, vec![change("a", 5, Some("new"))]))]
#[case::before_its_beginning(changes(3, 4, vec![change("a", 3, Some("new"))]))]
#[case::backwards(changes(3, 2, vec![]))]
#[case::another_scope(changes(3, 4, vec![Change { key: Key::new(Topic::Shard(2), "box"), ..change("a", 4, Some("x")) }]))]
#[case::oversized(changes(3, 4, vec![Change { value: Some(vec![0; VALUE + 1].into()), ..change("a", 4, None) }]))]
#[case::a_long_name(changes(3, 4, vec![Change { key: Key::new(Topic::Fleet, &"x".repeat(65)), ..change("a", 4, Some("x")) }]))]
#[case::a_piece_out_of_turn(FromRelay::Piece { base: Index(9), first: false, last: true, entries: vec![] })]
#[case::subscribed_twice(FromRelay::Subscribed { lineage: 7 })]
#[case::another_log(FromRelay::Subscribed { lineage: 9 })]
fn what_makes_no_sense_changes_nothing(#[case] message: FromRelay) {
    let mut front = Front::following(&[("a", 3, "three")], 3);
    let (kept, bad) = (front.kept(), front.subscriber.figures().bad);
    let is_newer = matches!(&message, FromRelay::Changes { upto, .. } if *upto == Index(4));
    front.say(message);
    front.decide();
    assert_eq!(front.value("a"), Some((3, "three".into())));
    assert_eq!(front.subscriber.held().len(), 1);
    assert_eq!(front.kept(), kept);
    let counted = front.subscriber.figures().bad - bad;
    // A value that is old in a message that isn't is passed over.
    assert!(counted == 1 || is_newer && front.follows().is_some(), "counted {counted} times");
}
