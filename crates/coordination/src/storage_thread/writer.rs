//! The main loop of the storage thread.
use crate::storage_thread::batch::store_change;
use crate::storage_thread::error::StoreError;
use crate::storage_thread::message::{WriteReport, WriteRequest};
use crate::storage_thread::store::{Store, StoreChange};
use consensus::WriteBatch;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

/// How often reopening the store is tried after a failure.
const REOPEN_INTERVAL: Duration = Duration::from_secs(1);

/// Executes requests until the other end of the mailbox is dropped.
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

/// A state of the maintenance agent that is not on disk yet.
struct AgentState {
    serial: u64,
    bytes: Vec<u8>,
}

/// Executes requests, and holds an agent state that could not be written.
struct Writer<'a> {
    store: &'a Store,
    report: &'a dyn Fn(WriteReport),
    log: fn(&str),
    /// Whether a write has failed and the store has not been reopened since.
    has_failed: bool,
    unwritten: Option<AgentState>,
}

impl Writer<'_> {
    /// Writes a batch. If this fails, the log requests the write again.
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

    /// Reopens the store and checks with an empty change that it can be written.
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
