//! The safety properties that must hold after each step.
use crate::host::Host;
use consensus::{Entry, Role, StoredState, WriteBatch};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

#[derive(Default)]
pub struct Check {
    /// The leader of each term.
    leaders: BTreeMap<u64, usize>,
    /// The members that consider themselves leaders.
    leading: BTreeSet<usize>,
    /// Each entry that was ever written by term and index, with the term of the one before it.
    entries: BTreeMap<(u64, u64), (u64, Entry)>,
    /// The entries that were applied anywhere by index: term, ticket, digest of the state with it.
    pub applied: BTreeMap<u64, (u64, u64, u64)>,
    /// The leader's term in which each was committed: the first member to apply it is that leader.
    committed_in: BTreeMap<u64, u64>,
    /// Acknowledged proposals.
    pub acked: BTreeMap<u64, u64>,
}

fn end(stored: &StoredState) -> (u64, u64) {
    let base = stored.snapshot.as_ref().map_or((0, 0), |s| (s.last.index, s.last.term));
    stored.entries.last().map_or(base, |e| (e.index.0, e.term))
}

pub fn ticket(data: &[u8]) -> u64 {
    u64::from_le_bytes(data[..8].try_into().unwrap())
}

impl Check {
    /// Log matching: an entry of one index and term is the same everywhere, as is the term before it.
    pub fn written(&mut self, image: &mut StoredState, batch: &WriteBatch) -> Result<(), String> {
        let mut bare = batch.clone();
        bare.append.clear();
        image.apply_batch(&bare);
        for entry in &batch.append {
            let (index, term) = end(image);
            if entry.index.0 != index + 1 {
                return Err(format!("entry {} is written after {index}", entry.index.0));
            }
            let known =
                self.entries.entry((entry.term, entry.index.0)).or_insert_with(|| (term, entry.clone()));
            if *known != (term, entry.clone()) {
                return Err(format!("logs differ: {known:?} and {entry:?} after term {term}"));
            }
            image.entries.push(entry.clone());
        }
        Ok(())
    }

    /// Election safety, and leader completeness: what was committed in earlier terms is in a new leader's log.
    pub fn role(&mut self, who: usize, role: Role, term: u64, image: &StoredState) -> Result<(), String> {
        if role != Role::Leader {
            self.leading.remove(&who);
            return Ok(());
        }
        self.leading.insert(who);
        let first = *self.leaders.entry(term).or_insert(who);
        if first != who {
            return Err(format!("{first} and {who} lead in term {term}"));
        }
        let base = image.snapshot.as_ref().map_or(0, |s| s.last.index);
        for (index, (of, ..)) in self.applied.range(base + 1..) {
            let committed = self.committed_in[index];
            let place = usize::try_from(index - base - 1).unwrap();
            if committed < term && image.entries.get(place).map(|e| e.term) != Some(*of) {
                return Err(format!(
                    "{who} leads in term {term} without entry {index}, committed in {committed}"
                ));
            }
        }
        Ok(())
    }

    /// State-machine safety: the same entries in the same order everywhere, none left out.
    pub fn apply(&mut self, host: &mut Host, index: u64, term: u64, data: &[u8]) -> Result<(), String> {
        if index <= host.applied {
            return Err(format!("{} applies {index} after {}", host.config.me, host.applied));
        }
        let mut hasher = DefaultHasher::new();
        (host.digest, index, term, data).hash(&mut hasher);
        (host.digest, host.applied) = (hasher.finish(), index);
        let here = (term, ticket(data), host.digest);
        let first = *self.applied.entry(index).or_insert(here);
        let leads_in = host.node.as_ref().map_or(0, |n| n.term());
        self.committed_in.entry(index).or_insert(leads_in);
        if first != here {
            return Err(format!("{} applies {here:?} at {index}, another {first:?}", host.config.me));
        }
        let after = self.applied.range(index + 1..).next();
        if let Some((next, _)) = after.filter(|(next, _)| self.acked.contains_key(next) && index >= **next) {
            return Err(format!("{next} was left out"));
        }
        Ok(())
    }

    pub fn restore(&self, host: &mut Host, index: u64, data: &[u8]) -> Result<(), String> {
        let due = self.applied.range(..=index).next_back().map_or(0, |(_, (_, _, digest))| *digest);
        (host.digest, host.applied) = (ticket(data), index);
        if host.digest != due {
            return Err(format!("{} is restored at {index} to another state", host.config.me));
        }
        Ok(())
    }

    pub fn committed(&mut self, ticket: u64, index: u64) -> Result<(), String> {
        self.acked.insert(index, ticket);
        match self.applied.get(&index) {
            Some((_, there, _)) if *there == ticket => Ok(()),
            other => Err(format!("ticket {ticket} is acknowledged at {index}, where {other:?} is")),
        }
    }

    /// At most one member holds a lease, and it knows everything that was applied anywhere.
    pub fn leases(&self, hosts: &[Host], now: u64) -> Result<bool, String> {
        let holds = |h: &&Host| h.node.as_ref().is_some_and(|n| n.lease_expiry(h.clock(now)).is_some());
        let mut holders = self.leading.iter().map(|l| &hosts[*l]).filter(holds);
        let Some(first) = holders.next() else { return Ok(false) };
        if let Some(second) = holders.next() {
            return Err(format!("{} and {} both hold a lease", first.config.me, second.config.me));
        }
        let latest = self.applied.keys().next_back().copied().unwrap_or(0);
        let commit = first.node.as_ref().map_or(0, |n| n.commit_index().0);
        if commit < latest {
            return Err(format!("{} holds a lease at {commit} though {latest} is applied", first.config.me));
        }
        Ok(true)
    }
}
