//! What the replicated log comes to: every front applies the same entries in the same order and has the same state. No clock
//! and no chance in here.
use cluster_types::{Index, MemberId};
use config_distribution::{Catalogue, Change, Scope, WriteBatch};
use maintenance::{Command, Desk, Effect, Rules};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// So many numbers of orders are remembered of each front, so that one that was said again is not taken in again.
const TAKEN: usize = 64;

/// What an entry says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum What {
    /// Boxes taken out for work.
    Maintenance(Command),
    /// From here on there is a catalogue of changes of configuration.
    Founding,
    /// What an operator ordered of it.
    Order(WriteBatch),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The leader's Unix time in milliseconds.
    pub at_ms: u64,
    /// Whose word it is.
    pub by: MemberId,
    /// Its number for it; 0 for what nobody waits for.
    pub ticket: u64,
    /// What it says.
    pub what: What,
}

/// What applying an entry brought about.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// Whose word it was, and its number for it.
    pub by: Option<(MemberId, u64)>,
    /// What follows.
    pub effects: Vec<Effect>,
    /// What became of the catalogue.
    pub catalogue: Cataloged,
}

/// What an entry made of the catalogue.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Cataloged {
    /// Nothing.
    #[default]
    Same,
    /// Another one.
    Founded,
    /// This order is in it, by the entry at that place.
    Ordered(Index, Arc<WriteBatch>),
}

/// The state.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// The last entry that was applied.
    pub applied: Index,
    /// Boxes taken out for work.
    pub desk: Desk,
    /// Entries that could not be read.
    pub unread: u64,
    /// Changes of configuration.
    pub catalogue: Catalogue,
    /// The numbers of each front's newest orders that are in the catalogue.
    taken: BTreeMap<MemberId, BTreeSet<u64>>,
}

/// The catalogue in a snapshot.
#[derive(Serialize, Deserialize)]
struct Shelved {
    lineage: u64,
    upto: Index,
    changes: Vec<Change>,
    taken: BTreeMap<MemberId, BTreeSet<u64>>,
}

impl Ledger {
    /// Before the first entry.
    pub fn new() -> Ledger {
        Ledger { desk: Desk::new(Rules::default()), ..Ledger::default() }
    }

    /// Applies an entry. One that can't be read changes nothing, the same everywhere, and is counted.
    pub fn apply(&mut self, index: Index, data: &[u8]) -> Applied {
        self.applied = index;
        let Ok(Entry { at_ms, by, ticket, what }) = postcard::from_bytes::<Entry>(data) else {
            self.unread += 1;
            return Applied::default();
        };
        let mut applied = Applied::default();
        match what {
            What::Maintenance(command) => applied.effects = self.desk.apply(index, at_ms, &by, &command),
            What::Founding if self.catalogue.log_id() == 0 => {
                // A later founding has a greater lineage, and no two fleets the same.
                self.catalogue = Catalogue::new((at_ms << 20) | (index.0 & 0xf_ffff));
                self.catalogue.advance(index);
                applied.catalogue = Cataloged::Founded;
            }
            What::Founding => {}
            What::Order(order) if self.catalogue.log_id() != 0 && order.check().is_ok() => {
                if self.first(&by, ticket) {
                    self.catalogue.apply(index, &order);
                    applied.catalogue = Cataloged::Ordered(index, Arc::new(order));
                } else {
                    return applied;
                }
            }
            What::Order(_) => return applied,
        }
        applied.by = Some((by, ticket));
        applied
    }

    /// Whether a front's order comes for the first time. Guards a newer order against an older one that was said again before
    /// its front knew that it is in.
    fn first(&mut self, by: &MemberId, ticket: u64) -> bool {
        let taken = self.taken.entry(by.clone()).or_default();
        let old = taken.len() >= TAKEN && taken.first().is_some_and(|least| ticket < *least);
        let first = !old && taken.insert(ticket);
        if taken.len() > TAKEN {
            taken.pop_first();
        }
        first
    }

    /// All of it, as bytes.
    pub fn snapshot(&self) -> Option<Vec<u8>> {
        let bytes = postcard::to_stdvec(&(self.applied, &self.desk, self.unread)).ok()?;
        // A program that knows no catalogue reads what is before it.
        if self.catalogue.log_id() == 0 {
            return Some(bytes);
        }
        let changes = self.catalogue.chunk(&Scope::Everything, None, usize::MAX).entries;
        let (lineage, upto) = (self.catalogue.log_id(), self.catalogue.applied());
        postcard::to_extend(&Shelved { lineage, upto, changes, taken: self.taken.clone() }, bytes).ok()
    }

    /// From such bytes; none where they are no such thing.
    pub fn restore(bytes: &[u8]) -> Option<Ledger> {
        let ((applied, desk, unread), rest) = postcard::take_from_bytes(bytes).ok()?;
        let mut ledger = Ledger { applied, desk, unread, ..Ledger::default() };
        if !rest.is_empty() {
            let shelved: Shelved = postcard::from_bytes(rest).ok()?;
            ledger.catalogue.restore(shelved.lineage, &shelved.changes, shelved.upto);
            ledger.taken = shelved.taken;
        }
        Some(ledger)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use config_distribution::{Class, Key, Put, Topic};

    fn entry(ticket: u64, what: What) -> Vec<u8> {
        postcard::to_stdvec(&Entry { at_ms: 1_000, by: "front-1".into(), ticket, what }).unwrap()
    }

    fn order(value: &str) -> What {
        let value = Some(value.as_bytes().into());
        let key = Key::new(Topic::Fleet, "settings");
        What::Order(WriteBatch { puts: vec![Put { class: Class::Configuration, key, value }] })
    }

    #[test]
    fn an_order_that_is_said_again_is_taken_in_once_also_after_a_snapshot() {
        let mut ledger = Ledger::new();
        assert_eq!(ledger.apply(Index(1), &entry(1, order("early"))), Applied::default());
        assert_eq!(ledger.apply(Index(2), &entry(0, What::Founding)).catalogue, Cataloged::Founded);
        let lineage = ledger.catalogue.log_id();
        assert_eq!(ledger.apply(Index(3), &entry(0, What::Founding)).catalogue, Cataloged::Same);
        assert!(matches!(
            ledger.apply(Index(4), &entry(7, order("one"))).catalogue,
            Cataloged::Ordered(Index(4), _)
        ));
        ledger.apply(Index(5), &entry(8, order("two")));
        let mut other = Ledger::restore(&ledger.snapshot().unwrap()).unwrap();
        for ledger in [&mut ledger, &mut other] {
            assert_eq!(ledger.apply(Index(6), &entry(7, order("one"))), Applied::default());
            let key = Key::new(Topic::Fleet, "settings");
            let (version, value) = ledger.catalogue.get(&key).unwrap();
            assert_eq!((version, &**value, ledger.catalogue.log_id()), (Index(5), &b"two"[..], lineage));
        }
        assert_eq!(
            ledger.catalogue.checksum(&Scope::Everything),
            other.catalogue.checksum(&Scope::Everything)
        );
    }

    #[test]
    fn a_snapshot_without_a_catalogue_is_as_it_was_before_there_were_any() {
        let ledger = Ledger { applied: Index(9), unread: 2, ..Ledger::new() };
        let before = postcard::to_stdvec(&(Index(9), Desk::new(Rules::default()), 2u64)).unwrap();
        assert_eq!(ledger.snapshot().unwrap(), before);
        assert_eq!(Ledger::restore(&before).unwrap().applied, Index(9));
    }
}
