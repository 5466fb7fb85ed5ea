//! The store: one `redb` file with everything that must outlive the process.
//!
//! It holds the incarnation of the store, the log's hard state, entries and snapshot, and this member's part in maintenance. Each
//! change is one transaction, which is on disk before anything is promised on the strength of it.
use crate::storage_thread::error::StoreError;
use redb::{Database, ReadTransaction, ReadableDatabase, ReadableTable, TableDefinition, WriteTransaction};
use std::cell::RefCell;
use std::path::{Path, PathBuf};
use std::time::Duration;

const FILE_NAME: &str = "accord.redb";
const META: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("log");

/// The format of the records; a store with another one is rejected.
const FORMAT: u64 = 1;

/// Keys of the table `meta`.
mod key {
    pub(super) const FORMAT: &str = "form";
    pub(super) const INCARNATION: &str = "life";
    pub(super) const PROCESS_INCARNATION: &str = "start";
    pub(super) const HARD_STATE: &str = "hard";
    pub(super) const AGENT_STATE: &str = "kept";
    pub(super) const SNAPSHOT: &str = "snapshot";
}

/// What an operation worked on, for errors.
mod operation {
    pub(super) const READ: &str = "the store can't be read";
    pub(super) const WRITE: &str = "the store can't be written";
    pub(super) const META: &str = "the store's meta data";
    pub(super) const LOG: &str = "the store's log";
    pub(super) const HARD_STATE: &str = "the hard state";
    pub(super) const AGENT_STATE: &str = "the local state";
    pub(super) const SNAPSHOT: &str = "the snapshot";
}

/// A change of the store: all of it is on disk, or none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreChange {
    /// The hard state, where it changes.
    pub hard_state: Option<Vec<u8>>,
    /// This member's part in maintenance, where it changes.
    pub agent_state: Option<Vec<u8>>,
    /// The snapshot and its last index, where it changes; entries up to that index are deleted.
    pub snapshot: Option<(u64, Vec<u8>)>,
    /// Entries from this index on are deleted.
    pub truncate_from: Option<u64>,
    /// Entries to add, by index.
    pub append: Vec<(u64, Vec<u8>)>,
}

/// Everything that a store holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreContent {
    /// Drawn at random when the store was created.
    pub incarnation: u64,
    /// The hard state.
    pub hard_state: Option<Vec<u8>>,
    /// This member's part in maintenance.
    pub agent_state: Option<Vec<u8>>,
    /// The snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// The entries by index, in order.
    pub entries: Vec<(u64, Vec<u8>)>,
}

/// An open store.
pub struct Store {
    file: PathBuf,
    /// None where it could not be opened again.
    database: RefCell<Option<Database>>,
}

impl Store {
    /// Opens the store in a folder, which is created where it is missing. A new store gets the incarnation given.
    ///
    /// # Errors
    ///
    /// Returns an error where the folder cannot be created, the file is not a store, or it has another format.
    pub fn open(folder: &Path, incarnation: u64) -> Result<Store, StoreError> {
        std::fs::create_dir_all(folder).map_err(StoreError::CreateFolder)?;
        let file = folder.join(FILE_NAME);
        let database = Database::create(&file).map_err(StoreError::open)?;
        let store = Store { file, database: RefCell::new(Some(database)) };
        store.initialize(incarnation)?;
        Ok(store)
    }

    /// Opens the file again. After an error of the file system the database accepts nothing until then; it holds what was on
    /// disk, with the change that failed or without it.
    ///
    /// # Errors
    ///
    /// Returns an error where the file cannot be opened; the store stays closed.
    pub fn reopen(&self) -> Result<(), StoreError> {
        // The old database holds a lock on the file.
        drop(self.database.take());
        let database = Database::create(&self.file).map_err(StoreError::open)?;
        self.database.replace(Some(database));
        Ok(())
    }

    fn begin_write(&self) -> Result<WriteTransaction, StoreError> {
        let database = self.database.borrow();
        let database = database.as_ref().ok_or(StoreError::NotOpen)?;
        database.begin_write().map_err(StoreError::database(operation::WRITE))
    }

    fn begin_read(&self) -> Result<ReadTransaction, StoreError> {
        let database = self.database.borrow();
        let database = database.as_ref().ok_or(StoreError::NotOpen)?;
        database.begin_read().map_err(StoreError::database(operation::READ))
    }

