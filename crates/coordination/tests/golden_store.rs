//! Checks that the format of the store does not change: a file written by an earlier version can be opened, read and written to.
//!
//! `accord.redb` is such a file. The page layout of the database may vary, so the tests compare every key and value of every
//! table, as dumped to `accord.redb.txt`.
#![allow(clippy::unwrap_used, clippy::expect_used)]
mod golden_support;

use cluster_types::Index;
use consensus::{Entry, HardState, LogPosition, Payload, Snapshot, Vote, WriteBatch};
use coordination::storage_thread::{store_change, stored_state, Store, StoreChange, StoreContent};
use golden_support::{persisted_orders, GOLDEN};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition, TableHandle};
use std::fmt::Write;
use std::path::Path;
use std::time::Duration;

const INCARNATION: u64 = 1 << 40;
const META: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("log");

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Dumps the keys and values of all tables, one pair per line.
fn dump(file: &Path) -> String {
    let database = Database::open(file).unwrap();
    let read = database.begin_read().unwrap();
    let mut names: Vec<_> = read.list_tables().unwrap().map(|table| table.name().to_owned()).collect();
    names.sort();
    let mut out = format!("tables {}\n", names.join(" "));
    for row in read.open_table(META).unwrap().iter().unwrap() {
        let (key, value) = row.unwrap();
        writeln!(out, "meta {} {}", key.value(), hex(value.value())).unwrap();
    }
    for row in read.open_table(LOG).unwrap().iter().unwrap() {
        let (key, value) = row.unwrap();
        writeln!(out, "log {} {}", key.value(), hex(value.value())).unwrap();
    }
    out
}

fn entry(index: u64, payload: Payload) -> Entry {
    Entry { index: Index(index), term: 7, payload }
}

fn hard_state(commit: u64) -> HardState {
    HardState {
        term: 7,
        vote: Some(Vote { candidate: "front-2".into(), incarnation: INCARNATION }),
        commit: Index(commit),
    }
}

fn snapshot() -> Snapshot {
    let incarnations = [("front-1".into(), INCARNATION), ("front-2".into(), 300)].into();
    Snapshot { last: LogPosition { term: 7, index: 2 }, incarnations, data: b"state".as_slice().into() }
}

/// Writes entries, rewrites the last two, replaces the first two with a snapshot, and writes the state of the maintenance agent.
fn write_all(store: &Store) {
    let bootstrap = Payload::Bootstrap(snapshot().incarnations);
    let readmit = Payload::Readmit { member: "front-2".into(), incarnation: 300 };
    let data = Payload::Data([0, 127, 255].as_slice().into());
    let append = vec![
        entry(1, bootstrap),
        entry(2, Payload::Noop),
        entry(3, readmit),
        entry(4, Payload::Noop),
        entry(5, data.clone()),
    ];
    let first = WriteBatch { id: 1, hard_state: hard_state(1), truncate_from: None, snapshot: None, append };
    let append = vec![entry(4, data), entry(5, Payload::Noop)];
    let second = WriteBatch {
        id: 2,
        hard_state: hard_state(2),
        truncate_from: Some(Index(4)),
        snapshot: None,
        append,
    };
    let third = WriteBatch {
        id: 3,
        hard_state: hard_state(4),
        truncate_from: None,
        snapshot: Some(snapshot()),
        append: vec![],
    };
    for batch in [first, second, third] {
        store.write(&store_change(&batch).unwrap()).unwrap();
    }
    let orders = Some(postcard::to_stdvec(&persisted_orders()).unwrap());
    store.write(&StoreChange { agent_state: orders, ..StoreChange::default() }).unwrap();
}

fn check_content(content: &StoreContent) {
    let orders: maintenance::PersistedOrders =
        postcard::from_bytes(content.agent_state.as_deref().unwrap()).unwrap();
    assert_eq!(orders, persisted_orders());
    let stored = stored_state(content).unwrap();
    assert_eq!(
        (stored.incarnation, &stored.hard_state, stored.snapshot),
        (INCARNATION, &hard_state(4), Some(snapshot()))
    );
    let readmit = Payload::Readmit { member: "front-2".into(), incarnation: 300 };
    let data = Payload::Data([0, 127, 255].as_slice().into());
    assert_eq!(stored.entries, [entry(3, readmit), entry(4, data), entry(5, Payload::Noop)]);
}

#[test]
fn new_store_matches_golden_dump() {
    let directory = tempfile::tempdir().unwrap();
    let store = Store::open(directory.path(), INCARNATION).unwrap();
    assert_eq!(
        store.next_process_incarnation(Duration::from_millis(1_700_000_000_000)).unwrap(),
        1_700_000_000_000 << 20
    );
    write_all(&store);
    check_content(&store.read().unwrap());
    drop(store);
    let text = GOLDEN.text("accord.redb.txt");
    assert_eq!(dump(&directory.path().join("accord.redb")), text);
}

#[test]
fn reads_and_writes_store_of_earlier_version() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("accord.redb");
    std::fs::copy(GOLDEN.path("accord.redb"), &file).unwrap();
    let text = GOLDEN.text("accord.redb.txt");
    assert_eq!(dump(&file), text);
    let store = Store::open(directory.path(), 99).unwrap();
    check_content(&store.read().unwrap());
    // Writing the same content again over the existing one leaves the same content.
    store.write(&StoreChange { truncate_from: Some(0), ..StoreChange::default() }).unwrap();
    write_all(&store);
    check_content(&store.read().unwrap());
    drop(store);
    assert_eq!(dump(&file), text);
    let store = Store::open(directory.path(), 99).unwrap();
    let next = store.next_process_incarnation(Duration::from_millis(1_600_000_000_000)).unwrap();
    assert_eq!(next, (1_700_000_000_000 << 20) + 1, "above the stored one");
}
