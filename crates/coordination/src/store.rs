//! The thread that writes. Batches of the log and what the front's own side keeps go to the disk in the order in which they
//! came; after one has failed, none that came later is written until the disk has been found well again.
use crate::disk::{Change, Content, Disk, Fault};
use consensus::{StoredState, WriteBatch};
use serde::de::DeserializeOwned;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

/// How long after a failure the disk is tried again.
const AGAIN: Duration = Duration::from_secs(1);

/// What is to be written.
pub enum Write {
    /// A batch of the log.
    Batch(WriteBatch),
    /// What the front's own side keeps, with its number.
    Kept(u64, Vec<u8>),
}

/// What has become of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wrote {
    /// The batch is on disk.
    Batch(u64),
    /// It is not, or it is not known.
    Failed(u64),
    /// What is kept is on disk.
    Kept(u64),
    /// The disk can be written again.
    Recovered,
}

/// A batch as a change of the store.
pub fn change(batch: &WriteBatch) -> Result<Change, Fault> {
    let bytes = |value: Result<Vec<u8>, postcard::Error>| value.map_err(|e| Fault(e.to_string()));
    let append = batch.append.iter().map(|e| Ok((e.index.0, bytes(postcard::to_stdvec(e))?)));
    let snapshot = batch.snapshot.as_ref().map(|s| Ok((s.last.index, bytes(postcard::to_stdvec(s))?)));
    Ok(Change {
        hard: Some(bytes(postcard::to_stdvec(&batch.hard_state))?),
        kept: None,
        snapshot: snapshot.transpose()?,
        truncate: batch.truncate_from.map(|i| i.0),
        append: append.collect::<Result<_, Fault>>()?,
    })
}

/// What the store held at the start, as the log wants it.
pub fn stored(content: &Content) -> Result<StoredState, Fault> {
    fn read<T: DeserializeOwned>(what: &str, bytes: &[u8]) -> Result<T, Fault> {
        postcard::from_bytes(bytes).map_err(|e| Fault(format!("{what} in the store can't be read: {e}")))
    }
    let mut stored = StoredState::empty(content.life);
    if let Some(hard) = &content.hard {
        stored.hard_state = read("the hard state", hard)?;
    }
    if let Some(snapshot) = &content.snapshot {
        stored.snapshot = Some(read("the snapshot", snapshot)?);
    }
    for (index, bytes) in &content.entries {
        let entry: consensus::Entry = read("an entry", bytes)?;
        // Guards against records that were doubled or put in another's place.
        if entry.index.0 != *index {
            return Err(Fault(format!("entry {index} in the store says that it is {}", entry.index.0)));
        }
        stored.entries.push(entry);
    }
    Ok(stored)
}

/// Writes until the other end has gone.
pub fn run(disk: &Disk, from: &Receiver<Write>, told: &dyn Fn(Wrote), log: fn(&str)) {
    let mut writer = Writer { disk, told, log, failed: false, waits: None };
    loop {
        let next = match writer.failed {
            false => from.recv().map_err(|_| RecvTimeoutError::Disconnected),
            true => from.recv_timeout(AGAIN),
        };
        match next {
            Ok(Write::Batch(batch)) => writer.batch(&batch),
            Ok(Write::Kept(serial, bytes)) => writer.keep(serial, bytes),
            Err(RecvTimeoutError::Timeout) => writer.recover(),
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

/// Writes, and remembers what the disk did not take.
struct Writer<'a> {
    disk: &'a Disk,
    told: &'a dyn Fn(Wrote),
    log: fn(&str),
    /// Whether the disk has failed and is not well again.
    failed: bool,
    /// What is to be kept and is not on disk yet; a later one takes its place.
    waits: Option<(u64, Vec<u8>)>,
}

impl Writer<'_> {
    /// A batch that fails is the log's to write again.
    fn batch(&mut self, batch: &WriteBatch) {
        if self.failed {
            return (self.told)(Wrote::Failed(batch.id));
        }
        match change(batch).and_then(|change| self.disk.write(&change)) {
            Ok(()) => (self.told)(Wrote::Batch(batch.id)),
            Err(fault) => {
                self.fails(&fault);
                (self.told)(Wrote::Failed(batch.id));
            }
        }
    }

    fn keep(&mut self, serial: u64, bytes: Vec<u8>) {
        self.waits = Some((serial, bytes));
        if !self.failed {
            self.keep_what_waits();
        }
    }

    fn keep_what_waits(&mut self) {
        let Some((serial, bytes)) = self.waits.take() else { return };
        match self.disk.write(&Change { kept: Some(bytes.clone()), ..Change::default() }) {
            Ok(()) => (self.told)(Wrote::Kept(serial)),
            Err(fault) => {
                self.fails(&fault);
                self.waits = Some((serial, bytes));
            }
        }
    }

    fn fails(&mut self, fault: &Fault) {
        (self.log)(&format!("accord disk error={fault}"));
        self.failed = true;
    }

    fn recover(&mut self) {
        let well = self.disk.open_again().and_then(|()| self.disk.write(&Change::default()));
        if well.is_ok() {
            (self.log)("accord disk well again");
            self.failed = false;
            (self.told)(Wrote::Recovered);
            self.keep_what_waits();
        }
    }
}
