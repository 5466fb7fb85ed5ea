//! Transitions that grant backends and record members' drain reports.
use crate::admission::AdmissionCheck;
use crate::effect::Effect;
use crate::grant::Grant;
use crate::rejection::Rejection;
use crate::request::{BackendOutcome, Batch};
use crate::state::{MaintenancePhase, MaintenanceState};
use cluster_types::{Index, MemberId};

impl MaintenanceState {
    pub(super) fn grant_batch(
        &mut self,
        name: &str,
        backends: &Batch,
        effects: &mut Vec<Effect>,
    ) -> Result<(), Rejection> {
        AdmissionCheck::new(self).admit(name, backends)?;
        let index = self.applied;
        let request = self.requests.get_mut(name).ok_or(Rejection::NotFound)?;
        for backend in backends {
            request.backends.insert(backend.clone(), BackendOutcome::Granted(index));
            self.phases.insert(backend.clone(), MaintenancePhase::Granted(index));
        }
        self.grants.insert(index, Grant::new(name, backends.clone(), request.work_ms));
        effects.push(Effect::Drain { grant: index, backends: backends.clone() });
        Ok(())
    }

    pub(super) fn report_drained(
        &mut self,
        issuer: &MemberId,
        grant: Index,
        member: &MemberId,
        effects: &mut Vec<Effect>,
    ) -> Result<(), Rejection> {
        if issuer != member {
            return Err(Rejection::NotOwnReport);
        }
        if !self.is_present(member) {
            return Err(Rejection::MemberNotPresent);
        }
        let grant = self.grants.get_mut(&grant).ok_or(Rejection::NotFound)?;
        grant.drained_by.insert(member.clone());
        self.complete_drains(effects);
        Ok(())
    }

    /// Completes each draining grant that all present members have drained.
    pub(super) fn complete_drains(&mut self, effects: &mut Vec<Effect>) {
        let present: Vec<MemberId> = self.present_members().cloned().collect();
        for (index, grant) in &mut self.grants {
            if !grant.is_drained() && present.iter().all(|member| grant.drained_by.contains(member)) {
                grant.drained_at_ms = Some(self.log_time_ms);
                let (name, backends) = (grant.name.clone(), grant.backends.clone());
                effects.push(Effect::Drained { grant: *index, name, backends });
            }
        }
    }
}
