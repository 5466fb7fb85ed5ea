//! The settings of the host of distributed configuration.
use cluster_types::MemberId;
use config_distribution::Scope;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A relay that this member may follow.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its name.
    pub name: MemberId,
    /// The address at which it listens.
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
    /// A member that follows another relay and serves subscribers.
    Relay {
        /// Where it listens for subscribers.
        listen: SocketAddr,
    },
    /// A member that follows a relay and applies the changes in its scope.
    Subscriber {
        /// The scope of the changes that it applies.
        scope: Scope,
        /// The directory of the saved configuration, if it is saved.
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
    /// The relays that it may follow, in order of preference.
    pub relays: Vec<Upstream>,
    /// The known control members: no change counts as rolled out everywhere until each of them has reported.
    pub expected_reporters: Vec<MemberId>,
    /// The key for signing, and an optional second key that is accepted as well.
    pub keys: ([u8; 32], Option<[u8; 32]>),
    /// Limits and intervals of the state machines.
    pub limits: config_distribution::Settings,
    /// The total number of subscribers, over which connection attempts are spread.
    pub fleet_size: u32,
    /// A random number: the seed of the subscriber's random choices.
    pub seed: u64,
}
