//! What waits for the disk: batches in order, and the promises that each holds back.
use crate::event::{Action, Batch, Hard, Role};
use crate::message::Message;
use crate::node::Node;
use cluster_types::{Index, MemberId};
use std::collections::VecDeque;
use std::hash::{Hash, Hasher};

/// What is promised once a batch is on disk.
#[derive(Clone, Debug, Hash)]
pub(crate) enum Promise {
    Say(MemberId, Message),
    /// The candidate's own vote in that term.
    OwnVote(u64),
}

/// What has changed since the last batch.
#[derive(Clone, Debug, Default, Hash)]
pub(crate) struct Dirty {
    pub(crate) hard: bool,
    truncate: Option<u64>,
    append: Option<u64>,
    snapshot: bool,
    /// All is to be written anew.
    whole: bool,
}

#[derive(Clone, Debug, Hash)]
struct Written {
    id: u64,
    /// The last entry on disk once it is written.
    last: u64,
    promises: Vec<Promise>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Health {
    Well,
    Failed,
    /// Well again once this batch is written.
    Recovering(u64),
}

#[derive(Clone, Debug)]
pub(crate) struct Disk {
    pub(crate) dirty: Dirty,
    next: u64,
    pending: VecDeque<Written>,
    /// The last entry that is on disk and in the log.
    pub(crate) durable: u64,
    health: Health,
    promises: Vec<Promise>,
}

impl Disk {
    pub(crate) fn new(durable: u64) -> Disk {
        let (dirty, pending, promises) = (Dirty::default(), VecDeque::new(), Vec::new());
        Disk { dirty, next: 1, pending, durable, health: Health::Well, promises }
    }

    pub(crate) fn well(&self) -> bool {
        self.health == Health::Well
    }

    /// Entries from this one on went from the log.
    pub(crate) fn truncated(&mut self, from: u64) {
        let last = from.saturating_sub(1);
        self.durable = self.durable.min(last);
        for written in &mut self.pending {
            written.last = written.last.min(last);
        }
        self.dirty.truncate = Some(self.dirty.truncate.map_or(from, |t| t.min(from)));
        self.dirty.append = self.dirty.append.filter(|a| *a < from);
    }

    pub(crate) fn appended(&mut self, from: u64) {
        self.dirty.append = Some(self.dirty.append.map_or(from, |a| a.min(from)));
    }

    /// The log's snapshot is another. Where the log did not go on behind it, the entries went.
    pub(crate) fn snapshotted(&mut self) {
        self.dirty.snapshot = true;
    }

    pub(crate) fn promise(&mut self, promise: Promise) {
        self.promises.push(promise);
    }

    pub(crate) fn fingerprint(&self, into: &mut impl Hasher) {
        (&self.dirty, self.durable, self.health == Health::Well, self.health == Health::Failed).hash(into);
        for written in &self.pending {
            (self.next - written.id, written.last, &written.promises).hash(into);
        }
    }
}

impl Node {
    /// Says it once all that this member knows by now is on disk; never where the disk has failed.
    pub(crate) fn promise(&mut self, to: &MemberId, message: Message) {
        self.disk.promise(Promise::Say(to.clone(), message));
    }

    /// Guards against a disk that is too slow: whether another batch may be queued.
    pub(crate) fn may_write(&mut self) -> bool {
        let may = self.disk.pending.len() < self.config.unwritten;
        self.counts.full += u64::from(!may);
        may
    }

    /// Queues a batch for what has changed and the promises that wait for it. Whether promises were given at once
    /// and may have changed something again.
    pub(crate) fn flush(&mut self, out: &mut Vec<Action>) -> bool {
        let dirty = std::mem::take(&mut self.disk.dirty);
        let mut promises = std::mem::take(&mut self.disk.promises);
        if !self.disk.well() {
            self.counts.disk += promises.len() as u64;
            promises.clear();
        }
        let changed =
            dirty.hard || dirty.truncate.is_some() || dirty.append.is_some() || dirty.snapshot || dirty.whole;
        if changed && (dirty.whole || self.disk.health != Health::Failed) {
            let batch = self.batch(dirty);
            self.disk.pending.push_back(Written { id: batch.id, last: self.log.last().index, promises });
            out.push(Action::Persist(batch));
            return false;
        }
        let Some(last) = self.disk.pending.back_mut() else { return self.keep(promises) };
        let room = (4 * self.config.members.len()).saturating_sub(last.promises.len());
        self.counts.full += promises.len().saturating_sub(room) as u64;
        last.promises.extend(promises.into_iter().take(room));
        false
    }

    fn batch(&mut self, dirty: Dirty) -> Batch {
        let id = self.disk.next;
        self.disk.next += 1;
        let base = self.log.snapshot.at.index;
        let (truncate, append, snapshot) = if dirty.whole {
            self.disk.health = Health::Recovering(id);
            (Some(1), Some(base + 1), base > 0)
        } else {
            (dirty.truncate, dirty.append.map(|a| a.max(base + 1)), dirty.snapshot)
        };
        let append = append.map_or_else(Vec::new, |from| self.log.slice(from, usize::MAX, usize::MAX));
        let hard = Hard { term: self.term, vote: self.vote.clone(), commit: Index(self.commit) };
        let snapshot = snapshot.then(|| self.log.snapshot.clone());
        Batch { id, hard, truncate: truncate.map(Index), snapshot, append }
    }

    /// Gives promises; those of an earlier term are of no use any more.
    fn keep(&mut self, promises: Vec<Promise>) -> bool {
        let any = !promises.is_empty();
        for promise in promises {
            match promise {
                Promise::Say(to, message) if message.term() == self.term => self.sends.push((to, message)),
                // A pre-vote is of the term that would be, and promises nothing.
                Promise::Say(to, message @ Message::PreVote { .. }) => self.sends.push((to, message)),
                Promise::OwnVote(term) if term == self.term && self.role == Role::Candidate => {
                    self.own_vote()
                }
                _ => self.counts.stale += 1,
            }
        }
        any
    }

    pub(crate) fn persisted(&mut self, batch: u64) {
        if !self.disk.pending.iter().any(|w| w.id == batch) {
            self.counts.unknown += 1;
            return;
        }
        while let Some(written) = self.disk.pending.pop_front_if(|w| w.id <= batch) {
            self.disk.durable = written.last;
            if self.disk.health == Health::Recovering(written.id) {
                self.disk.health = Health::Well;
            }
            self.keep(written.promises);
        }
        if self.role == Role::Leader {
            self.advance();
        }
    }

    pub(crate) fn persist_failed(&mut self, batch: u64) {
        if !self.disk.pending.iter().any(|w| w.id == batch) {
            self.counts.unknown += 1;
            return;
        }
        self.disk.health = Health::Failed;
        self.disk.pending.clear();
        if self.role != Role::Follower {
            self.follow(self.term, None);
        }
    }

    pub(crate) fn recovered(&mut self) {
        if self.disk.health == Health::Failed {
            self.disk.dirty.whole = true;
        } else {
            self.counts.unknown += 1;
        }
    }
}
