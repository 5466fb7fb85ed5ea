//! Which relay a subscriber calls, when it leaves one, and what it knows of its age.
mod common;
use backoff::{Failure, IDLE_TIMEOUT_US};
use cluster_types::Index;
use common::{change, Front};
use config_distribution::{Action, Event, FromRelay};

#[test]
fn a_relay_that_says_nothing_is_left_for_the_next_and_the_age_of_what_is_held_can_be_seen() {
    let mut front = Front::following(&[("a", 1, "one")], 1);
    let heard = front.now;
    front.now.0 += IDLE_TIMEOUT_US as u64;
    front.event(Event::Tick);
    assert_eq!(front.subscriber.alone(), Some(heard));
    assert_eq!(front.value("a"), Some((1, "one".into())), "what was last known stays");
    assert_eq!(front.connect_to(7).1, 1);
    assert_eq!(front.subscriber.alone(), None);
}

#[test]
fn a_relay_that_is_alone_itself_says_so() {
    let mut front = Front::following(&[("a", 1, "one")], 1);
    let alone = |seconds: Option<u64>| FromRelay::Alive {
        upto: Index(1),
        sum: None,
        alone: seconds.map(std::time::Duration::from_secs),
    };
    let since = front.now - std::time::Duration::from_secs(9);
    front.say(alone(Some(9)));
    assert_eq!(front.subscriber.alone(), Some(since));
    front.end();
    assert_eq!(front.subscriber.alone(), Some(since), "it knows no better");
    front.connect();
    front.say(alone(None));
    assert_eq!(front.subscriber.alone(), None);
}

#[test]
fn one_turned_away_asks_the_next_later() {
    let mut front = Front::fresh();
    let Some(Action::Connect { call, relay: 0 }) = (0..100).find_map(|_| {
        front.now.0 += 50_000;
        front.event(Event::Tick).into_iter().find(|a| matches!(a, Action::Connect { .. }))
    }) else {
        panic!("it calls the first")
    };
    front.event(Event::Up { call });
    front.event(Event::Message { call, message: FromRelay::Later });
    front.event(Event::Down { call, failure: Failure::Ended });
    assert_eq!(front.connect_to(7).1, 1);
}

#[test]
fn a_snapshot_that_comes_while_something_is_decided_waits_whole() {
    let mut front = Front::following(&[("a", 3, "three")], 3);
    let changes = vec![change("a", 4, Some("four"))];
    front.say(FromRelay::Changes { from: Index(3), upto: Index(4), changes });
    front.end();
    front.connect();
    // Its last piece and what makes it whole come together.
    front.snapshot(vec![change("b", 6, Some("six"))], 6);
    let out = front.decide();
    assert!(matches!(&out[..], [Action::Decide { whole: true, changes }] if changes.len() == 1), "{out:?}");
    front.decide();
    assert_eq!((front.value("a"), front.value("b")), (None, Some((6, "six".into()))));
}
