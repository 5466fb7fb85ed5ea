//! Rounds: who leads for sure, until when, and since when that has been true for a reader.
use crate::event::{Action, Role, Why};
use crate::node::Node;
use crate::progress::{Barrier, Lead};
use cluster_types::{Index, Time};

/// So many rounds' beginnings are remembered.
const ROUNDS: usize = 256;

impl Lead {
    /// Counts a new round from now, for barriers that wait for one.
    pub(crate) fn begin(&mut self, now: Time, commit: Option<u64>) {
        self.round += 1;
        self.rounds.push_back((self.round, now));
        if self.rounds.len() > ROUNDS {
            self.rounds.pop_front();
        }
        if let Some(commit) = commit {
            for barrier in self.barriers.iter_mut().filter(|b| b.round.is_none()) {
                barrier.round = Some((self.round, commit));
            }
        }
    }
}

impl Node {
    /// The latest round that a quorum has answered.
    pub(crate) fn quorum_round(&self) -> u64 {
        let lead = &self.lead;
        lead.reached(self.log.lives(), self.config.quorum(), lead.round, |p| p.round)
    }

    /// Whether an entry of its own term is committed, so that a leader knows all that is.
    pub(crate) fn settled(&self) -> bool {
        self.role == Role::Leader && self.lead.noop.is_some_and(|noop| self.commit >= noop)
    }

    pub(crate) fn lease_until(&self) -> Option<Time> {
        let began = self.lead.began(self.quorum_round())?;
        Some(began + self.config.lease_span())
    }

    /// Until when no other can lead, where this member leads and has all that is committed. Whoever acts on it
    /// must look at the time again right before.
    pub fn lease(&self, now: Time) -> Option<Time> {
        if !self.settled() || !self.disk.well() {
            return None;
        }
        self.lease_until().filter(|until| *until > now)
    }

    pub(crate) fn barrier(&mut self, ticket: u64) {
        let why = if self.role != Role::Leader {
            Why::NotLeader(self.leader.clone())
        } else if self.lead.barriers.len() >= self.config.barriers {
            self.counts.full += 1;
            Why::Full
        } else {
            self.lead.barriers.push_back(Barrier { ticket, round: None });
            return self.confirm();
        };
        self.acts.push(Action::Refused { ticket, why });
    }

    /// Answers barriers whose round a quorum has answered; begins a round for others unless one is under way.
    pub(crate) fn confirm(&mut self) {
        if !self.settled() || self.lead.barriers.is_empty() {
            return;
        }
        let reached = self.quorum_round();
        while let Some(barrier) =
            self.lead.barriers.pop_front_if(|b| b.round.is_some_and(|(round, _)| round <= reached))
        {
            let index = Index(barrier.round.map_or(0, |(_, commit)| commit));
            self.acts.push(Action::Readable { ticket: barrier.ticket, index });
        }
        if self.lead.barriers.front().is_some_and(|b| b.round.is_none()) {
            self.begin_round();
            if self.config.quorum() == 1 {
                self.confirm();
            }
        }
    }
}
