//! The format of a subscriber's persisted state (`changes.kept.*`): the values of its scope, as of a version.
//!
//! A file consists of the magic `chgs`, the format version (two bytes, big endian), a [`PersistedState`] encoded with
//! postcard, and the XXH3 checksum over all preceding bytes (eight bytes, big endian).
use crate::change::Change;
use crate::rejection::Rejection;
use crate::scope::Scope;
use cluster_types::Index;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

const MAGIC: &[u8; 4] = b"chgs";
/// The format version that this release writes and reads.
const FORMAT_VERSION: u16 = 1;
const CHECKSUM_BYTES: usize = 8;
const OVERHEAD_BYTES: usize = MAGIC.len() + size_of::<u16>() + CHECKSUM_BYTES;

/// Why a persisted state can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PersistedStateError {
    /// It does not begin with the magic bytes.
    #[error("it is not a stored state of configuration changes")]
    UnknownFile,
    /// It has another format version, perhaps of a newer release.
    #[error("it has form {0}, this program's has {form}", form = FORMAT_VERSION)]
    UnsupportedVersion(u16),
    /// It is truncated or damaged.
    #[error("it is cut off or damaged")]
    Corrupt,
}

/// The persisted state. The encoding depends on the order of the fields, which must not change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedState {
    /// The log that the values come from.
    pub log_id: u64,
    /// The scope whose values are stored.
    pub scope: Scope,
    /// The version up to which all changes in the scope were applied or rejected.
    pub up_to: Index,
    /// The greatest value that `up_to` ever had.
    pub highest: Index,
    /// The applied values, in the order of their keys.
    pub entries: Vec<Change>,
    /// Rejected values that are the newest of their keys.
    pub rejected: Vec<Rejection>,
}

/// Encodes a state, with header and checksum.
pub fn encode(state: &PersistedState) -> Vec<u8> {
    // Encoding into memory does not fail for these types: they have no map of unknown length and no custom encoding.
    let body = postcard::to_stdvec(state).unwrap_or_default();
    let mut bytes = Vec::with_capacity(body.len() + OVERHEAD_BYTES);
    bytes.extend(MAGIC);
    bytes.extend(FORMAT_VERSION.to_be_bytes());
    bytes.extend(&body);
    bytes.extend(xxh3_64(&bytes).to_be_bytes());
    bytes
}

/// Decodes a state, completely or not at all.
///
/// # Errors
/// Says why the bytes can't be used: not a persisted state, another format version, or damaged.
pub fn decode(bytes: &[u8]) -> Result<PersistedState, PersistedStateError> {
    let rest = match bytes.strip_prefix(MAGIC.as_slice()) {
        Some(rest) => rest,
        None if bytes.len() < MAGIC.len() => return Err(PersistedStateError::Corrupt),
        None => return Err(PersistedStateError::UnknownFile),
    };
    let (version, rest) = rest.split_first_chunk::<2>().ok_or(PersistedStateError::Corrupt)?;
    let version = u16::from_be_bytes(*version);
    if version != FORMAT_VERSION {
        return Err(PersistedStateError::UnsupportedVersion(version));
    }
    let (body, checksum) = rest.split_last_chunk::<CHECKSUM_BYTES>().ok_or(PersistedStateError::Corrupt)?;
    if xxh3_64(&bytes[..bytes.len() - CHECKSUM_BYTES]) != u64::from_be_bytes(*checksum) {
        return Err(PersistedStateError::Corrupt);
    }
    // The details of postcard's error don't help: since the checksum is correct, another program wrote the file.
    let Ok(state) = postcard::from_bytes::<PersistedState>(body) else {
        return Err(PersistedStateError::Corrupt);
    };
    let is_valid =
        |change: &Change| change.version <= state.highest && change.value.is_some() && change.is_bounded();
    if !state.entries.iter().all(is_valid) {
        return Err(PersistedStateError::Corrupt);
    }
    Ok(state)
}
