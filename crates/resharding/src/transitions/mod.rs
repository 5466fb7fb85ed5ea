//! Applies commands deterministically: all members reach the same state from the same log. Late, repeated and invalid
//! commands change nothing and are counted.
mod members;
mod plan;
mod progress;
mod reports;

use crate::command::Command;
use crate::effect::Effect;
use crate::state::ReshardingState;
use cluster_types::{Index, MemberId};

/// The reason of a rollback that an operator requested. Stored.
const CANCELLED_BY_OPERATOR: &str = "an operator's word";

/// The log entry that is being applied, and its effects so far.
struct Entry<'a> {
    index: Index,
    time_ms: u64,
    issuer: &'a MemberId,
    effects: Vec<Effect>,
}

impl ReshardingState {
    /// Applies a command of the log. `issuer` is the member that sent the report or received the operator's request.
    pub fn apply(&mut self, index: Index, time_ms: u64, issuer: &MemberId, command: &Command) -> Vec<Effect> {
        if index <= self.applied {
            self.ignored += 1;
            return Vec::new();
        }
        self.applied = index;
        let mut entry = Entry { index, time_ms, issuer, effects: Vec::new() };
        if !self.execute(&mut entry, command) {
            self.ignored += 1;
        }
        entry.effects
    }

    /// Returns whether the command was accepted.
    fn execute(&mut self, entry: &mut Entry, command: &Command) -> bool {
        match command {
            Command::Join { incarnation } => self.join(entry.issuer, *incarnation),
            Command::Leave { incarnation } => self.leave(entry, *incarnation),
            Command::Adopt { volume, ranges } => self.adopt(entry, volume, ranges),
            Command::ReplacePlan { plan, steps, bounds } => self.replace_plan(entry, plan, steps, bounds),
            Command::Begin { step } => self.begin(entry, *step),
            Command::Acknowledge { migration, incarnation, last_revocation } => {
                self.acknowledge(entry, *migration, *incarnation, *last_revocation)
            }
            Command::AssignMigrator { migration, migrator } => {
                self.assign_migrator(entry, *migration, migrator)
            }
            Command::ReportWrites { migration, incarnation, report, blocks } => {
                self.report_writes(entry, *migration, *incarnation, *report, blocks)
            }
            Command::ReportCopied { migration, assignment, chunks } => {
                self.report_copied(entry, *migration, *assignment, chunks)
            }
            Command::Freeze { migration } => self.freeze(entry, *migration),
            Command::ReportQuiet { migration, freeze, incarnation, report, blocks } => {
                self.awaits_quiet(*migration, *freeze, entry.issuer)
                    && self.report_writes(entry, *migration, *incarnation, *report, blocks)
                    && self.note_quiet(entry, *migration)
            }
            Command::Unfreeze { migration, freeze } => self.unfreeze(entry, *migration, *freeze),
            Command::ConfirmSwitch { migration, incarnation } => {
                self.confirm_switch(entry, *migration, *incarnation)
            }
            Command::Revoke { member, incarnation } => self.revoke(entry, member, *incarnation),
            Command::DeclareDead { member } => self.declare_dead(entry, member),
            Command::RollBack { migration, reason } => self.roll_back(entry, *migration, reason),
            Command::Cancel { migration } => self.cancel(entry, *migration),
            Command::ReportStopped { migration, assignment } => {
                self.report_stopped(entry, *migration, *assignment)
            }
            Command::Release { migration } => self.release(entry, *migration),
        }
    }
}
