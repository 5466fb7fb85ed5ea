//! Sending snapshots in chunks.
mod common;
use common::relay::{message_count, sent_changes, sent_chunks, shard_scope, TestRelay};
use config_distribution::{
    Change, Class, RateLimit, RelayAction, RelayMessage, Settings, SubscriberMessage, Topic,
};
use std::collections::BTreeMap;

/// The values that result from all chunks and the changes that complete them.
fn staged_values(actions: &[RelayAction]) -> Vec<Change> {
    let mut staged = BTreeMap::new();
    for action in actions {
        let RelayAction::Send { message, .. } = action else { continue };
        if let RelayMessage::SnapshotChunk { entries: changes, .. } | RelayMessage::Changes { changes, .. } =
            message
        {
            for change in changes {
                let newest = staged.entry(change.key.clone()).or_insert(change);
                *newest = if change.version > newest.version { change } else { newest };
            }
        }
    }
    staged.into_values().filter(|change| change.value.is_some()).cloned().collect()
}

/// A relay with a live subscriber of shard 1 on connection 1, as of version 1.
fn relay_with_live_subscriber() -> TestRelay {
    let mut relay = TestRelay::new();
    relay.write_primary();
    relay.subscribe(1, shard_scope(1), 1);
    relay
}

#[test]
fn sends_snapshot_to_subscriber_too_far_behind() {
    let mut relay = relay_with_live_subscriber();
    relay.write_primary();
    for n in 0..20 {
        relay.write_setting(&format!("s{n}"), &[0; 10_000]);
    }
    let mut actions = relay.acknowledge(1, 2);
    actions.extend(relay.wait(2_100));
    assert_eq!(sent_changes(&actions, 1), []);
    assert_eq!((relay.inner.stats().resnapshots, sent_chunks(&actions, 1).len()), (1, 1));
}

#[test]
fn sends_confirmed_chunks_and_completes_snapshot_despite_changes() {
    let mut relay = TestRelay::new();
    (0..20).for_each(|n| drop(relay.write_setting(&format!("s{n:02}"), &[0; 10_000])));
    let mut actions = relay.subscribe(1, shard_scope(1), 0);
    let (mut all, mut rounds) = (vec![], 0);
    loop {
        actions.extend(relay.wait(20));
        let new = sent_chunks(&actions, 1);
        assert_eq!(new.len(), 1, "one at a time");
        assert!(new[0].bytes <= Settings::default().chunk_bytes);
        let completion = sent_changes(&actions, 1);
        all.extend(new);
        if let Some((from, up_to, names)) = completion.first() {
            assert_eq!((*from, *up_to), (20, relay.version));
            assert!(names.len() <= 7, "{}: six values and the deletion have 64 KiB", names.len());
            break;
        }
        // Keys that were already sent change, and one is deleted.
        if rounds < 12 {
            relay.write_setting(&format!("s{:02}", rounds % 5), &[1; 10_000]);
            relay.write_setting(&format!("s{:02}", 10 + rounds % 5), &[1; 10_000]);
        }
        relay.write(Class::Configuration, Topic::Shard(1), "s01", None);
        rounds += 1;
        actions = relay.receive(1, SubscriberMessage::NextChunk);
    }
    assert!(all[0].is_first && all.iter().skip(1).all(|chunk| !chunk.is_first));
    assert!(all.last().unwrap().is_last && all.iter().rev().skip(1).all(|chunk| !chunk.is_last));
    assert!(all.len() > 7, "{}", all.len());
    let expected = relay.inner.catalogue().chunk(&shard_scope(1), None, usize::MAX).entries;
    assert_eq!(staged_values(&relay.actions), expected, "without the key that was deleted between chunks");
}

#[test]
fn sends_heartbeats_while_chunk_waits_for_tokens() {
    let mut relay = TestRelay::with_settings(Settings {
        subscription_rate: RateLimit { bytes_per_second: 1_000.0, burst_bytes: 40_000.0 },
        ..Settings::default()
    });
    (0..20).for_each(|n| drop(relay.write_setting(&format!("s{n:02}"), &[0; 10_000])));
    relay.subscribe(1, shard_scope(1), 0);
    relay.subscribe(2, shard_scope(1), 0);
    // The tokens are used up: the next chunk is due in 20 s.
    assert_eq!(sent_chunks(&relay.receive(1, SubscriberMessage::NextChunk), 1), []);
    let mut silent_ms = 0;
    for _ in 0..40 {
        let actions = relay.wait(500);
        silent_ms = if message_count(&actions, 1) == 0 { silent_ms + 500 } else { 0 };
        assert!(silent_ms < 2_500, "the subscriber would consider the relay dead");
    }
}
