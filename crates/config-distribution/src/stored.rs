//! The form in which a subscriber's state is stored (`changes.kept.*`): the values of its scope, as of a version.
//!
//! A file is the magic `chgs`, the number of the form (two bytes, big endian), a [`Stored`] in postcard, and the XXH3 sum
//! over all bytes before it (eight bytes, big endian).
use crate::message::Refusal;
use crate::names::Change;
use crate::scope::Scope;
use cluster_types::Index;
use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

const MAGIC: &[u8; 4] = b"chgs";
/// The form of what is stored.
const FORM: u16 = 1;

/// Why what is stored counts for nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoredFault {
    /// Not what this program writes.
    Foreign,
    /// Of another form: perhaps a newer program's.
    Form(u16),
    /// Cut off, or damaged.
    Torn,
}

impl fmt::Display for StoredFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoredFault::Foreign => f.write_str("it is not a store of changes"),
            StoredFault::Form(form) => write!(f, "it has form {form}, this program's has {FORM}"),
            StoredFault::Torn => f.write_str("it is cut off or damaged"),
        }
    }
}

/// What is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// The log that it follows.
    pub lineage: u64,
    /// Of which scope it is all.
    pub scope: Scope,
    /// The version up to which everything in the scope was decided on.
    pub upto: Index,
    /// The greatest that `upto` ever was.
    pub highest: Index,
    /// The values that are in force, in the order of their keys.
    pub entries: Vec<Change>,
    /// The newest values of keys that were refused, and why.
    pub refused: Vec<Refusal>,
}

/// As bytes, with a sum over them.
pub fn encode(stored: &Stored) -> Vec<u8> {
    let body = postcard::to_stdvec(stored).unwrap_or_default();
    let mut bytes = Vec::with_capacity(body.len() + 14);
    bytes.extend(MAGIC);
    bytes.extend(FORM.to_be_bytes());
    bytes.extend(&body);
    bytes.extend(xxh3_64(&bytes).to_be_bytes());
    bytes
}

/// From bytes; whole or not at all.
///
/// # Errors
/// Says why the bytes count for nothing: another program's, another form's, or damaged.
pub fn decode(bytes: &[u8]) -> Result<Stored, StoredFault> {
    let rest = bytes.strip_prefix(MAGIC.as_slice()).ok_or(match bytes.len() {
        0..4 => StoredFault::Torn,
        _ => StoredFault::Foreign,
    })?;
    let (form, rest) = rest.split_first_chunk::<2>().ok_or(StoredFault::Torn)?;
    let form = u16::from_be_bytes(*form);
    if form != FORM {
        return Err(StoredFault::Form(form));
    }
    let (body, sum) = rest.split_last_chunk::<8>().ok_or(StoredFault::Torn)?;
    if xxh3_64(&bytes[..bytes.len() - 8]) != u64::from_be_bytes(*sum) {
        return Err(StoredFault::Torn);
    }
    let stored: Stored = postcard::from_bytes(body).map_err(|_| StoredFault::Torn)?;
    let proper = |c: &Change| c.version <= stored.highest && c.value.is_some() && c.bounded();
    match stored.entries.iter().all(proper) {
        true => Ok(stored),
        false => Err(StoredFault::Torn),
    }
}
