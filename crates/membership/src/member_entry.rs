//! The entry of one member in the member table, and the source of a record.
use crate::member::Member;
use crate::wire::MemberRecord;
use cluster_types::Time;

/// The record of a member, with what this member knows locally about it.
#[derive(Clone, Debug)]
pub struct Entry {
    pub record: MemberRecord,
    /// Whether it is configured. If so, its zone and address are the configured ones, and it is never removed.
    pub is_seed: bool,
    /// When it entered its current state.
    pub state_since: Time,
    /// When its suspicion times out, if it is suspect.
    pub suspect_until: Option<Time>,
}

impl Entry {
    pub fn to_member(&self) -> Member {
        member_from_record(&self.record)
    }
}

/// Converts a record to the public representation of a member.
pub fn member_from_record(record: &MemberRecord) -> Member {
    Member {
        member: record.member.clone(),
        zone: record.zone.clone(),
        address: record.address,
        base_incarnation: record.base_incarnation,
        incarnation: record.incarnation(),
        state: record.state,
    }
}

/// The source of a member's record.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reporter {
    /// The member itself.
    Itself,
    /// This member, based on its own probes.
    Local,
    /// Another member.
    Other,
}
