//! Tests that the replicated state machine applies a write batch once, and that snapshots of earlier versions can be read.
#![allow(clippy::unwrap_used)]
use cluster_types::Index;
use config_distribution::{Class, Key, Put, Scope, Topic, WriteBatch};
use coordination::state_machine::{Applied, CatalogueChange, Command, Entry, StateMachine};
use maintenance::{MaintenanceState, Rules};

fn entry(ticket: u64, command: Command) -> Vec<u8> {
    postcard::to_stdvec(&Entry { at_ms: 1_000, by: "front-1".into(), ticket, command }).unwrap()
}

fn write_batch(value: &str) -> Command {
    let value = Some(value.as_bytes().into());
    let key = Key::new(Topic::Fleet, "settings");
    Command::ChangeConfig(WriteBatch { puts: vec![Put { class: Class::Configuration, key, value }] })
}

#[test]
fn applies_repeated_write_batch_once_even_after_snapshot() {
    let mut state = StateMachine::new();
    assert_eq!(state.apply(Index(1), &entry(1, write_batch("early"))), Applied::default());
    let created = state.apply(Index(2), &entry(0, Command::CreateCatalogue));
    assert_eq!(created.catalogue, CatalogueChange::Replaced);
    let log_id = state.catalogue.log_id();
    let repeated = state.apply(Index(3), &entry(0, Command::CreateCatalogue));
    assert_eq!(repeated.catalogue, CatalogueChange::Unchanged);
    assert!(matches!(
        state.apply(Index(4), &entry(7, write_batch("one"))).catalogue,
        CatalogueChange::BatchApplied { version: Index(4), .. }
    ));
    state.apply(Index(5), &entry(8, write_batch("two")));
    let mut restored = StateMachine::restore(&state.snapshot().unwrap()).unwrap();
    for state in [&mut state, &mut restored] {
        assert_eq!(state.apply(Index(6), &entry(7, write_batch("one"))), Applied::default());
        let key = Key::new(Topic::Fleet, "settings");
        let (version, value) = state.catalogue.get(&key).unwrap();
        assert_eq!((version, &**value, state.catalogue.log_id()), (Index(5), &b"two"[..], log_id));
    }
    assert_eq!(state.catalogue.checksum(&Scope::Everything), restored.catalogue.checksum(&Scope::Everything));
}

#[test]
fn snapshot_without_catalogue_keeps_earlier_format() {
    let mut state = StateMachine::new();
    (state.applied_index, state.undecodable_entries) = (Index(9), 2);
    let earlier = postcard::to_stdvec(&(Index(9), MaintenanceState::new(Rules::default()), 2u64)).unwrap();
    assert_eq!(state.snapshot().unwrap(), earlier);
    assert_eq!(StateMachine::restore(&earlier).unwrap().applied_index, Index(9));
}
