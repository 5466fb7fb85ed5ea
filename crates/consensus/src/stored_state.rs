//! What the host read from disk at its start, and whether it can be trusted.
use crate::config::Config;
use crate::error::Fault;
use crate::event::{Batch, Hard};
use crate::log::{Log, Snapshot};
use crate::message::{Entry, Payload, FAR};
use cluster_types::Index;
use serde::{Deserialize, Serialize};

/// What is on disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Stored {
    /// Drawn at random when the store was made.
    pub life: u64,
    /// Term, vote and what is known as committed.
    pub hard: Hard,
    /// The snapshot, if there is one.
    pub snapshot: Option<Snapshot>,
    /// The entries after it.
    pub entries: Vec<Entry>,
}

impl Stored {
    /// A new store.
    pub fn empty(life: u64) -> Stored {
        Stored { life, ..Stored::default() }
    }

    /// Does what a batch asks for, for hosts and tests that keep it all in memory.
    pub fn write(&mut self, batch: &Batch) {
        self.hard = batch.hard.clone();
        if let Some(from) = batch.truncate {
            self.entries.retain(|e| e.index < from);
        }
        if let Some(snapshot) = &batch.snapshot {
            self.entries.retain(|e| e.index.0 > snapshot.at.index);
            self.snapshot = Some(snapshot.clone());
        }
        self.entries.extend(batch.append.iter().cloned());
    }

    /// Guards a start from a disk that lies or was mended by hand.
    pub(crate) fn check(self, config: &Config) -> Result<Log, Fault> {
        let snapshot = self.snapshot.unwrap_or_default();
        let known = |lives: &crate::message::Lives| {
            lives.len() == config.members.len() && config.members.iter().all(|m| lives.contains_key(m))
        };
        let base = snapshot.at;
        if base.index > 0 && !known(&snapshot.lives) {
            return Err(Fault::Others);
        }
        if base.index >= FAR
            || (base.index == 0) != (base.term == 0)
            || (base.index == 0 && !snapshot.data.is_empty())
        {
            return Err(Fault::Snapshot);
        }
        if let Some((member, _)) = self.hard.vote.as_ref().filter(|(m, _)| !config.members.contains(m)) {
            return Err(Fault::Vote(member.clone()));
        }
        if let Some(first) = self.entries.first().filter(|e| e.index.0 <= base.index) {
            return Err(Fault::Overlap { snapshot: Index(base.index), first: first.index });
        }
        let mut log = Log::new(snapshot);
        for entry in self.entries {
            if entry.index != log.due() {
                return Err(Fault::Gap { due: log.due(), found: entry.index });
            }
            if entry.term < log.last().term || entry.term == 0 {
                return Err(Fault::TermBack(entry.index));
            }
            match &entry.payload {
                Payload::Founding(lives) if entry.index.0 == 1 && !known(lives) => return Err(Fault::Others),
                Payload::Founding(_) if entry.index.0 == 1 => {}
                Payload::Founding(_) => return Err(Fault::Founding(entry.index)),
                Payload::Readmit { member, .. } if !config.members.contains(member) => {
                    return Err(Fault::Others)
                }
                _ if entry.index.0 == 1 => return Err(Fault::Founding(entry.index)),
                _ => {}
            }
            log.push(entry);
        }
        if log.last().term > self.hard.term || self.hard.term >= FAR {
            return Err(Fault::TermAhead);
        }
        if self.hard.commit.0 > log.last().index {
            return Err(Fault::CommitAhead { commit: self.hard.commit, last: Index(log.last().index) });
        }
        Ok(log)
    }
}
