//! Snapshots in pieces, while the catalogue goes on changing.
use super::{Catalogue, Entry, Shelf};
use crate::names::{Change, Key, Topic};
use crate::scope::Scope;
use cluster_types::Index;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

/// A place in the log, down to the key.
pub(crate) type Place = (Index, Key);

impl Catalogue {
    /// The place before everything after a version: no key has so short a name.
    pub(crate) fn place(version: Index) -> Place {
        (Index(version.0.saturating_add(1)), Key::new(Topic::Fleet, ""))
    }

    /// What has changed after a place, in the order of the log: at most so many bytes, one change at least; and the place
    /// after which there is more. Withdrawn keys are among them.
    pub(crate) fn late(&self, scope: &Scope, after: &Place, most: usize) -> (Vec<Change>, Option<Place>) {
        let (mut changes, mut bytes, mut last) = (vec![], 0, after);
        let later = self.order.range((Bound::Excluded(after), Bound::Unbounded));
        for place in later.filter(|(_, key)| scope.holds(&key.topic)) {
            let change = self.change(place.0, &place.1);
            bytes += change.bytes();
            if bytes > most && !changes.is_empty() {
                return (changes, Some(last.clone()));
            }
            changes.push(change);
            last = place;
        }
        (changes, None)
    }

    /// A piece of all that a scope holds, after a key: values of at most so many bytes, one at least; and the key after which
    /// the next one begins.
    pub fn piece(&self, scope: &Scope, after: Option<&Key>, most: usize) -> (Vec<Change>, Option<Key>) {
        let from = after.map_or(Bound::Unbounded, |key| Bound::Included(&key.topic));
        match scope {
            Scope::Everything => {
                let shelves = self.topics.range::<Topic, _>((from, Bound::Unbounded));
                self.fill(shelves, after, most)
            }
            // By the topics of the scope, which are fewer than those there are.
            Scope::Topics(topics) => {
                let topics = topics.range::<Topic, _>((from, Bound::Unbounded));
                let shelves = topics.filter_map(|topic| self.topics.get(topic).map(|shelf| (topic, shelf)));
                self.fill(shelves, after, most)
            }
        }
    }

    fn fill<'a>(
        &self,
        shelves: impl Iterator<Item = (&'a Topic, &'a Shelf)>,
        after: Option<&Key>,
        most: usize,
    ) -> (Vec<Change>, Option<Key>) {
        let (mut changes, mut bytes) = (vec![], 0);
        for (topic, shelf) in shelves {
            for (name, entry) in rest(&shelf.entries, after.filter(|key| key.topic == *topic)) {
                if entry.value.is_none() {
                    continue;
                }
                let key = Key { topic: topic.clone(), name: name.clone() };
                let change = self.change(entry.version, &key);
                bytes += change.bytes();
                if bytes > most && !changes.is_empty() {
                    let last = changes.last().map(|c: &Change| c.key.clone());
                    return (changes, last);
                }
                changes.push(change);
            }
        }
        (changes, None)
    }
}

fn rest<'a>(
    entries: &'a BTreeMap<Arc<str>, Entry>,
    after: Option<&Key>,
) -> impl Iterator<Item = (&'a Arc<str>, &'a Entry)> {
    let from = after.map_or(Bound::Unbounded, |key| Bound::Excluded(key.name.clone()));
    entries.range::<Arc<str>, _>((from, Bound::Unbounded))
}
