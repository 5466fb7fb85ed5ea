//! The effect of the distributed configuration: settings laid over the file's, and the backends of shards.
use config::{Config, Target};
use config_distribution::{Change, Key, Topic};
use scheduler::interface::{BackendId, BackendState};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The name of a key whose value is laid over the file's settings.
const SETTINGS: &str = "settings";
/// The name of a key whose value is a shard's backend.
const BACKEND: &str = "box";

/// The kind of value that a key has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeyKind {
    /// Settings.
    Settings,
    /// The backend of this shard.
    Backend(u32),
    /// An unknown key.
    Unknown,
}

impl KeyKind {
    fn of(key: &Key) -> KeyKind {
        match (&key.topic, &*key.name) {
            (Topic::Fleet | Topic::Region(_) | Topic::Zone(_), SETTINGS) => KeyKind::Settings,
            (Topic::Shard(shard), BACKEND) => KeyKind::Backend(*shard),
            _ => KeyKind::Unknown,
        }
    }
}

/// Why a value is rejected; the text goes to the operators.
#[derive(Clone, Debug, thiserror::Error)]
pub enum ValueError {
    /// It is not JSON.
    #[error("{0}")]
    Json(Arc<serde_json::Error>),
    /// It is not an object.
    #[error("must be an object")]
    NotAnObject,
    /// The configuration with it is faulty.
    #[error(transparent)]
    Config(#[from] config::ConfigError),
    /// It holds no backend.
    #[error("there is none")]
    NoBackend,
    /// It is the backend of another shard.
    #[error("cell: is {found}, and the shard is {expected}")]
    WrongShard {
        /// The shard in the value.
        found: u32,
        /// The shard in the key.
        expected: u32,
    },
}

impl From<serde_json::Error> for ValueError {
    fn from(error: serde_json::Error) -> ValueError {
        ValueError::Json(Arc::new(error))
    }
}

/// A key whose value is rejected, and why.
#[derive(Clone, Debug)]
pub struct Rejection {
    /// The key.
    pub key: Key,
    /// The reason.
    pub error: ValueError,
}

/// The values by their keys, parsed.
#[derive(Clone, Debug, Default)]
pub struct EffectiveConfig {
    /// What is laid over the file's settings, in this order: the fleet's, the region's, the zone's.
    settings: BTreeMap<Key, Value>,
    /// The backends of shards.
    backends: BTreeMap<Key, Target>,
}

/// The result of changes, to be applied.
#[derive(Debug)]
pub struct PreparedUpdate {
    /// The values.
    pub values: EffectiveConfig,
    /// The configuration, where it changes.
    pub config: Option<Config>,
    /// Backends whose entries change.
    pub backends: Vec<Target>,
    /// The number of changed keys that this gateway does not know.
    pub unknown_keys: u64,
}

/// Parses a shard's backend, which has the form of discovery's entries.
fn parse_backend(shard: u32, value: &[u8], zones: &[String]) -> Result<Target, ValueError> {
    let entry: Value = serde_json::from_slice(value)?;
    let list = json!({ "instances": [entry] }).to_string();
    let read = config::parse_targets(list.as_bytes(), zones)?;
    let target = read.targets.into_iter().next().ok_or(ValueError::NoBackend)?;
    if target.entry.shard.0 == shard {
        Ok(target)
    } else {
        Err(ValueError::WrongShard { found: target.entry.shard.0, expected: shard })
    }
}

fn parse_settings(bytes: &[u8]) -> Result<Value, ValueError> {
    match serde_json::from_slice(bytes)? {
        value @ Value::Object(_) => Ok(value),
        _ => Err(ValueError::NotAnObject),
    }
}

impl EffectiveConfig {
    /// What is laid over the file's settings, in order.
    pub fn settings(&self) -> Vec<Value> {
        self.settings.values().cloned().collect()
    }

    /// The backends that take precedence over the endpoint list.
    pub fn backends(&self) -> BTreeMap<BackendId, Target> {
        self.backends.values().map(|target| (target.entry.backend.clone(), target.clone())).collect()
    }