    /// Creates the tables of a new store, or checks the format of an old one.
    fn initialize(&self, incarnation: u64) -> Result<(), StoreError> {
        let write = self.begin_write()?;
        {
            let mut meta = write.open_table(META).map_err(StoreError::database(operation::META))?;
            write.open_table(LOG).map_err(StoreError::database(operation::LOG))?;
            match read_number(&meta, key::FORMAT)? {
                None => {
                    for (key, value) in [(key::FORMAT, FORMAT), (key::INCARNATION, incarnation)] {
                        meta.insert(key, value.to_be_bytes().as_slice())
                            .map_err(StoreError::database(operation::META))?;
                    }
                }
                Some(FORMAT) => {}
                Some(found) => return Err(StoreError::UnknownFormat { found, supported: FORMAT }),
            }
        }
        write.commit().map_err(StoreError::database(operation::WRITE))
    }

    /// Draws the incarnation of this start of the process, above those of all earlier starts, and stores it.
    ///
    /// # Errors
    ///
    /// Returns an error where the store cannot be read or written.
    pub fn next_process_incarnation(&self, unix_time: Duration) -> Result<u64, StoreError> {
        let write = self.begin_write()?;
        let incarnation = {
            let mut meta = write.open_table(META).map_err(StoreError::database(operation::META))?;
            let earlier = read_number(&meta, key::PROCESS_INCARNATION)?.unwrap_or(0);
            let incarnation = message_auth::new_incarnation(unix_time, earlier);
            meta.insert(key::PROCESS_INCARNATION, incarnation.to_be_bytes().as_slice())
                .map_err(StoreError::database(operation::META))?;
            incarnation
        };
        write.commit().map_err(StoreError::database(operation::WRITE))?;
        Ok(incarnation)
    }

    /// Reads everything, as at start.
    ///
    /// # Errors
    ///
    /// Returns an error where the store cannot be read or has no incarnation.
    pub fn read(&self) -> Result<StoreContent, StoreError> {
        let read = self.begin_read()?;
        let meta = read.open_table(META).map_err(StoreError::database(operation::META))?;
        let log = read.open_table(LOG).map_err(StoreError::database(operation::LOG))?;
        let bytes = |key: &str| -> Result<Option<Vec<u8>>, StoreError> {
            let found = meta.get(key).map_err(StoreError::database(operation::META))?;
            Ok(found.map(|value| value.value().to_vec()))
        };
        let mut content = StoreContent {
            incarnation: read_number(&meta, key::INCARNATION)?.ok_or(StoreError::MissingIncarnation)?,
            hard_state: bytes(key::HARD_STATE)?,
            agent_state: bytes(key::AGENT_STATE)?,
            snapshot: bytes(key::SNAPSHOT)?,
            entries: Vec::new(),
        };
        for entry in log.iter().map_err(StoreError::database(operation::LOG))? {
            let (index, data) = entry.map_err(StoreError::database(operation::LOG))?;
            content.entries.push((index.value(), data.value().to_vec()));
        }
        Ok(content)
    }

    /// Carries out a change; once this returns, it is on disk.
    ///
    /// # Errors
    ///
    /// Returns an error where the store cannot be written; the change is on disk whole or not at all.
    pub fn write(&self, change: &StoreChange) -> Result<(), StoreError> {
        let write = self.begin_write()?;
        {
            let mut meta = write.open_table(META).map_err(StoreError::database(operation::META))?;
            let mut log = write.open_table(LOG).map_err(StoreError::database(operation::LOG))?;
            if let Some(hard_state) = &change.hard_state {
                meta.insert(key::HARD_STATE, hard_state.as_slice())
                    .map_err(StoreError::database(operation::HARD_STATE))?;
            }
            if let Some(agent_state) = &change.agent_state {
                meta.insert(key::AGENT_STATE, agent_state.as_slice())
                    .map_err(StoreError::database(operation::AGENT_STATE))?;
            }
            if let Some((last_index, snapshot)) = &change.snapshot {
                meta.insert(key::SNAPSHOT, snapshot.as_slice())
                    .map_err(StoreError::database(operation::SNAPSHOT))?;
                log.retain(|index, _| index > *last_index).map_err(StoreError::database(operation::LOG))?;
            }
            if let Some(from) = change.truncate_from {
                log.retain(|index, _| index < from).map_err(StoreError::database(operation::LOG))?;
            }
            for (index, data) in &change.append {
                log.insert(index, data.as_slice()).map_err(StoreError::database(operation::LOG))?;
            }
        }
        write.commit().map_err(StoreError::database(operation::WRITE))
    }
}

fn read_number(
    meta: &impl ReadableTable<&'static str, &'static [u8]>,
    key: &'static str,
) -> Result<Option<u64>, StoreError> {
    let Some(found) = meta.get(key).map_err(StoreError::database(operation::META))? else {
        return Ok(None);
    };
    match found.value().try_into() {
        Ok(bytes) => Ok(Some(u64::from_be_bytes(bytes))),
        Err(_) => Err(StoreError::InvalidNumber { key }),
    }
}
