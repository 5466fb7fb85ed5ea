//! Reads, checks and completes the configuration: `GW_*` and the JSON file of `GW_CONFIG` on the platform, an operator's TOML file
//! in a sidecar. Both have the same keys, and errors name the invalid key.
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

/// The indexes of classes and plans that a later file has removed: open requests may still have them, but new ones may not.
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
    /// Where RESP2 clients connect; `None` without such a listener.
    pub listen: Option<SocketAddr>,
    /// The address of discovery; `None` if the list of backends is fixed.
    pub discovery: Option<SocketAddr>,
    /// The seed of random numbers.
    pub seed: u64,
    /// The machine's limits.
    pub limits: Limits,
    /// The number of shards, if the settings specify it.
    pub shards: Option<u32>,
    /// Timeouts of clients' connections.
    pub clients: Clients,
    /// The last list of backends that the platform knew, or the fixed list.
    pub known: Arc<Targets>,
    /// The settings of the scheduler.
    pub settings: Settings,
    /// The classes, in the order of the settings.
    pub classes: Vec<Class>,
    /// The plans, in the order of the settings.
    pub plans: Vec<String>,
    /// The zones, in the order of the settings.
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
    /// The listener for operators' HTTP calls.
    pub admin: Option<SocketAddr>,
    /// The iSCSI target.
    pub iscsi: Option<Iscsi>,
    /// Coordination with other gateways.
    pub coordination: Option<Coordination>,
    /// The distribution of configuration changes.
    pub distribution: Option<Distribution>,
    /// The parsed file, if overlays are possible.
    source: Option<Arc<Source>>,
    /// Scatter-gather policies.
    pub gather_policies: Vec<Arc<scatter_gather::Policy>>,
    /// The keys of a platform's file; a later file must have them too.
    shape: Shape,
}

impl Config {
    /// The initial configuration, which retains its source only if overlays are possible.
    fn for_start(self) -> Config {
        Config { source: self.source.filter(|_| self.distribution.is_some()), ..self }
    }

    /// The index of the class with this name, unless it is retired.
    pub fn class(&self, name: &str) -> Option<usize> {
        (0..self.classes.len())
            .find(|index| self.classes[*index].name == name && !self.retired.classes.contains(index))
    }

    /// The index of the plan with this name, unless it is retired.
    pub fn plan(&self, name: &str) -> Option<usize> {
        (0..self.plans.len()).find(|index| self.plans[*index] == name && !self.retired.plans.contains(index))
    }
}
