//! Replication from the leader to its followers, and the handling of their answers.
use crate::entry::{Entry, LogPosition};
use crate::message::{AppendOutcome, AppendRequest, AppendResponse, Message};
use crate::node::Node;
use crate::progress::{Progress, ReplicationMode};
use crate::role::Role;
use cluster_types::MemberId;

impl Node {
    /// Starts a heartbeat round: each follower is sent entries, a snapshot chunk, or a heartbeat.
    pub(crate) fn start_round(&mut self) {
        self.heartbeat_at = self.now + self.config.heartbeat_interval;
        let commit_index = self.has_committed_in_term().then_some(self.commit_index);
        self.leader_state.start_round(self.now, commit_index);
        self.for_each_follower(|node, to, progress| {
            if let ReplicationMode::Snapshot { awaits_response, .. } = &mut progress.mode {
                *awaits_response = false;
            }
            if !node.replicate_to(to, progress) {
                node.send_heartbeat(to, progress);
            }
        });
    }

    /// Sends new entries to all followers that can accept more.
    pub(crate) fn replicate_to_all(&mut self) {
        self.for_each_follower(|node, to, progress| {
            node.replicate_to(to, progress);
        });
    }

    /// Sends the commit index to the followers, so that they do not have to wait for a heartbeat.
    pub(crate) fn announce_commit(&mut self) {
        self.for_each_follower(|node, to, progress| node.replicate_or_announce(to, progress));
    }

    /// Sends new entries to a follower or, if it has acknowledged everything sent, the commit index.
    fn replicate_or_announce(&mut self, to: &MemberId, progress: &mut Progress) {
        let has_sent = self.replicate_to(to, progress);
        let is_idle =
            !has_sent && progress.inflight.is_empty() && progress.mode == ReplicationMode::Replicate;
        if is_idle && progress.sent_commit_index < self.commit_index {
            self.send_heartbeat(to, progress);
        }
    }

    fn for_each_follower(&mut self, mut act: impl FnMut(&mut Node, &MemberId, &mut Progress)) {
        let mut all = std::mem::take(&mut self.leader_state.progress);
        for (to, progress) in &mut all {
            act(self, to, progress);
        }
        self.leader_state.progress = all;
    }

    /// The position before the follower's next entry, if this log still contains it.
    fn previous_position(&self, progress: &Progress) -> Option<LogPosition> {
        self.log.position_at(progress.next_index.saturating_sub(1))
    }

    /// Sends an append request without entries. The answer shows whether the follower holds everything sent before.
    fn send_heartbeat(&mut self, to: &MemberId, progress: &mut Progress) {
        let Some(previous) = self.previous_position(progress) else { return };
        if !matches!(progress.mode, ReplicationMode::Snapshot { .. }) {
            self.send_append(to, progress, previous, Vec::new());
        }
    }

    fn send_append(
        &mut self,
        to: &MemberId,
        progress: &mut Progress,
        previous: LogPosition,
        entries: Vec<Entry>,
    ) {
        let (term, commit_index, round) = (self.term, self.commit_index, self.leader_state.round);
        progress.sent_commit_index = commit_index;
        let request = AppendRequest { term, previous, entries, commit_index, round };
        self.outbox.push((to.clone(), Message::AppendRequest(request)));
    }

    /// Sends what the follower can accept now; returns whether anything was sent.
    fn replicate_to(&mut self, to: &MemberId, progress: &mut Progress) -> bool {
        let mut has_sent = false;
        loop {
            let Some(previous) = self.previous_position(progress) else {
                return self.send_chunk(to, progress) || has_sent;
            };
            let has_entries = progress.next_index <= self.log.last_position().index;
            match &mut progress.mode {
                // The log contains the follower's next entry: no snapshot is needed any more.
                ReplicationMode::Snapshot { .. } => {
                    progress.probe(progress.next_index);
                    continue;
                }
                ReplicationMode::Probe { awaits_response } if !*awaits_response && has_entries => {
                    *awaits_response = true;
                }
                ReplicationMode::Replicate
                    if has_entries && progress.inflight.len() < self.config.max_inflight_messages => {}
                ReplicationMode::Probe { .. } | ReplicationMode::Replicate => return has_sent,
            }
            let config = &self.config;
            let entries =
                self.log.slice(progress.next_index, config.max_message_entries, config.max_message_bytes);
            if progress.mode == ReplicationMode::Replicate {
                progress.next_index += entries.len() as u64;
                progress.inflight.push_back(progress.next_index - 1);
            }
            has_sent = true;
            self.send_append(to, progress, previous, entries);
        }
    }

