//! Transitions by which members join and leave, through their own reports or an operator's command.
use crate::command::Presence;
use crate::effect::Effect;
use crate::limits;
use crate::member_status::MemberStatus;
use crate::rejection::Rejection;
use crate::state::{MaintenancePhase, MaintenanceState};
use cluster_types::MemberId;

impl MaintenanceState {
    pub(super) fn set_presence(
        &mut self,
        issuer: &MemberId,
        member: &MemberId,
        presence: Presence,
        effects: &mut Vec<Effect>,
    ) -> Result<(), Rejection> {
        if issuer != member {
            return Err(Rejection::NotOwnReport);
        }
        match presence {
            Presence::Present { incarnation } => self.join(member, incarnation),
            Presence::Left => {
                let incarnation = self.member_status(member).ok_or(Rejection::NotFound)?.incarnation();
                self.remove_member(member, MemberStatus::Left { incarnation }, effects);
                Ok(())
            }
        }
    }

    fn join(&mut self, member: &MemberId, incarnation: u64) -> Result<(), Rejection> {
        let known = self.member_status(member);
        // A report of an earlier incarnation, or from before the member left, is outdated.
        let is_late = match known {
            Some(MemberStatus::Left { incarnation: left }) => incarnation <= left,
            Some(status) => incarnation < status.incarnation(),
            None => false,
        };
        if is_late {
            return Err(Rejection::Superseded);
        }
        if known.is_none() && self.members.len() >= limits::MEMBERS {
            self.forget_absent_member()?;
        }
        let status = MemberStatus::Present { incarnation };
        if known != Some(status) {
            // After a restart, the drain reports of the earlier incarnation may no longer hold.
            for grant in self.grants.values_mut().filter(|grant| !grant.is_drained()) {
                grant.drained_by.remove(member);
            }
        }
        self.members.insert(member.clone(), status);
        Ok(())
    }

    fn forget_absent_member(&mut self) -> Result<(), Rejection> {
        let absent = self.members.iter().find(|(_, status)| !status.is_present());
        let absent = absent.map(|(member, _)| member.clone()).ok_or(Rejection::LimitReached)?;
        self.members.remove(&absent);
        Ok(())
    }

    pub(super) fn declare_dead(
        &mut self,
        member: &MemberId,
        effects: &mut Vec<Effect>,
    ) -> Result<(), Rejection> {
        let Some(MemberStatus::Present { incarnation }) = self.member_status(member) else {
            return Err(Rejection::MemberNotPresent);
        };
        self.remove_member(member, MemberStatus::DeclaredDead { incarnation }, effects);
        Ok(())
    }

    /// Marks a member as gone: grants no longer wait for its reports, and its quotas are released.
    fn remove_member(&mut self, member: &MemberId, status: MemberStatus, effects: &mut Vec<Effect>) {
        self.members.insert(member.clone(), status);
        for phase in self.phases.values_mut() {
            if let MaintenancePhase::Recovering(recovery) = phase {
                recovery.remove_member(member);
            }
        }
        self.complete_drains(effects);
    }
}
