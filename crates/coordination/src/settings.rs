//! What the hosts are given at start.
use cluster_types::{MemberId, Zone};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// A member of the group.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Where this member reaches it, over UDP and TCP.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: Zone,
}

/// The settings of the hosts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this member.
    pub own_id: MemberId,
    /// The zone of this member.
    pub zone: Zone,
    /// Where this member listens for the others, over UDP and TCP.
    pub listen: SocketAddr,
    /// The folder of the store.
    pub state_dir: PathBuf,
    /// The key that signs, and another one that is accepted.
    pub keys: ([u8; 32], Option<[u8; 32]>),
    /// All members, including this one.
    pub members: BTreeMap<MemberId, Peer>,
    /// The most bytes a second that membership sends.
    pub max_membership_bytes_per_s: u32,
    /// How long a member may rely on what it was granted.
    pub lease: Duration,
    /// The fraction by which two monotonic clocks may differ.
    pub max_clock_drift: f64,
    /// How long a member waits without its leader before it campaigns.
    pub election_timeout: Duration,
    /// Bounds of what may be out for maintenance.
    pub rules: maintenance::Rules,
    /// Drawn at random: the incarnation of a store that is created, and the seed of everything random.
    pub seed: u64,
}
