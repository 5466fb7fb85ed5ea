//! Reading a snapshot in chunks while the catalogue continues to change.
use super::{Catalogue, Entry, LogPosition, TopicEntries};
use crate::change::Change;
use crate::key::{Key, Topic};
use crate::scope::Scope;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::Arc;

/// A chunk of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// The values, in key order.
    pub entries: Vec<Change>,
    /// The key after which the next chunk begins; none after the last one.
    pub next_after: Option<Key>,
}

/// Changes made while a snapshot was being sent.
pub(crate) struct LaterChanges {
    /// The changes in log order, deletions included.
    pub changes: Vec<Change>,
    /// The position after which more changes follow; none if there are no more.
    pub next_after: Option<LogPosition>,
}

impl Catalogue {
    /// The changes in a scope after a position: at most `max_bytes`, but at least one change.
    pub(crate) fn changes_after(&self, scope: &Scope, after: &LogPosition, max_bytes: usize) -> LaterChanges {
        let (mut changes, mut bytes, mut last) = (vec![], 0, after);
        let later = self.by_version.range((Bound::Excluded(after), Bound::Unbounded));
        for position in later.filter(|position| scope.contains(&position.key.topic)) {
            let change = self.change_at(position);
            bytes += change.bytes();
            if bytes > max_bytes && !changes.is_empty() {
                return LaterChanges { changes, next_after: Some(last.clone()) };
            }
            changes.push(change);
            last = position;
        }
        LaterChanges { changes, next_after: None }
    }

    /// The values of a scope after a key (none: from the first): at most `max_bytes`, but at least one value.
    pub fn chunk(&self, scope: &Scope, after: Option<&Key>, max_bytes: usize) -> Chunk {
        let from = after.map_or(Bound::Unbounded, |key| Bound::Included(&key.topic));
        match scope {
            Scope::Everything => {
                let topics = self.topics.range::<Topic, _>((from, Bound::Unbounded));
                fill_chunk(topics, after, max_bytes)
            }
            // Iterates over the topics of the scope, which are fewer than those of the catalogue.
            Scope::Topics(topics) => {
                let topics = topics.range::<Topic, _>((from, Bound::Unbounded));
                let present = topics.filter_map(|topic| Some((topic, self.topics.get(topic)?)));
                fill_chunk(present, after, max_bytes)
            }
        }
    }
}

fn fill_chunk<'a>(
    topics: impl Iterator<Item = (&'a Topic, &'a TopicEntries)>,
    after: Option<&Key>,
    max_bytes: usize,
) -> Chunk {
    let (mut entries, mut bytes) = (vec![], 0);
    for (topic, held) in topics {
        for (name, entry) in entries_after(&held.by_name, after.filter(|key| key.topic == *topic)) {
            if entry.value.is_none() {
                continue;
            }
            let Entry { version, class, value } = entry.clone();
            let key = Key { topic: topic.clone(), name: name.clone() };
            let change = Change { version, class, key, value };
            bytes += change.bytes();
            if bytes > max_bytes && !entries.is_empty() {
                let next_after = entries.last().map(|last: &Change| last.key.clone());
                return Chunk { entries, next_after };
            }
            entries.push(change);
        }
    }
    Chunk { entries, next_after: None }
}

fn entries_after<'a>(
    entries: &'a BTreeMap<Arc<str>, Entry>,
    after: Option<&Key>,
) -> impl Iterator<Item = (&'a Arc<str>, &'a Entry)> {
    let from = after.map_or(Bound::Unbounded, |key| Bound::Excluded(key.name.clone()));
    entries.range::<Arc<str>, _>((from, Bound::Unbounded))
}
