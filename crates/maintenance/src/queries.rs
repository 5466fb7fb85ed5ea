//! Queries of the host: the status of requests, and the orders for a member.
use crate::admission::{AdmissionCheck, OutOfServiceSet};
use crate::order::MemberOrder;
use crate::rejection::Rejection;
use crate::request::{BackendOutcome, MaintenanceRequest};
use crate::state::{MaintenancePhase, MaintenanceState};
use crate::status::RequestStatus;
use cluster_types::{BackendId, Index, MemberId};
use std::collections::{BTreeMap, BTreeSet};

impl MaintenanceState {
    /// The status of a request, open or ended.
    pub fn status(&self, name: &str) -> Option<RequestStatus> {
        let request = self.request(name)?;
        Some(RequestStatus {
            name: name.into(),
            request: request.clone(),
            undrained_members: self.undrained_members(request),
            waiting_reason: self.waiting_reason(name),
        })
    }

    fn undrained_members(&self, request: &MaintenanceRequest) -> BTreeMap<Index, BTreeSet<MemberId>> {
        let grants = request.backends.values().filter_map(|outcome| match outcome {
            BackendOutcome::Granted(grant) => self.grants.get_key_value(grant),
            _ => None,
        });
        let missing = |drained_by: &BTreeSet<MemberId>| {
            self.present_members().filter(|member| !drained_by.contains(*member)).cloned().collect()
        };
        let draining = grants.filter(|(_, grant)| !grant.is_drained());
        draining.map(|(index, grant)| (*index, missing(&grant.drained_by))).collect()
    }

    fn waiting_reason(&self, name: &str) -> Option<Rejection> {
        let batches = self.requests.get(name).map(MaintenanceRequest::waiting_batches).unwrap_or_default();
        let check = AdmissionCheck::new(self);
        batches.iter().find_map(|batch| check.admit(name, batch).err())
    }

    /// The orders for a member: the backends to drain, and its quotas of recovering backends.
    pub fn orders(&self, member: &MemberId) -> BTreeMap<BackendId, MemberOrder> {
        let phases = self.phases.iter();
        phases.map(|(backend, phase)| (backend.clone(), self.order(member, phase))).collect()
    }

    fn order(&self, member: &MemberId, phase: &MaintenancePhase) -> MemberOrder {
        match phase {
            MaintenancePhase::Granted(index) => {
                let grant = self.grants.get(index);
                let is_reported =
                    grant.is_none_or(|grant| grant.is_drained() || grant.drained_by.contains(member));
                MemberOrder::Drain { grant: *index, is_reported }
            }
            MaintenancePhase::Recovering(recovery) => {
                let quota = recovery.quota(member);
                MemberOrder::Ramp {
                    step: recovery.step(),
                    permille: quota.map_or(0, |quota| quota.current),
                    is_reported: quota.is_none_or(|quota| quota.is_acknowledged),
                }
            }
        }
    }

    /// The backends that count as out of service.
    pub fn out_of_service(&self) -> BTreeSet<BackendId> {
        OutOfServiceSet::all(self).into_backends()
    }
}
