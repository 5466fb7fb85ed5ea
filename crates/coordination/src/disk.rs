//! What must outlast the process, in one `redb` file: the life of the store, the log's hard state, its entries and its
//! snapshot, each change in one transaction that is on disk before its promise is given.
use redb::{Database, ReadTransaction, ReadableDatabase, ReadableTable, TableDefinition, WriteTransaction};
use std::cell::RefCell;
use std::fmt;
use std::path::{Path, PathBuf};
use std::time::Duration;

const META: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("log");
/// The form of the records; another one is refused, never guessed.
const FORM: u64 = 1;

/// What went wrong with the store, in plain words.
#[derive(Debug)]
pub struct Fault(pub String);

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Fault {}

fn words<E: fmt::Display>(what: &'static str) -> impl Fn(E) -> Fault {
    move |e| Fault(format!("{what}: {e}"))
}

/// One change; all of it is on disk, or none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// The hard state, where it changes.
    pub hard: Option<Vec<u8>>,
    /// What the front's own side keeps, where it changes.
    pub kept: Option<Vec<u8>>,
    /// The snapshot, where it changes; entries up to and with its index go.
    pub snapshot: Option<(u64, Vec<u8>)>,
    /// Entries from this index on go.
    pub truncate: Option<u64>,
    /// Entries to be added.
    pub append: Vec<(u64, Vec<u8>)>,
}

/// All that a store holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Content {
    /// Drawn by chance when the store was made.
    pub life: u64,
    /// The hard state.
    pub hard: Option<Vec<u8>>,
    /// What the front's own side kept.
    pub kept: Option<Vec<u8>>,
    /// The snapshot.
    pub snapshot: Option<Vec<u8>>,
    /// The entries, in order.
    pub entries: Vec<(u64, Vec<u8>)>,
}

/// An open store.
pub struct Disk {
    file: PathBuf,
    /// None where it could not be opened again.
    base: RefCell<Option<Database>>,
}

impl Disk {
    /// Opens the store of a front in that folder, which is made where it is missing; a new store gets that life.
    pub fn open(folder: &Path, life: u64) -> Result<Disk, Fault> {
        std::fs::create_dir_all(folder).map_err(words("the folder can't be made"))?;
        let file = folder.join("accord.redb");
        let base = Database::create(&file).map_err(words("the store can't be opened"))?;
        let disk = Disk { file, base: RefCell::new(Some(base)) };
        disk.found(life)?;
        Ok(disk)
    }

    /// Opens the store again. After an error of the file system the database takes nothing more until then; what it holds is
    /// what was on disk, with the change that failed or without it.
    pub fn open_again(&self) -> Result<(), Fault> {
        // The old one holds a lock on the file.
        drop(self.base.take());
        let base = Database::create(&self.file).map_err(words("the store can't be opened"))?;
        self.base.replace(Some(base));
        Ok(())
    }

    fn begin_write(&self) -> Result<WriteTransaction, Fault> {
        let base = self.base.borrow();
        let base = base.as_ref().ok_or(Fault("the store is not open".into()))?;
        base.begin_write().map_err(words("the store can't be written"))
    }

    fn begin_read(&self) -> Result<ReadTransaction, Fault> {
        let base = self.base.borrow();
        let base = base.as_ref().ok_or(Fault("the store is not open".into()))?;
        base.begin_read().map_err(words("the store can't be read"))
    }

    /// Makes the tables of a new store, or checks the form of an old one.
    fn found(&self, life: u64) -> Result<(), Fault> {
        let write = self.begin_write()?;
        {
            let mut meta = write.open_table(META).map_err(words("the store's meta data"))?;
            write.open_table(LOG).map_err(words("the store's log"))?;
            let form = number(&meta, "form")?;
            match form {
                None => {
                    let put = [("form", FORM), ("life", life)];
                    for (key, value) in put {
                        meta.insert(key, value.to_be_bytes().as_slice())
                            .map_err(words("the store's meta data"))?;
                    }
                }
                Some(FORM) => {}
                // Guards against a store of a later version, whose records would be read as something else.
                Some(other) => {
                    return Err(Fault(format!("the store has form {other}, this program knows {FORM}")))
                }
            }
        }
        write.commit().map_err(words("the store can't be written"))
    }

    /// A number for this start of the process, above those of all earlier ones.
    pub fn start(&self, unix: Duration) -> Result<u64, Fault> {
        let write = self.begin_write()?;
        let start = {
            let mut meta = write.open_table(META).map_err(words("the store's meta data"))?;
            let start = message_auth::new_incarnation(unix, number(&meta, "start")?.unwrap_or(0));
            meta.insert("start", start.to_be_bytes().as_slice()).map_err(words("the store's meta data"))?;
            start
        };
        write.commit().map_err(words("the store can't be written"))?;
        Ok(start)
    }

