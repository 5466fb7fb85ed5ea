//! What has become of one part of a gather.
use crate::answer::Why;
use crate::memory::Held;
use cluster_types::Time;
use std::time::Duration;

/// One part.
#[derive(Debug)]
pub(crate) enum Slot<V> {
    /// Asked, and out.
    Out {
        /// When it was asked.
        asked: Time,
        /// Until when it is worth waiting for.
        until: Time,
        /// Until when a trial waits for it in any case.
        least: Time,
        /// The memory kept for its value.
        held: Held,
    },
    /// Its value is here.
    Here(V, Held),
    /// It won't come; with the hint of a refused one.
    Missing(Why, Option<Duration>),
    /// The gather ended while it was out; it was asked then.
    Dropped(Time),
    /// Nothing is known of it any more.
    Done,
}

impl<V> Slot<V> {
    /// Whether its value is here.
    pub fn here(&self) -> bool {
        matches!(self, Slot::Here(..))
    }

    /// Whether its value is here or may still come.
    pub fn hopeful(&self) -> bool {
        matches!(self, Slot::Here(..) | Slot::Out { .. })
    }

    /// Until when it is worth waiting for, where it is out.
    pub fn until(&self) -> Option<Time> {
        match self {
            Slot::Out { until, .. } => Some(*until),
            _ => None,
        }
    }

    /// The bytes that it holds or keeps.
    pub fn bytes(&self) -> u64 {
        match self {
            Slot::Out { held, .. } | Slot::Here(_, held) => held.bytes(),
            _ => 0,
        }
    }

    /// Why it is missing, where that is known.
    pub fn why(&self) -> Option<Why> {
        match self {
            Slot::Missing(why, _) => Some(why.clone()),
            _ => None,
        }
    }
}
