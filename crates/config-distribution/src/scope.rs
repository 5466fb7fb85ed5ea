//! The part of the catalogue that a subscriber requests.
use crate::key::Topic;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The maximum number of topics in a scope.
pub const MAX_SCOPE_TOPICS: usize = 16_384;

/// The topics that a subscriber requests. [`Topic::Fleet`] is always among them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// All topics: the scope of relays.
    Everything,
    /// These topics.
    Topics(BTreeSet<Topic>),
}

impl Scope {
    /// The scope of the given topics and [`Topic::Fleet`].
    pub fn of(topics: impl IntoIterator<Item = Topic>) -> Scope {
        Scope::Topics(topics.into_iter().chain([Topic::Fleet]).collect())
    }

    /// Whether its size is within limits and it contains [`Topic::Fleet`]: relays accept no other scope.
    pub(crate) fn is_valid(&self) -> bool {
        match self {
            Scope::Everything => true,
            Scope::Topics(topics) => {
                topics.len() <= MAX_SCOPE_TOPICS
                    && topics.contains(&Topic::Fleet)
                    && topics.iter().all(Topic::is_bounded)
            }
        }
    }

    /// Whether a topic is in the scope.
    pub fn contains(&self, topic: &Topic) -> bool {
        match self {
            Scope::Everything => true,
            Scope::Topics(topics) => *topic == Topic::Fleet || topics.contains(topic),
        }
    }
}
