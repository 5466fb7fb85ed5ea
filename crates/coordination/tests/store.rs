//! Tests that the store returns what was written, and rejects files that it cannot read.
#![allow(clippy::unwrap_used, clippy::panic)]
use coordination::storage_thread::{Store, StoreChange, StoreError};
use redb::{Database, TableDefinition};

#[test]
fn reopened_store_keeps_content_and_first_incarnation() {
    let directory = tempfile::tempdir().unwrap();
    let store = Store::open(directory.path(), 7).unwrap();
    let append = (1..=4).map(|index| (index, vec![index as u8])).collect();
    store.write(&StoreChange { hard_state: Some(vec![9]), append, ..StoreChange::default() }).unwrap();
    let rewrite =
        StoreChange { truncate_from: Some(3), append: vec![(3, vec![33])], ..StoreChange::default() };
    store.write(&rewrite).unwrap();
    store.write(&StoreChange { snapshot: Some((1, vec![5])), ..StoreChange::default() }).unwrap();
    drop(store);
    let content = Store::open(directory.path(), 8).unwrap().read().unwrap();
    let entries = vec![(2, vec![2]), (3, vec![33])];
    assert_eq!(
        (content.incarnation, content.hard_state, content.snapshot),
        (7, Some(vec![9]), Some(vec![5]))
    );
    assert_eq!(content.entries, entries);
}

#[test]
fn rejects_foreign_file_and_leaves_it_unchanged() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("accord.redb");
    std::fs::write(&file, b"something else").unwrap();
    let Err(error) = Store::open(directory.path(), 7) else { panic!("the store was opened") };
    assert!(matches!(error, StoreError::Open(_)), "{error}");
    assert!(error.to_string().starts_with("the store can't be opened"), "{error}");
    assert_eq!(std::fs::read(&file).unwrap(), b"something else");
}

#[test]
fn rejects_store_of_unknown_format() {
    let directory = tempfile::tempdir().unwrap();
    drop(Store::open(directory.path(), 7).unwrap());
    let meta: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("meta");
    let database = Database::open(directory.path().join("accord.redb")).unwrap();
    let write = database.begin_write().unwrap();
    write.open_table(meta).unwrap().insert("form", 2_u64.to_be_bytes().as_slice()).unwrap();
    write.commit().unwrap();
    drop(database);
    let Err(error) = Store::open(directory.path(), 7) else { panic!("the store was opened") };
    assert!(matches!(error, StoreError::UnknownFormat { found: 2, .. }), "{error}");
    assert!(error.to_string().contains("format 2"), "{error}");
}
