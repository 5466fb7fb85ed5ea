//! What a leader knows of each follower.
use crate::message::Lives;
use cluster_types::{MemberId, Time};
use std::collections::{BTreeMap, VecDeque};

/// How entries are sent to a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Way {
    /// It is not known where the logs part: one message, then wait.
    Probe { asked: bool },
    /// One message after the other.
    Stream,
    /// Pieces of the snapshot that ends at `at`, one at a time.
    Pieces { at: u64, offset: u64, asked: bool },
}

#[derive(Clone, Debug, Hash)]
pub(crate) struct Progress {
    /// The life that it last spoke under.
    pub(crate) life: Option<u64>,
    /// Up to where its log agrees.
    pub(crate) matched: u64,
    /// Up to where it promised that, under that life.
    pub(crate) durable: u64,
    /// The next entry to send.
    pub(crate) next: u64,
    pub(crate) way: Way,
    /// The last index of each message that is under way.
    pub(crate) flights: VecDeque<u64>,
    /// The latest round that it answered with a promise.
    pub(crate) round: u64,
    /// Up to where it was last told that the log is committed.
    pub(crate) told: u64,
}

impl Progress {
    pub(crate) fn new(life: Option<u64>, next: u64) -> Progress {
        let way = Way::Probe { asked: false };
        Progress { life, matched: 0, durable: 0, next, way, flights: VecDeque::new(), round: 0, told: 0 }
    }

    pub(crate) fn probe(&mut self, next: u64) {
        self.next = next;
        self.flights.clear();
        self.way = Way::Probe { asked: false };
    }
}

/// A read barrier that waits.
#[derive(Clone, Debug, Hash)]
pub(crate) struct Barrier {
    pub(crate) ticket: u64,
    /// The round that confirms it, and what was committed as it began.
    pub(crate) round: Option<(u64, u64)>,
}

/// What only a leader has.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lead {
    pub(crate) progress: BTreeMap<MemberId, Progress>,
    /// The first entry of its term; once it is committed the leader knows all that is.
    pub(crate) noop: Option<u64>,
    /// Proposals by their index.
    pub(crate) tickets: BTreeMap<u64, u64>,
    pub(crate) barriers: VecDeque<Barrier>,
    pub(crate) round: u64,
    /// When the latest rounds began.
    pub(crate) rounds: VecDeque<(u64, Time)>,
    pub(crate) since: Time,
}

impl Lead {
    /// The greatest value that so many reach, of the leader's own and of those followers that speak under an
    /// admitted life.
    pub(crate) fn reached(
        &self,
        lives: &Lives,
        quorum: usize,
        own: u64,
        of: impl Fn(&Progress) -> u64,
    ) -> u64 {
        let mut values: Vec<u64> = self
            .progress
            .iter()
            .filter(|(member, p)| p.life.is_some() && lives.get(*member) == p.life.as_ref())
            .map(|(_, p)| of(p))
            .collect();
        values.push(own);
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(quorum.saturating_sub(1)).copied().unwrap_or(0)
    }

    /// When that round began, if it is remembered; a round that is forgotten gives no lease.
    pub(crate) fn began(&self, round: u64) -> Option<Time> {
        self.rounds.iter().find(|(r, _)| *r == round).map(|(_, at)| *at)
    }
}
