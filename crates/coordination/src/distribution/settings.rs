//! What the host of changes is told at its start.
use cluster_types::MemberId;
use config_distribution::Scope;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A relay that is followed.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its name.
    pub name: MemberId,
    /// Where it serves.
    pub at: SocketAddr,
}

/// What this machine is among those that changes pass through.
#[derive(Clone, Debug)]
pub enum Role {
    /// It has a vote, and serves.
    Voter(SocketAddr),
    /// It has none, follows others and serves.
    Relay(SocketAddr),
    /// It follows, and puts in force what is in its scope; what it keeps is in that folder.
    Front(Scope, Option<PathBuf>),
}

/// Everything that the host needs.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This machine.
    pub me: MemberId,
    /// What it is.
    pub role: Role,
    /// Whom it follows, in the order of preference.
    pub relays: Vec<Upstream>,
    /// Control machines that it knows of: nothing counts as being everywhere until each of them has told.
    pub expects: Vec<MemberId>,
    /// The key that signs, and another one that is accepted.
    pub keys: ([u8; 32], Option<[u8; 32]>),
    /// Bounds and spans.
    pub machine: config_distribution::Settings,
    /// How many fronts there are: from it follows how far calls are spread.
    pub fleet: u32,
    /// A number drawn by chance.
    pub seed: u64,
}