    /// Applies changes to these values, or to none where the changes are a snapshot. `configure` makes a configuration with such
    /// settings over the file's.
    ///
    /// # Errors
    /// The rejected keys; then nothing is to be applied.
    pub fn prepare_update(
        &self,
        is_snapshot: bool,
        changes: &[Change],
        config: &Config,
        configure: impl Fn(&[Value]) -> Result<Config, config::ConfigError>,
    ) -> Result<PreparedUpdate, Vec<Rejection>> {
        let mut values = if is_snapshot { EffectiveConfig::default() } else { self.clone() };
        let (mut rejections, mut unknown_keys, mut backends) = (vec![], 0, vec![]);
        for change in changes {
            unknown_keys += u64::from(KeyKind::of(&change.key) == KeyKind::Unknown);
            if let Err(error) = values.apply(change, &config.zones, &mut backends) {
                rejections.push(Rejection { key: change.key.clone(), error });
            }
        }
        if !rejections.is_empty() {
            return Err(rejections);
        }
        let mut next_config = None;
        if values.settings != self.settings {
            match configure(&values.settings()) {
                Ok(config) => next_config = Some(config),
                Err(fault) => return Err(self.find_faulty(&values, fault, &configure)),
            }
        }
        backends.extend(self.withdrawn_backends(&values, config));
        Ok(PreparedUpdate { values, config: next_config, backends, unknown_keys })
    }

    /// Applies one change; a backend that it sets is added to `backends`.
    fn apply(
        &mut self,
        change: &Change,
        zones: &[String],
        backends: &mut Vec<Target>,
    ) -> Result<(), ValueError> {
        let key = &change.key;
        match (KeyKind::of(key), change.value.as_deref()) {
            (KeyKind::Unknown, _) => {}
            (_, None) => {
                self.settings.remove(key);
                self.backends.remove(key);
            }
            (KeyKind::Settings, Some(bytes)) => {
                self.settings.insert(key.clone(), parse_settings(bytes)?);
            }
            (KeyKind::Backend(shard), Some(bytes)) => {
                let target = parse_backend(shard, bytes, zones)?;
                backends.push(target.clone());
                self.backends.insert(key.clone(), target);
            }
        }
        Ok(())
    }

    /// The keys of the new settings that can't be applied: those that make a configuration faulty which is valid without them.
    fn find_faulty(
        &self,
        values: &EffectiveConfig,
        fault: config::ConfigError,
        configure: impl Fn(&[Value]) -> Result<Config, config::ConfigError>,
    ) -> Vec<Rejection> {
        let (mut valid, mut rejections) = (self.settings.clone(), vec![]);
        let keys: BTreeSet<&Key> = values.settings.keys().chain(self.settings.keys()).collect();
        for key in keys.into_iter().filter(|key| values.settings.get(key) != self.settings.get(key)) {
            let before = valid.clone();
            match values.settings.get(key) {
                Some(value) => drop(valid.insert(key.clone(), value.clone())),
                None => drop(valid.remove(key)),
            }
            if let Err(fault) = configure(&valid.values().cloned().collect::<Vec<_>>()) {
                rejections.push(Rejection { key: key.clone(), error: fault.into() });
                valid = before;
            }
        }
        if rejections.is_empty() {
            // Each key is valid by itself, and only their combination is faulty.
            let reject = |key: &Key| Rejection { key: key.clone(), error: fault.clone().into() };
            rejections.extend(values.settings.keys().map(reject));
        }
        rejections
    }

    /// Backends that are no longer in the distributed configuration: as the file lists them, else marked as gone. With discovery this
    /// is left to its next update.
    fn withdrawn_backends(&self, values: &EffectiveConfig, config: &Config) -> Vec<Target> {
        if config.discovery.is_some() {
            return vec![];
        }
        let (before, after) = (self.backends(), values.backends());
        let withdrawn = before.into_iter().filter(|(backend, _)| !after.contains_key(backend));
        let as_listed = |(backend, mut target): (BackendId, Target)| {
            let listed = config.known.targets.iter().find(|target| target.entry.backend == backend);
            listed.cloned().unwrap_or_else(|| {
                target.entry.state = BackendState::Gone;
                target
            })
        };
        withdrawn.map(as_listed).collect()
    }
}

/// A value as it is stored and sent.
pub fn encode(value: &Value) -> Arc<[u8]> {
    value.to_string().into_bytes().into()
}
