//! The queue of updates to disseminate: each is sent a limited number of times, those sent least often first.
use crate::claim::Subject;
use cluster_types::MemberId;
use std::collections::{BTreeMap, BTreeSet};

/// Identifies an update. Members are sent before claims.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UpdateKey {
    /// A member.
    Member(MemberId),
    /// The claim of a source about a subject.
    Claim(Subject, MemberId),
}

impl UpdateKey {
    fn rank(&self) -> u8 {
        u8::from(matches!(self, UpdateKey::Claim(..)))
    }
}

/// The result of offering an update to a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The update was added to the packet.
    Added,
    /// The packet has no space for it.
    NoSpace,
    /// The member or claim no longer exists, so there is nothing to send.
    Obsolete,
}

impl OfferOutcome {
    /// `Added` if the update fitted into the packet, `NoSpace` otherwise.
    pub fn from_fit(fits: bool) -> OfferOutcome {
        if fits {
            OfferOutcome::Added
        } else {
            OfferOutcome::NoSpace
        }
    }
}

/// No more updates are offered to a packet after this many that didn't fit.
const MAX_MISSES: usize = 6;

/// The updates to disseminate. It contains each key at most once, so its size is bounded by the member and claim tables.
#[derive(Clone, Debug, Default)]
pub struct UpdateQueue {
    times_sent: BTreeMap<UpdateKey, u32>,
    /// Ordered by rank, then by how many times the update was sent.
    order: BTreeSet<(u8, u32, UpdateKey)>,
}

impl UpdateQueue {
    /// Whether there is nothing to send.
    pub fn is_empty(&self) -> bool {
        self.times_sent.is_empty()
    }

    /// Adds an update, or resets the number of times it was sent if it is already queued.
    pub fn push(&mut self, key: UpdateKey) {
        self.remove(&key);
        self.insert(key, 0);
    }

    fn insert(&mut self, key: UpdateKey, times_sent: u32) {
        self.order.insert((key.rank(), times_sent, key.clone()));
        self.times_sent.insert(key, times_sent);
    }

    /// Removes an update.
    pub fn remove(&mut self, key: &UpdateKey) {
        if let Some(times_sent) = self.times_sent.remove(key) {
            self.order.remove(&(key.rank(), times_sent, key.clone()));
        }
    }

    /// Offers updates to a packet, and removes those that were sent `max_times` times or are obsolete.
    pub fn fill_packet(&mut self, max_times: u32, mut offer: impl FnMut(&UpdateKey) -> OfferOutcome) {
        let (mut added, mut obsolete, mut misses) = (Vec::new(), Vec::new(), 0);
        for (_, times_sent, key) in &self.order {
            match offer(key) {
                OfferOutcome::Added => added.push((*times_sent, key.clone())),
                OfferOutcome::NoSpace => misses += 1,
                OfferOutcome::Obsolete => obsolete.push(key.clone()),
            }
            if misses >= MAX_MISSES {
                break;
            }
        }
        for key in obsolete {
            self.remove(&key);
        }
        for (times_sent, key) in added {
            self.remove(&key);
            if times_sent + 1 < max_times {
                self.insert(key, times_sent + 1);
            }
        }
    }
}
