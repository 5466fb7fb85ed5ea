//! The settings of the hosts.
use cluster_types::{MemberId, Zone};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// A member of the group.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The address at which this member reaches it, over UDP and TCP.
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
    /// The address at which this member listens for the others, over UDP and TCP.
    pub listen: SocketAddr,
    /// The directory of the store.
    pub state_dir: PathBuf,
    /// The key for signing, and an optional second key that is accepted as well.
    pub keys: ([u8; 32], Option<[u8; 32]>),
    /// All members, including this one.
    pub members: BTreeMap<MemberId, Peer>,
    /// The maximum rate at which membership sends, in bytes per second.
    pub max_membership_bytes_per_s: u32,
    /// How long a member may act on a grant without renewing the lease.
    pub lease: Duration,
    /// The fraction by which the rates of two monotonic clocks may differ.
    pub max_clock_drift: f64,
    /// How long a member waits for its leader before it starts an election.
    pub election_timeout: Duration,
    /// Limits on what may be out of service for maintenance.
    pub rules: maintenance::Rules,
    /// A random number: the incarnation of a newly created store, and the seed of all random number generators.
    pub seed: u64,
}
