//! Remembers which write batches were applied, so that one that is sent more than once is applied once.
use cluster_types::MemberId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The number of tickets remembered per member.
const REMEMBERED_TICKETS: usize = 64;

/// The tickets of each member's newest applied write batches. Part of the stored format.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct AppliedTickets(BTreeMap<MemberId, BTreeSet<u64>>);

impl AppliedTickets {
    /// Records a ticket of a member; returns whether it is new. This prevents an older write batch, which its member sent again
    /// before it knew that it had been applied, from overwriting a newer one.
    pub(crate) fn insert(&mut self, member: &MemberId, ticket: u64) -> bool {
        let tickets = self.0.entry(member.clone()).or_default();
        let is_older_than_remembered =
            tickets.len() >= REMEMBERED_TICKETS && tickets.first().is_some_and(|oldest| ticket < *oldest);
        let is_first = !is_older_than_remembered && tickets.insert(ticket);
        if tickets.len() > REMEMBERED_TICKETS {
            tickets.pop_first();
        }
        is_first
    }
}
