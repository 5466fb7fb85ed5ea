//! Values that the host of a subscriber rejects.
mod common;
use cluster_types::Index;
use common::{acknowledgement, change, changes, requested_values, TestHost};
use config_distribution::{Key, RelayMessage, SubscriberEvent, Topic};

#[test]
fn rejected_value_rejects_its_batch_but_not_later_ones() {
    let mut host = TestHost::following(&[("a", 1, "one"), ("b", 2, "b1")], 3);
    let batches = vec![change("a", 4, Some("bad")), change("b", 4, Some("b2")), change("c", 5, Some("c1"))];
    host.receive(changes(3, 5, batches));
    let (up_to, rejected) = acknowledgement(host.reject("a", "no such limit")).unwrap();
    assert_eq!(up_to, 5);
    assert_eq!(rejected, ["fleet/a no such limit", "fleet/b ordered together with a value that is refused"]);
    assert_eq!(host.value("a"), Some((1, "one".into())), "the old value is kept");
    assert_eq!(host.value("b"), Some((2, "b1".into())), "a batch is applied completely or not at all");
    assert_eq!(host.value("c"), Some((5, "c1".into())));
    host.receive(changes(5, 6, vec![change("a", 6, Some("good")), change("b", 6, Some("b3"))]));
    assert_eq!(
        acknowledgement(host.accept()),
        Some((6, vec![])),
        "an accepted newer value ends the rejection"
    );
    assert_eq!(host.value("a"), Some((6, "good".into())));
}

#[test]
fn rejected_deletion_leaves_value() {
    let mut host = TestHost::following(&[("a", 1, "one")], 3);
    host.receive(changes(3, 4, vec![change("a", 4, None)]));
    assert_eq!(acknowledgement(host.reject("a", "in use")), Some((4, vec!["fleet/a in use".into()])));
    assert_eq!(host.value("a"), Some((1, "one".into())));
}

#[test]
fn value_rejected_in_snapshot_leaves_old_value_applied() {
    let mut host = TestHost::following(&[("a", 1, "one"), ("b", 2, "b1")], 3);
    host.receive_snapshot(vec![change("a", 8, Some("bad")), change("b", 9, Some("b2"))], 9);
    let actions = host.handle(SubscriberEvent::ApplyFinished {
        rejected: vec![(Key::new(Topic::Fleet, "a"), "no".into())],
    });
    let rest = requested_values(&actions).unwrap();
    assert_eq!(
        rest,
        [("b".to_string(), 9), ("a".to_string(), 1)],
        "or the snapshot would delete the old value"
    );
    host.accept();
    assert_eq!(host.value("a"), Some((1, "one".into())));
    assert_eq!(host.subscriber.state().rejections().len(), 1);
}

#[test]
fn value_rejected_in_snapshot_rejects_its_batch() {
    let mut host = TestHost::following(&[("a", 1, "one"), ("b", 2, "b1")], 3);
    host.receive_snapshot(vec![change("a", 8, Some("bad")), change("b", 8, Some("b2"))], 9);
    host.reject("a", "no");
    assert_eq!((host.value("a"), host.value("b")), (Some((1, "one".into())), Some((2, "b1".into()))));
}

#[test]
fn terminates_when_host_rejects_retained_value() {
    let mut host = TestHost::following(&[("a", 1, "one")], 3);
    host.actions.clear();
    host.receive_snapshot(vec![change("a", 8, Some("bad"))], 9);
    for _ in 0..3 {
        host.handle(SubscriberEvent::ApplyFinished {
            rejected: vec![(Key::new(Topic::Fleet, "a"), "no".into())],
        });
    }
    assert_eq!(acknowledgement(host.actions.clone()), Some((9, vec!["fleet/a no".into()])));
    assert_eq!(host.subscriber.state().rejections().len(), 1);
    assert_eq!(host.subscriber.state().up_to(), Index(9));
}

#[test]
fn sends_rejections_to_new_relay() {
    let mut host = TestHost::following(&[("a", 1, "one")], 3);
    host.receive(changes(3, 4, vec![change("a", 4, Some("bad"))]));
    host.reject("a", "no");
    host.disconnect();
    host.actions.clear();
    host.connect();
    assert_eq!(acknowledgement(host.actions.clone()), Some((4, vec!["fleet/a no".into()])));
}

#[test]
fn acknowledges_rejections_to_new_relay_at_requested_version() {
    let mut host = TestHost::following(&[("a", 1, "one")], 3);
    host.receive(changes(3, 4, vec![change("a", 4, Some("bad"))]));
    host.reject("a", "no");
    host.receive(changes(4, 9, vec![change("b", 9, Some("nine"))]));
    host.disconnect();
    // The host finishes applying before the new relay accepts the subscription.
    let connection = host.next_attempt().0;
    host.handle(SubscriberEvent::Connected { connection });
    host.accept();
    let actions =
        host.handle(SubscriberEvent::Message { connection, message: RelayMessage::Subscribed { log_id: 7 } });
    assert_eq!(
        acknowledgement(actions).map(|(up_to, _)| up_to),
        Some(4),
        "the version that the relay was asked for"
    );
}
