//! The leader's part: grants leases, detects expired ones, and proposes the next commands. None of this state is
//! replicated; a new leader first waits for a full lease.
mod proposals;
mod waiting;

use crate::command::Command;
use crate::settings::Settings;
use crate::state::ReshardingState;
use cluster_types::{BackendId, Index, MemberId, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use thiserror::Error;
use waiting::{HandOverBackoff, StageSpan};

/// What the leader knows in addition to the log.
#[derive(Clone, Debug, Default)]
pub struct LeaderView {
    /// The backends that do not respond.
    pub failed: BTreeSet<BackendId>,
}

/// A lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// Its duration, counted from when it was requested.
    pub duration: Duration,
    /// The last committed log index. A restarted member has caught up once it has applied it.
    pub committed: Index,
}

/// Why a member can't be declared dead.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DeclareDeadError {
    /// Its lease may not have expired yet, or its commands may not have ended.
    #[error("excuse: {member} may still act: wait {wait_ms} ms and ask again")]
    MayStillAct {
        /// The member.
        member: MemberId,
        /// The time to wait before a retry, in milliseconds.
        wait_ms: u128,
    },
    /// Only the leader knows which leases were granted.
    #[error("excuse: this front does not lead")]
    NotLeader,
}

/// The leader's part in migrations.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leader {
    settings: Settings,
    /// When this member became the leader. None while it does not lead.
    leading_since: Option<Time>,
    /// When each member was last granted a lease.
    last_grants: BTreeMap<MemberId, Time>,
    /// For each member with an expired lease, the last log index applied when this was first detected.
    expired_members: BTreeMap<MemberId, Index>,
    stages: BTreeMap<Index, StageSpan>,
    backoffs: BTreeMap<Index, HandOverBackoff>,
}

impl Leader {
    /// The state of a member that does not lead.
    pub fn new(settings: Settings) -> Leader {
        Leader {
            settings,
            leading_since: None,
            last_grants: BTreeMap::new(),
            expired_members: BTreeMap::new(),
            stages: BTreeMap::new(),
            backoffs: BTreeMap::new(),
        }
    }

    /// The member has become the leader and has applied an entry of its own term. Leases granted by earlier leaders may
    /// last for a full lease duration from now.
    pub fn begin_term(&mut self, now: Time) {
        *self = Leader::new(self.settings.clone());
        self.leading_since = Some(now);
    }

    /// The member is no longer the leader.
    pub fn end_term(&mut self) {
        *self = Leader::new(self.settings.clone());
    }

    /// Grants a lease to a member that has applied the log up to `applied`. Must only be called while no other member
    /// can lead. Returns None if the member has not applied the newest command that restricted it, is not present in
    /// this incarnation, or still holds rights of another one.
    pub fn grant_lease(
        &mut self,
        now: Time,
        member: &MemberId,
        incarnation: u64,
        applied: Index,
        state: &ReshardingState,
    ) -> Option<Lease> {
        self.leading_since?;
        if self
            .expired_members
            .get(member)
            .is_some_and(|expired_at| state.last_revocation(member) <= *expired_at)
        {
            return None;
        }
        let has_other_rights = state.leased_incarnation(member).is_some_and(|leased| leased != incarnation);
        let is_present =
            state.present.contains(member) && state.incarnations.get(member) == Some(&incarnation);
        if has_other_rights || applied < state.fence_of(member) || !is_present {
            return None;
        }
        self.expired_members.remove(member);
        self.last_grants.insert(member.clone(), now);
        Some(Lease { duration: self.settings.lease, committed: state.applied })
    }

    /// The time since the latest moment at which a member can have been granted a lease. None if this member does not
    /// lead.
    pub fn time_since_grant(&self, now: Time, member: &MemberId) -> Option<Duration> {
        let leading_since = self.leading_since?;
        let granted = self.last_grants.get(member).copied().unwrap_or(leading_since);
        Some(now.since(granted.max(leading_since)))
    }

    fn has_expired(&self, now: Time, member: &MemberId) -> bool {
        self.time_since_grant(now, member).is_some_and(|span| span > self.settings.expired_after())
    }

    /// Returns the command that declares a member dead, for an operator.
    ///
    /// # Errors
    ///
    /// Fails until the member's lease has certainly expired, and if this member does not lead.
    pub fn declare_dead(&self, now: Time, member: &MemberId) -> Result<Command, DeclareDeadError> {
        let span = self.time_since_grant(now, member).ok_or(DeclareDeadError::NotLeader)?;
        let expired_after = self.settings.expired_after();
        if span > expired_after {
            return Ok(Command::DeclareDead { member: member.clone() });
        }
        let wait_ms = expired_after.saturating_sub(span).as_millis();
        Err(DeclareDeadError::MayStillAct { member: member.clone(), wait_ms })
    }
}
