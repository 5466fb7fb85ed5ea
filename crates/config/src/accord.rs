//! The section `[accord]` of an operator's file: the fronts that act together, and the bounds of what they settle.
use crate::{fault, Fault};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The most fronts that may act together.
pub const MOST_MEMBERS: usize = 128;

/// One of the fronts, as this one reaches it.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Fellow {
    /// Its name.
    pub name: String,
    /// Where it listens, over UDP and TCP.
    pub at: SocketAddr,
    /// The hall in which it stands.
    pub hall: String,
}

/// How many boxes may be out for work at once.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Out {
    /// In the whole.
    pub most: u32,
    /// In one hall.
    pub per_hall: u32,
    /// Of the boxes of one volume.
    pub per_volume: u32,
    /// Seconds after its return for which a box counts as out: until it is warm.
    pub warm_s: f64,
    /// Seconds for each step in which a box that came back is given more.
    pub stage_s: f64,
}

impl Default for Out {
    fn default() -> Self {
        Out { most: 1, per_hall: 1, per_volume: 1, warm_s: 18.0, stage_s: 3.0 }
    }
}

/// What fronts share about silent boxes and halls.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Evidence {
    /// The share of all boxes that all fronts together may keep from.
    pub share: f64,
    /// Seconds for which one claim counts.
    pub lasts_s: f64,
}

impl Default for Evidence {
    fn default() -> Self {
        Evidence { share: 0.2, lasts_s: 10.0 }
    }
}

/// Everything that fronts need to act together.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Accord {
    /// Where this front hears the others, over UDP and TCP.
    pub listen: SocketAddr,
    /// The hall in which it stands.
    pub hall: String,
    /// The folder of what must outlast the process.
    pub state: PathBuf,
    /// Keys of 64 hex digits: the first signs, each is accepted. Two, while one follows the other.
    pub keys: Vec<String>,
    /// Bytes a second of membership at the most.
    #[serde(default = "bytes_s")]
    pub bytes_s: u32,
    /// Seconds for which a front may count on what it was granted.
    #[serde(default = "lease_s")]
    pub lease_s: f64,
    /// The share by which two steady clocks may differ.
    #[serde(default = "drift")]
    pub drift: f64,
    /// Milliseconds without its leader after which a front seeks another.
    #[serde(default = "election_ms")]
    pub election_ms: u64,
    /// The fronts, this one among them.
    #[serde(default, rename = "member")]
    pub members: Vec<Fellow>,
    /// Bounds for boxes that are out for work.
    #[serde(default)]
    pub out: Out,
    /// What is shared about boxes and halls.
    #[serde(default)]
    pub evidence: Evidence,
}

fn bytes_s() -> u32 {
    16_384
}

fn lease_s() -> f64 {
    2.0
}

fn drift() -> f64 {
    0.01
}

fn election_ms() -> u64 {
    500
}

impl Accord {
    /// Whether two sections say the same apart from their keys.
    pub fn same_but_keys(one: Option<&Accord>, other: Option<&Accord>) -> bool {
        let bare = |accord: &Accord| Accord { keys: Vec::new(), ..accord.clone() };
        one.map(bare) == other.map(bare)
    }

    /// The keys as bytes: the one that signs, and the other one.
    pub fn keys(&self) -> Result<([u8; 32], Option<[u8; 32]>), Fault> {
        keys("accord.keys", &self.keys)
    }

    /// Checks the section for the front of that name and halls, which are the zones of the settings.
    pub fn check(&self, name: &str, halls: &[String]) -> Result<(), Fault> {
        self.keys()?;
        if self.state.as_os_str().is_empty() || !self.state.is_absolute() {
            return fault("accord.state", "must be the full path of a folder that outlasts the process");
        }
        if self.members.len() > MOST_MEMBERS {
            return fault("accord.member", format!("more than {MOST_MEMBERS}"));
        }
        let mut names = BTreeSet::new();
        let mut places = BTreeSet::new();
        for (i, member) in self.members.iter().enumerate() {
            let key = |part: &str| format!("accord.member[{i}].{part}");
            if member.name.is_empty() || member.name.len() > 64 {
                return fault(key("name"), "must be 1 to 64 letters");
            }
            if !names.insert(member.name.as_str()) {
                return fault(key("name"), format!("{:?} is there twice", member.name));
            }
            if !places.insert(member.at) {
                return fault(key("at"), format!("{} is another member's too", member.at));
            }
            if !halls.is_empty() && !halls.contains(&member.hall) {
                return fault(key("hall"), format!("{:?} is none of settings.Zones", member.hall));
            }
        }
        if !names.contains(name) {
            return fault("accord.member", format!("{name:?}, the name of this front, is not among them"));
        }
        if !halls.is_empty() && !halls.contains(&self.hall) {
            return fault("accord.hall", format!("{:?} is none of settings.Zones", self.hall));
        }
        let ranges = [
            ("accord.bytes_s", f64::from(self.bytes_s), 2_048.0, 1e8),
            ("accord.lease_s", self.lease_s, 0.2, 60.0),
            ("accord.drift", self.drift, 0.0, 0.2),
            ("accord.election_ms", self.election_ms as f64, 50.0, 60_000.0),
            ("accord.out.warm_s", self.out.warm_s, 0.0, 3_600.0),
            ("accord.out.stage_s", self.out.stage_s, 0.1, 3_600.0),
            ("accord.evidence.share", self.evidence.share, 0.0, 0.5),
            ("accord.evidence.lasts_s", self.evidence.lasts_s, 0.5, 600.0),
        ];
        for (key, value, least, most) in ranges {
            if !(least..=most).contains(&value) {
                return fault(key, format!("must be {least} to {most}"));
            }
        }
        if self.lease_s * 1000.0 < 2.0 * self.election_ms as f64 {
            return fault("accord.lease_s", "must be at least twice accord.election_ms");
        }
        let out =
            [("most", self.out.most), ("per_hall", self.out.per_hall), ("per_volume", self.out.per_volume)];
        if let Some((part, _)) = out.into_iter().find(|(_, n)| *n == 0) {
            return fault(format!("accord.out.{part}"), "must be at least 1: with none no box could ever go");
        }
        if self.out.per_hall > self.out.most {
            return fault("accord.out.per_hall", "is more than accord.out.most, so it could never count");
        }
        Ok(())
    }
}

/// Keys as bytes: the one that signs, and the other one.
pub(crate) fn keys(at: &str, texts: &[String]) -> Result<([u8; 32], Option<[u8; 32]>), Fault> {
    if texts.is_empty() || texts.len() > 2 {
        return fault(at, "must be one key, or two while one follows the other");
    }
    let mut keys = Vec::new();
    for (i, text) in texts.iter().enumerate() {
        let key = format!("{at}[{i}]");
        let Some(bytes) = hex(text) else {
            return fault(key, "must be 64 hex digits");
        };
        if bytes.iter().all(|b| *b == bytes[0]) {
            return fault(key, "is one byte over and over: draw it by chance (openssl rand -hex 32)");
        }
        keys.push(bytes);
    }
    if keys.len() == 2 && keys[0] == keys[1] {
        return fault(format!("{at}[1]"), "is the same as the first");
    }
    Ok((keys[0], keys.get(1).copied()))
}

/// 32 bytes from 64 hex digits.
fn hex(text: &str) -> Option<[u8; 32]> {
    let mut bytes = [0; 32];
    if text.len() != 64 || !text.is_ascii() {
        return None;
    }
    for (i, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(text.get(2 * i..2 * i + 2)?, 16).ok()?;
    }
    Some(bytes)
}
