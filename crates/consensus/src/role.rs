//! The roles of a member.
use cluster_types::MemberId;

/// The role of a member in the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks the other members whether they would vote for it, without starting a new term.
    PreCandidate,
    /// Asks for votes in a new term.
    Candidate,
    /// Leads the group in its term.
    Leader,
}

/// The role, term and leader that a member last reported to its host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RoleState {
    pub(crate) role: Role,
    pub(crate) term: u64,
    pub(crate) leader: Option<MemberId>,
}
