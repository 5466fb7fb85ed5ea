//! Group membership of the gateways, after SWIM (Das, Gupta, Motivala 2002) with Lifeguard (Dadgar, Phillips, Currey 2017),
//! and claims about backends and zones in the same datagrams.
//!
//! The crate is free of I/O: [`Membership`] takes datagrams, the time and a seed for its random choices, and returns
//! datagrams and changes. Each period a member probes one other, in rounds of random order. A member that doesn't answer is
//! probed through others, then suspected and, after a time that grows with the logarithm of the number of members, held dead.
//! A member that receives its own suspicion refutes it with a higher incarnation. What is known of a member is ordered by
//! incarnation, then alive, suspect, dead, left; merging takes the higher, so that the order in which updates arrive doesn't
//! matter.
//!
//! Three things depart from the published protocols:
//! - No member is held dead because others report it: a report only starts a suspicion at the receiver.
//! - Each packet carries a digest of what its sender knows. Where two members differ, the remaining space of their next
//!   packets carries the members and claims of the differing parts (anti-entropy).
//! - Dead members and silent seeds are contacted from time to time, so that the parts of a healed partition merge again.
//!
//! From Lifeguard it takes the local health multiplier and the nacks of indirect probes.
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
