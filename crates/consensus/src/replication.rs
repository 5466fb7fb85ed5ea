//! What a leader sends to its followers, and their answers.
use crate::event::Role;
use crate::message::{Message, Outcome, Position};
use crate::node::Node;
use crate::progress::{Progress, Way};
use cluster_types::MemberId;

impl Node {
    /// A new round: each follower gets entries, a piece of the snapshot, or a heartbeat.
    pub(crate) fn begin_round(&mut self) {
        self.heartbeat_at = self.now + self.config.heartbeat;
        let commit = self.settled().then_some(self.commit);
        self.lead.begin(self.now, commit);
        self.each(|node, to, progress| {
            if let Way::Pieces { asked, .. } = &mut progress.way {
                *asked = false;
            }
            if !node.feed(to, progress) {
                node.heartbeat(to, progress);
            }
        });
    }

    /// Sends new entries to all that can take more.
    pub(crate) fn feed_all(&mut self) {
        self.each(|node, to, progress| {
            node.feed(to, progress);
        });
    }

    /// Tells followers what is committed, so that they need not wait for a heartbeat.
    pub(crate) fn feed_commit(&mut self) {
        self.each(|node, to, progress| node.tell(to, progress));
    }

    /// Sends a follower new entries, or, where all that was sent has arrived, what is committed.
    fn tell(&mut self, to: &MemberId, progress: &mut Progress) {
        let quiet = !self.feed(to, progress) && progress.flights.is_empty() && progress.way == Way::Stream;
        if quiet && progress.told < self.commit {
            self.heartbeat(to, progress);
        }
    }

    fn each(&mut self, mut act: impl FnMut(&mut Node, &MemberId, &mut Progress)) {
        let mut all = std::mem::take(&mut self.lead.progress);
        for (to, progress) in &mut all {
            act(self, to, progress);
        }
        self.lead.progress = all;
    }

    /// Where the log before the follower's next entry ends, if this log still has that.
    fn before(&self, progress: &Progress) -> Option<Position> {
        self.log.position(progress.next.saturating_sub(1))
    }

    /// An empty message shows whether all that was sent has arrived.
    fn heartbeat(&mut self, to: &MemberId, progress: &mut Progress) {
        let Some(prev) = self.before(progress) else { return };
        if matches!(progress.way, Way::Pieces { .. }) {
            return;
        }
        let (term, commit, round) = (self.term, self.commit, self.lead.round);
        let message = Message::Append { term, prev, entries: Vec::new(), commit, round };
        progress.told = commit;
        self.sends.push((to.clone(), message));
    }

    /// Sends what the follower can take now. Whether that was anything.
    fn feed(&mut self, to: &MemberId, progress: &mut Progress) -> bool {
        let mut sent = false;
        loop {
            let Some(prev) = self.before(progress) else {
                return self.piece(to, progress) || sent;
            };
            let more = progress.next <= self.log.last().index;
            match &mut progress.way {
                Way::Pieces { .. } => progress.probe(progress.next),
                Way::Probe { asked } if !*asked && more => *asked = true,
                Way::Stream if more && progress.flights.len() < self.config.flights => {}
                Way::Probe { .. } | Way::Stream => return sent,
            }
            let entries = self.log.slice(progress.next, self.config.batch_entries, self.config.batch_bytes);
            if progress.way == Way::Stream {
                progress.next += entries.len() as u64;
                progress.flights.push_back(progress.next - 1);
            } else if progress.way != (Way::Probe { asked: true }) {
                continue;
            }
            sent = true;
            let (term, commit, round) = (self.term, self.commit, self.lead.round);
            progress.told = commit;
            self.sends.push((to.clone(), Message::Append { term, prev, entries, commit, round }));
        }
    }

    pub(crate) fn on_appended(
        &mut self,
        from: &MemberId,
        life: u64,
        (term, round, counts): (u64, u64, bool),
        outcome: Outcome,
    ) {
        if term > self.term {
            if self.may_write() {
                self.follow(term, None);
            }
            return;
        }
        if self.role != Role::Leader || term < self.term {
            self.counts.stale += 1;
            return;
        }
        let last = self.log.last().index;
        let admitted = self.log.lives().get(from) == Some(&life);
        if round > self.lead.round || matches!(outcome, Outcome::Match(upto) if upto > last) {
            self.counts.malformed += 1;
            return;
        }
        let Some(mut progress) = self.lead.progress.remove(from) else { return };
        if progress.life != Some(life) {
            let next = if progress.life.is_none() { progress.next } else { last + 1 };
            let way = progress.way;
            progress = Progress::new(Some(life), next);
            if matches!(way, Way::Probe { .. }) {
                progress.way = way;
            }
        }
        if counts && admitted {
            progress.round = progress.round.max(round);
        } else {
            self.counts.unadmitted += u64::from(counts);
        }
        match outcome {
            Outcome::Match(upto) => {
                if counts && admitted {
                    progress.durable = progress.durable.max(upto);
                }
                self.matched(&mut progress, upto);
            }
            Outcome::Reject { prev, first, term } => self.rejected(&mut progress, prev, (first, term)),
            Outcome::Chunk { at, next } => self.piece_taken(&mut progress, at, next),
        }
        self.tell(from, &mut progress);
        self.lead.progress.insert(from.clone(), progress);
        if let Some(until) = self.lease_until() {
            self.held = self.held.max(until);
        }
        self.advance();
        if self.role == Role::Leader {
            self.confirm();
            self.readmit(from);
        }
    }

    fn matched(&self, progress: &mut Progress, upto: u64) {
        progress.matched = progress.matched.max(upto);
        progress.next = progress.next.max(progress.matched + 1);
        while progress.flights.pop_front_if(|last| *last <= progress.matched).is_some() {}
        if matches!(progress.way, Way::Probe { .. }) || progress.matched >= self.log.snapshot.at.index {
            progress.way = Way::Stream;
        }
    }

    /// Goes back to where the logs may agree: past all entries of a term that this log does not have. What was only
    /// said, not promised, may be gone after a restart of a follower whose disk had failed.
    fn rejected(&mut self, progress: &mut Progress, prev: u64, (first, term): (u64, Option<u64>)) {
        if prev <= progress.durable || prev >= progress.next || matches!(progress.way, Way::Pieces { .. }) {
            self.counts.stale += 1;
            return;
        }
        let hint = match term {
            Some(term) => {
                self.log.last_upto_term(prev.saturating_sub(1), term).max(first.saturating_sub(1)) + 1
            }
            None => first,
        };
        progress.probe(hint.min(prev).max(progress.durable + 1));
        progress.matched = progress.matched.min(progress.next - 1);
    }
}
