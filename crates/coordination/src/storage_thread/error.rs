//! Errors of the store.
use std::io;

/// An error of the store.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The directory cannot be created.
    #[error("cannot create the directory: {0}")]
    CreateDirectory(io::Error),
    /// The file is not a store, is locked, or cannot be read.
    #[error("the store can't be opened: {0}")]
    Open(Box<redb::Error>),
    /// The store is closed because an attempt to reopen it failed.
    #[error("the store is not open")]
    NotOpen,
    /// An operation of the database failed.
    #[error("{operation}: {source}")]
    Database {
        /// The operation.
        operation: &'static str,
        /// The error of the database.
        source: Box<redb::Error>,
    },
    /// The store has another format, whose records this program would misread.
    #[error("the store has format {found}, this program supports format {supported}")]
    UnknownFormat {
        /// The format of the store.
        found: u64,
        /// The format that this program writes.
        supported: u64,
    },
    /// A number in the store does not have the expected length.
    #[error("the value of {key} in the store is not a 64-bit number")]
    InvalidNumber {
        /// The key of the number.
        key: &'static str,
    },
    /// The store has no incarnation.
    #[error("the store has no incarnation")]
    MissingIncarnation,
    /// A record cannot be decoded.
    #[error("cannot decode {record} in the store: {source}")]
    Decode {
        /// What the record holds.
        record: &'static str,
        /// The decoder's error.
        source: postcard::Error,
    },
    /// A record cannot be encoded.
    #[error("cannot encode {record}: {source}")]
    Encode {
        /// What the record holds.
        record: &'static str,
        /// The encoder's error.
        source: postcard::Error,
    },
    /// An entry is stored under the index of another one.
    #[error("the entry stored under index {key} has index {index}")]
    MisplacedEntry {
        /// The index under which it is stored.
        key: u64,
        /// The index that the entry itself contains.
        index: u64,
    },
}

impl StoreError {
    /// Returns a function that converts a database error in `operation` to an error of the store.
    pub(crate) fn database<E: Into<redb::Error>>(operation: &'static str) -> impl Fn(E) -> StoreError {
        move |source| StoreError::Database { operation, source: Box::new(source.into()) }
    }

    pub(crate) fn open<E: Into<redb::Error>>(source: E) -> StoreError {
        StoreError::Open(Box::new(source.into()))
    }
}
