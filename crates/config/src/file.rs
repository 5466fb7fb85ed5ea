//! The structure of a file, before it is checked.
use crate::{Clients, ConfigError, Coordination, Distribution, Iscsi, Limits, Listen};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// The name of a gateway without a configured one.
pub(crate) const DEFAULT_NAME: &str = "lichenrudder";

/// A file's sections.
///
/// A new section needs a field here and in [`crate::Config`]. Its types and bounds belong into a module of its own, which `check`
/// calls, and `reload` defines which of its changes need a restart. Only an operator's file may have it, unless its key is one of
/// the platform's.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct FileIn {
    #[serde(default)]
    pub name: Option<String>,
    #[serde(default)]
    pub listen: Option<SocketAddr>,
    #[serde(default)]
    pub discovery: Option<SocketAddr>,
    #[serde(default)]
    pub seed: Option<String>,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub clients: Clients,
    pub settings: Value,
    #[serde(default)]
    pub agent: Option<Listen>,
    #[serde(default)]
    pub health: Option<Listen>,
    #[serde(default)]
    pub admin: Option<SocketAddr>,
    #[serde(default)]
    pub iscsi: Option<Iscsi>,
    #[serde(default, rename = "accord")]
    pub coordination: Option<Coordination>,
    #[serde(default, rename = "changes")]
    pub distribution: Option<Distribution>,
    #[serde(default, rename = "gather")]
    pub gather_policies: Vec<scatter_gather::Policy>,
}

impl FileIn {
    /// The name of the gateway by this file, or the default.
    pub fn name(&self) -> &str {
        self.name.as_deref().unwrap_or(DEFAULT_NAME)
    }
}

/// The parts of the settings that the scheduler doesn't need.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct NamesIn {
    pub classes: Vec<ClassIn>,
    #[serde(default)]
    pub contracts: Vec<PlanIn>,
    #[serde(default)]
    pub zones: Vec<String>,
    #[serde(default)]
    pub limits: LimitsIn,
    #[serde(default)]
    pub family_info: FamilyIn,
}

/// A class of the settings.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct ClassIn {
    pub name: String,
    pub deadline_s: f64,
}

/// A plan of the settings.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct PlanIn {
    pub name: String,
}

/// Limits of the settings.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct LimitsIn {
    pub conn_idle_s: f64,
}

/// The part of the settings that describes requests.
#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct FamilyIn {
    /// Whether each class writes, in the order of the classes.
    pub writes: Vec<bool>,
    /// The number of shards; 0 if unknown.
    pub slots_total: u32,
}

/// Deserializes the section at `path`, so that errors name the full key; the file itself has the empty path.
pub(crate) fn section<T: for<'a> Deserialize<'a>>(value: Value, path: &str) -> Result<T, ConfigError> {
    serde_path_to_error::deserialize(value).map_err(|error| {
        let inner_path = error.path().to_string();
        let key = match (path, inner_path.as_str()) {
            ("", ".") => "file".into(),
            ("", inner) => inner.to_string(),
            (path, ".") => path.to_string(),
            (path, inner) => format!("{path}.{inner}"),
        };
        ConfigError { key, reason: error.inner().to_string() }
    })
}
