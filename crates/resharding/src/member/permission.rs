//! The questions that a write fence is asked, and its answers.
use crate::placement::PlacedRange;
use cluster_types::Volume;
use std::collections::BTreeSet;

/// The volumes that may be under placement. Applies to a member that has not caught up since its start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ManagedVolumes {
    /// All volumes.
    All,
    /// Only these volumes.
    Only(BTreeSet<Volume>),
}

impl ManagedVolumes {
    pub(super) fn contains(&self, volume: &Volume) -> bool {
        match self {
            ManagedVolumes::All => true,
            ManagedVolumes::Only(volumes) => volumes.contains(volume),
        }
    }
}

/// Why a command was denied. A denied command is never sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DenialReason {
    /// The range is migrating and the member's lease has expired.
    LeaseExpired,
    /// The member has not caught up with the log since its start.
    NotCaughtUp,
    /// Too many commands are in flight, or this one touches too many ranges.
    Overloaded,
}

/// Whether a command may be sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Permission {
    /// All parts may be sent now. If there are none, the volume is not under placement.
    Granted {
        /// The parts, each for one backend.
        parts: Vec<PlacedRange>,
        /// Identifies the command when it ends.
        ticket: u64,
        /// Whether the member has caught up with the log; if not, what is read may be outdated.
        is_caught_up: bool,
    },
    /// Retry soon, as long as the client waits.
    Wait,
    /// The command must not be sent.
    Denied(DenialReason),
}

/// How a command ended at the backends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CommandResult {
    /// All parts ran.
    Completed,
    /// No part ran or will run.
    NotRun,
    /// Some part may have run or may still run.
    Unknown,
}

/// What the client may be told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reply {
    /// The result that the backends returned.
    AsAnswered,
    /// A failure: the command may have run, so it must not be retried on another backend.
    MayHaveRun,
}

/// The counters of a write fence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct FenceCounters {
    /// Commands denied as [`DenialReason::LeaseExpired`].
    pub lease_expired: u64,
    /// Commands denied as [`DenialReason::NotCaughtUp`].
    pub not_caught_up: u64,
    /// Commands denied as [`DenialReason::Overloaded`].
    pub overloaded: u64,
    /// Commands answered as [`Reply::MayHaveRun`].
    pub may_have_run: u64,
}

impl FenceCounters {
    pub(super) fn count_denial(&mut self, reason: DenialReason) {
        match reason {
            DenialReason::LeaseExpired => self.lease_expired += 1,
            DenialReason::NotCaughtUp => self.not_caught_up += 1,
            DenialReason::Overloaded => self.overloaded += 1,
        }
    }
}

/// A member's right to a migrating range.
pub(super) enum AccessRight {
    /// It may use the range without a lease.
    Free,
    /// It may use the range under its lease.
    Leased,
    /// It may use the range once it has acknowledged the migration.
    Pending,
    /// It may not use the range.
    None,
}
