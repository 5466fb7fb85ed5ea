//! Why a message is rejected, and how often each reason occurred.

/// Why a message is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
#[error("{}", self.name())]
pub enum Rejection {
    /// Addressed to another member, sent on another channel, or sent by this member itself.
    Foreign,
    /// Signed with neither key.
    Forged,
    /// Accepted before, or older than the replay window.
    Replayed,
    /// From an earlier incarnation of its sender, or addressed to an earlier one of this member.
    Stale,
    /// Larger than the bound.
    Oversized,
    /// Of a version that this member doesn't know.
    UnsupportedVersion,
    /// Not a message, or a field out of bounds.
    Malformed,
    /// From a new sender, while as many as allowed are known.
    TooManySenders,
}

impl Rejection {
    /// All reasons, in the order of their numbers.
    pub const ALL: [Rejection; 8] = [
        Rejection::Foreign,
        Rejection::Forged,
        Rejection::Replayed,
        Rejection::Stale,
        Rejection::Oversized,
        Rejection::UnsupportedVersion,
        Rejection::Malformed,
        Rejection::TooManySenders,
    ];

    /// The name of its counter, and its reason in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Rejection::Foreign => "foreign",
            Rejection::Forged => "forged",
            Rejection::Replayed => "replayed",
            Rejection::Stale => "stale",
            Rejection::Oversized => "oversized",
            Rejection::UnsupportedVersion => "version",
            Rejection::Malformed => "malformed",
            Rejection::TooManySenders => "crowded",
        }
    }
}

/// How many messages were accepted, and how many rejected for each reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpenCounters {
    /// Messages accepted.
    pub opened: u64,
    /// Of these, the ones under the other key: once this stands still, the old key can be retired.
    pub under_other_key: u64,
    rejected: [u64; Rejection::ALL.len()],
}

impl OpenCounters {
    /// Counts a rejected message.
    pub fn record_rejection(&mut self, reason: Rejection) {
        self.rejected[reason as usize] += 1;
    }

    /// How many messages were rejected for that reason.
    pub fn rejected(&self, reason: Rejection) -> u64 {
        self.rejected[reason as usize]
    }

    /// Each reason's name with its count.
    pub fn rejections(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        Rejection::ALL.into_iter().map(|reason| (reason.name(), self.rejected(reason)))
    }
}
