//! The roles of a member.
use cluster_types::MemberId;

/// The role of a member in the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks the others whether they would vote for it, without a new term.
    PreCandidate,
    /// Asks for votes in a new term.
    Candidate,
    /// Leads the group in its term.
    Leader,
}

/// What a member last told its host of its role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RoleState {
    pub(crate) role: Role,
    pub(crate) term: u64,
    pub(crate) leader: Option<MemberId>,
}
