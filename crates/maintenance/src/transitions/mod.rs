//! The state transitions: applying a command has the same result on every member.
mod grants;
mod observations;
mod presence;
mod recovery;
mod requests;
mod time;

use crate::command::{Command, CommandLabel};
use crate::effect::Effect;
use crate::facts::EntryPosition;
use crate::rejection::Rejection;
use crate::rules::Rules;
use crate::state::MaintenanceState;
use cluster_types::{Index, MemberId};

impl MaintenanceState {
    /// Applies a log entry and returns its effects. `issuer` is the member that sent the report or received the operator's
    /// call; for commands that the leader proposes on its own, it is the leader.
    pub fn apply(&mut self, index: Index, time_ms: u64, issuer: &MemberId, command: &Command) -> Vec<Effect> {
        let mut effects = Vec::new();
        if index <= self.applied {
            self.reject(CommandLabel::entry(index), Rejection::AlreadyApplied, &mut effects);
            return effects;
        }
        self.applied = index;
        self.log_time_ms = self.log_time_ms.max(time_ms);
        self.advance_time(&mut effects);
        if let Err(reason) = self.execute(issuer, command, &mut effects) {
            self.reject(CommandLabel::from(command), reason, &mut effects);
        }
        self.advance_time(&mut effects);
        effects
    }

    fn reject(&mut self, command: CommandLabel, reason: Rejection, effects: &mut Vec<Effect>) {
        self.rejected_commands += 1;
        effects.push(Effect::Rejected { command, reason });
    }

    fn execute(
        &mut self,
        issuer: &MemberId,
        command: &Command,
        effects: &mut Vec<Effect>,
    ) -> Result<(), Rejection> {
        match command {
            Command::SetRules(rules) => self.set_rules(rules),
            Command::Request { name, backends, work_ms, deadline_ms, all_at_once } => {
                let request = self.new_request(backends, *work_ms, *deadline_ms, *all_at_once);
                self.submit_request(name, request, effects)
            }
            Command::Withdraw { name } => self.withdraw(name, effects),
            Command::Grant { name, backends } => self.grant_batch(name, backends, effects),
            Command::ReportDrained { grant, member } => self.report_drained(issuer, *grant, member, effects),
            Command::ReturnBackend { name, backend } => self.return_backend(name, backend, effects),
            Command::Finish { name } => self.finish(name, effects),
            Command::SetStage { backend, after, stage, quotas } => {
                self.set_stage(backend, *after, *stage, quotas, effects)
            }
            Command::AcknowledgeStage { backend, step, member } => {
                self.acknowledge_stage(issuer, backend, *step, member)
            }
            Command::CompleteRecovery { backend, step } => self.complete_recovery(backend, *step, effects),
            Command::Observe { min_applied, is_complete, backends, volumes } => {
                self.observe(*min_applied, *is_complete, backends, volumes, effects)
            }
            Command::SetPresence { member, presence } => {
                self.set_presence(issuer, member, *presence, effects)
            }
            Command::DeclareDead { member } => self.declare_dead(member, effects),
            Command::Tick => Ok(()),
        }
    }

    fn set_rules(&mut self, rules: &Rules) -> Result<(), Rejection> {
        rules.check()?;
        self.rules = rules.clone();
        Ok(())
    }

    /// Index and time of the entry that is being applied.
    fn position(&self) -> EntryPosition {
        EntryPosition { index: self.applied, time_ms: self.log_time_ms }
    }
}