    pub(crate) fn on_append_response(
        &mut self,
        from: &MemberId,
        incarnation: u64,
        response: &AppendResponse,
    ) {
        if response.term > self.term {
            if self.has_write_capacity() {
                self.become_follower(response.term, None);
            }
            return;
        }
        if self.role != Role::Leader || response.term < self.term {
            self.counters.stale += 1;
            return;
        }
        let last_index = self.log.last_position().index;
        let matches_beyond_log =
            matches!(response.outcome, AppendOutcome::Matched(index) if index > last_index);
        if response.round > self.leader_state.round || matches_beyond_log {
            self.counters.malformed += 1;
            return;
        }
        let Some(mut progress) = self.leader_state.progress.remove(from) else { return };
        if progress.incarnation != Some(incarnation) {
            progress = restart_progress(&progress, incarnation, last_index);
        }
        self.record_response(from, incarnation, &mut progress, response);
        self.replicate_or_announce(from, &mut progress);
        self.leader_state.progress.insert(from.clone(), progress);
        if let Some(expiry) = self.latest_lease_expiry() {
            self.vote_withheld_until = self.vote_withheld_until.max(expiry);
        }
        self.advance_leader_commit();
        if self.role == Role::Leader {
            self.answer_read_barriers();
            self.readmit_if_caught_up(from);
        }
    }

    fn record_response(
        &mut self,
        from: &MemberId,
        incarnation: u64,
        progress: &mut Progress,
        response: &AppendResponse,
    ) {
        let is_admitted = self.log.incarnations().get(from) == Some(&incarnation);
        let counts = response.counts_for_quorum && is_admitted;
        if counts {
            progress.round = progress.round.max(response.round);
        } else {
            self.counters.unadmitted_incarnation += u64::from(response.counts_for_quorum);
        }
        match response.outcome {
            AppendOutcome::Matched(index) => {
                if counts {
                    progress.durable_index = progress.durable_index.max(index);
                }
                self.record_match(progress, index);
            }
            AppendOutcome::Rejected { previous_index, retry_index, conflict_term } => {
                self.record_rejection(progress, previous_index, retry_index, conflict_term);
            }
            AppendOutcome::ChunkExpected { snapshot_index, offset } => {
                self.record_chunk(progress, snapshot_index, offset);
            }
        }
    }

    fn record_match(&self, progress: &mut Progress, index: u64) {
        progress.matched_index = progress.matched_index.max(index);
        progress.next_index = progress.next_index.max(progress.matched_index + 1);
        while progress.inflight.pop_front_if(|last| *last <= progress.matched_index).is_some() {}
        let is_probing = matches!(progress.mode, ReplicationMode::Probe { .. });
        if is_probing || progress.matched_index >= self.log.snapshot.last.index {
            progress.mode = ReplicationMode::Replicate;
        }
    }

    /// Moves back to where the logs may agree, skipping all entries of a term that this log does not have. Entries that were
    /// acknowledged without `counts_for_quorum` may be gone after the restart of a follower whose disk had failed.
    fn record_rejection(
        &mut self,
        progress: &mut Progress,
        previous_index: u64,
        retry_index: u64,
        conflict_term: Option<u64>,
    ) {
        if previous_index <= progress.durable_index
            || previous_index >= progress.next_index
            || matches!(progress.mode, ReplicationMode::Snapshot { .. })
        {
            self.counters.stale += 1;
            return;
        }
        let next_index = match conflict_term {
            Some(term) => {
                let candidate = previous_index.saturating_sub(1);
                let agreed_index = self.log.last_index_up_to_term(candidate, term);
                agreed_index.max(retry_index.saturating_sub(1)) + 1
            }
            None => retry_index,
        };
        progress.probe(next_index.min(previous_index).max(progress.durable_index + 1));
        progress.matched_index = progress.matched_index.min(progress.next_index - 1);
    }
}

/// The initial progress of a follower that answers under a different incarnation than before, or for the first time.
fn restart_progress(earlier: &Progress, incarnation: u64, last_index: u64) -> Progress {
    let next_index = if earlier.incarnation.is_none() { earlier.next_index } else { last_index + 1 };
    let mut progress = Progress::new(Some(incarnation), next_index);
    if matches!(earlier.mode, ReplicationMode::Probe { .. }) {
        progress.mode = earlier.mode;
    }
    progress
}
