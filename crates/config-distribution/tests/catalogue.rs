//! What a catalogue holds, tells, and leaves out.
use cluster_types::Index;
use config_distribution::{Catalogue, Change, Class, Key, Order, Put, Scope, Since, Topic};
use proptest::prelude::*;
use std::collections::BTreeMap;

type Model = BTreeMap<Key, (Index, Option<Vec<u8>>)>;

fn topic(n: u8) -> Topic {
    match n {
        0 => Topic::Fleet,
        1 => Topic::Region("region-a".into()),
        2 => Topic::Zone("zone-a".into()),
        4 => Topic::Volume("0000000000000001".into()),
        _ => Topic::Shard(u32::from(n)),
    }
}

fn put(topic: Topic, name: &str, value: Option<&[u8]>) -> Put {
    Put { class: Class::Configuration, key: Key::new(topic, name), value: value.map(Into::into) }
}

prop_compose! {
    fn orders()(all in prop::collection::vec(
        prop::collection::btree_map((0u8..10, 0u8..4), prop::option::weighted(0.8, prop::collection::vec(any::<u8>(), 0..40)), 1..5),
        1..40,
    )) -> Vec<Order> {
        let one = |((t, n), value): ((u8, u8), Option<Vec<u8>>)| put(topic(t), &format!("key-{n}"), value.as_deref());
        all.into_iter().map(|puts| Order { puts: puts.into_iter().map(one).collect() }).collect()
    }
}

fn model(orders: &[Order]) -> Model {
    let mut model = Model::new();
    for (n, order) in orders.iter().enumerate() {
        for put in &order.puts {
            model.insert(put.key.clone(), (Index(n as u64 + 1), put.value.as_ref().map(|v| v.to_vec())));
        }
    }
    model
}

fn applied(orders: &[Order]) -> Catalogue {
    let mut catalogue = Catalogue::new(7);
    for (n, order) in orders.iter().enumerate() {
        catalogue.apply(Index(n as u64 + 1), order);
    }
    catalogue
}

fn scopes() -> [Scope; 3] {
    [Scope::Everything, Scope::of([]), Scope::of([topic(3), topic(1), topic(4)])]
}

