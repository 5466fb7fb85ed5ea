//! The staged recovery of a backend: each stage divides a larger part of its cold budget among the members.
use crate::quota::Quotas;
use cluster_types::{Index, MemberId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A member's quota. Stored: the fields keep their order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MemberQuota {
    /// The quota that is assigned to the member.
    pub(crate) current: u16,
    /// The highest quota that the member may still be using until it acknowledges `current`.
    pub(crate) held: u16,
    /// Whether the member has acknowledged `current`.
    pub(crate) is_acknowledged: bool,
}

/// The state of a backend's recovery. Stored: the fields keep their order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recovery {
    /// The log index of the latest step. Acknowledgements of earlier steps are ignored.
    step: Index,
    /// The first step of the current stage.
    stage_start: Index,
    /// The current stage; `None` until quotas are first assigned.
    stage: Option<usize>,
    quotas: BTreeMap<MemberId, MemberQuota>,
}

impl Recovery {
    pub(crate) fn new(step: Index) -> Recovery {
        Recovery { step, stage_start: step, stage: None, quotas: BTreeMap::new() }
    }

    /// Restarts the recovery after the backend has failed. A quota that a member may still be using counts until the member
    /// has acknowledged a lower one.
    pub(crate) fn restart(&mut self, step: Index) {
        self.step = step;
        self.stage_start = step;
        self.stage = None;
        self.drop_released_quotas();
        self.reset_quotas();
    }

    /// Begins a step with these quotas; members that are not named get no quota.
    pub(crate) fn begin_step(&mut self, step: Index, stage: usize, quotas: &Quotas) {
        if self.stage != Some(stage) {
            self.stage_start = step;
        }
        self.step = step;
        self.stage = Some(stage);
        self.reset_quotas();
        for (member, permille) in quotas {
            let quota = self.quotas.entry(member.clone()).or_default();
            quota.current = *permille;
            quota.held = quota.held.max(*permille);
        }
        self.drop_released_quotas();
    }

    /// Records that a member has put its current quota into effect. Returns whether it has one.
    pub(crate) fn acknowledge(&mut self, member: &MemberId) -> bool {
        let Some(quota) = self.quotas.get_mut(member) else { return false };
        quota.held = quota.current;
        quota.is_acknowledged = true;
        self.drop_released_quotas();
        true
    }

    pub(crate) fn remove_member(&mut self, member: &MemberId) {
        self.quotas.remove(member);
    }

    fn reset_quotas(&mut self) {
        for quota in self.quotas.values_mut() {
            quota.current = 0;
            quota.is_acknowledged = false;
        }
    }

    fn drop_released_quotas(&mut self) {
        self.quotas.retain(|_, quota| quota.held > 0);
    }

    /// The log index of the latest step.
    pub fn step(&self) -> Index {
        self.step
    }

    /// The first step of the current stage.
    pub fn stage_start(&self) -> Index {
        self.stage_start
    }

    /// The current stage; `None` before the first.
    pub fn stage(&self) -> Option<usize> {
        self.stage
    }

    /// The quotas that are assigned to members.
    pub fn quotas(&self) -> Quotas {
        self.quotas.iter().map(|(member, quota)| (member.clone(), quota.current)).collect()
    }

    pub(crate) fn quota(&self, member: &MemberId) -> Option<&MemberQuota> {
        self.quotas.get(member)
    }

    fn held(&self, member: &MemberId) -> u16 {
        self.quotas.get(member).map_or(0, |quota| quota.held)
    }

    /// The most that all members together may be using, including members that have not received the latest step.
    pub fn max_in_use(&self) -> u32 {
        self.quotas.values().map(|quota| u32::from(quota.current.max(quota.held))).sum()
    }

    /// What [`Self::max_in_use`] would be after a step with these quotas.
    pub(crate) fn max_in_use_with(&self, quotas: &Quotas) -> u32 {
        let others = self.quotas.iter().filter(|(member, _)| !quotas.contains_key(*member));
        let others: u32 = others.map(|(_, quota)| u32::from(quota.held)).sum();
        let named: u32 =
            quotas.iter().map(|(member, permille)| u32::from((*permille).max(self.held(member)))).sum();
        others + named
    }

    /// Whether some member's quota would rise above what it may be using now.
    pub(crate) fn is_raised_by(&self, quotas: &Quotas) -> bool {
        quotas.iter().any(|(member, permille)| self.held(member) < *permille)
    }

    /// The quotas nearest to `wanted` that one step can set such that all members together stay within `capacity` while
    /// only some of them have received the step.
    pub(crate) fn reachable_quotas(&self, wanted: &Quotas, capacity: u16) -> Quotas {
        let lowered =
            wanted.iter().map(|(member, permille)| (member.clone(), (*permille).min(self.held(member))));
        let mut quotas: Quotas = lowered.collect();
        let mut free = u32::from(capacity).saturating_sub(self.max_in_use_with(&quotas));
        for (member, wanted) in wanted {
            let Some(quota) = quotas.get_mut(member) else { continue };
            let raise = u16::try_from(free).unwrap_or(u16::MAX).min(wanted - *quota);
            *quota += raise;
            free -= u32::from(raise);
        }
        quotas
    }
}
