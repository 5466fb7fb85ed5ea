//! Queries of operators, and configuration updates for the gateway.
use cluster_types::{Index, MemberId};
use config_distribution::{Change, Rejection, RolloutStatus};
use std::time::Duration;

/// A configuration update, which the gateway applies completely or not at all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigUpdate {
    /// Whether this is the whole configuration: keys that it does not contain are removed.
    pub is_complete: bool,
    /// The changes. A key without a value is removed.
    pub changes: Vec<Change>,
}

/// A query of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Query {
    /// The rollout of a version: where it is not applied yet.
    Rollout(Index),
    /// The status of this member.
    Status,
}

/// The status of a member in the distribution of configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DistributionStatus {
    /// Its role, as named in the operators' interface: `voter`, `relay` or `front`.
    pub role: &'static str,
    /// The id of the log that the configuration comes from; 0 while none is known.
    pub log_id: u64,
    /// The version up to which every change was either applied or rejected.
    pub decided_up_to: Index,
    /// The time since the last message of a relay was received; `None` for a voter.
    pub since_relay_message: Option<Duration>,
    /// The relay that is currently followed.
    pub follows: Option<MemberId>,
    /// The rejected changes that are still the newest of their keys.
    pub rejections: Vec<Rejection>,
    /// Counters, by their name in the operators' interface.
    pub counters: Vec<(&'static str, u64)>,
}

/// The response to a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryResponse {
    /// The rollout of a version: where it is not applied yet.
    Rollout(RolloutStatus),
    /// This member serves no subscribers; the relays listed here do.
    AskRelays(Vec<String>),
    /// The status of this member.
    Status(DistributionStatus),
}
