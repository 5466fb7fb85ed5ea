//! The table of the other members.
use crate::digest::Digest;
use crate::member::{MemberState, Seed};
use crate::member_entry::{Entry, Reporter};
use crate::wire::MemberRecord;
use cluster_types::{MemberId, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// The result of merging a record into the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// The record was ignored: the table has the same or a newer one.
    Outdated,
    /// The record was stored.
    Updated {
        /// Whether the state changed, or the process restarted.
        changed: bool,
    },
    /// The member is unknown, and the table is full.
    TableFull,
}

/// The other members by name.
#[derive(Clone, Debug)]
pub struct MemberTable {
    entries: BTreeMap<MemberId, Entry>,
    max_members: usize,
    forget_after: Duration,
    // The fields below are derived from the entries, and recomputed with each change.
    digest: Digest,
    live_count: usize,
    next_deadline: Option<(Time, MemberId)>,
}

impl MemberTable {
    /// A table of at most `max_members`. Those that are neither live nor configured are removed after `forget_after`.
    pub fn new(max_members: usize, forget_after: Duration) -> MemberTable {
        let (entries, digest) = (BTreeMap::new(), Digest::default());
        MemberTable { entries, max_members, forget_after, digest, live_count: 0, next_deadline: None }
    }

    pub fn get(&self, member: &MemberId) -> Option<&Entry> {
        self.entries.get(member)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&MemberId, &Entry)> {
        self.entries.iter()
    }

    /// All entries, beginning at position `first` and wrapping around.
    pub fn entries_from(&self, first: usize) -> impl Iterator<Item = &Entry> {
        self.entries.values().skip(first).chain(self.entries.values().take(first))
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn live_members(&self) -> impl Iterator<Item = &MemberId> {
        let live = self.entries.iter().filter(|(_, entry)| entry.record.state.is_live());
        live.map(|(member, _)| member)
    }

    pub fn is_live(&self, member: &MemberId) -> bool {
        self.get(member).is_some_and(|entry| entry.record.state.is_live())
    }

    /// The number of members in any state except left.
    pub fn count_without_left(&self) -> usize {
        self.entries.values().filter(|entry| entry.record.state != MemberState::Left).count()
    }

    /// The digest of the live members.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    pub fn live_count(&self) -> usize {
        self.live_count
    }

    /// The next time at which a suspicion times out or a member is to be removed, and the member.
    pub fn next_deadline(&self) -> Option<&(Time, MemberId)> {
        self.next_deadline.as_ref()
    }

    fn update_derived(&mut self) {
        self.digest = Digest::default();
        self.entries.values().for_each(|entry| self.digest.add_member(&entry.record));
        self.live_count = self.live_members().count();
        let deadlines =
            self.entries.iter().filter_map(|(member, entry)| Some((self.deadline_of(entry)?, member)));
        self.next_deadline = deadlines.min().map(|(at, member)| (at, member.clone()));
    }

    fn deadline_of(&self, entry: &Entry) -> Option<Time> {
        if entry.record.state.is_live() {
            entry.suspect_until
        } else {
            (!entry.is_seed).then(|| entry.state_since + self.forget_after)
        }
    }

    /// Ensures space for one more member: if the table is full, removes the member that has not been live for longest, except
    /// for seeds. Returns false if there is none.
    fn ensure_capacity(&mut self) -> bool {
        if self.entries.len() < self.max_members {
            return true;
        }
        let removable =
            self.entries.iter().filter(|(_, entry)| !entry.is_seed && !entry.record.state.is_live());
        let oldest = removable.min_by_key(|(_, entry)| entry.state_since);
        let Some(oldest) = oldest.map(|(member, _)| member.clone()) else { return false };
        self.entries.remove(&oldest);
        true
    }

    /// Stores a record if it is newer than the known one. A death reported by other members is stored as a suspicion.
    /// `suspect_until` is when a suspicion that begins now times out.
    pub fn merge(
        &mut self,
        mut record: MemberRecord,
        reporter: Reporter,
        now: Time,
        suspect_until: Time,
    ) -> MergeOutcome {
        let Some(entry) = self.entries.get_mut(&record.member) else {
            return self.insert(record, now, suspect_until);
        };
        // A member that receives nothing regards all others as dead; its reports must not remove them from the group.
        let reported_dead = reporter == Reporter::Other && record.state == MemberState::Dead;
        if reported_dead && entry.record.state.is_live() {
            record.state = MemberState::Suspect;
        }
        if entry.is_seed {
            record.zone = entry.record.zone.clone();
            record.address = entry.record.address;
        }
        let known = (entry.record.incarnation(), entry.record.state);
        if (record.incarnation(), record.state) <= known {
            return MergeOutcome::Outdated;
        }
        let same_state = record.state == entry.record.state;
        let changed = !same_state || record.base_incarnation != entry.record.base_incarnation;
        if !same_state {
            entry.state_since = now;
        }
        entry.suspect_until = (record.state == MemberState::Suspect).then_some(suspect_until);
        entry.record = record;
        self.update_derived();
        MergeOutcome::Updated { changed }
    }

    /// Adds an unknown member if it is live.
    fn insert(&mut self, record: MemberRecord, now: Time, suspect_until: Time) -> MergeOutcome {
        if !record.state.is_live() {
            return MergeOutcome::Outdated;
        }
        if !self.ensure_capacity() {
            return MergeOutcome::TableFull;
        }
        let suspect_until = (record.state == MemberState::Suspect).then_some(suspect_until);
        let member = record.member.clone();
        let entry = Entry { record, is_seed: false, state_since: now, suspect_until };
        self.entries.insert(member, entry);
        self.update_derived();
        MergeOutcome::Updated { changed: true }
    }

    /// Marks a member as configured, and sets its zone and address. An unknown member is added as dead.
    pub fn add_seed(&mut self, seed: &Seed, now: Time) {
        if !self.entries.contains_key(&seed.member) {
            // Seeds are added even if the table is full and nothing can be removed.
            self.ensure_capacity();
        }
        let entry = self.entries.entry(seed.member.clone()).or_insert_with(|| Entry {
            record: MemberRecord {
                member: seed.member.clone(),
                zone: seed.zone.clone(),
                address: seed.address,
                base_incarnation: 0,
                incarnation_offset: 0,
                state: MemberState::Dead,
            },
            is_seed: true,
            state_since: now,
            suspect_until: None,
        });
        entry.is_seed = true;
        entry.record.zone = seed.zone.clone();
        entry.record.address = seed.address;
        self.update_derived();
    }

    /// Marks a member as no longer configured.
    pub fn remove_seed(&mut self, member: &MemberId, now: Time) {
        if let Some(entry) = self.entries.get_mut(member) {
            entry.is_seed = false;
            entry.state_since = now;
        }
        self.update_derived();
    }

    /// Removes a member.
    pub fn remove(&mut self, member: &MemberId) {
        self.entries.remove(member);
        self.update_derived();
    }

    /// Extends all suspicions by `span`.
    pub fn postpone_suspicions(&mut self, span: Duration) {
        for entry in self.entries.values_mut() {
            entry.suspect_until = entry.suspect_until.map(|until| until + span);
        }
        self.update_derived();
    }
}
