//! The loop of the thread that writes.
use crate::storage_thread::batch::store_change;
use crate::storage_thread::error::StoreError;
use crate::storage_thread::message::{WriteReport, WriteRequest};
use crate::storage_thread::store::{Store, StoreChange};
use consensus::WriteBatch;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

/// How long after a failure the store is opened again.
const REOPEN_INTERVAL: Duration = Duration::from_secs(1);

/// Carries out requests until the other end of the mailbox is dropped.
pub fn run(store: &Store, requests: &Receiver<WriteRequest>, report: &dyn Fn(WriteReport), log: fn(&str)) {
    let mut writer = Writer { store, report, log, has_failed: false, unwritten: None };
    loop {
        let next = if writer.has_failed {
            requests.recv_timeout(REOPEN_INTERVAL)
        } else {
            requests.recv().map_err(RecvTimeoutError::from)
        };
        match next {
            Ok(WriteRequest::Batch(batch)) => writer.write_batch(&batch),
            Ok(WriteRequest::AgentState { serial, bytes }) => writer.write_agent_state(serial, bytes),
            Err(RecvTimeoutError::Timeout) => writer.recover(),
            Err(RecvTimeoutError::Disconnected) => return,
        }
    }
}

/// A local state that is not on disk yet.
struct AgentState {
    serial: u64,
    bytes: Vec<u8>,
}

/// Writes, and remembers what the disk did not accept.
struct Writer<'a> {
    store: &'a Store,
    report: &'a dyn Fn(WriteReport),
    log: fn(&str),
    /// Whether the store has failed and was not opened again.
    has_failed: bool,
    unwritten: Option<AgentState>,
}

impl Writer<'_> {
    /// Writes a batch. One that fails is written again by the log.
    fn write_batch(&mut self, batch: &WriteBatch) {
        if self.has_failed {
            (self.report)(WriteReport::BatchFailed(batch.id));
            return;
        }
        match store_change(batch).and_then(|change| self.store.write(&change)) {
            Ok(()) => (self.report)(WriteReport::BatchWritten(batch.id)),
            Err(error) => {
                self.record_failure(&error);
                (self.report)(WriteReport::BatchFailed(batch.id));
            }
        }
    }

    fn write_agent_state(&mut self, serial: u64, bytes: Vec<u8>) {
        self.unwritten = Some(AgentState { serial, bytes });
        if !self.has_failed {
            self.write_unwritten();
        }
    }

    fn write_unwritten(&mut self) {
        let Some(state) = self.unwritten.take() else { return };
        let change = StoreChange { agent_state: Some(state.bytes.clone()), ..StoreChange::default() };
        match self.store.write(&change) {
            Ok(()) => (self.report)(WriteReport::AgentStateWritten(state.serial)),
            Err(error) => {
                self.record_failure(&error);
                self.unwritten = Some(state);
            }
        }
    }

    fn record_failure(&mut self, error: &StoreError) {
        (self.log)(&format!("coordination disk error={error}"));
        self.has_failed = true;
    }

    /// Opens the store again and tries it with an empty change.
    fn recover(&mut self) {
        let recovered = self.store.reopen().and_then(|()| self.store.write(&StoreChange::default()));
        if recovered.is_ok() {
            (self.log)("coordination disk recovered");
            self.has_failed = false;
            (self.report)(WriteReport::Recovered);
            self.write_unwritten();
        }
    }
}
