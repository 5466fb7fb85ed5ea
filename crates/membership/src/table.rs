//! The other members as they are held.
use crate::digest::Digest;
use crate::names::{Member, Seed, State};
use crate::wire::Record;
use cluster_types::{MemberId, Time};
use std::collections::BTreeMap;
use std::time::Duration;

#[derive(Clone, Debug)]
pub struct Entry {
    pub record: Record,
    /// Whether it is configured: then its hall and address are the configured ones, and it is never forgotten.
    pub seed: bool,
    /// Since when it is held so.
    pub since: Time,
    /// When its suspicion ends.
    pub until: Option<Time>,
}

/// What merging did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merged {
    /// Nothing new.
    Old,
    /// New, and whether its state or life changed with it.
    New { changed: bool },
    /// One member too many.
    Full,
}

#[derive(Clone, Debug)]
pub struct Table {
    entries: BTreeMap<MemberId, Entry>,
    most: usize,
    forget: Duration,
    /// What follows from the entries, kept up to date with each change.
    digest: Digest,
    live: usize,
    next: Option<(Time, MemberId)>,
}

impl Table {
    /// With room for so many; those that are not live, nor configured, are forgotten after that time.
    pub fn new(most: usize, forget: Duration) -> Table {
        let (entries, digest) = (BTreeMap::new(), Digest::default());
        Table { entries, most, forget, digest, live: 0, next: None }
    }

    pub fn get(&self, member: &MemberId) -> Option<&Entry> {
        self.entries.get(member)
    }

    pub fn all(&self) -> impl Iterator<Item = (&MemberId, &Entry)> {
        self.entries.iter()
    }

    /// All from that one on, then round.
    pub fn from(&self, first: usize) -> impl Iterator<Item = &Entry> {
        self.entries.values().skip(first).chain(self.entries.values().take(first))
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn live(&self) -> impl Iterator<Item = &MemberId> {
        self.entries.iter().filter(|(_, entry)| entry.record.state.live()).map(|(member, _)| member)
    }

    pub fn is_live(&self, member: &MemberId) -> bool {
        self.get(member).is_some_and(|entry| entry.record.state.live())
    }

    /// All that did not leave by their own word.
    pub fn present(&self) -> usize {
        self.entries.values().filter(|entry| entry.record.state != State::Left).count()
    }

    /// Of all live ones.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    fn sum(&mut self) {
        self.digest = Digest::default();
        self.entries.values().for_each(|entry| self.digest.add(&entry.record));
        self.live = self.live().count();
        let forgotten = |entry: &Entry| (!entry.seed).then(|| entry.since + self.forget);
        let times = self.entries.iter().filter_map(|(member, entry)| {
            let at = if entry.record.state.live() { entry.until } else { forgotten(entry) };
            at.map(|at| (at, member))
        });
        self.next = times.min().map(|(at, member)| (at, member.clone()));
    }

    /// How many are live.
    pub fn count(&self) -> usize {
        self.live
    }

    /// Whose suspicion ends next, or who is forgotten next.
    pub fn next(&self) -> Option<&(Time, MemberId)> {
        self.next.as_ref()
    }

    /// Makes room by forgetting the member that is dead for longest and not configured.
    fn room(&mut self) -> bool {
        if self.entries.len() < self.most {
            return true;
        }
        let gone = self.entries.iter().filter(|(_, entry)| !entry.seed && !entry.record.state.live());
        let Some(oldest) = gone.min_by_key(|(_, entry)| entry.since).map(|(member, _)| member.clone()) else {
            return false;
        };
        self.entries.remove(&oldest);
        true
    }

    /// Takes over what is newer. What others say of a death is no more than a suspicion here. `until` is when one that begins
    /// now ends.
    pub fn merge(&mut self, mut record: Record, hearsay: bool, now: Time, until: Time) -> Merged {
        let Some(entry) = self.entries.get_mut(&record.member) else {
            if !record.state.live() {
                return Merged::Old;
            }
            if !self.room() {
                return Merged::Full;
            }
            let until = (record.state == State::Suspect).then_some(until);
            let entry = Entry { record: record.clone(), seed: false, since: now, until };
            self.entries.insert(record.member.clone(), entry);
            self.sum();
            return Merged::New { changed: true };
        };
        // Guards against a member that hears nobody: its word alone must not end the others.
        if hearsay && record.state == State::Dead && entry.record.state.live() {
            record.state = State::Suspect;
        }
        if entry.seed {
            record.hall = entry.record.hall.clone();
            record.at = entry.record.at;
        }
        let held = (entry.record.incarnation(), entry.record.state);
        if (record.incarnation(), record.state) <= held {
            return Merged::Old;
        }
        let changed = record.state != entry.record.state || record.life != entry.record.life;
        entry.since = if record.state == entry.record.state { entry.since } else { now };
        entry.until = (record.state == State::Suspect).then_some(until);
        entry.record = record;
        self.sum();
        Merged::New { changed }
    }

    /// Makes it a configured one, at that place.
    pub fn seed(&mut self, seed: &Seed, now: Time) {
        if !self.entries.contains_key(&seed.member) {
            self.room();
        }
        let entry = self.entries.entry(seed.member.clone()).or_insert_with(|| {
            let (member, hall, at) = (seed.member.clone(), seed.hall.clone(), seed.at);
            let record = Record { member, hall, at, life: 0, ahead: 0, state: State::Dead };
            Entry { record, seed: true, since: now, until: None }
        });
        entry.seed = true;
        entry.record.hall = seed.hall.clone();
        entry.record.at = seed.at;
        self.sum();
    }

    /// Makes it one that is not configured.
    pub fn unseed(&mut self, member: &MemberId, now: Time) {
        if let Some(entry) = self.entries.get_mut(member) {
            entry.seed = false;
            entry.since = now;
        }
        self.sum();
    }

    pub fn remove(&mut self, member: &MemberId) -> Option<Entry> {
        let entry = self.entries.remove(member);
        self.sum();
        entry
    }

    /// Moves the ends of all suspicions.
    pub fn postpone(&mut self, span: Duration) {
        for entry in self.entries.values_mut() {
            entry.until = entry.until.map(|until| until + span);
        }
        self.sum();
    }
}

impl Entry {
    pub fn member(&self) -> Member {
        let Record { member, hall, at, life, state, .. } = self.record.clone();
        Member { member, hall, at, life, incarnation: self.record.incarnation(), state }
    }
}
