//! State that only a leader keeps.
use crate::entry::Incarnations;
use crate::progress::Progress;
use cluster_types::{MemberId, Time};
use std::collections::{BTreeMap, VecDeque};

/// The number of heartbeat rounds whose start time is kept.
const MAX_ROUND_STARTS: usize = 256;

/// A pending read barrier.
#[derive(Clone, Debug, Hash)]
pub(crate) struct ReadBarrier {
    pub(crate) ticket: u64,
    /// The heartbeat round that confirms it, once one has started.
    pub(crate) confirmation: Option<Confirmation>,
}

/// The heartbeat round that confirms a read barrier.
#[derive(Clone, Copy, Debug, Hash)]
pub(crate) struct Confirmation {
    pub(crate) round: u64,
    /// The commit index at the start of the round.
    pub(crate) commit_index: u64,
}

/// When a heartbeat round started.
#[derive(Clone, Copy, Debug)]
struct RoundStart {
    round: u64,
    at: Time,
}

/// The state of a leader in its term.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaderState {
    pub(crate) progress: BTreeMap<MemberId, Progress>,
    /// The index of the leader's first entry in its term. Once it is committed, the leader knows everything that is committed.
    pub(crate) noop_index: Option<u64>,
    /// The tickets of proposals, by the index of their entry.
    pub(crate) proposals: BTreeMap<u64, u64>,
    pub(crate) read_barriers: VecDeque<ReadBarrier>,
    pub(crate) round: u64,
    round_starts: VecDeque<RoundStart>,
    pub(crate) elected_at: Time,
}

impl LeaderState {
    pub(crate) fn new(progress: BTreeMap<MemberId, Progress>, elected_at: Time) -> LeaderState {
        LeaderState { progress, elected_at, ..LeaderState::default() }
    }

    /// Starts a heartbeat round. `commit_index` is given if the round may confirm read barriers.
    pub(crate) fn start_round(&mut self, now: Time, commit_index: Option<u64>) {
        self.round += 1;
        self.round_starts.push_back(RoundStart { round: self.round, at: now });
        if self.round_starts.len() > MAX_ROUND_STARTS {
            self.round_starts.pop_front();
        }
        let Some(commit_index) = commit_index else { return };
        let confirmation = Confirmation { round: self.round, commit_index };
        for barrier in self.read_barriers.iter_mut().filter(|barrier| barrier.confirmation.is_none()) {
            barrier.confirmation = Some(confirmation);
        }
    }

    /// When a round started, if that is still known; a round whose start is no longer kept gives no lease.
    pub(crate) fn round_start(&self, round: u64) -> Option<Time> {
        self.round_starts.iter().find(|start| start.round == round).map(|start| start.at)
    }

    /// The greatest value reached by a quorum, considering the leader's own value and those of followers whose incarnation is
    /// admitted.
    pub(crate) fn quorum_value(
        &self,
        incarnations: &Incarnations,
        quorum: usize,
        own_value: u64,
        value_of: impl Fn(&Progress) -> u64,
    ) -> u64 {
        let is_admitted = |member: &MemberId, progress: &Progress| {
            progress.incarnation.is_some() && incarnations.get(member) == progress.incarnation.as_ref()
        };
        let admitted = self.progress.iter().filter(|(member, progress)| is_admitted(member, progress));
        let mut values: Vec<u64> = admitted.map(|(_, progress)| value_of(progress)).collect();
        values.push(own_value);
        values.sort_unstable_by(|left, right| right.cmp(left));
        values.get(quorum.saturating_sub(1)).copied().unwrap_or(0)
    }
}
