//! Which orders have been applied, so that one that was sent twice is applied once.
use cluster_types::MemberId;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// How many tickets are remembered of each member.
const REMEMBERED_TICKETS: usize = 64;

/// The tickets of each member's newest applied orders. Part of the stored format.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct AppliedTickets(BTreeMap<MemberId, BTreeSet<u64>>);

impl AppliedTickets {
    /// Notes a member's order; returns whether it is the first with this ticket. Guards a newer order against an older one
    /// that was sent again before its member knew that it had been applied.
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
