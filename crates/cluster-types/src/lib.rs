//! Names that all fronts share: members, boxes, halls, volumes, blocks, and time. Types only.
use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, Sub};
use std::sync::Arc;
use std::time::Duration;

macro_rules! name {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $type(pub Arc<str>);

        impl From<&str> for $type {
            fn from(text: &str) -> Self {
                $type(text.into())
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name!(
    /// A front, by its configured name.
    MemberId
);
name!(
    /// A disk box, by discovery's `instanceId`.
    BackendId
);
name!(
    /// A hall: discovery's `zone`.
    Zone
);
name!(
    /// A volume, 16 hex digits.
    Volume
);

/// A point in time on the steady clock of one process, in microseconds from an origin of its own. Never sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Time(pub u64);

impl Time {
    /// How long ago that was; nothing where it lies ahead.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, span: Duration) -> Time {
        Time(self.0.saturating_add(u64::try_from(span.as_micros()).unwrap_or(u64::MAX)))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, span: Duration) -> Time {
        Time(self.0.saturating_sub(u64::try_from(span.as_micros()).unwrap_or(u64::MAX)))
    }
}

/// The position of a command in the replicated log: it orders everything, and fences what is older.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Index(pub u64);

/// Blocks of a volume, from the first up to but without the last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BlockRange {
    /// The first.
    pub first: u64,
    /// The one after the last.
    pub end: u64,
}

impl BlockRange {
    /// How many.
    pub fn len(&self) -> u64 {
        self.end.saturating_sub(self.first)
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether some blocks are in both.
    pub fn overlaps(&self, other: &BlockRange) -> bool {
        self.first < other.end && other.first < self.end
    }

    /// Whether all of the other's blocks are in this.
    pub fn holds(&self, other: &BlockRange) -> bool {
        self.first <= other.first && other.end <= self.end
    }
}

impl fmt::Display for BlockRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}..{}", self.first, self.end)
    }
}
