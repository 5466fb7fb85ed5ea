//! Members as they are configured, and as they are known.
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
    /// The address it receives datagrams at.
    pub address: SocketAddr,
}

/// The state of a member; at the same incarnation the later one wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It didn't answer, and may still refute the suspicion.
    Suspect,
    /// It didn't refute the suspicion in time, or never answered.
    Dead,
    /// It announced that it leaves.
    Left,
}

impl MemberState {
    /// Whether the member is probed and counted: alive or suspect.
    pub fn is_live(self) -> bool {
        self <= MemberState::Suspect
    }
}

/// A member as it is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub member: MemberId,
    /// Its zone.
    pub zone: Zone,
    /// The address it receives datagrams at.
    pub address: SocketAddr,
    /// The incarnation that its process started with; 0: it never answered.
    pub base_incarnation: u64,
    /// Its current incarnation.
    pub incarnation: u64,
    /// Its state.
    pub state: MemberState,
}
