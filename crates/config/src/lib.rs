//! The one place where configuration is read, checked and given defaults: GW_* and GW_CONFIG (JSON) on the
//! platform, an operator's TOML in a sidecar. Both have the same keys. A fault names its key.
mod accord;
mod changes;
mod check;
mod environment;
mod fault;
mod file;
mod gathers;
mod iscsi;
mod reload;
mod sections;
mod shape;
mod targets;
mod write;

pub use accord::{Accord, Evidence, Fellow, Out};
pub use changes::{Changes, Upstream};
pub use environment::from_env;
pub use fault::Fault;
pub use file::read;
pub use gathers::MEMORY_SHARE;
pub use iscsi::{Iscsi, Lun};
pub use sections::{Class, Clients, Limits, Listen};
pub use targets::{targets, Speaks, Target, Targets};
pub use write::application;

use fault::fault;
use file::Source;
use scheduler::interface::{Micros, Settings};
use shape::Shape;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// Everything that the program is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect; none where only other fronts are on.
    pub listen: Option<SocketAddr>,
    /// Discovery; none where the list is fixed.
    pub discovery: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// The machine's limits.
    pub limits: Limits,
    /// How many shards there are, where the settings say so.
    pub shards: Option<u32>,
    /// How long clients' connections are waited for.
    pub clients: Clients,
    /// The list as this front last had it, or the fixed one.
    pub known: Arc<Targets>,
    /// What the module is told.
    pub settings: Settings,
    /// Classes, in the order of the settings.
    pub classes: Vec<Class>,
    /// Plans, in the order of the settings.
    pub plans: Vec<String>,
    /// Zones, in the order of the settings.
    pub zones: Vec<String>,
    /// Classes and plans that a later file has left out: requests that are open may be of them, new ones not.
    retired: (BTreeSet<usize>, BTreeSet<usize>),
    /// Discovery as the file itself names it.
    named: Option<SocketAddr>,
    /// Disk boxes close connections that are idle for this long.
    pub idle: Micros,
    /// The agent check of balancers.
    pub agent: Option<Listen>,
    /// HTTP health checks.
    pub health: Option<Listen>,
    /// Where operators call.
    pub admin: Option<SocketAddr>,
    /// The iSCSI front.
    pub iscsi: Option<Iscsi>,
    /// The fronts that act together.
    pub accord: Option<Accord>,
    /// How changes of configuration come.
    pub changes: Option<Changes>,
    /// The file, where changes may be laid over it.
    source: Option<Arc<Source>>,
    /// Answers that are gathered from parts.
    pub gathers: Vec<Arc<scatter_gather::Policy>>,
    /// The keys that a file of the platform had; a later one must have them too.
    shape: Shape,
}

impl Config {
    /// One to start with: what it was read from is kept only where changes may be laid over it.
    fn begun(self) -> Config {
        Config { source: self.source.filter(|_| self.changes.is_some()), ..self }
    }

    /// The index of the class that a client may name so.
    pub fn class(&self, name: &str) -> Option<usize> {
        (0..self.classes.len()).find(|i| self.classes[*i].name == name && !self.retired.0.contains(i))
    }

    /// The index of the plan that a client may name so.
    pub fn plan(&self, name: &str) -> Option<usize> {
        (0..self.plans.len()).find(|i| self.plans[*i] == name && !self.retired.1.contains(i))
    }
}
