//! The section `[accord]` of an operator's file: the coordinating gateways, and the limits of their decisions.
use crate::error::invalid;
use crate::keys::{parse_keys, KeyBytes};
use crate::range::{check_ranges, has_valid_length, Range};
use crate::section_names::impl_deserialize;
use crate::ConfigError;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The maximum number of coordinating gateways.
const MAX_MEMBERS: usize = 128;

/// A coordinating gateway, as this one reaches it.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, remote = "Fellow")]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Its address, for UDP and TCP.
    pub at: SocketAddr,
    /// Its zone.
    #[serde(rename = "hall")]
    pub zone: String,
}

/// The type's name in error messages.
type Fellow = Member;
impl_deserialize!(Member);

/// How many backends may be in maintenance at once.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields, remote = "Out")]
pub struct MaintenanceLimits {
    /// In total.
    #[serde(rename = "most")]
    pub total: u32,
    /// In one zone.
    #[serde(rename = "per_hall")]
    pub per_zone: u32,
    /// Of the backends of one volume.
    pub per_volume: u32,
    /// Seconds after its return for which a backend still counts as in maintenance, while it warms up.
    #[serde(rename = "warm_s")]
    pub warm_up_s: f64,
    /// Seconds for each step of the recovery ramp.
    pub stage_s: f64,
}

/// The type's name in error messages.
type Out = MaintenanceLimits;
impl_deserialize!(MaintenanceLimits);

impl Default for MaintenanceLimits {
    fn default() -> Self {
        MaintenanceLimits { total: 1, per_zone: 1, per_volume: 1, warm_up_s: 18.0, stage_s: 3.0 }
    }
}

/// Limits of the reports that gateways share about silent backends and zones.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Evidence {
    /// The fraction of all backends that all gateways together may eject.
    pub share: f64,
    /// Seconds for which one report counts.
    pub lasts_s: f64,
}

impl Default for Evidence {
    fn default() -> Self {
        Evidence { share: 0.2, lasts_s: 10.0 }
    }
}

/// The settings for coordination between gateways.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields, remote = "Accord")]
pub struct Coordination {
    /// Where this gateway receives messages of the others, over UDP and TCP.
    pub listen: SocketAddr,
    /// The zone of this gateway.
    #[serde(rename = "hall")]
    pub zone: String,
    /// The folder for state that must survive the process.
    pub state: PathBuf,
    /// Keys of 64 hex digits: the first one signs, all are accepted. There are two during a rotation.
    pub keys: Vec<String>,
    /// Bytes per second that the membership protocol may send.
    #[serde(default = "default_bytes_s")]
    pub bytes_s: u32,
    /// The duration of a lease, in seconds: how long a gateway may rely on a grant.
    #[serde(default = "default_lease_s")]
    pub lease_s: f64,
    /// The fraction by which the rates of two monotonic clocks may differ.
    #[serde(default = "default_drift")]
    pub drift: f64,
    /// The election timeout in milliseconds: after this time without its leader, a gateway becomes a candidate.
    #[serde(default = "default_election_ms")]
    pub election_ms: u64,
    /// The gateways, this one among them.
    #[serde(default, rename = "member")]
    pub members: Vec<Member>,
    /// Limits on backends in maintenance.
    #[serde(default, rename = "out")]
    pub maintenance: MaintenanceLimits,
    /// Limits of the reports that are shared about silent backends and zones.
    #[serde(default)]
    pub evidence: Evidence,
}

/// The type's name in error messages.
type Accord = Coordination;
impl_deserialize!(Coordination);

fn default_bytes_s() -> u32 {
    16_384
}

fn default_lease_s() -> f64 {
    2.0
}

fn default_drift() -> f64 {
    0.01
}

fn default_election_ms() -> u64 {
    500
}

