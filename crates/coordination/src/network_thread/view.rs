//! The results of membership, for other threads to read.

/// The members and the negative verdicts, as of the last update.
#[derive(Clone, Debug, Default)]
pub struct MembershipView {
    /// All members with their state.
    pub members: Vec<membership::Member>,
    /// The backends and zones that members report as faulty, with the verdict on each.
    pub verdicts: Vec<(membership::Subject, membership::Verdict)>,
    /// The counters of membership.
    pub counters: membership::Counters,
}
