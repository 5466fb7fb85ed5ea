//! Why a message is not taken, and how often each came.
use std::fmt;

/// Why a message is not taken, or not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Refusal {
    /// Meant for another member or another channel, or our own come back.
    Foreign,
    /// Signed under neither key.
    Forged,
    /// Taken before, or too old to know.
    Replayed,
    /// From an earlier life of its sender, or to an earlier life of ours.
    Stale,
    /// Larger than the bound.
    Oversized,
    /// Of another version.
    Version,
    /// Not a message, or a part of it out of bounds.
    Malformed,
    /// From one sender more than can be remembered.
    Crowded,
}

impl Refusal {
    /// All of them.
    pub const ALL: [Refusal; 8] = [
        Refusal::Foreign,
        Refusal::Forged,
        Refusal::Replayed,
        Refusal::Stale,
        Refusal::Oversized,
        Refusal::Version,
        Refusal::Malformed,
        Refusal::Crowded,
    ];

    /// Its name among figures.
    pub fn name(self) -> &'static str {
        match self {
            Refusal::Foreign => "foreign",
            Refusal::Forged => "forged",
            Refusal::Replayed => "replayed",
            Refusal::Stale => "stale",
            Refusal::Oversized => "oversized",
            Refusal::Version => "version",
            Refusal::Malformed => "malformed",
            Refusal::Crowded => "crowded",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl std::error::Error for Refusal {}

/// How many messages were opened, and how many refused for which reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Opened.
    pub opened: u64,
    /// Of these, under the other key; an operator retires it once this stands still.
    pub under_other: u64,
    refused: [u64; Refusal::ALL.len()],
}

impl Counts {
    pub(crate) fn count(&mut self, why: Refusal) {
        self.refused[why as usize] += 1;
    }

    /// How many were refused for that reason.
    pub fn refused(&self, why: Refusal) -> u64 {
        self.refused[why as usize]
    }

    /// Each reason with its count.
    pub fn all(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        Refusal::ALL.into_iter().map(|why| (why.name(), self.refused(why)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_reason_has_a_count_of_its_own() {
        for why in Refusal::ALL {
            let mut counts = Counts::default();
            counts.count(why);
            let named: Vec<_> = counts.all().filter(|(_, count)| *count > 0).collect();
            assert_eq!(named, [(why.name(), 1)]);
        }
    }
}
