//! What a subscriber asks for.
use crate::names::Topic;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The most topics that a scope may name.
pub const TOPICS: usize = 16_384;

/// The topics that a subscriber serves. What concerns the whole fleet is always among them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// Everything: relays.
    Everything,
    /// These.
    Topics(BTreeSet<Topic>),
}

impl Scope {
    /// The scope of those topics, and the fleet's.
    pub fn of(topics: impl IntoIterator<Item = Topic>) -> Scope {
        Scope::Topics(topics.into_iter().chain([Topic::Fleet]).collect())
    }

    /// Whether it is of bounded size, and names the fleet's topic: a relay serves no other.
    pub(crate) fn proper(&self) -> bool {
        match self {
            Scope::Everything => true,
            Scope::Topics(topics) => {
                topics.len() <= TOPICS
                    && topics.contains(&Topic::Fleet)
                    && topics.iter().all(|topic| topic.bounded())
            }
        }
    }

    /// Whether a topic is among them.
    pub fn holds(&self, topic: &Topic) -> bool {
        match self {
            Scope::Everything => true,
            Scope::Topics(topics) => *topic == Topic::Fleet || topics.contains(topic),
        }
    }
}
