//! Transitions of a recovery: the leader sets stages and quotas, and members acknowledge them.
use crate::effect::Effect;
use crate::quota::Quotas;
use crate::recovery::Recovery;
use crate::rejection::Rejection;
use crate::state::{MaintenancePhase, MaintenanceState};
use cluster_types::{BackendId, Index, MemberId};

impl MaintenanceState {
    fn recovery_mut(&mut self, backend: &BackendId) -> Result<&mut Recovery, Rejection> {
        match self.phases.get_mut(backend) {
            Some(MaintenancePhase::Recovering(recovery)) => Ok(recovery),
            _ => Err(Rejection::NotFound),
        }
    }

    pub(super) fn set_stage(
        &mut self,
        backend: &BackendId,
        after: Index,
        stage: usize,
        quotas: &Quotas,
        effects: &mut Vec<Effect>,
    ) -> Result<(), Rejection> {
        let step = self.applied;
        let capacity = u32::from(self.rules.stage_permille(stage));
        let last_stage = self.rules.last_stage();
        if self.facts.has_failed(backend) {
            return Err(Rejection::NotRecovered);
        }
        if quotas.keys().any(|member| !self.is_present(member)) {
            return Err(Rejection::MemberNotPresent);
        }
        let recovery = self.recovery_mut(backend)?;
        let next_stage = recovery.stage().map_or(0, |stage| stage + 1);
        if recovery.step() != after || stage > next_stage {
            return Err(Rejection::Superseded);
        }
        if stage > last_stage {
            return Err(Rejection::StageExceeded);
        }
        // Members receive a step at different times: any mixture of old and new quotas that they use in the meantime must
        // fit into the stage. Lowering quotas is always possible.
        let sum: u32 = quotas.values().map(|permille| u32::from(*permille)).sum();
        let is_transition_exceeded =
            recovery.is_raised_by(quotas) && recovery.max_in_use_with(quotas) > capacity;
        if sum > capacity || is_transition_exceeded {
            return Err(Rejection::StageExceeded);
        }
        recovery.begin_step(step, stage, quotas);
        effects.push(Effect::Recovering { backend: backend.clone(), step, stage: Some(stage) });
        Ok(())
    }

    pub(super) fn acknowledge_stage(
        &mut self,
        issuer: &MemberId,
        backend: &BackendId,
        step: Index,
        member: &MemberId,
    ) -> Result<(), Rejection> {
        if issuer != member {
            return Err(Rejection::NotOwnReport);
        }
        let recovery = self.recovery_mut(backend)?;
        if recovery.step() != step {
            return Err(Rejection::Superseded);
        }
        if recovery.acknowledge(member) {
            Ok(())
        } else {
            Err(Rejection::NotFound)
        }
    }

    pub(super) fn complete_recovery(
        &mut self,
        backend: &BackendId,
        step: Index,
        effects: &mut Vec<Effect>,
    ) -> Result<(), Rejection> {
        let last_stage = self.rules.last_stage();
        let facts = self.facts.backend(backend);
        let has_warmed_up = facts.is_some_and(|facts| facts.is_available() && !facts.is_warming_up);
        let recovery = self.recovery_mut(backend)?;
        if recovery.step() != step {
            return Err(Rejection::Superseded);
        }
        if !has_warmed_up || recovery.stage().is_none_or(|stage| stage < last_stage) {
            return Err(Rejection::NotRecovered);
        }
        self.phases.remove(backend);
        effects.push(Effect::InService { backend: backend.clone() });
        Ok(())
    }
}
