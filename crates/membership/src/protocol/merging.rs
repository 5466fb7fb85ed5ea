//! Merging of received records of other members, and refutation of those about this member.
use super::Membership;
use crate::event::Action;
use crate::member::MemberState;
use crate::member_entry::Reporter;
use crate::member_table::MergeOutcome;
use crate::update_queue::UpdateKey;
use crate::wire::MemberRecord;
use cluster_types::MemberId;

impl Membership {
    /// Merges a record of a member, and disseminates it if it is newer. Returns false if the member was not admitted to the
    /// table.
    pub(super) fn merge(&mut self, record: MemberRecord, reporter: Reporter) -> bool {
        if record.member == self.me.member {
            self.refute(&record);
            return true;
        }
        let is_seed = self.table.get(&record.member).is_some_and(|entry| entry.is_seed);
        if !is_seed && reporter != Reporter::Local && !self.is_allowed(record.address.ip()) {
            self.counters.disallowed_addresses += 1;
            return false;
        }
        let suspect_until = self.now + self.suspicion_timeout();
        let (member, base_incarnation) = (record.member.clone(), record.base_incarnation);
        match self.table.merge(record, reporter, self.now, suspect_until) {
            MergeOutcome::Outdated => true,
            MergeOutcome::TableFull => {
                self.counters.members_over_limit += 1;
                false
            }
            MergeOutcome::Updated { changed } => {
                if reporter != Reporter::Local {
                    self.learn_newer_incarnation(&member, base_incarnation);
                }
                self.update_queue.push(UpdateKey::Member(member.clone()));
                if changed {
                    self.report_change(&member);
                }
                true
            }
        }
    }

    fn learn_newer_incarnation(&mut self, member: &MemberId, incarnation: u64) {
        if self.sealer.incarnation_of(member).is_none_or(|known| known < incarnation) {
            self.sealer.learn_incarnation(member, incarnation);
        }
    }

    fn report_change(&mut self, member: &MemberId) {
        if let Some(entry) = self.table.get(member) {
            let (state, incarnation) = (entry.record.state, entry.record.incarnation());
            self.actions.push(Action::MemberChanged { member: member.clone(), state, incarnation });
        }
    }

    /// Refutes a report that this member is not alive, or of a higher incarnation, by incrementing its own incarnation.
    fn refute(&mut self, report: &MemberRecord) {
        let own = (self.me.incarnation(), self.me.state);
        if (report.incarnation(), report.state) <= own || self.me.state == MemberState::Left {
            return;
        }
        let incarnation = report.incarnation().saturating_add(1);
        self.me.incarnation_offset = incarnation.wrapping_sub(self.me.base_incarnation);
        self.update_queue.push(UpdateKey::Member(self.me.member.clone()));
        self.counters.refutations += 1;
        if report.state == MemberState::Suspect {
            self.health.degrade();
        }
    }

    /// Marks the members as dead whose suspicion timed out, and removes those that haven't been live for long.
    pub(super) fn expire_members(&mut self) {
        loop {
            let due = self.table.next_deadline().filter(|(at, _)| *at <= self.now).cloned();
            let Some((_, member)) = due else { return };
            let record = self.table.get(&member).map(|entry| entry.record.clone());
            match record {
                Some(mut record) if record.state == MemberState::Suspect => {
                    record.state = MemberState::Dead;
                    self.merge(record, Reporter::Local);
                }
                _ => self.remove_member(&member),
            }
        }
    }

    /// Removes all state about a member. Its replay window stays until its place is needed.
    pub(super) fn remove_member(&mut self, member: &MemberId) {
        self.table.remove(member);
        self.sealer.forget_incarnation(member);
        self.opener.allow_eviction(member);
        self.update_queue.remove(&UpdateKey::Member(member.clone()));
    }
}