    /// Reads everything, as at the start.
    pub fn read(&self) -> Result<Content, Fault> {
        let read = self.begin_read()?;
        let meta = read.open_table(META).map_err(words("the store's meta data"))?;
        let log = read.open_table(LOG).map_err(words("the store's log"))?;
        let bytes = |key: &str| -> Result<Option<Vec<u8>>, Fault> {
            let found = meta.get(key).map_err(words("the store's meta data"))?;
            Ok(found.map(|v| v.value().to_vec()))
        };
        let mut content = Content {
            life: number(&meta, "life")?.ok_or(Fault("the store has no life".into()))?,
            hard: bytes("hard")?,
            kept: bytes("kept")?,
            snapshot: bytes("snapshot")?,
            entries: Vec::new(),
        };
        for entry in log.iter().map_err(words("the store's log"))? {
            let (index, data) = entry.map_err(words("the store's log"))?;
            content.entries.push((index.value(), data.value().to_vec()));
        }
        Ok(content)
    }

    /// Carries out a change; once this returns it is on disk.
    pub fn write(&self, change: &Change) -> Result<(), Fault> {
        let write = self.begin_write()?;
        {
            let mut meta = write.open_table(META).map_err(words("the store's meta data"))?;
            let mut log = write.open_table(LOG).map_err(words("the store's log"))?;
            if let Some(hard) = &change.hard {
                meta.insert("hard", hard.as_slice()).map_err(words("the hard state"))?;
            }
            if let Some(kept) = &change.kept {
                meta.insert("kept", kept.as_slice()).map_err(words("what is kept"))?;
            }
            if let Some((index, snapshot)) = &change.snapshot {
                meta.insert("snapshot", snapshot.as_slice()).map_err(words("the snapshot"))?;
                log.retain(|at, _| at > *index).map_err(words("the store's log"))?;
            }
            if let Some(from) = change.truncate {
                log.retain(|at, _| at < from).map_err(words("the store's log"))?;
            }
            for (index, data) in &change.append {
                log.insert(index, data.as_slice()).map_err(words("the store's log"))?;
            }
        }
        write.commit().map_err(words("the store can't be written"))
    }
}

fn number(meta: &impl ReadableTable<&'static str, &'static [u8]>, key: &str) -> Result<Option<u64>, Fault> {
    let Some(found) = meta.get(key).map_err(words("the store's meta data"))? else { return Ok(None) };
    let bytes = found.value().try_into().map_err(|_| Fault(format!("the store's {key} is no number")))?;
    Ok(Some(u64::from_be_bytes(bytes)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_store_gives_back_what_was_written_and_keeps_its_life() {
        let folder = tempfile::tempdir().unwrap();
        let disk = Disk::open(folder.path(), 7).unwrap();
        let append = (1..=4).map(|i| (i, vec![i as u8])).collect();
        disk.write(&Change { hard: Some(vec![9]), append, ..Change::default() }).unwrap();
        disk.write(&Change { truncate: Some(3), append: vec![(3, vec![33])], ..Change::default() }).unwrap();
        disk.write(&Change { snapshot: Some((1, vec![5])), ..Change::default() }).unwrap();
        drop(disk);
        let again = Disk::open(folder.path(), 8).unwrap().read().unwrap();
        let entries = vec![(2, vec![2]), (3, vec![33])];
        assert_eq!((again.life, again.hard, again.snapshot), (7, Some(vec![9]), Some(vec![5])));
        assert_eq!(again.entries, entries);
    }

    #[test]
    fn a_store_that_is_no_store_is_refused_and_stays_as_it_is() {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("accord.redb");
        std::fs::write(&file, b"something else").unwrap();
        let Err(fault) = Disk::open(folder.path(), 7) else { panic!("it was opened") };
        assert!(fault.0.starts_with("the store can't be opened"), "{fault}");
        assert_eq!(std::fs::read(&file).unwrap(), b"something else");
    }

    #[test]
    fn a_store_of_another_form_is_refused() {
        let folder = tempfile::tempdir().unwrap();
        let disk = Disk::open(folder.path(), 7).unwrap();
        let write = disk.begin_write().unwrap();
        write.open_table(META).unwrap().insert("form", 2_u64.to_be_bytes().as_slice()).unwrap();
        write.commit().unwrap();
        drop(disk);
        let Err(fault) = Disk::open(folder.path(), 7) else { panic!("it was opened") };
        assert!(fault.0.contains("form 2"), "{fault}");
    }
}
