//! The log in memory: a snapshot, the entries after it, and the lives that they admit.
use crate::message::{Entry, Lives, Payload, Position};
use cluster_types::Index;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Arc;

/// What the entries up to a place came to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Its last entry.
    pub at: Position,
    /// The lives admitted as of there.
    pub lives: Lives,
    /// The host's bytes.
    pub data: Arc<[u8]>,
}

#[derive(Clone, Debug, Hash)]
pub(crate) struct Log {
    pub(crate) snapshot: Snapshot,
    entries: VecDeque<Entry>,
    bytes: usize,
    /// The lives from an index on; the first is the snapshot's.
    lives: Vec<(u64, Lives)>,
}

impl Log {
    pub(crate) fn new(snapshot: Snapshot) -> Log {
        let lives = vec![(snapshot.at.index, snapshot.lives.clone())];
        Log { snapshot, entries: VecDeque::new(), bytes: 0, lives }
    }

    pub(crate) fn last(&self) -> Position {
        self.entries.back().map_or(self.snapshot.at, |e| Position { term: e.term, index: e.index.0 })
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    fn place(&self, index: u64) -> Option<usize> {
        usize::try_from(index.checked_sub(self.snapshot.at.index + 1)?).ok()
    }

    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        self.entries.get(self.place(index)?)
    }

    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.at.index {
            return Some(self.snapshot.at.term);
        }
        self.get(index).map(|e| e.term)
    }

    /// The place at that index, if it is known.
    pub(crate) fn position(&self, index: u64) -> Option<Position> {
        Some(Position { term: self.term_at(index)?, index })
    }

    /// The first index of the term that the entry there has.
    pub(crate) fn first_of_term(&self, mut index: u64) -> u64 {
        let term = self.term_at(index);
        while index > self.snapshot.at.index + 1 && self.term_at(index - 1) == term {
            index -= 1;
        }
        index
    }

    /// The last index whose term is not above that one, up to a place.
    pub(crate) fn last_upto_term(&self, mut index: u64, term: u64) -> u64 {
        while index > self.snapshot.at.index && self.term_at(index).is_some_and(|t| t > term) {
            index -= 1;
        }
        index
    }

    /// Entries from an index on, at least one if there is one, within the bounds of a message.
    pub(crate) fn slice(&self, from: u64, count: usize, bytes: usize) -> Vec<Entry> {
        let Some(place) = self.place(from) else { return Vec::new() };
        let mut weight = 0;
        self.entries
            .iter()
            .skip(place)
            .take(count)
            .enumerate()
            .take_while(|(nth, e)| {
                weight += e.weight();
                *nth == 0 || weight <= bytes
            })
            .map(|(_, e)| e.clone())
            .collect()
    }

    /// The lives that all entries admit, committed or not.
    pub(crate) fn lives(&self) -> &Lives {
        &self.lives[self.lives.len() - 1].1
    }

    /// The lives as of an index; those of the snapshot where that is later.
    pub(crate) fn lives_at(&self, index: u64) -> &Lives {
        let place = self.lives.partition_point(|(at, _)| *at <= index);
        &self.lives[place.saturating_sub(1)].1
    }

    /// Adds an entry that follows the last.
    pub(crate) fn push(&mut self, entry: Entry) {
        match &entry.payload {
            Payload::Founding(lives) => self.lives.push((entry.index.0, lives.clone())),
            Payload::Readmit { member, life } => {
                let mut lives = self.lives().clone();
                lives.insert(member.clone(), *life);
                self.lives.push((entry.index.0, lives));
            }
            Payload::Noop | Payload::Data(_) => {}
        }
        self.bytes += entry.weight();
        self.entries.push_back(entry);
    }

    /// Drops the entries from an index on.
    pub(crate) fn truncate(&mut self, from: u64) {
        while self.entries.back().is_some_and(|e| e.index.0 >= from) {
            let weight = self.entries.pop_back().map_or(0, |e| e.weight());
            self.bytes -= weight;
        }
        while self.lives.len() > 1 && self.lives[self.lives.len() - 1].0 >= from {
            self.lives.pop();
        }
    }

    /// Takes a snapshot in place of the entries up to its end. Keeps what follows it in this log; where this log
    /// does not have its end, nothing is kept.
    pub(crate) fn install(&mut self, snapshot: Snapshot) {
        let at = snapshot.at;
        if self.term_at(at.index) != Some(at.term) {
            *self = Log::new(snapshot);
            return;
        }
        while self.entries.front().is_some_and(|e| e.index.0 <= at.index) {
            let weight = self.entries.pop_front().map_or(0, |e| e.weight());
            self.bytes -= weight;
        }
        self.lives.retain(|(index, _)| *index > at.index);
        self.lives.insert(0, (at.index, snapshot.lives.clone()));
        self.snapshot = snapshot;
    }

    /// The entry that is due after the last.
    pub(crate) fn due(&self) -> Index {
        Index(self.last().index + 1)
    }
}
