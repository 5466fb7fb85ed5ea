//! Failure detection: a direct ping, then pings through other members, then suspicion.
use super::Membership;
use crate::member::MemberState;
use crate::member_entry::Reporter;
use crate::outgoing::Outgoing;
use crate::pings::PingReason;
use crate::probe::Probe;
use crate::wire::Message;
use cluster_types::MemberId;
use rand::seq::SliceRandom;

impl Membership {
    /// Selects up to `count` random live members other than `except`.
    pub(super) fn random_live_members(&mut self, count: usize, except: Option<&MemberId>) -> Vec<MemberId> {
        let live = self.table.live_members().filter(|member| Some(*member) != except);
        let mut members: Vec<MemberId> = live.cloned().collect();
        members.partial_shuffle(&mut self.rng, count).0.to_vec()
    }

    /// The next member to probe. Each round contains all live members once, in a new random order.
    fn next_target(&mut self) -> Option<MemberId> {
        for _ in 0..2 {
            while let Some(member) = self.probe_round.pop() {
                if self.table.is_live(&member) {
                    return Some(member);
                }
            }
            self.probe_round = self.table.live_members().cloned().collect();
            self.probe_round.shuffle(&mut self.rng);
        }
        None
    }

    /// Executes the due step of the current probe, or starts the next probe.
    pub(super) fn continue_probing(&mut self) {
        let now = self.now;
        if self.probe.as_ref().is_some_and(|probe| probe.is_indirect_due(now)) {
            self.probe_indirectly();
        }
        if let Some(probe) = self.probe.take_if(|probe| probe.has_failed(now)) {
            self.fail_probe(&probe);
        }
        if self.probe.is_none() && self.next_probe <= now {
            self.start_probe();
        }
    }

    fn start_probe(&mut self) {
        // A probe must not fail because this member's send budget is exhausted.
        if let Some(ready_at) = self.budget_available_at() {
            self.next_probe = ready_at;
            return;
        }
        let deadline = self.now + self.health.scale(self.settings.probe_period);
        self.next_probe = deadline;
        let Some(target) = self.next_target() else { return };
        let Some(sequence) = self.pings.start(&target, PingReason::Probe, deadline) else { return };
        let indirect_at = self.now + self.health.scale(self.settings.probe_timeout);
        self.counters.probes_started += 1;
        self.probe = Some(Probe::new(sequence, target.clone(), indirect_at, deadline));
        self.send(Outgoing::new(&target, Message::Ping { sequence }));
    }

    /// Asks other members to probe the target.
    fn probe_indirectly(&mut self) {
        let Some(probe) = &self.probe else { return };
        let (sequence, target) = (probe.sequence, probe.target.clone());
        let helpers = self.random_live_members(self.settings.indirect_probes, Some(&target));
        // Pings the target again, at any incarnation, since it may have restarted.
        self.send(Outgoing::new(&target, Message::Ping { sequence }).for_any_incarnation());
        for helper in &helpers {
            let request = Message::PingRequest { sequence, target: target.clone() };
            self.send(Outgoing::new(helper, request));
        }
        if let Some(probe) = &mut self.probe {
            probe.indirect_at = None;
            probe.helpers = helpers.into_iter().collect();
        }
    }

    fn fail_probe(&mut self, probe: &Probe) {
        self.counters.probes_failed += 1;
        // Healthy helpers send a nack in time. If most of them don't answer, this member may be isolated.
        if probe.suggests_local_fault() {
            self.health.degrade();
        }
        let entry = self.table.get(&probe.target);
        let alive = entry.filter(|entry| entry.record.state == MemberState::Alive);
        if let Some(mut record) = alive.map(|entry| entry.record.clone()) {
            record.state = MemberState::Suspect;
            self.merge(record, Reporter::Local);
        }
    }

    /// Completes the current probe if it has this sequence number: its target answered, directly or through a helper.
    pub(super) fn finish_probe(&mut self, sequence: u32) {
        if self.probe.take_if(|probe| probe.sequence == sequence).is_some() {
            self.health.improve();
        }
    }

    /// Removes the pings that timed out, and sends nacks to the members that requested them.
    pub(super) fn expire_pings(&mut self) {
        for ping in self.pings.take_expired(self.now) {
            if let PingReason::Requested { by, sequence } = ping.reason {
                self.send(Outgoing::new(&by, Message::IndirectNack { sequence }));
            }
        }
    }
}