proptest! {
    #[test]
    fn of_each_key_the_newest_is_held(orders in orders()) {
        let catalogue = applied(&orders);
        for (key, (version, value)) in model(&orders) {
            let held = catalogue.get(&key).map(|(v, value)| (v, value.to_vec()));
            prop_assert_eq!(held, value.map(|value| (version, value)));
        }
    }

    #[test]
    fn any_order_of_takes_gives_the_same(orders in orders(), seed in any::<u64>()) {
        let catalogue = applied(&orders);
        let Since::Changes(mut changes) = catalogue.since(&Scope::Everything, Index(0), usize::MAX) else {
            return Err(TestCaseError::fail("all can be told"));
        };
        // Older ones between them too, and some twice.
        let old = orders.iter().enumerate().flat_map(|(n, order)| order.puts.iter().map(move |put| Change {
            version: Index(n as u64 + 1), class: put.class, key: put.key.clone(), value: put.value.clone(),
        }));
        changes.extend(old);
        let place = |c: &Change| { let mut h = c.version.0.wrapping_mul(seed | 1); h ^= h >> 7; h.wrapping_mul(c.key.to_string().len() as u64) };
        changes.sort_by_key(place);
        let mut other = Catalogue::new(7);
        changes.chunks(3).for_each(|some| other.take(some, catalogue.applied()));
        for scope in scopes() {
            prop_assert_eq!(other.sum(&scope), catalogue.sum(&scope));
        }
        prop_assert_eq!(other.size(), catalogue.size());
    }

    #[test]
    fn changes_since_any_version_lead_to_the_same(orders in orders(), from in 0usize..40) {
        let (before, after) = (applied(&orders[..from.min(orders.len())]), applied(&orders));
        for scope in scopes() {
            let Since::Changes(changes) = after.since(&scope, before.applied(), usize::MAX) else {
                return Err(TestCaseError::fail("all can be told"));
            };
            prop_assert!(changes.windows(2).all(|two| two[0].version <= two[1].version));
            let mut led = before.clone();
            led.take(&changes, after.applied());
            prop_assert_eq!(led.sum(&scope), after.sum(&scope));
        }
    }

    #[test]
    fn pieces_of_any_size_hold_all_that_a_scope_has(orders in orders(), size in 1usize..400) {
        let catalogue = applied(&orders);
        for scope in scopes() {
            let (mut after, mut all) = (None, vec![]);
            loop {
                let (piece, next) = catalogue.piece(&scope, after.as_ref(), size);
                let bytes: usize = piece.iter().map(Change::bytes).sum();
                prop_assert!(piece.len() <= 1 || bytes <= size);
                all.extend(piece);
                after = next;
                if after.is_none() { break }
            }
            let model = model(&orders);
            let live: Vec<&Key> = model.iter().filter(|(k, (_, v))| v.is_some() && scope.holds(&k.topic)).map(|(k, _)| k).collect();
            prop_assert_eq!(all.iter().map(|c| &c.key).collect::<Vec<_>>(), live);
        }
    }

    #[test]
    fn the_sum_leaves_withdrawn_keys_out(orders in orders()) {
        let catalogue = applied(&orders);
        let mut snapshot = Catalogue::new(0);
        snapshot.restore(7, &catalogue.piece(&Scope::Everything, None, usize::MAX).0, catalogue.applied());
        for scope in scopes() {
            prop_assert_eq!(snapshot.sum(&scope), catalogue.sum(&scope));
        }
        prop_assert_eq!(snapshot.floor(), catalogue.applied(), "what was before it can't be told");
    }
}

#[test]
fn an_entry_that_was_taken_in_before_changes_nothing() {
    let order = Order { puts: vec![put(Topic::Fleet, "a", Some(b"1"))] };
    let mut catalogue = Catalogue::new(7);
    assert_eq!(catalogue.apply(Index(5), &order).len(), 1);
    assert_eq!(catalogue.apply(Index(5), &order), vec![]);
    assert_eq!(catalogue.apply(Index(4), &order), vec![]);
    assert_eq!(catalogue.get(&Key::new(Topic::Fleet, "a")).map(|(v, _)| v), Some(Index(5)));
}

#[test]
fn withdrawn_keys_are_forgotten_in_the_end_and_then_a_snapshot_is_due() {
    let mut catalogue = Catalogue::new(7);
    for n in 0..10_000u64 {
        let name = format!("key-{}", n / 2);
        let value: Option<&[u8]> = (n % 2 == 0).then_some(b"x");
        catalogue.apply(Index(n + 1), &Order { puts: vec![put(Topic::Fleet, &name, value)] });
    }
    assert_eq!(catalogue.size(), (0, 0));
    assert_eq!(catalogue.since(&Scope::of([]), Index(1), usize::MAX), Since::Snapshot);
    assert!(
        matches!(catalogue.since(&Scope::of([]), catalogue.floor(), usize::MAX), Since::Changes(c) if c.len() == 4_096)
    );
    assert_eq!(catalogue.sum(&Scope::Everything), Catalogue::new(7).sum(&Scope::Everything));
}

#[test]
fn more_than_was_asked_for_becomes_a_snapshot() {
    let mut catalogue = Catalogue::new(7);
    for n in 1..=10 {
        catalogue
            .apply(Index(n), &Order { puts: vec![put(Topic::Fleet, &format!("k{n}"), Some(&[0; 1_000]))] });
    }
    assert_eq!(catalogue.since(&Scope::Everything, Index(0), 5_000), Since::Snapshot);
    assert!(
        matches!(catalogue.since(&Scope::Everything, Index(7), 5_000), Since::Changes(c) if c.len() == 3)
    );
}
