//! What the hosts are told at their start.
use cluster_types::{MemberId, Zone};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// One of the fronts that act together.
#[derive(Clone, Debug)]
pub struct Fellow {
    /// Where this front reaches it, over UDP and TCP.
    pub at: SocketAddr,
    /// The hall in which it stands.
    pub hall: Zone,
}

/// Everything that the hosts need.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This front.
    pub me: MemberId,
    /// The hall in which it stands.
    pub hall: Zone,
    /// Where it hears the others, over UDP and TCP.
    pub listen: SocketAddr,
    /// The folder of its store.
    pub state: PathBuf,
    /// The key that signs, and another one that is accepted.
    pub keys: ([u8; 32], Option<[u8; 32]>),
    /// All fronts, this one among them.
    pub members: BTreeMap<MemberId, Fellow>,
    /// Bytes a second of membership at the most.
    pub bytes_s: u32,
    /// For how long a front may count on what it was granted.
    pub lease: Duration,
    /// The share by which two steady clocks may differ.
    pub drift: f64,
    /// For how long a front waits without its leader before it seeks another.
    pub election: Duration,
    /// Bounds of what may be out for work.
    pub rules: maintenance::Rules,
    /// The share of all boxes that fronts together may keep from, by what they tell each other.
    pub share: f64,
    /// For how long one claim about a box counts.
    pub lasts: Duration,
    /// A number drawn by chance: the life of a store that is new, and the seed of everything random.
    pub seed: u64,
}
