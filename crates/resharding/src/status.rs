//! The status of steps and migrations, for the operators' interface.
use crate::migration::{Migration, RangeMove};
use crate::phase::{MemberStanding, Phase};
use crate::plan::Step;
use crate::state::{ReshardingState, StepBlocked};
use cluster_types::{Index, MemberId};
use serde::Serialize;
use std::collections::BTreeSet;

/// The status of a step. Shown to operators: the fields keep their names there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct StepStatus {
    /// The range that moves, from which backend to which.
    #[serde(flatten)]
    pub range: RangeMove,
    /// The migration, once it runs.
    #[serde(rename = "id")]
    pub migration: Option<Index>,
    /// The phase of the migration, or `waits`.
    pub state: String,
    /// The reasons for which it waits.
    #[serde(rename = "waits")]
    pub waiting_for: Vec<String>,
    /// How many blocks are left to copy.
    #[serde(rename = "left")]
    pub blocks_left: u64,
    /// The member that copies.
    #[serde(rename = "mover")]
    pub migrator: Option<MemberId>,
    /// When it entered its phase, by the leader's Unix time in milliseconds.
    #[serde(rename = "since_ms")]
    pub phase_start_ms: u64,
}

impl StepStatus {
    /// The status of a step that has not begun.
    pub fn waiting(step: &Step, blocked: Option<StepBlocked>) -> StepStatus {
        StepStatus {
            range: RangeMove::from(step),
            migration: None,
            state: "waits".to_string(),
            waiting_for: blocked.iter().map(StepBlocked::to_string).collect(),
            blocks_left: step.blocks.len(),
            migrator: None,
            phase_start_ms: 0,
        }
    }

    fn running(id: Index, migration: &Migration) -> StepStatus {
        let state = match &migration.phase {
            Phase::RolledBack { reason } => format!("back: {reason}"),
            phase => phase.name().to_string(),
        };
        StepStatus {
            range: migration.range.clone(),
            migration: Some(id),
            state,
            waiting_for: waiting_for(migration),
            blocks_left: migration.uncopied.len(),
            migrator: migration.migrator.as_ref().map(|(member, _)| member.clone()),
            phase_start_ms: migration.phase_start_ms,
        }
    }
}

impl ReshardingState {
    /// The status of all steps that are not done and of all running migrations, by step.
    pub fn status(&self) -> Vec<StepStatus> {
        let running = self.migrations.iter().map(|(id, migration)| StepStatus::running(*id, migration));
        let mut status: Vec<StepStatus> = running.collect();
        let begun: BTreeSet<u32> = self.migrations.values().map(|migration| migration.range.step).collect();
        for step in self.queue.values().filter(|step| !begun.contains(&step.id)) {
            status.push(StepStatus::waiting(step, self.check_step(step).err()));
        }
        status.sort_by_key(|status| (status.range.step, status.migration));
        status
    }
}

/// The reasons for which a migration waits, in the wording of the operators' interface.
fn waiting_for(migration: &Migration) -> Vec<String> {
    let phase = &migration.phase;
    let standings = migration.members.iter();
    let mut waiting_for: Vec<String> =
        standings.filter_map(|(member, standing)| waiting_for_member(phase, member, standing)).collect();
    for (member, assignment) in &migration.pending_acknowledgements {
        let may_copy = phase.is_reversible() || matches!(phase, Phase::RolledBack { .. });
        if assignment.is_some() && may_copy {
            waiting_for.push(format!("{member} copied and was lost; it must be heard again, or be excused"));
        } else if matches!(phase, Phase::Release { .. }) {
            waiting_for.push(format!("{member} must be heard before the old place is free, or be excused"));
        }
    }
    if migration.unfreezes > 0 && phase.is_reversible() {
        waiting_for.push(format!("its hand-over took too long {} times", migration.unfreezes));
    }
    if migration.migrator.is_none() && phase.is_copying() {
        waiting_for.push("no front copies".to_string());
    }
    waiting_for
}

fn waiting_for_member(phase: &Phase, member: &MemberId, standing: &MemberStanding) -> Option<String> {
    match phase {
        Phase::Prepare if *standing == MemberStanding::Unacknowledged => {
            Some(format!("{member} has not acknowledged; if it does not run, excuse it"))
        }
        Phase::HandOver { quiet, .. } if standing.is_leased() && !quiet.contains(member) => {
            Some(format!("{member} is not quiet yet"))
        }
        Phase::Switch { confirmed, .. } if standing.is_leased() && !confirmed.contains(member) => {
            Some(format!("{member} does not know the new place yet"))
        }
        _ => None,
    }
}
