//! Converts batches of the log to changes of the store, and the content of the store to the state of the log.
use crate::storage_thread::error::StoreError;
use crate::storage_thread::store::{StoreChange, StoreContent};
use consensus::{Entry, StoredState, WriteBatch};
use serde::de::DeserializeOwned;
use serde::Serialize;

const HARD_STATE: &str = "the hard state";
const SNAPSHOT: &str = "the snapshot";
const ENTRY: &str = "an entry";

fn encode<T: Serialize>(record: &'static str, value: &T) -> Result<Vec<u8>, StoreError> {
    postcard::to_stdvec(value).map_err(|source| StoreError::Encode { record, source })
}

fn decode<T: DeserializeOwned>(record: &'static str, bytes: &[u8]) -> Result<T, StoreError> {
    postcard::from_bytes(bytes).map_err(|source| StoreError::Decode { record, source })
}

/// Converts a batch to a change of the store.
///
/// # Errors
///
/// Returns an error if a record cannot be encoded.
pub fn store_change(batch: &WriteBatch) -> Result<StoreChange, StoreError> {
    let mut change = StoreChange {
        hard_state: Some(encode(HARD_STATE, &batch.hard_state)?),
        truncate_from: batch.truncate_from.map(|index| index.0),
        ..StoreChange::default()
    };
    if let Some(snapshot) = &batch.snapshot {
        change.snapshot = Some((snapshot.last.index, encode(SNAPSHOT, snapshot)?));
    }
    for entry in &batch.append {
        change.append.push((entry.index.0, encode(ENTRY, entry)?));
    }
    Ok(change)
}

/// Decodes the state of the log from the content of the store.
///
/// # Errors
///
/// Returns an error if a record cannot be decoded, or an entry is stored under the index of another one.
pub fn stored_state(content: &StoreContent) -> Result<StoredState, StoreError> {
    let mut stored = StoredState::empty(content.incarnation);
    if let Some(bytes) = &content.hard_state {
        stored.hard_state = decode(HARD_STATE, bytes)?;
    }
    if let Some(bytes) = &content.snapshot {
        stored.snapshot = Some(decode(SNAPSHOT, bytes)?);
    }
    for (key, bytes) in &content.entries {
        let entry: Entry = decode(ENTRY, bytes)?;
        // Detects records that were duplicated or moved.
        if entry.index.0 != *key {
            return Err(StoreError::MisplacedEntry { key: *key, index: entry.index.0 });
        }
        stored.entries.push(entry);
    }
    Ok(stored)
}
