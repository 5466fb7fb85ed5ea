//! A member's reports on its use of migrating ranges.
use super::MemberAgent;
use crate::block_set::BlockSet;
use crate::command::Command;
use crate::migration::Migration;
use crate::phase::{MemberStanding, Phase};
use crate::state::ReshardingState;
use cluster_types::{Index, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// The kinds of reports that are repeated until the log has them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum ReportKind {
    Acknowledged,
    AcknowledgedAgain,
    Quiet,
    Writes,
    SwitchConfirmed,
    Stopped,
}

/// The last report of a kind that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SentReport {
    /// The log index of what was reported on, such as a freeze or an assignment.
    subject: Index,
    at: Time,
}

/// The last report of each kind on each migration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct ReportLog {
    sent: BTreeMap<(Index, ReportKind), SentReport>,
}

impl ReportLog {
    /// Forgets the reports on migrations that have ended.
    pub(super) fn retain(&mut self, state: &ReshardingState) {
        self.sent.retain(|(id, _), _| state.migrations.contains_key(id));
    }

    /// Whether a report is due: none on this subject was sent within the last `interval`. Records it as sent if so.
    pub(super) fn is_due(
        &mut self,
        now: Time,
        id: Index,
        kind: ReportKind,
        subject: Index,
        interval: Duration,
    ) -> bool {
        let sent = self.sent.get(&(id, kind));
        let is_due = sent.is_none_or(|sent| sent.subject != subject || now.since(sent.at) >= interval);
        if is_due {
            self.sent.insert((id, kind), SentReport { subject, at: now });
        }
        is_due
    }
}

impl MemberAgent {
    /// Returns the report on this member's use of a migrating range that is due now.
    pub(super) fn report_use(
        &mut self,
        now: Time,
        id: Index,
        migration: &Migration,
        state: &ReshardingState,
    ) -> Option<Command> {
        let fence = &self.fence;
        let incarnation = fence.incarnation;
        let standing = *migration.members.get(&fence.member)?;
        let may_acknowledge = fence.has_lease(now) && now > fence.started + fence.settings.max_command_time;
        match (standing, &migration.phase) {
            (MemberStanding::Unacknowledged, phase) if phase.is_reversible() && may_acknowledge => {
                // From here on the range is used only under the lease, whether or not the report arrives.
                self.fence.acknowledged.insert(id);
                self.acknowledge(now, id, ReportKind::Acknowledged, id, state)
            }
            (MemberStanding::Revoked, phase) if phase.is_reversible() => {
                if !may_acknowledge || !self.is_idle_in(id, migration) {
                    return None;
                }
                let revocation = state.last_revocation(&fence.member);
                self.acknowledge(now, id, ReportKind::AcknowledgedAgain, revocation, state)
            }
            (MemberStanding::Leased { incarnation: leased, last_report }, phase)
                if leased == incarnation && phase.is_reversible() =>
            {
                self.report_writes(now, id, migration, last_report)
            }
            (MemberStanding::Leased { incarnation: leased, .. }, Phase::Switch { epoch, confirmed })
                if leased == incarnation =>
            {
                let is_confirmed = confirmed.contains(&fence.member);
                self.confirm_switch(now, id, *epoch, !is_confirmed)
            }
            (MemberStanding::Revoked, Phase::Switch { epoch, .. } | Phase::Release { epoch }) => {
                let is_pending = migration.pending_acknowledgements.contains_key(&fence.member);
                let may_confirm = is_pending && self.is_idle_in(id, migration);
                self.confirm_switch(now, id, *epoch, may_confirm)
            }
            (_, Phase::RolledBack { .. }) => self.report_stopped(now, id, migration),
            _ => None,
        }
    }

    /// Whether this member has neither writes nor copies of a migration in flight.
    fn is_idle_in(&self, id: Index, migration: &Migration) -> bool {
        let mut copiers = self.copiers.iter().filter(|(copier, _)| copier.migration == id);
        self.fence.is_quiet(migration) && copiers.all(|(_, copier)| copier.is_idle())
    }

    fn is_due(&mut self, now: Time, id: Index, kind: ReportKind, subject: Index) -> bool {
        self.reports.is_due(now, id, kind, subject, self.fence.settings.report_interval)
    }

    fn acknowledge(
        &mut self,
        now: Time,
        id: Index,
        kind: ReportKind,
        subject: Index,
        state: &ReshardingState,
    ) -> Option<Command> {
        let incarnation = self.fence.incarnation;
        let last_revocation = state.last_revocation(&self.fence.member);
        let command = Command::Acknowledge { migration: id, incarnation, last_revocation };
        self.is_due(now, id, kind, subject).then_some(command)
    }

    /// Reports the blocks that were written during the copy, and at a hand-over that this member is quiet.
    fn report_writes(
        &mut self,
        now: Time,
        id: Index,
        migration: &Migration,
        last_report: u64,
    ) -> Option<Command> {
        let freeze = match &migration.phase {
            Phase::HandOver { freeze, quiet } if !quiet.contains(&self.fence.member) => {
                Some(*freeze).filter(|_| self.fence.is_quiet(migration))
            }
            _ => None,
        };
        let written = self.fence.written.entry(id).or_default();
        if last_report >= written.report {
            written.reported = BlockSet::default();
        }
        let has_written = !written.unreported.is_empty() || !written.reported.is_empty();
        let is_due = match freeze {
            Some(freeze) => self.is_due(now, id, ReportKind::Quiet, freeze),
            None => has_written && self.is_due(now, id, ReportKind::Writes, Index(0)),
        };
        if !is_due {
            return None;
        }
        // Blocks that are not in the log yet are reported again together with the new ones.
        let incarnation = self.fence.incarnation;
        let written = self.fence.written.entry(id).or_default();
        let unreported = std::mem::take(&mut written.unreported);
        written.reported.merge(&unreported);
        written.report += 1;
        let (report, blocks) = (written.report, written.reported.ranges());
        Some(match freeze {
            Some(freeze) => Command::ReportQuiet { migration: id, freeze, incarnation, report, blocks },
            None => Command::ReportWrites { migration: id, incarnation, report, blocks },
        })
    }

    fn confirm_switch(&mut self, now: Time, id: Index, epoch: Index, may_confirm: bool) -> Option<Command> {
        let command = Command::ConfirmSwitch { migration: id, incarnation: self.fence.incarnation };
        (may_confirm && self.is_due(now, id, ReportKind::SwitchConfirmed, epoch)).then_some(command)
    }

    /// Reports that no copy of a revoked assignment is in flight any more.
    fn report_stopped(&mut self, now: Time, id: Index, migration: &Migration) -> Option<Command> {
        let pending = migration.pending_acknowledgements.get(&self.fence.member);
        let assignment = pending.copied().flatten()?;
        let is_due = self.is_idle_in(id, migration) && self.is_due(now, id, ReportKind::Stopped, assignment);
        is_due.then_some(Command::ReportStopped { migration: id, assignment })
    }
}
