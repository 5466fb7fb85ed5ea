//! A follower's side of the log.
use crate::event::{Action, Role};
use crate::log::Snapshot;
use crate::message::{Entry, Message, Outcome, Payload, Position, FAR};
use crate::node::Node;
use crate::progress::Way;
use cluster_types::{Index, MemberId};
use std::sync::Arc;

impl Node {
    /// Whether it is a leader's word in a term that is not past; from then on this member follows it, and keeps its
    /// vote back for the least election time.
    pub(crate) fn hears(&mut self, from: &MemberId, term: u64) -> bool {
        let other = term == self.term
            && (self.role == Role::Leader || self.leader.as_ref().is_some_and(|l| l != from));
        if other {
            self.counts.malformed += 1;
            return false;
        }
        if term > self.term || self.role != Role::Follower {
            self.follow(term, Some(from.clone()));
        }
        self.leader = Some(from.clone());
        self.held = self.held.max(self.now + self.config.election_min);
        self.reset_election();
        true
    }

    /// Answers a leader: as a promise, or, where this member may promise nothing, so that the leader can go on.
    pub(crate) fn answer(&mut self, to: &MemberId, round: u64, outcome: Outcome) {
        let counts = self.admitted() && self.disk.well();
        let message = Message::Appended { term: self.term, round, counts, outcome };
        if self.disk.well() {
            self.promise(to, message);
        } else {
            self.sends.push((to.clone(), message));
        }
    }

    /// Guards the log against what no leader sends.
    fn well_formed(&self, term: u64, prev: Position, entries: &[Entry]) -> bool {
        if prev.index >= FAR || prev.term > term || (prev.index == 0) != (prev.term == 0) {
            return false;
        }
        let mut last = prev;
        entries.iter().all(|e| {
            let follows = e.index.0 == last.index + 1 && e.term >= last.term && e.term > 0 && e.term <= term;
            last = Position { term: e.term, index: e.index.0.min(FAR) };
            let lives = match &e.payload {
                Payload::Founding(lives) => e.index.0 == 1 && lives.keys().eq(self.config.members.iter()),
                Payload::Readmit { member, .. } => e.index.0 > 1 && self.config.members.contains(member),
                Payload::Noop | Payload::Data(_) => e.index.0 > 1,
            };
            follows && lives
        })
    }

    /// Whether entries would change what this member knows to be committed.
    fn contradicts(&self, prev: Position, entries: &[Entry]) -> bool {
        let all = entries.iter().map(|e| (e.index.0, e.term)).chain([(prev.index, prev.term)]);
        all.into_iter().any(|(index, term)| {
            index <= self.commit && self.log.term_at(index).is_some_and(|known| known != term)
        })
    }

    pub(crate) fn on_append(
        &mut self,
        from: &MemberId,
        term: u64,
        (prev, entries): (Position, Vec<Entry>),
        commit: u64,
        round: u64,
    ) {
        if term < self.term {
            self.counts.stale += 1;
            let outcome = Outcome::Reject { prev: prev.index, first: self.log.last().index + 1, term: None };
            return self.answer(from, round, outcome);
        }
        if !self.well_formed(term, prev, &entries) || self.contradicts(prev, &entries) {
            self.counts.malformed += 1;
            return;
        }
        if (term > self.term || !entries.is_empty()) && !self.may_write() {
            return;
        }
        if !self.hears(from, term) {
            return;
        }
        let outcome = self.take(prev, entries);
        if let Outcome::Match(upto) = outcome {
            self.commit_to(commit.min(upto));
        }
        self.answer(from, round, outcome);
    }

    fn take(&mut self, prev: Position, entries: Vec<Entry>) -> Outcome {
        let last = self.log.last().index;
        if prev.index > last {
            return Outcome::Reject { prev: prev.index, first: last + 1, term: None };
        }
        if prev.index > self.commit && self.log.term_at(prev.index) != Some(prev.term) {
            let first = self.log.first_of_term(prev.index).max(self.commit + 1);
            return Outcome::Reject { prev: prev.index, first, term: self.log.term_at(prev.index) };
        }
        let mut matched = prev.index;
        for entry in entries {
            let index = entry.index.0;
            if index > self.commit && self.log.term_at(index) != Some(entry.term) {
                if index <= self.log.last().index {
                    self.cut(index);
                }
                if !self.room(&entry) {
                    self.counts.full += 1;
                    break;
                }
                self.log.push(entry);
                self.disk.appended(index);
            }
            matched = index;
        }
        Outcome::Match(matched)
    }

    /// Guards the memory of a follower whose host does not give snapshots: twice of what a leader may hold.
    fn room(&self, entry: &Entry) -> bool {
        self.log.len() < self.config.log_entries * 2
            && self.log.bytes() + entry.weight() <= self.config.log_bytes.saturating_mul(2)
    }

    /// Drops the entries from there on, which are not committed.
    pub(crate) fn cut(&mut self, from: u64) {
        self.log.truncate(from);
        self.disk.truncated(from);
    }

    /// Learns that the log is committed up to there. What admits this member, or founds the log, goes to disk before anything
    /// is promised on the strength of it.
    pub(crate) fn commit_to(&mut self, upto: u64) {
        let upto = upto.min(self.log.last().index);
        if upto <= self.commit {
            return;
        }
        let (sealed, lives) =
            (self.commit > 0, self.log.lives_at(self.commit.max(1)).get(&self.config.me).copied());
        self.commit = upto;
        if !sealed || lives != self.log.lives_at(upto).get(&self.config.me).copied() {
            self.disk.dirty.hard = true;
        }
    }

    /// The host's snapshot of what it has applied.
    pub(crate) fn snapshot(&mut self, upto: u64, data: Arc<[u8]>) {
        let at = self.log.position(upto).filter(|at| at.index > self.log.snapshot.at.index);
        let Some(at) = at.filter(|at| at.index <= self.applied && data.len() <= self.config.snapshot_bytes)
        else {
            self.counts.malformed += 1;
            return;
        };
        if self.may_write() {
            let lives = self.log.lives_at(upto).clone();
            self.log.install(Snapshot { at, lives, data });
            self.disk.snapshotted();
            self.wanted = None;
        }
    }

    /// Asks for a snapshot when the log has grown long, and now and then again until there is one.
    pub(crate) fn want_snapshot(&mut self, out: &mut Vec<Action>) {
        let long = self.log.len() >= self.config.snapshot_after || self.log.bytes() >= self.half();
        // A snapshot that is being sent is not taken away from under its receiver, unless the log gets near its bound.
        let sending = || self.lead.progress.values().any(|p| matches!(p.way, Way::Pieces { .. }));
        let near = self.log.len() * 2 >= self.config.log_entries || self.log.bytes() >= self.half();
        let due = self.wanted.is_none_or(|at| self.now.since(at) >= self.config.election_max);
        if long && due && self.applied > self.log.snapshot.at.index && (near || !sending()) {
            self.wanted = Some(self.now);
            out.push(Action::WantSnapshot { upto: Index(self.applied) });
        }
    }

    fn half(&self) -> usize {
        self.config.log_bytes / 2
    }
}
