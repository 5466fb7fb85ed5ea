//! Tests that updates are sent a limited number of times, those sent least often first.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use membership::update_queue::{OfferOutcome, UpdateKey, UpdateQueue};
use std::collections::BTreeMap;

/// Asserts that the queue is empty and offers no updates.
fn assert_offers_nothing(queue: &mut UpdateQueue) {
    assert!(queue.is_empty());
    queue.fill_packet(4, |key| panic!("{key:?} is still in the order"));
}

#[test]
fn sends_each_update_equally_often_and_least_sent_first() {
    let mut queue = UpdateQueue::default();
    for index in 0..10 {
        queue.push(UpdateKey::Member(format!("m{index}").as_str().into()));
    }
    let mut times: BTreeMap<UpdateKey, u32> = BTreeMap::new();
    while !queue.is_empty() {
        let mut space = 3;
        queue.fill_packet(4, |key| {
            let fits = space > 0;
            if fits {
                space -= 1;
                *times.entry(key.clone()).or_default() += 1;
            }
            OfferOutcome::from_fit(fits)
        });
        let (low, high) = (times.values().min(), times.values().max());
        assert!(times.len() < 10 || high.unwrap() - low.unwrap() <= 1);
    }
    assert_eq!(times.len(), 10);
    assert!(times.values().all(|count| *count == 4));
    assert_offers_nothing(&mut queue);
}

#[test]
fn removes_obsolete_update() {
    let mut queue = UpdateQueue::default();
    queue.push(UpdateKey::Member("m".into()));
    queue.fill_packet(4, |_| OfferOutcome::Obsolete);
    assert_offers_nothing(&mut queue);
}
