//! The reasons for rejecting a message, and their counters.

/// Why a message is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
#[error("{}", self.name())]
pub enum Rejection {
    /// Addressed to another member, sent on another channel, or sent by this member itself.
    Foreign,
    /// The signature matches neither key.
    Forged,
    /// Already accepted, or older than the replay window.
    Replayed,
    /// From an earlier incarnation of its sender, or addressed to another incarnation of this member.
    Stale,
    /// Larger than the maximum message size.
    Oversized,
    /// The wire format's version is unknown to this member.
    UnsupportedVersion,
    /// Not a valid message, or a field is out of bounds.
    Malformed,
    /// From an unknown sender while the sender table is full.
    TooManySenders,
}

impl Rejection {
    /// All reasons, in the order of their discriminants.
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

    /// The name of the reason in counters and log lines.
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

/// The number of accepted messages, and of rejected ones by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OpenCounters {
    /// Accepted messages.
    pub opened: u64,
    /// Those of them signed with the other key: once this no longer increases, the old key can be retired.
    pub under_other_key: u64,
    rejected: [u64; Rejection::ALL.len()],
}

impl OpenCounters {
    /// Counts a rejected message.
    pub fn record_rejection(&mut self, reason: Rejection) {
        self.rejected[reason as usize] += 1;
    }

    /// The number of messages rejected for `reason`.
    pub fn rejected(&self, reason: Rejection) -> u64 {
        self.rejected[reason as usize]
    }

    /// Each reason's name with its count.
    pub fn rejections(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        Rejection::ALL.into_iter().map(|reason| (reason.name(), self.rejected(reason)))
    }
}
