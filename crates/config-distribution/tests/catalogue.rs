//! The contents of a catalogue, and the changes, chunks and checksums that it provides.
use cluster_types::Index;
use config_distribution::{
    Catalogue, CatalogueSize, Change, ChangesSince, Class, Key, Put, Scope, Topic, WriteBatch,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

type Model = BTreeMap<Key, (Index, Option<Vec<u8>>)>;

fn topic(number: u8) -> Topic {
    match number {
        0 => Topic::Fleet,
        1 => Topic::Region("region-a".into()),
        2 => Topic::Zone("zone-a".into()),
        4 => Topic::Volume("0000000000000001".into()),
        _ => Topic::Shard(u32::from(number)),
    }
}

fn put(topic: Topic, name: &str, value: Option<&[u8]>) -> Put {
    Put { class: Class::Configuration, key: Key::new(topic, name), value: value.map(Into::into) }
}

prop_compose! {
    fn batches()(all in prop::collection::vec(
        prop::collection::btree_map((0u8..10, 0u8..4), prop::option::weighted(0.8, prop::collection::vec(any::<u8>(), 0..40)), 1..5),
        1..40,
    )) -> Vec<WriteBatch> {
        let one = |((t, n), value): ((u8, u8), Option<Vec<u8>>)| put(topic(t), &format!("key-{n}"), value.as_deref());
        all.into_iter().map(|puts| WriteBatch { puts: puts.into_iter().map(one).collect() }).collect()
    }
}

fn model(batches: &[WriteBatch]) -> Model {
    let mut model = Model::new();
    for (n, batch) in batches.iter().enumerate() {
        for put in &batch.puts {
            model.insert(put.key.clone(), (Index(n as u64 + 1), put.value.as_ref().map(|v| v.to_vec())));
        }
    }
    model
}

fn catalogue_of(batches: &[WriteBatch]) -> Catalogue {
    let mut catalogue = Catalogue::new(7);
    for (n, batch) in batches.iter().enumerate() {
        catalogue.apply(Index(n as u64 + 1), batch);
    }
    catalogue
}

fn scopes() -> [Scope; 3] {
    [Scope::Everything, Scope::of([]), Scope::of([topic(3), topic(1), topic(4)])]
}

proptest! {
    #[test]
    fn holds_newest_value_of_each_key(batches in batches()) {
        let catalogue = catalogue_of(&batches);
        for (key, (version, value)) in model(&batches) {
            let held = catalogue.get(&key).map(|(version, value)| (version, value.to_vec()));
            prop_assert_eq!(held, value.map(|value| (version, value)));
        }
    }

    #[test]
    fn merging_in_any_order_gives_same_state(batches in batches(), seed in any::<u64>()) {
        let catalogue = catalogue_of(&batches);
        let ChangesSince::Changes(mut changes) = catalogue.changes_since(&Scope::Everything, Index(0), usize::MAX) else {
            return Err(TestCaseError::fail("the history is complete"));
        };
        // Includes older changes, and some changes twice.
        let old = batches.iter().enumerate().flat_map(|(n, batch)| batch.puts.iter().map(move |put| Change {
            version: Index(n as u64 + 1), class: put.class, key: put.key.clone(), value: put.value.clone(),
        }));
        changes.extend(old);
        let shuffled = |change: &Change| {
            let mut hash = change.version.0.wrapping_mul(seed | 1);
            hash ^= hash >> 7;
            hash.wrapping_mul(change.key.to_string().len() as u64)
        };
        changes.sort_by_key(shuffled);
        let mut other = Catalogue::new(7);
        changes.chunks(3).for_each(|some| other.merge(some, catalogue.applied()));
        for scope in scopes() {
            prop_assert_eq!(other.checksum(&scope), catalogue.checksum(&scope));
        }
        prop_assert_eq!(other.size(), catalogue.size());
    }

    #[test]
    fn changes_since_any_version_give_current_state(batches in batches(), from in 0usize..40) {
        let (before, after) = (catalogue_of(&batches[..from.min(batches.len())]), catalogue_of(&batches));
        for scope in scopes() {
            let ChangesSince::Changes(changes) = after.changes_since(&scope, before.applied(), usize::MAX) else {
                return Err(TestCaseError::fail("the history is complete"));
            };
            prop_assert!(changes.windows(2).all(|two| two[0].version <= two[1].version));
            let mut updated = before.clone();
            updated.merge(&changes, after.applied());
            prop_assert_eq!(updated.checksum(&scope), after.checksum(&scope));
        }
    }

    #[test]
    fn chunks_of_any_size_cover_scope(batches in batches(), size in 1usize..400) {
        let catalogue = catalogue_of(&batches);
        for scope in scopes() {
            let (mut after, mut all) = (None, vec![]);
            loop {
                let chunk = catalogue.chunk(&scope, after.as_ref(), size);
                let bytes: usize = chunk.entries.iter().map(Change::bytes).sum();
                prop_assert!(chunk.entries.len() <= 1 || bytes <= size);
                all.extend(chunk.entries);
                after = chunk.next_after;
                if after.is_none() { break }
            }
            let model = model(&batches);
            let live: Vec<&Key> = model.iter().filter(|(k, (_, v))| v.is_some() && scope.contains(&k.topic)).map(|(k, _)| k).collect();
            prop_assert_eq!(all.iter().map(|entry| &entry.key).collect::<Vec<_>>(), live);
        }
    }

    #[test]
    fn checksum_excludes_deleted_keys(batches in batches()) {
        let catalogue = catalogue_of(&batches);
        let mut snapshot = Catalogue::new(0);
        snapshot.restore(7, &catalogue.chunk(&Scope::Everything, None, usize::MAX).entries, catalogue.applied());
        for scope in scopes() {
            prop_assert_eq!(snapshot.checksum(&scope), catalogue.checksum(&scope));
        }
        prop_assert_eq!(snapshot.floor(), catalogue.applied(), "there is no history before it");
    }
}

#[test]
fn ignores_entry_applied_before() {
    let batch = WriteBatch { puts: vec![put(Topic::Fleet, "a", Some(b"1"))] };
    let mut catalogue = Catalogue::new(7);
    assert_eq!(catalogue.apply(Index(5), &batch).len(), 1);
    assert_eq!(catalogue.apply(Index(5), &batch), vec![]);
    assert_eq!(catalogue.apply(Index(4), &batch), vec![]);
    assert_eq!(catalogue.get(&Key::new(Topic::Fleet, "a")).map(|(version, _)| version), Some(Index(5)));
}

#[test]
fn drops_oldest_tombstones_and_then_requires_snapshot() {
    let mut catalogue = Catalogue::new(7);
    for n in 0..10_000u64 {
        let name = format!("key-{}", n / 2);
        let value: Option<&[u8]> = (n % 2 == 0).then_some(b"x");
        catalogue.apply(Index(n + 1), &WriteBatch { puts: vec![put(Topic::Fleet, &name, value)] });
    }
    assert_eq!(catalogue.size(), CatalogueSize { keys: 0, value_bytes: 0 });
    assert_eq!(catalogue.changes_since(&Scope::of([]), Index(1), usize::MAX), ChangesSince::SnapshotRequired);
    assert!(
        matches!(catalogue.changes_since(&Scope::of([]), catalogue.floor(), usize::MAX), ChangesSince::Changes(c) if c.len() == 4_096)
    );
    assert_eq!(catalogue.checksum(&Scope::Everything), Catalogue::new(7).checksum(&Scope::Everything));
}

#[test]
fn requires_snapshot_beyond_requested_size() {
    let mut catalogue = Catalogue::new(7);
    for n in 1..=10 {
        catalogue.apply(
            Index(n),
            &WriteBatch { puts: vec![put(Topic::Fleet, &format!("k{n}"), Some(&[0; 1_000]))] },
        );
    }
    assert_eq!(catalogue.changes_since(&Scope::Everything, Index(0), 5_000), ChangesSince::SnapshotRequired);
    assert!(
        matches!(catalogue.changes_since(&Scope::Everything, Index(7), 5_000), ChangesSince::Changes(c) if c.len() == 3)
    );
}
