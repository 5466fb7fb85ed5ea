//! The section `[changes]` of an operator's file: how this process receives configuration changes, and to which subscribers it
//! forwards them.
use crate::error::invalid;
use crate::keys::{parse_keys, KeyBytes};
use crate::range::{check_ranges, has_valid_length, Range};
use crate::section_names::impl_deserialize;
use crate::ConfigError;
use config_distribution::is_valid_name;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The maximum number of relays of a subscriber.
const MAX_RELAYS: usize = 16;
/// The maximum encoded size of a gateway's shards and volumes together in its request to a relay.
const MAX_SCOPE_BYTES: usize = 48 * 1024;
/// The maximum encoded size of a shard in such a request.
const SHARD_BYTES: usize = 6;
/// The maximum encoded size of a volume in such a request, without its name.
const VOLUME_OVERHEAD_BYTES: usize = 2;

/// A relay that this process may follow.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Its name.
    pub name: String,
    /// Its address.
    pub at: SocketAddr,
    /// Whether it has the same preference as the relay before it: gateways spread over equal relays by their own names.
    #[serde(default)]
    pub equal: bool,
}

/// The settings for the distribution of configuration changes.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, remote = "Changes")]
pub struct Distribution {
    /// Where it serves subscribers: as a voter if there is a section `[accord]`, else as a relay.
    #[serde(default)]
    pub listen: Option<SocketAddr>,
    /// The relays to follow, in the order of preference.
    #[serde(default, rename = "relay")]
    pub relays: Vec<Upstream>,
    /// The region of a gateway.
    #[serde(default)]
    pub region: Option<String>,
    /// The zone of a gateway.
    #[serde(default)]
    pub zone: Option<String>,
    /// The shards that the gateway serves.
    #[serde(default)]
    pub shards: Vec<u32>,
    /// The volumes that the gateway serves.
    #[serde(default)]
    pub volumes: Vec<String>,
    /// The folder in which a gateway persists its snapshot; without one nothing is persisted.
    #[serde(default)]
    pub state: Option<PathBuf>,
    /// Keys of 64 hex digits: the first one signs, all are accepted. There are two during a rotation.
    pub keys: Vec<String>,
    /// Seconds for which changes that are not urgent are collected into one batch.
    #[serde(default = "default_batch_s")]
    pub batch_s: f64,
    /// The maximum number of subscribers.
    #[serde(default = "default_max_subscribers", rename = "most")]
    pub max_subscribers: u32,
    /// Bytes per second for the snapshots of new subscribers.
    #[serde(default = "default_admission_bytes_s")]
    pub admission_bytes_s: f64,
}

/// The type's name in error messages.
type Changes = Distribution;
impl_deserialize!(Distribution);

fn default_batch_s() -> f64 {
    2.0
}

fn default_max_subscribers() -> u32 {
    256
}

fn default_admission_bytes_s() -> f64 {
    1e6
}

impl Distribution {
    /// Whether two sections are equal except for their keys.
    pub fn equal_except_keys(one: Option<&Distribution>, other: Option<&Distribution>) -> bool {
        let without_keys = |section: &Distribution| Distribution { keys: Vec::new(), ..section.clone() };
        one.map(without_keys) == other.map(without_keys)
    }

    /// The keys as bytes: the signing key, and the other accepted key, if any.
    ///
    /// # Errors
    /// There is no key, there are more than two, or a key is invalid.
    pub fn keys(&self) -> Result<(KeyBytes, Option<KeyBytes>), ConfigError> {
        parse_keys("changes.keys", &self.keys)
    }

    /// Checks the section of the process with this name.
    pub(crate) fn check(&self, name: &str, is_voter: bool) -> Result<(), ConfigError> {
        self.keys()?;
        self.check_relays(name, is_voter)?;
        self.check_scope()?;
        if self.state.as_ref().is_some_and(|state| !state.is_absolute()) {
            return invalid("changes.state", "must be the full path of a folder that outlasts the process");
        }
        let range = |key, value, min, max| Range { key, value, min, max };
        check_ranges(&[
            range("changes.batch_s", self.batch_s, 0.1, 10.0),
            range("changes.most", f64::from(self.max_subscribers), 1.0, 1_000.0),
            range("changes.admission_bytes_s", self.admission_bytes_s, 1e4, 1e9),
        ])
    }

    /// Checks what a gateway subscribes to.
    fn check_scope(&self) -> Result<(), ConfigError> {
        let reason = "must have 1 to 64 bytes, no slash, nothing that can't be printed";
        for (field, name) in [("region", &self.region), ("zone", &self.zone)] {
            if name.as_deref().is_some_and(|name| !is_valid_name(name)) {
                return invalid(format!("changes.{field}"), reason);
            }
        }
        if let Some(index) = self.volumes.iter().position(|name| !is_valid_name(name)) {
            return invalid(format!("changes.volumes[{index}]"), reason);
        }
        let shard_bytes = SHARD_BYTES * self.shards.len();
        let volume_bytes: usize = self.volumes.iter().map(|name| name.len() + VOLUME_OVERHEAD_BYTES).sum();
        if shard_bytes + volume_bytes > MAX_SCOPE_BYTES {
            let field = if shard_bytes > volume_bytes { "shards" } else { "volumes" };
            return invalid(format!("changes.{field}"), "too many: a relay takes requests of 48 KiB");
        }
        let gateway_settings = [
            ("region", self.region.is_some()),
            ("zone", self.zone.is_some()),
            ("shards", !self.shards.is_empty()),
            ("volumes", !self.volumes.is_empty()),
            ("state", self.state.is_some()),
        ];
        match gateway_settings.into_iter().find(|(_, is_set)| *is_set && self.listen.is_some()) {
            Some((field, _)) => {
                let reason = "is a front's; whoever has changes.listen holds everything, in memory";
                invalid(format!("changes.{field}"), reason)
            }
            None => Ok(()),
        }
    }

    fn check_relays(&self, name: &str, is_voter: bool) -> Result<(), ConfigError> {
        match (self.listen, self.relays.len()) {
            (Some(_), 1..) if is_voter => {
                return invalid("changes.relay", "whoever has a vote follows the log")
            }
            (Some(_), 0) if !is_voter => {
                return invalid("changes.relay", "a relay without a vote follows another")
            }
            (None, 0) => return invalid("changes.relay", "a front follows at least one"),
            (_, count) if count > MAX_RELAYS => {
                return invalid("changes.relay", format!("more than {MAX_RELAYS}"))
            }
            _ => {}
        }
        let (mut names, mut addresses) = (BTreeSet::new(), BTreeSet::new());
        for (index, relay) in self.relays.iter().enumerate() {
            let key = |field: &str| format!("changes.relay[{index}].{field}");
            if !has_valid_length(&relay.name) {
                return invalid(key("name"), "must be 1 to 64 letters");
            }
            if relay.name == name {
                return invalid(key("name"), "is this machine's own");
            }
            if !names.insert(relay.name.as_str()) {
                return invalid(key("name"), format!("{:?} is there twice", relay.name));
            }
            if !addresses.insert(relay.at) || Some(relay.at) == self.listen {
                return invalid(key("at"), format!("{} is another's too", relay.at));
            }
        }
        Ok(())
    }
}
