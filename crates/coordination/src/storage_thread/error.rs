//! What can go wrong with the store.
use std::io;

/// An error of the store.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The folder cannot be created.
    #[error("the folder can't be made: {0}")]
    CreateFolder(io::Error),
    /// The file is not a store, is locked, or cannot be read.
    #[error("the store can't be opened: {0}")]
    Open(Box<redb::Error>),
    /// An earlier attempt to open the store again has failed.
    #[error("the store is not open")]
    NotOpen,
    /// The database rejects an operation.
    #[error("{operation}: {source}")]
    Database {
        /// The operation.
        operation: &'static str,
        /// The error of the database.
        source: Box<redb::Error>,
    },
    /// The store was written in another format, whose records would be misread.
    #[error("the store has form {found}, this program knows {supported}")]
    UnknownFormat {
        /// The format of the store.
        found: u64,
        /// The format that this program writes.
        supported: u64,
    },
    /// A number of the store has another length.
    #[error("the store's {key} is no number")]
    InvalidNumber {
        /// The key of the number.
        key: &'static str,
    },
    /// The store has no incarnation.
    #[error("the store has no incarnation")]
    MissingIncarnation,
    /// A record cannot be decoded.
    #[error("{record} in the store can't be read: {source}")]
    Decode {
        /// What the record holds.
        record: &'static str,
        /// The decoder's error.
        source: postcard::Error,
    },
    /// A record cannot be encoded.
    #[error("{record} can't be encoded: {source}")]
    Encode {
        /// What the record holds.
        record: &'static str,
        /// The encoder's error.
        source: postcard::Error,
    },
    /// An entry is stored under the index of another one.
    #[error("entry {key} in the store says that it is {index}")]
    MisplacedEntry {
        /// The index under which it is stored.
        key: u64,
        /// The index that it states.
        index: u64,
    },
}

impl StoreError {
    /// Turns an error of the database in `operation` into an error of the store.
    pub(crate) fn database<E: Into<redb::Error>>(operation: &'static str) -> impl Fn(E) -> StoreError {
        move |source| StoreError::Database { operation, source: Box::new(source.into()) }
    }

    pub(crate) fn open<E: Into<redb::Error>>(source: E) -> StoreError {
        StoreError::Open(Box::new(source.into()))
    }
}
