//! The in-memory log: a snapshot, the entries after it, and the incarnations that they admit.
use crate::entry::{Entry, Incarnations, LogPosition, Payload};
use crate::snapshot::Snapshot;
use cluster_types::Index;
use std::collections::VecDeque;

/// The incarnations that are admitted from an index on.
#[derive(Clone, Debug, Hash)]
struct Admission {
    index: u64,
    incarnations: Incarnations,
}

/// The log of a member.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Log {
    pub(crate) snapshot: Snapshot,
    entries: VecDeque<Entry>,
    memory_bytes: usize,
    /// Ordered by index; the first one belongs to the snapshot.
    admissions: Vec<Admission>,
}

impl Log {
    pub(crate) fn new(snapshot: Snapshot) -> Log {
        let admission = Admission { index: snapshot.last.index, incarnations: snapshot.incarnations.clone() };
        Log { snapshot, entries: VecDeque::new(), memory_bytes: 0, admissions: vec![admission] }
    }

    /// The position of the last entry.
    pub(crate) fn last_position(&self) -> LogPosition {
        self.entries.back().map_or(self.snapshot.last, Entry::position)
    }

    /// The index that follows the last entry.
    pub(crate) fn next_index(&self) -> Index {
        Index(self.last_position().index + 1)
    }

    /// The number of entries after the snapshot.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// The memory that the entries after the snapshot take, in bytes.
    pub(crate) fn memory_bytes(&self) -> usize {
        self.memory_bytes
    }

    fn offset(&self, index: u64) -> Option<usize> {
        usize::try_from(index.checked_sub(self.snapshot.last.index + 1)?).ok()
    }

    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        self.entries.get(self.offset(index)?)
    }

    /// The term of the entry at an index, if known.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.last.index {
            return Some(self.snapshot.last.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// The position at an index, if its term is known.
    pub(crate) fn position_at(&self, index: u64) -> Option<LogPosition> {
        Some(LogPosition { term: self.term_at(index)?, index })
    }

    /// The index of the first entry with the same term as the entry at `index`.
    pub(crate) fn first_index_of_term_at(&self, mut index: u64) -> u64 {
        let term = self.term_at(index);
        while index > self.snapshot.last.index + 1 && self.term_at(index - 1) == term {
            index -= 1;
        }
        index
    }

    /// The greatest index up to `index` whose term is at most `term`.
    pub(crate) fn last_index_up_to_term(&self, mut index: u64, term: u64) -> u64 {
        while index > self.snapshot.last.index && self.term_at(index).is_some_and(|known| known > term) {
            index -= 1;
        }
        index
    }

    /// The entries from an index on, within both limits; at least one if there is any.
    pub(crate) fn slice(&self, from: u64, max_entries: usize, max_bytes: usize) -> Vec<Entry> {
        let Some(offset) = self.offset(from) else { return Vec::new() };
        let mut taken_bytes = 0;
        let fits = |(nth, entry): &(usize, &Entry)| {
            taken_bytes += entry.memory_bytes();
            *nth == 0 || taken_bytes <= max_bytes
        };
        let candidates = self.entries.iter().skip(offset).take(max_entries);
        candidates.enumerate().take_while(fits).map(|(_, entry)| entry.clone()).collect()
    }

    /// The incarnations admitted by all entries, committed or not.
    pub(crate) fn incarnations(&self) -> &Incarnations {
        &self.admissions[self.admissions.len() - 1].incarnations
    }

    /// The incarnations admitted as of an index; those of the snapshot if it is later.
    pub(crate) fn incarnations_at(&self, index: u64) -> &Incarnations {
        let following = self.admissions.partition_point(|admission| admission.index <= index);
        &self.admissions[following.saturating_sub(1)].incarnations
    }

    /// Appends an entry.
    pub(crate) fn push(&mut self, entry: Entry) {
        let index = entry.index.0;
        match &entry.payload {
            Payload::Bootstrap(incarnations) => {
                self.admissions.push(Admission { index, incarnations: incarnations.clone() });
            }
            Payload::Readmit { member, incarnation } => {
                let mut incarnations = self.incarnations().clone();
                incarnations.insert(member.clone(), *incarnation);
                self.admissions.push(Admission { index, incarnations });
            }
            Payload::Noop | Payload::Data(_) => {}
        }
        self.memory_bytes += entry.memory_bytes();
        self.entries.push_back(entry);
    }

    /// Removes the entries from an index on.
    pub(crate) fn truncate(&mut self, from: u64) {
        while let Some(entry) = self.entries.pop_back_if(|entry| entry.index.0 >= from) {
            self.memory_bytes -= entry.memory_bytes();
        }
        while self.admissions.len() > 1 && self.admissions[self.admissions.len() - 1].index >= from {
            self.admissions.pop();
        }
    }

    /// Replaces the entries up to the last one in the snapshot with the snapshot. Later entries are kept if this log contains the
    /// snapshot's last position; otherwise nothing is kept.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        let last = snapshot.last;
        if self.term_at(last.index) != Some(last.term) {
            *self = Log::new(snapshot);
            return;
        }
        while let Some(entry) = self.entries.pop_front_if(|entry| entry.index.0 <= last.index) {
            self.memory_bytes -= entry.memory_bytes();
        }
        self.admissions.retain(|admission| admission.index > last.index);
        let admission = Admission { index: last.index, incarnations: snapshot.incarnations.clone() };
        self.admissions.insert(0, admission);
        self.snapshot = snapshot;
    }
}
