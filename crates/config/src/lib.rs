//! Reads, checks and completes the configuration: `GW_*` and the JSON file of `GW_CONFIG` on the platform, an operator's TOML file
//! in a sidecar. Both have the same keys. An error names its key.
mod build;
mod check;
mod coordination;
mod distribution;
mod environment;
mod error;
mod file;
mod gather_policies;
mod iscsi;
mod keys;
mod placement;
mod range;
mod reload;
mod section_names;
mod sections;
mod shape;
mod source;
mod targets;
mod template;

pub use build::read;
pub use coordination::{Coordination, Evidence, MaintenanceLimits, Member};
pub use distribution::{Distribution, Upstream};
pub use environment::from_env;
pub use error::ConfigError;
pub use gather_policies::MEMORY_DIVISOR;
pub use iscsi::{Iscsi, Lun};
pub use keys::KeyBytes;
pub use reload::Reloaded;
pub use sections::{Class, Clients, Limits, Listen};
pub use targets::{parse_targets, BackendProtocol, Target, Targets};
pub use template::application;

use scheduler::interface::{Micros, Settings};
use shape::Shape;
use source::Source;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// Classes and plans that a later file has removed, by index: open requests may have them, new ones not.
#[derive(Clone, Debug, Default)]
struct Retired {
    classes: BTreeSet<usize>,
    plans: BTreeSet<usize>,
}

/// The configuration of a gateway.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where RESP2 clients connect; `None` where there is no such listener.
    pub listen: Option<SocketAddr>,
    /// The address of discovery; `None` where the list of backends is fixed.
    pub discovery: Option<SocketAddr>,
    /// The seed of random numbers.
    pub seed: u64,
    /// The machine's limits.
    pub limits: Limits,
    /// How many shards there are, where the settings say so.
    pub shards: Option<u32>,
    /// Timeouts of clients' connections.
    pub clients: Clients,
    /// The list of backends as the platform last had it, or the fixed one.
    pub known: Arc<Targets>,
    /// The settings of the scheduler.
    pub settings: Settings,
    /// Classes, in the order of the settings.
    pub classes: Vec<Class>,
    /// Plans, in the order of the settings.
    pub plans: Vec<String>,
    /// Zones, in the order of the settings.
    pub zones: Vec<String>,
    retired: Retired,
    /// The address of discovery that the file itself names.
    file_discovery: Option<SocketAddr>,
    /// How long a connection may be idle before backends close it.
    pub backend_idle: Micros,
    /// The listener for agent checks of load balancers.
    pub agent: Option<Listen>,
    /// The listener for HTTP health checks.
    pub health: Option<Listen>,
    /// Where operators' HTTP calls arrive.
    pub admin: Option<SocketAddr>,
    /// The iSCSI target.
    pub iscsi: Option<Iscsi>,
    /// Coordination with other gateways.
    pub coordination: Option<Coordination>,
    /// The distribution of configuration changes.
    pub distribution: Option<Distribution>,
    /// The file, where overlays are possible.
    source: Option<Arc<Source>>,
    /// Scatter-gather policies.
    pub gather_policies: Vec<Arc<scatter_gather::Policy>>,
    /// The keys of a platform's file; a later file must have them too.
    shape: Shape,
}

impl Config {
    /// The configuration to start with: its source is retained only where overlays are possible.
    fn for_start(self) -> Config {
        Config { source: self.source.filter(|_| self.distribution.is_some()), ..self }
    }

    /// The index of the class that new requests may name so.
    pub fn class(&self, name: &str) -> Option<usize> {
        (0..self.classes.len())
            .find(|index| self.classes[*index].name == name && !self.retired.classes.contains(index))
    }

    /// The index of the plan that new requests may name so.
    pub fn plan(&self, name: &str) -> Option<usize> {
        (0..self.plans.len()).find(|index| self.plans[*index] == name && !self.retired.plans.contains(index))
    }
}
