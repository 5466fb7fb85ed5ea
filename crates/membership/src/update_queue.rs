//! The updates that are still to be disseminated: each a bounded number of times, the least sent first.
use crate::claim::Subject;
use cluster_types::MemberId;
use std::collections::{BTreeMap, BTreeSet};

/// What an update is about. Members are sent before claims.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UpdateKey {
    /// A member.
    Member(MemberId),
    /// The claim of a source about a subject.
    Claim(Subject, MemberId),
}

impl UpdateKey {
    fn class(&self) -> u8 {
        u8::from(matches!(self, UpdateKey::Claim(..)))
    }
}

/// What became of an update that was offered to a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// The packet carries it.
    Taken,
    /// The packet has no space for it.
    NoSpace,
    /// There is nothing to tell about it any more.
    Gone,
}

impl Offer {
    /// Taken where the update fitted into the packet.
    pub fn from_fit(fits: bool) -> Offer {
        if fits {
            Offer::Taken
        } else {
            Offer::NoSpace
        }
    }
}

/// After this many updates that didn't fit into a packet no more are offered to it.
const MAX_MISSES: usize = 6;

/// The updates to be disseminated. Each is in it once, so that it is bounded as the tables of members and claims are.
#[derive(Clone, Debug, Default)]
pub struct UpdateQueue {
    times_sent: BTreeMap<UpdateKey, u32>,
    /// By class, then by how many times the update was sent.
    order: BTreeSet<(u8, u32, UpdateKey)>,
}

impl UpdateQueue {
    /// Whether there is nothing to send.
    pub fn is_empty(&self) -> bool {
        self.times_sent.is_empty()
    }

    /// Adds an update, or has it sent as often again if it is queued.
    pub fn push(&mut self, key: UpdateKey) {
        self.remove(&key);
        self.insert(key, 0);
    }

    fn insert(&mut self, key: UpdateKey, times_sent: u32) {
        self.order.insert((key.class(), times_sent, key.clone()));
        self.times_sent.insert(key, times_sent);
    }

    /// Removes an update.
    pub fn remove(&mut self, key: &UpdateKey) {
        if let Some(times_sent) = self.times_sent.remove(key) {
            self.order.remove(&(key.class(), times_sent, key.clone()));
        }
    }

    /// Offers updates to a packet, and removes those that were sent `max_times`.
    pub fn fill_packet(&mut self, max_times: u32, mut offer: impl FnMut(&UpdateKey) -> Offer) {
        let (mut taken, mut gone, mut misses) = (Vec::new(), Vec::new(), 0);
        for (_, times_sent, key) in &self.order {
            match offer(key) {
                Offer::Taken => taken.push((*times_sent, key.clone())),
                Offer::NoSpace => misses += 1,
                Offer::Gone => gone.push(key.clone()),
            }
            if misses >= MAX_MISSES {
                break;
            }
        }
        for key in gone {
            self.remove(&key);
        }
        for (times_sent, key) in taken {
            self.remove(&key);
            if times_sent + 1 < max_times {
                self.insert(key, times_sent + 1);
            }
        }
    }
}
