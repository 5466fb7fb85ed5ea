//! The store: one `redb` file with all state that must survive a restart of the process.
//!
//! It holds the incarnation of the store, the log's hard state, entries and snapshot, and the state of the maintenance agent.
//! Each change is one transaction, which is durable before any other member is told of it.
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

/// Descriptions of database operations, for error messages.
mod operation {
    pub(super) const READ: &str = "cannot read the store";
    pub(super) const WRITE: &str = "cannot write the store";
    pub(super) const META: &str = "the metadata of the store";
    pub(super) const LOG: &str = "the log in the store";
    pub(super) const HARD_STATE: &str = "the hard state";
    pub(super) const AGENT_STATE: &str = "the state of the maintenance agent";
    pub(super) const SNAPSHOT: &str = "the snapshot";
}

/// A change of the store, applied atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreChange {
    /// The new hard state, if it changes.
    pub hard_state: Option<Vec<u8>>,
    /// The new state of the maintenance agent, if it changes.
    pub agent_state: Option<Vec<u8>>,
    /// The last index of a new snapshot, and the snapshot; entries up to that index are deleted.
    pub snapshot: Option<(u64, Vec<u8>)>,
    /// The index from which on entries are deleted.
    pub truncate_from: Option<u64>,
    /// Entries to add, by index.
    pub append: Vec<(u64, Vec<u8>)>,
}

/// The whole content of a store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreContent {
    /// The incarnation of the store: a random number, drawn when the store was created.
    pub incarnation: u64,
    /// The hard state.
    pub hard_state: Option<Vec<u8>>,
    /// The state of the maintenance agent.
    pub agent_state: Option<Vec<u8>>,
    /// The snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// The entries with their indexes, in ascending order.
    pub entries: Vec<(u64, Vec<u8>)>,
}

/// An open store.
pub struct Store {
    file: PathBuf,
    /// `None` if it could not be reopened.
    database: RefCell<Option<Database>>,
}

impl Store {
    /// Opens the store in a directory, which is created if it does not exist. A new store gets the given incarnation.
    ///
    /// # Errors
    ///
    /// Returns an error if the directory cannot be created, the file is not a store, or the store has another format.
    pub fn open(directory: &Path, incarnation: u64) -> Result<Store, StoreError> {
        std::fs::create_dir_all(directory).map_err(StoreError::CreateDirectory)?;
        let file = directory.join(FILE_NAME);
        let database = Database::create(&file).map_err(StoreError::open)?;
        let store = Store { file, database: RefCell::new(Some(database)) };
        store.initialize(incarnation)?;
        Ok(store)
    }

    /// Reopens the file. After a file system error the database rejects all operations until it is reopened; it then has the
    /// content that is on disk, with or without the change that failed.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be opened; the store is then closed.
    pub fn reopen(&self) -> Result<(), StoreError> {
        // The old database holds a lock on the file, so it has to be dropped first.
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

    /// Creates the tables of a new store, or checks the format of an existing one.
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

    /// Creates and stores the incarnation of this process, which is greater than those of all earlier starts.
    ///
    /// # Errors
    ///
    /// Returns an error if the store cannot be read or written.
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

    /// Reads the whole content, as is done at start.
    ///
    /// # Errors
    ///
    /// Returns an error if the store cannot be read or has no incarnation.
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

    /// Applies a change, which is durable on return.
    ///
    /// # Errors
    ///
    /// Returns an error if the store cannot be written; the change is then applied completely or not at all.
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
