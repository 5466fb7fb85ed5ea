//! The state that the host reads from disk at start, and its validation.
use crate::config::Config;
use crate::entry::{Entry, Incarnations, Payload, TERM_AND_INDEX_BOUND};
use crate::error::StartError;
use crate::log::Log;
use crate::snapshot::Snapshot;
use crate::write_batch::{HardState, WriteBatch};
use cluster_types::Index;
use serde::{Deserialize, Serialize};

/// The state on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StoredState {
    /// Drawn at random when the store was created.
    pub incarnation: u64,
    /// Term, vote and commit index.
    pub hard_state: HardState,
    /// The snapshot, if there is one.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl StoredState {
    /// The state of a new store.
    pub fn empty(incarnation: u64) -> StoredState {
        StoredState { incarnation, ..StoredState::default() }
    }

    /// Applies a batch, for hosts and tests that keep the state in memory.
    pub fn apply_batch(&mut self, batch: &WriteBatch) {
        self.hard_state = batch.hard_state.clone();
        if let Some(from) = batch.truncate_from {
            self.entries.retain(|entry| entry.index < from);
        }
        if let Some(snapshot) = &batch.snapshot {
            self.entries.retain(|entry| entry.index.0 > snapshot.last.index);
            self.snapshot = Some(snapshot.clone());
        }
        self.entries.extend(batch.append.iter().cloned());
    }

    /// Checks the state and builds the log from it. Protects against a disk that returns wrong data or was edited.
    pub(crate) fn into_log(self, config: &Config) -> Result<Log, StartError> {
        let snapshot = self.snapshot.unwrap_or_default();
        check_snapshot(&snapshot, config)?;
        if let Some(vote) = &self.hard_state.vote {
            if !config.members.contains(&vote.candidate) {
                return Err(StartError::Vote(vote.candidate.clone()));
            }
        }
        let snapshot_index = snapshot.last.index;
        if let Some(first) = self.entries.first().filter(|entry| entry.index.0 <= snapshot_index) {
            return Err(StartError::Overlap { snapshot: Index(snapshot_index), first: first.index });
        }
        let mut log = Log::new(snapshot);
        for entry in self.entries {
            check_entry(&entry, &log, config)?;
            log.push(entry);
        }
        if log.last_position().term > self.hard_state.term || self.hard_state.term >= TERM_AND_INDEX_BOUND {
            return Err(StartError::TermAhead);
        }
        let (commit, last) = (self.hard_state.commit, Index(log.last_position().index));
        if commit > last {
            return Err(StartError::CommitAhead { commit, last });
        }
        Ok(log)
    }
}

/// Whether the incarnations are those of exactly the configured members.
fn names_all_members(incarnations: &Incarnations, config: &Config) -> bool {
    incarnations.len() == config.members.len()
        && config.members.iter().all(|member| incarnations.contains_key(member))
}

fn check_snapshot(snapshot: &Snapshot, config: &Config) -> Result<(), StartError> {
    let last = snapshot.last;
    if last.index > 0 && !names_all_members(&snapshot.incarnations, config) {
        return Err(StartError::OtherMembers);
    }
    if last.index >= TERM_AND_INDEX_BOUND
        || (last.index == 0) != (last.term == 0)
        || (last.index == 0 && !snapshot.data.is_empty())
    {
        return Err(StartError::Snapshot);
    }
    Ok(())
}

/// Checks that an entry may follow the last one in the log.
fn check_entry(entry: &Entry, log: &Log, config: &Config) -> Result<(), StartError> {
    if entry.index != log.next_index() {
        return Err(StartError::Gap { expected: log.next_index(), found: entry.index });
    }
    if entry.term < log.last_position().term || entry.term == 0 {
        return Err(StartError::TermDecreases(entry.index));
    }
    let is_first = entry.index.0 == 1;
    match &entry.payload {
        Payload::Bootstrap(incarnations) if is_first && !names_all_members(incarnations, config) => {
            Err(StartError::OtherMembers)
        }
        Payload::Bootstrap(_) if is_first => Ok(()),
        Payload::Bootstrap(_) => Err(StartError::Bootstrap(entry.index)),
        Payload::Readmit { member, .. } if !config.members.contains(member) => Err(StartError::OtherMembers),
        Payload::Readmit { .. } | Payload::Noop | Payload::Data(_) if is_first => {
            Err(StartError::Bootstrap(entry.index))
        }
        Payload::Readmit { .. } | Payload::Noop | Payload::Data(_) => Ok(()),
    }
}
