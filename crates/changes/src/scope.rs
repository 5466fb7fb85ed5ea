//! What a subscriber asks for.
use crate::names::Topic;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

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

    /// Whether a topic is among them.
    pub fn holds(&self, topic: &Topic) -> bool {
        match self {
            Scope::Everything => true,
            Scope::Topics(topics) => *topic == Topic::Fleet || topics.contains(topic),
        }
    }
}
