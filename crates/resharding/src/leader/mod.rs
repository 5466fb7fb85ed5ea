//! The leader's side: it grants leases, finds which have expired, and proposes the next steps. None of it is replicated; a
//! new leader begins with a whole lease's waiting.
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

/// What the leader knows beside the log.
#[derive(Clone, Debug, Default)]
pub struct LeaderView {
    /// Backends that do not answer.
    pub failed: BTreeSet<BackendId>,
}

/// A lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// How long it lasts, from when it was asked for.
    pub duration: Duration,
    /// How far the log was committed: a restarted member has caught up once it has applied this.
    pub committed: Index,
}

/// Why a member can't be declared dead.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DeclareDeadError {
    /// Its lease may not have expired, or its commands not have ended.
    #[error("excuse: {member} may still act: wait {wait_ms} ms and ask again")]
    MayStillAct {
        /// The member.
        member: MemberId,
        /// After how many milliseconds to try again.
        wait_ms: u128,
    },
    /// Only the leader knows which leases were granted.
    #[error("excuse: this front does not lead")]
    NotLeader,
}

/// The leader's side.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leader {
    settings: Settings,
    /// Since when this member leads.
    since: Option<Time>,
    /// When each member was last granted a lease.
    granted: BTreeMap<MemberId, Time>,
    /// How far the log was applied when a member was first found expired.
    revoked: BTreeMap<MemberId, Index>,
    stages: BTreeMap<Index, StageSpan>,
    backoffs: BTreeMap<Index, HandOverBackoff>,
}

impl Leader {
    /// The side of a member that does not lead.
    pub fn new(settings: Settings) -> Leader {
        Leader {
            settings,
            since: None,
            granted: BTreeMap::new(),
            revoked: BTreeMap::new(),
            stages: BTreeMap::new(),
            backoffs: BTreeMap::new(),
        }
    }

    /// The member leads, and has applied an entry of its own term. What earlier leaders granted may last for a whole lease
    /// from now.
    pub fn begin_term(&mut self, now: Time) {
        *self = Leader::new(self.settings.clone());
        self.since = Some(now);
    }

    /// The member does not lead any more.
    pub fn end_term(&mut self) {
        *self = Leader::new(self.settings.clone());
    }

    /// A member asks for its lease, having applied the log up to `applied`. May only be called while no other member can
    /// lead. None where the member has not applied what took a right from it, is not present in this incarnation, or
    /// holds rights of an earlier one.
    pub fn grant_lease(
        &mut self,
        now: Time,
        member: &MemberId,
        incarnation: u64,
        applied: Index,
        state: &ReshardingState,
    ) -> Option<Lease> {
        self.since?;
        if self.revoked.get(member).is_some_and(|revoked| state.last_revocation(member) <= *revoked) {
            return None;
        }
        let has_other_rights = state.leased_incarnation(member).is_some_and(|leased| leased != incarnation);
        let is_present =
            state.present.contains(member) && state.incarnations.get(member) == Some(&incarnation);
        if has_other_rights || applied < state.fence_of(member) || !is_present {
            return None;
        }
        self.revoked.remove(member);
        self.granted.insert(member.clone(), now);
        Some(Lease { duration: self.settings.lease, committed: state.applied })
    }

    /// How long ago a member can have been granted a lease at the latest. None where this member does not lead.
    pub fn time_since_grant(&self, now: Time, member: &MemberId) -> Option<Duration> {
        let since = self.since?;
        let granted = self.granted.get(member).copied().unwrap_or(since);
        Some(now.since(granted.max(since)))
    }

    fn has_expired(&self, now: Time, member: &MemberId) -> bool {
        self.time_since_grant(now, member).is_some_and(|span| span > self.settings.expired_after())
    }

    /// The command by which an operator declares a member dead.
    ///
    /// # Errors
    ///
    /// Fails until the member's lease has surely expired, and where this member does not lead.
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