impl Coordination {
    /// Whether two sections are equal except for their keys.
    pub fn equal_except_keys(one: Option<&Coordination>, other: Option<&Coordination>) -> bool {
        let without_keys = |section: &Coordination| Coordination { keys: Vec::new(), ..section.clone() };
        one.map(without_keys) == other.map(without_keys)
    }

    /// The keys as bytes: the signing key, and the other accepted key, if any.
    ///
    /// # Errors
    /// There is no key, there are more than two, or a key is invalid.
    pub fn keys(&self) -> Result<(KeyBytes, Option<KeyBytes>), ConfigError> {
        parse_keys("accord.keys", &self.keys)
    }

    /// Checks the section of the gateway with this name against the zones of the settings.
    pub(crate) fn check(&self, name: &str, zones: &[String]) -> Result<(), ConfigError> {
        self.keys()?;
        if self.state.as_os_str().is_empty() || !self.state.is_absolute() {
            return invalid("accord.state", "must be the full path of a folder that outlasts the process");
        }
        self.check_members(name, zones)?;
        if !zones.is_empty() && !zones.contains(&self.zone) {
            return invalid("accord.hall", format!("{:?} is none of settings.Zones", self.zone));
        }
        check_ranges(&self.ranges())?;
        if self.lease_s * 1000.0 < 2.0 * self.election_ms as f64 {
            return invalid("accord.lease_s", "must be at least twice accord.election_ms");
        }
        self.maintenance.check()
    }

    fn check_members(&self, name: &str, zones: &[String]) -> Result<(), ConfigError> {
        if self.members.len() > MAX_MEMBERS {
            return invalid("accord.member", format!("more than {MAX_MEMBERS}"));
        }
        let mut names = BTreeSet::new();
        let mut addresses = BTreeSet::new();
        for (index, member) in self.members.iter().enumerate() {
            let key = |field: &str| format!("accord.member[{index}].{field}");
            if !has_valid_length(&member.name) {
                return invalid(key("name"), "must be 1 to 64 letters");
            }
            if !names.insert(member.name.as_str()) {
                return invalid(key("name"), format!("{:?} is there twice", member.name));
            }
            if !addresses.insert(member.at) {
                return invalid(key("at"), format!("{} is another member's too", member.at));
            }
            if !zones.is_empty() && !zones.contains(&member.zone) {
                return invalid(key("hall"), format!("{:?} is none of settings.Zones", member.zone));
            }
        }
        if !names.contains(name) {
            let reason = format!("{name:?}, the name of this front, is not among them");
            return invalid("accord.member", reason);
        }
        Ok(())
    }

    fn ranges(&self) -> [Range; 8] {
        let range = |key, value, min, max| Range { key, value, min, max };
        let (maintenance, evidence) = (&self.maintenance, &self.evidence);
        [
            range("accord.bytes_s", f64::from(self.bytes_s), 2_048.0, 1e8),
            range("accord.lease_s", self.lease_s, 0.2, 60.0),
            range("accord.drift", self.drift, 0.0, 0.2),
            range("accord.election_ms", self.election_ms as f64, 50.0, 60_000.0),
            range("accord.out.warm_s", maintenance.warm_up_s, 0.0, 3_600.0),
            range("accord.out.stage_s", maintenance.stage_s, 0.1, 3_600.0),
            range("accord.evidence.share", evidence.share, 0.0, 0.5),
            range("accord.evidence.lasts_s", evidence.lasts_s, 0.5, 600.0),
        ]
    }
}

impl MaintenanceLimits {
    fn check(&self) -> Result<(), ConfigError> {
        let limits = [("most", self.total), ("per_hall", self.per_zone), ("per_volume", self.per_volume)];
        if let Some((field, _)) = limits.into_iter().find(|(_, limit)| *limit == 0) {
            let reason = "must be at least 1: with none no box could ever go";
            return invalid(format!("accord.out.{field}"), reason);
        }
        if self.per_zone > self.total {
            let reason = "is more than accord.out.most, so it could never count";
            return invalid("accord.out.per_hall", reason);
        }
        Ok(())
    }
}
