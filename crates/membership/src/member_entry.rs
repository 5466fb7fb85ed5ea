//! What is known of one member, and who reported it.
use crate::member::Member;
use crate::wire::MemberRecord;
use cluster_types::Time;

/// What is known of a member, and since when.
#[derive(Clone, Debug)]
pub struct Entry {
    pub record: MemberRecord,
    /// Whether it is configured: then its zone and address are the configured ones, and it is never forgotten.
    pub is_seed: bool,
    /// Since when it is in its state.
    pub state_since: Time,
    /// When its suspicion ends, if it is suspect.
    pub suspect_until: Option<Time>,
}

impl Entry {
    pub fn to_member(&self) -> Member {
        member_of(&self.record)
    }
}

/// A member in the form in which it is shown outside of the crate.
pub fn member_of(record: &MemberRecord) -> Member {
    Member {
        member: record.member.clone(),
        zone: record.zone.clone(),
        address: record.address,
        base_incarnation: record.base_incarnation,
        incarnation: record.incarnation(),
        state: record.state,
    }
}

/// Who a record of a member is from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reporter {
    /// The member itself.
    Itself,
    /// This member, by its own probes.
    Local,
    /// Another member.
    Other,
}
