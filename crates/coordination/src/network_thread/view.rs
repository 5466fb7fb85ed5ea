//! What membership has found, for other threads to read.

/// The members and what is suspected, as of the last update.
#[derive(Clone, Debug, Default)]
pub struct MembershipView {
    /// All members with their state.
    pub members: Vec<membership::Member>,
    /// The backends and zones that members report as faulty.
    pub verdicts: Vec<(membership::Subject, membership::Verdict)>,
    /// What membership has done and rejected.
    pub counters: membership::Counters,
}
