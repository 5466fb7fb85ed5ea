//! Proposes the next step of a recovery.
use super::view::ClusterView;
use crate::command::Command;
use crate::quota::{distribute_quotas, Quotas};
use crate::recovery::Recovery;
use crate::state::MaintenanceState;
use cluster_types::BackendId;

impl MaintenanceState {
    /// The next stage of a backend, different quotas within the same stage, or the end of its recovery.
    pub(super) fn next_recovery_step(
        &self,
        backend: &BackendId,
        recovery: &Recovery,
        view: &ClusterView,
    ) -> Option<Command> {
        let facts = self.facts.backend(backend)?;
        if !facts.is_available() {
            return None;
        }
        let is_stage_over = view.healthy_ms.get(backend).is_some_and(|ms| *ms >= self.rules.stage_ms);
        let is_last = recovery.stage().is_some_and(|stage| stage >= self.rules.last_stage());
        if is_last && is_stage_over && !facts.is_warming_up {
            return Some(Command::CompleteRecovery { backend: backend.clone(), step: recovery.step() });
        }
        let stage = match recovery.stage() {
            None => 0,
            Some(stage) if is_stage_over && !is_last => stage + 1,
            Some(stage) => stage,
        };
        let quotas = self.next_quotas(backend, recovery, stage, view)?;
        Some(Command::SetStage { backend: backend.clone(), after: recovery.step(), stage, quotas })
    }

    /// The quotas to set at a stage; `None` if the current step needs no change.
    fn next_quotas(
        &self,
        backend: &BackendId,
        recovery: &Recovery,
        stage: usize,
        view: &ClusterView,
    ) -> Option<Quotas> {
        let present = self.present_members();
        let weights = present.map(|member| (member.clone(), view.traffic(backend, member))).collect();
        let capacity = self.rules.stage_permille(stage);
        let mut quotas = distribute_quotas(capacity, &weights);
        let is_same_stage = recovery.stage() == Some(stage);
        let current = without_zeros(recovery.quotas());
        if is_same_stage && !is_step_justified(&current, &quotas) {
            return None;
        }
        if recovery.max_in_use_with(&quotas) > u32::from(capacity) {
            quotas = recovery.reachable_quotas(&quotas, capacity);
        }
        let quotas = without_zeros(quotas);
        if is_same_stage && quotas == current {
            None
        } else {
            Some(quotas)
        }
    }
}

fn without_zeros(mut quotas: Quotas) -> Quotas {
    quotas.retain(|_, permille| *permille > 0);
    quotas
}

/// Whether different quotas justify a new step: a member has joined or left, or over a quarter of the stage is unassigned.
fn is_step_justified(current: &Quotas, wanted: &Quotas) -> bool {
    let sum = |quotas: &Quotas| quotas.values().map(|permille| u32::from(*permille)).sum::<u32>();
    let wanted_members = wanted.iter().filter(|(_, permille)| **permille > 0).map(|(member, _)| member);
    !current.keys().eq(wanted_members) || sum(current) * 4 < sum(wanted) * 3
}
