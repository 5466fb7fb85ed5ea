//! Group membership of the gateways, based on SWIM (Das, Gupta, Motivala 2002) with Lifeguard (Dadgar, Phillips, Currey 2017).
//! The same datagrams disseminate claims about the health of backends and zones.
//!
//! The crate does no I/O: [`Membership`] takes datagrams, the time and a seed for its random choices, and returns datagrams
//! and membership changes. In each period a member probes one other member, in rounds of random order. A member that doesn't
//! answer is probed through other members, then marked as suspect and, after a timeout that grows with the logarithm of the
//! number of members, as dead. A member that receives a suspicion of itself refutes it with a higher incarnation. Records of
//! a member are ordered by incarnation, then by state: alive, suspect, dead, left. Merging keeps the higher one, so that the
//! result is independent of the order in which updates arrive.
//!
//! It differs from the published protocols in three ways:
//! - Reports alone never mark a member as dead: a reported death only starts a suspicion at the receiver.
//! - Each packet carries a digest of its sender's view. Where two views differ, the remaining space of the next packets
//!   carries the members and claims of the differing buckets (anti-entropy).
//! - Dead members and unreachable seeds are contacted periodically, so that the sides of a healed partition merge again.
//!
//! Of Lifeguard, it implements the local health multiplier and the nacks of indirect probes.
mod claim;
pub mod claim_table;
mod counters;
mod digest;
mod event;
mod leave_announcement;
mod local_health;
mod member;
mod member_entry;
mod member_table;
mod outgoing;
mod pings;
mod probe;
mod protocol;
pub mod send_budget;
mod settings;
mod update_batch;
pub mod update_queue;
pub mod wire;

pub use claim::{ClaimKind, Ejection, Observation, Subject, Verdict};
pub use counters::Counters;
pub use digest::Digest;
pub use event::{Action, Event};
pub use member::{Member, MemberState, Seed};
pub use protocol::Membership;
pub use settings::{Settings, SettingsError};
