//! The section `[changes]` of an operator's file: how changes of configuration reach this machine, and whom it serves with them.
use crate::accord::keys;
use crate::{fault, Fault};
use config_distribution::is_valid_name;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The most relays that one may name.
const MOST_RELAYS: usize = 16;
/// The most bytes that a front's shards and volumes may take together, in its request to a relay.
const MOST_BYTES: usize = 48 * 1024;

/// A relay to be followed.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Its name.
    pub name: String,
    /// Where it serves.
    pub at: SocketAddr,
    /// Whether it is as good as the one before it: by their names, fronts begin with one or another of such.
    #[serde(default)]
    pub equal: bool,
}

/// Everything about changes of configuration.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Changes {
    /// Where it serves others: a voter where `[accord]` is there, else a relay.
    #[serde(default)]
    pub listen: Option<SocketAddr>,
    /// Whom it follows, in the order of preference.
    #[serde(default, rename = "relay")]
    pub relays: Vec<Upstream>,
    /// The region of a front.
    #[serde(default)]
    pub region: Option<String>,
    /// Its zone.
    #[serde(default)]
    pub zone: Option<String>,
    /// The shards that it serves.
    #[serde(default)]
    pub shards: Vec<u32>,
    /// The volumes that it serves.
    #[serde(default)]
    pub volumes: Vec<String>,
    /// The folder of what a front keeps; without one nothing is kept.
    #[serde(default)]
    pub state: Option<PathBuf>,
    /// Keys of 64 hex digits: the first signs, each is accepted. Two, while one follows the other.
    pub keys: Vec<String>,
    /// Seconds for which changes are gathered that are not urgent.
    #[serde(default = "batch_s")]
    pub batch_s: f64,
    /// Subscribers at the most.
    #[serde(default = "most")]
    pub most: u32,
    /// Bytes a second for subscribers that begin.
    #[serde(default = "admission_bytes_s")]
    pub admission_bytes_s: f64,
}

fn batch_s() -> f64 {
    2.0
}

fn most() -> u32 {
    256
}

fn admission_bytes_s() -> f64 {
    1e6
}

impl Changes {
    /// Whether two sections say the same apart from their keys.
    pub fn same_but_keys(one: Option<&Changes>, other: Option<&Changes>) -> bool {
        let bare = |changes: &Changes| Changes { keys: Vec::new(), ..changes.clone() };
        one.map(bare) == other.map(bare)
    }

    /// The keys as bytes: the one that signs, and the other one.
    pub fn keys(&self) -> Result<([u8; 32], Option<[u8; 32]>), Fault> {
        keys("changes.keys", &self.keys)
    }

    /// Checks the section of the machine of that name, which has a vote or none.
    pub(crate) fn check(&self, name: &str, votes: bool) -> Result<(), Fault> {
        self.keys()?;
        self.check_relays(name, votes)?;
        let wording = "must have 1 to 64 bytes, no slash, nothing that can't be printed";
        for (key, name) in [("region", &self.region), ("zone", &self.zone)] {
            if name.as_deref().is_some_and(|name| !is_valid_name(name)) {
                return fault(format!("changes.{key}"), wording);
            }
        }
        if let Some(i) = self.volumes.iter().position(|name| !is_valid_name(name)) {
            return fault(format!("changes.volumes[{i}]"), wording);
        }
        let shards = 6 * self.shards.len();
        let volumes: usize = self.volumes.iter().map(|name| name.len() + 2).sum();
        if shards + volumes > MOST_BYTES {
            let key = if shards > volumes { "shards" } else { "volumes" };
            return fault(format!("changes.{key}"), "too many: a relay takes requests of 48 KiB");
        }
        let scope = [
            ("region", self.region.is_some()),
            ("zone", self.zone.is_some()),
            ("shards", !self.shards.is_empty()),
            ("volumes", !self.volumes.is_empty()),
            ("state", self.state.is_some()),
        ];
        if let Some((key, _)) = scope.into_iter().find(|(_, there)| *there && self.listen.is_some()) {
            let why = "is a front's; whoever has changes.listen holds everything, in memory";
            return fault(format!("changes.{key}"), why);
        }
        if self.state.as_ref().is_some_and(|state| !state.is_absolute()) {
            return fault("changes.state", "must be the full path of a folder that outlasts the process");
        }
        let ranges = [
            ("changes.batch_s", self.batch_s, 0.1, 10.0),
            ("changes.most", f64::from(self.most), 1.0, 1_000.0),
            ("changes.admission_bytes_s", self.admission_bytes_s, 1e4, 1e9),
        ];
        for (key, value, least, most) in ranges {
            if !(least..=most).contains(&value) {
                return fault(key, format!("must be {least} to {most}"));
            }
        }
        Ok(())
    }

    fn check_relays(&self, name: &str, votes: bool) -> Result<(), Fault> {
        match (self.listen, self.relays.len()) {
            (Some(_), 1..) if votes => return fault("changes.relay", "whoever has a vote follows the log"),
            (Some(_), 0) if !votes => {
                return fault("changes.relay", "a relay without a vote follows another")
            }
            (None, 0) => return fault("changes.relay", "a front follows at least one"),
            (_, count) if count > MOST_RELAYS => {
                return fault("changes.relay", format!("more than {MOST_RELAYS}"))
            }
            _ => {}
        }
        let (mut names, mut places) = (BTreeSet::new(), BTreeSet::new());
        for (i, relay) in self.relays.iter().enumerate() {
            let key = |part: &str| format!("changes.relay[{i}].{part}");
            if relay.name.is_empty() || relay.name.len() > 64 {
                return fault(key("name"), "must be 1 to 64 letters");
            }
            if relay.name == name {
                return fault(key("name"), "is this machine's own");
            }
            if !names.insert(relay.name.as_str()) {
                return fault(key("name"), format!("{:?} is there twice", relay.name));
            }
            if !places.insert(relay.at) || Some(relay.at) == self.listen {
                return fault(key("at"), format!("{} is another's too", relay.at));
            }
        }
        Ok(())
    }
}
