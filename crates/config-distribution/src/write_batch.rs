//! Batches of values that an operator writes: the entries of the configuration log.
use crate::change::{Class, MAX_VALUE_BYTES};
use crate::key::Key;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::sync::Arc;
use thiserror::Error;

/// The maximum number of values in a batch.
pub const MAX_BATCH_PUTS: usize = 256;

/// One value that a batch writes or deletes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// How urgently it has to be applied.
    pub class: Class,
    /// The key.
    pub key: Key,
    /// Its value; none deletes the key.
    pub value: Option<Arc<[u8]>>,
}

/// Values that are applied together: one log entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteBatch {
    /// The values, with distinct keys.
    pub puts: Vec<Put>,
}

/// Why a batch is not allowed in the log.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WriteBatchError {
    /// It has no values, or too many.
    #[error("order: one value at least, {max} at most", max = MAX_BATCH_PUTS)]
    PutCount,
    /// The name of a key, or of its topic, is empty, too long or has characters that are not allowed.
    #[error("{0}: names have 1 to 64 bytes, no slash, nothing that can't be printed")]
    InvalidName(Key),
    /// The value of a key is too long.
    #[error("{0}: a value has 16 KiB at most")]
    ValueTooLong(Key),
    /// A key is written twice.
    #[error("{0}: each key once")]
    DuplicateKey(Key),
}

impl WriteBatch {
    /// Checks whether the batch is allowed in the log.
    ///
    /// # Errors
    /// Names the first invalid key, or says that the batch is empty or too large.
    pub fn check(&self) -> Result<(), WriteBatchError> {
        if self.puts.is_empty() || self.puts.len() > MAX_BATCH_PUTS {
            return Err(WriteBatchError::PutCount);
        }
        let mut keys = BTreeSet::new();
        for put in &self.puts {
            if !put.key.topic.is_valid() || !crate::is_valid_name(&put.key.name) {
                return Err(WriteBatchError::InvalidName(put.key.clone()));
            }
            if put.value.as_ref().is_some_and(|value| value.len() > MAX_VALUE_BYTES) {
                return Err(WriteBatchError::ValueTooLong(put.key.clone()));
            }
            if !keys.insert(&put.key) {
                return Err(WriteBatchError::DuplicateKey(put.key.clone()));
            }
        }
        Ok(())
    }
}
