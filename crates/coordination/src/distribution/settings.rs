//! What the host of distributed configuration is given at start.
use cluster_types::MemberId;
use config_distribution::Scope;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A relay that is followed.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its name.
    pub name: MemberId,
    /// Where it listens.
    pub address: SocketAddr,
}

/// The role of this member in the distribution of configuration.
#[derive(Clone, Debug)]
pub enum Role {
    /// A member of the replicated log that serves subscribers.
    Voter {
        /// Where it listens for subscribers.
        listen: SocketAddr,
    },
    /// Follows another relay and serves subscribers.
    Relay {
        /// Where it listens for subscribers.
        listen: SocketAddr,
    },
    /// Follows a relay and applies what is in its scope.
    Subscriber {
        /// What it applies.
        scope: Scope,
        /// The folder of the saved configuration, if it saves any.
        state_dir: Option<PathBuf>,
    },
}

/// The settings of the host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this member.
    pub own_id: MemberId,
    /// Its role.
    pub role: Role,
    /// The relays that it may follow, in the order of preference.
    pub relays: Vec<Upstream>,
    /// The control members it knows of: no change counts as rolled out everywhere until each of them has reported.
    pub expected_reporters: Vec<MemberId>,
    /// The key that signs, and another one that is accepted.
    pub keys: ([u8; 32], Option<[u8; 32]>),
    /// Bounds and intervals of the state machines.
    pub limits: config_distribution::Settings,
    /// How many subscribers there are in all: connection attempts are spread accordingly.
    pub fleet_size: u32,
    /// Drawn at random.
    pub seed: u64,
}
