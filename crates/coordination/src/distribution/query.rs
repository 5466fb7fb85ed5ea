//! Questions of operators and what the gateway is to apply.
use cluster_types::{Index, MemberId};
use config_distribution::{Change, Rejection, RolloutStatus};
use std::time::Duration;

/// Configuration that the gateway is to apply: all of it or nothing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigUpdate {
    /// Whether this is the whole configuration: what it leaves out is withdrawn.
    pub is_complete: bool,
    /// The changes. One without a value is withdrawn.
    pub changes: Vec<Change>,
}

/// A question of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Query {
    /// Where a version is not applied yet.
    Rollout(Index),
    /// The status of this member.
    Status,
}

/// The status of a member in the distribution of configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DistributionStatus {
    /// Its role, as the operators' interface words it: `voter`, `relay` or `front`.
    pub role: &'static str,
    /// The id of the log that the configuration comes from; 0 while none is known.
    pub log_id: u64,
    /// The version up to which everything was decided on.
    pub decided_up_to: Index,
    /// How long ago a message of a relay last arrived; `None` for a voter.
    pub since_relay_message: Option<Duration>,
    /// The relay that is followed now.
    pub follows: Option<MemberId>,
    /// What was rejected and is still the newest of its key.
    pub rejections: Vec<Rejection>,
    /// Counters, by their name in the operators' interface.
    pub counters: Vec<(&'static str, u64)>,
}

/// The answer to a question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryResponse {
    /// Where a version is not applied yet.
    Rollout(RolloutStatus),
    /// This member serves no subscribers; these do, as far as it knows.
    AskRelays(Vec<String>),
    /// The status of this member.
    Status(DistributionStatus),
}
