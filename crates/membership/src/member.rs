//! Configured members (seeds), and members as other members know them.
use cluster_types::{MemberId, Zone};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A configured member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    /// Its name.
    pub member: MemberId,
    /// The zone it runs in.
    pub zone: Zone,
    /// The address at which it receives datagrams.
    pub address: SocketAddr,
}

/// The state of a member. At equal incarnations, the later variant takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers probes.
    Alive,
    /// It failed a probe, and may still refute the suspicion.
    Suspect,
    /// It didn't refute the suspicion in time, or never answered.
    Dead,
    /// It announced that it left.
    Left,
}

impl MemberState {
    /// Whether the member is probed and counted as live: alive or suspect.
    pub fn is_live(self) -> bool {
        self <= MemberState::Suspect
    }
}

/// A member as this one knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub member: MemberId,
    /// Its zone.
    pub zone: Zone,
    /// The address at which it receives datagrams.
    pub address: SocketAddr,
    /// The incarnation that its process started with; 0 if it never answered.
    pub base_incarnation: u64,
    /// Its current incarnation.
    pub incarnation: u64,
    /// Its state.
    pub state: MemberState,
}
