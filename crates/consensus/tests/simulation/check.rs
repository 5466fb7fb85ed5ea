//! The safety properties that must hold after each step.
use crate::host::Host;
use consensus::{Entry, Role, StoredState, WriteBatch};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

#[derive(Default)]
pub struct Check {
    /// The leader of each term.
    leader_by_term: BTreeMap<u64, usize>,
    /// The members that currently act as leader.
    current_leaders: BTreeSet<usize>,
    /// Every entry ever written, by term and index, with the term of the entry before it.
    written_entries: BTreeMap<(u64, u64), (u64, Entry)>,
    /// Every entry applied by any member, by index: its term, its ticket, and the state digest after it.
    pub applied: BTreeMap<u64, (u64, u64, u64)>,
    /// The term in which each applied entry was committed: that of the first member to apply it, which is the leader.
    commit_terms: BTreeMap<u64, u64>,
    /// The tickets of acknowledged proposals, by index.
    pub acknowledged: BTreeMap<u64, u64>,
}

fn last_entry(stored: &StoredState) -> (u64, u64) {
    let base = stored.snapshot.as_ref().map_or((0, 0), |s| (s.last.index, s.last.term));
    stored.entries.last().map_or(base, |e| (e.index.0, e.term))
}

pub fn leading_u64(data: &[u8]) -> u64 {
    u64::from_le_bytes(data[..8].try_into().unwrap())
}

impl Check {
    /// Log matching: entries with the same index and term are equal on all members, and so is the term of the entry before them.
    pub fn check_written(&mut self, projected: &mut StoredState, batch: &WriteBatch) -> Result<(), String> {
        let mut without_entries = batch.clone();
        without_entries.append.clear();
        projected.apply_batch(&without_entries);
        for entry in &batch.append {
            let (index, term) = last_entry(projected);
            if entry.index.0 != index + 1 {
                return Err(format!("entry {} was written after entry {index}", entry.index.0));
            }
            let known = self
                .written_entries
                .entry((entry.term, entry.index.0))
                .or_insert_with(|| (term, entry.clone()));
            if *known != (term, entry.clone()) {
                return Err(format!("logs differ: {known:?} and {entry:?} after term {term}"));
            }
            projected.entries.push(entry.clone());
        }
        Ok(())
    }

    /// Election safety, and leader completeness: a new leader's log contains everything committed in earlier terms.
    pub fn check_role(
        &mut self,
        member: usize,
        role: Role,
        term: u64,
        projected: &StoredState,
    ) -> Result<(), String> {
        if role != Role::Leader {
            self.current_leaders.remove(&member);
            return Ok(());
        }
        self.current_leaders.insert(member);
        let first = *self.leader_by_term.entry(term).or_insert(member);
        if first != member {
            return Err(format!("members {first} and {member} both lead in term {term}"));
        }
        let base = projected.snapshot.as_ref().map_or(0, |s| s.last.index);
        for (index, (expected_term, ..)) in self.applied.range(base + 1..) {
            let committed = self.commit_terms[index];
            let position = usize::try_from(index - base - 1).unwrap();
            if committed < term && projected.entries.get(position).map(|e| e.term) != Some(*expected_term) {
                return Err(format!(
                    "member {member} leads in term {term} without entry {index}, committed in term {committed}"
                ));
            }
        }
        Ok(())
    }

    /// State machine safety: all members apply the same entries in the same order and skip none.
    pub fn check_apply(&mut self, host: &mut Host, index: u64, term: u64, data: &[u8]) -> Result<(), String> {
        if index <= host.applied_index {
            return Err(format!(
                "{} applied entry {index} after entry {}",
                host.config.own_id, host.applied_index
            ));
        }
        let mut hasher = DefaultHasher::new();
        (host.state_digest, index, term, data).hash(&mut hasher);
        (host.state_digest, host.applied_index) = (hasher.finish(), index);
        let applied_entry = (term, leading_u64(data), host.state_digest);
        let first = *self.applied.entry(index).or_insert(applied_entry);
        let member_term = host.node.as_ref().map_or(0, |n| n.term());
        self.commit_terms.entry(index).or_insert(member_term);
        if first != applied_entry {
            return Err(format!(
                "{} applied {applied_entry:?} at {index}, another member {first:?}",
                host.config.own_id
            ));
        }
        let after = self.applied.range(index + 1..).next();
        if let Some((next, _)) =
            after.filter(|(next, _)| self.acknowledged.contains_key(next) && index >= **next)
        {
            return Err(format!("acknowledged entry {next} was skipped"));
        }
        Ok(())
    }

    pub fn check_restore(&self, host: &mut Host, index: u64, data: &[u8]) -> Result<(), String> {
        let expected_digest =
            self.applied.range(..=index).next_back().map_or(0, |(_, (_, _, digest))| *digest);
        (host.state_digest, host.applied_index) = (leading_u64(data), index);
        if host.state_digest != expected_digest {
            return Err(format!("{} restored a different state at {index}", host.config.own_id));
        }
        Ok(())
    }

    pub fn check_acknowledged(&mut self, ticket: u64, index: u64) -> Result<(), String> {
        self.acknowledged.insert(index, ticket);
        match self.applied.get(&index) {
            Some((_, applied_ticket, _)) if *applied_ticket == ticket => Ok(()),
            other => Err(format!("ticket {ticket} was acknowledged at {index}, where {other:?} was applied")),
        }
    }

    /// At most one member holds a lease, and it knows of every entry applied by any member. Returns whether there is a holder.
    pub fn check_leases(&self, hosts: &[Host], now_us: u64) -> Result<bool, String> {
        let holds = |h: &&Host| h.node.as_ref().is_some_and(|n| n.lease_expiry(h.clock_at(now_us)).is_some());
        let mut holders = self.current_leaders.iter().map(|leader| &hosts[*leader]).filter(holds);
        let Some(first) = holders.next() else { return Ok(false) };
        if let Some(second) = holders.next() {
            return Err(format!("{} and {} both hold a lease", first.config.own_id, second.config.own_id));
        }
        let latest = self.applied.keys().next_back().copied().unwrap_or(0);
        let commit = first.node.as_ref().map_or(0, |n| n.commit_index().0);
        if commit < latest {
            return Err(format!(
                "{} holds a lease with commit index {commit} although entry {latest} was applied",
                first.config.own_id
            ));
        }
        Ok(true)
    }
}
