//! What a write fence is asked, and what it answers.
use crate::placement::PlacedRange;
use cluster_types::Volume;
use std::collections::BTreeSet;

/// Which volumes may be under placement, for a member that has not caught up since its start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ManagedVolumes {
    /// Any.
    All,
    /// Only these.
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

/// Why a command was denied. It was not sent.
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
    /// All parts may be sent now. Without a part the volume is not under placement.
    Granted {
        /// The parts, each for one backend.
        parts: Vec<PlacedRange>,
        /// Identifies the command when it ends.
        ticket: u64,
        /// Whether the member has caught up with the log; if not, what is read may be outdated.
        is_caught_up: bool,
    },
    /// Ask again soon, as long as the client waits.
    Wait,
    /// It must not be sent.
    Denied(DenialReason),
}

/// How a command ended at the backends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CommandResult {
    /// All parts ran.
    Completed,
    /// No part ran, nor will.
    NotRun,
    /// Some part may have run, or may yet.
    Unknown,
}

/// What may be answered to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reply {
    /// What the backends answered.
    AsAnswered,
    /// A failure: the command may have run, and must not be retried at another place.
    MayHaveRun,
}

/// What a write fence has counted.
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
pub(super) enum Right {
    /// It may use the range freely.
    Free,
    /// It may use the range under its lease.
    Leased,
    /// It will have a right once it has acknowledged the migration.
    Pending,
    /// It has none.
    None,
}
