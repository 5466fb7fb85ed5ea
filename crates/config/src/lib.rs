//! The one place where configuration is read, checked and given defaults: GW_* and GW_CONFIG (JSON) on the
//! platform, an operator's TOML in a sidecar. Both have the same keys. A fault names its key.
use oxbowhill::interface::{Micros, NodeEntry, NodeId, NodeState, Settings, ShardId};
use serde::Deserialize;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;

mod write;
pub use write::application;

/// What is wrong, and with which key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The key, as a path.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.reason)
    }
}

impl std::error::Error for Fault {}

fn fault<T>(key: impl Into<String>, reason: impl Into<String>) -> Result<T, Fault> {
    Err(Fault { key: key.into(), reason: reason.into() })
}

/// The limits of the machine.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Cores; the program uses one.
    pub cores: f64,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Descriptors.
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { cores: 1.0, memory_mb: 192, sockets: 1024 }
    }
}

/// How long clients' connections are waited for.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// Seconds for which a connection may stand idle even where connections are scarce.
    pub idle_s: f64,
    /// Seconds in which a command must be whole, and the first one on a connection be there.
    pub command_s: f64,
    /// Seconds for which answers may wait that the client does not read.
    pub unread_s: f64,
}

impl Default for Clients {
    fn default() -> Self {
        Clients { idle_s: 2.0, command_s: 2.4, unread_s: 5.0 }
    }
}

/// A class, as requests name it.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// The time for which a client waits in all.
    pub deadline: Micros,
    /// Whether it writes; none where the file does not tell, and the client's command does.
    pub write: Option<bool>,
}

/// How a disk box is spoken to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Speaks {
    /// RESP2.
    #[default]
    Resp,
    /// iSCSI, with the front as the initiator.
    Iscsi,
}

/// A disk box on the list.
#[derive(Clone, Debug)]
pub struct Target {
    /// What the module is told.
    pub entry: NodeEntry,
    /// Where it listens; none where the list gives nothing usable.
    pub address: Option<SocketAddr>,
    /// How it is spoken to.
    pub speaks: Speaks,
    /// Its target's name, where it speaks iSCSI.
    pub target: String,
}

/// One message of discovery.
#[derive(Clone, Debug)]
pub struct Targets {
    /// The list's version.
    pub generation: i64,
    /// Whether this is the whole list.
    pub whole: bool,
    /// The entries.
    pub targets: Vec<Target>,
}

/// One LUN of the iSCSI front.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Lun {
    /// Its number.
    pub lun: u8,
    /// The volume that it shows (16 hex digits).
    pub volume: String,
    /// The volume's plan.
    pub plan: String,
    /// The shard that holds the data.
    pub shard: u32,
    /// The class of its reads.
    pub read_class: String,
    /// The class of its writes.
    pub write_class: String,
    /// Blocks of 512 bytes.
    pub blocks: u32,
    /// How long a command waits for its answer; the class's deadline where it is left out.
    pub deadline_ms: Option<u64>,
    /// Blocks that make one piece of data.
    #[serde(default = "eight")]
    pub piece_blocks: u32,
    /// Blocks that count as one unit.
    #[serde(default = "eight")]
    pub unit_blocks: u32,
    /// Fronts through which the volume's requests come.
    #[serde(default = "one")]
    pub hosts: u32,
}

fn eight() -> u32 {
    8
}

fn one() -> u32 {
    1
}

fn kept() -> u64 {
    120
}

/// The iSCSI front.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Iscsi {
    /// Where initiators connect.
    pub listen: SocketAddr,
    /// The target's name.
    pub target: String,
    /// For how many seconds the result of a write is kept for a reissue after a reconnect.
    #[serde(default = "kept")]
    pub record_s: u64,
    /// Its LUNs.
    #[serde(default, rename = "lun")]
    pub luns: Vec<Lun>,
}

/// A listener of its own.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Where it listens.
    pub listen: SocketAddr,
}

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
    pub known: Targets,
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
    /// The keys that a file of the platform had; a later one must have them too.
    shape: Shape,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileIn {
    #[serde(default)]
    name: Option<String>,
    #[serde(default)]
    listen: Option<SocketAddr>,
    #[serde(default)]
    discovery: Option<SocketAddr>,
    #[serde(default)]
    seed: Option<String>,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    clients: Clients,
    #[serde(default)]
    known: Option<Value>,
    settings: Value,
    #[serde(default)]
    agent: Option<Listen>,
    #[serde(default)]
    health: Option<Listen>,
    #[serde(default)]
    admin: Option<SocketAddr>,
    #[serde(default)]
    iscsi: Option<Iscsi>,
}

/// The keys of a file of the platform: of the whole, and of each object under its settings. What stands in a list
/// counts as one place, with the keys that all of its entries have.
#[derive(Clone, Debug, Default, PartialEq)]
struct Shape(BTreeMap<String, BTreeSet<String>>);

impl Shape {
    /// Keys of the whole without which no front of the platform can serve.
    const WHOLE: [&'static str; 5] = ["name", "listen", "discovery", "limits", "settings"];

    fn of(value: &Value) -> Shape {
        let mut shape = Shape::default();
        if let Some(object) = value.as_object() {
            let whole = object.keys().filter(|k| Self::WHOLE.contains(&k.as_str())).cloned();
            shape.0.insert(String::new(), whole.collect());
        }
        if let Some(settings) = value.get("settings") {
            shape.add("settings.", settings);
        }
        shape
    }

    fn add(&mut self, at: &str, value: &Value) {
        match value {
            Value::Object(object) => {
                let keys: BTreeSet<String> = object.keys().cloned().collect();
                let all = self.0.entry(at.to_string()).or_insert_with(|| keys.clone());
                all.retain(|k| keys.contains(k));
                object.iter().for_each(|(k, v)| self.add(&format!("{at}{k}."), v));
            }
            Value::Array(list) => list.iter().for_each(|v| self.add(at, v)),
            _ => {}
        }
    }

    /// The first key that `new` lacks. A list that has become empty lacks none.
    fn missing_in(&self, new: &Shape) -> Option<String> {
        self.0.iter().find_map(|(at, keys)| {
            let there = new.0.get(at)?;
            keys.iter().find(|k| !there.contains(*k)).map(|k| format!("{at}{k}"))
        })
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct TargetIn {
    instance_id: String,
    #[serde(default)]
    host_port: String,
    #[serde(default)]
    zone: String,
    cell: u32,
    lifecycle: String,
    #[serde(default)]
    started_at_ms: i64,
    #[serde(default)]
    speaks: Speaks,
    #[serde(default)]
    target: Option<String>,
}

#[derive(Deserialize)]
struct TargetsIn {
    #[serde(default)]
    generation: i64,
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<TargetIn>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct NamesIn {
    classes: Vec<ClassIn>,
    #[serde(default)]
    contracts: Vec<PlanIn>,
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    limits: LimitsIn,
    #[serde(default)]
    family_info: FamilyIn,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ClassIn {
    name: String,
    deadline_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct PlanIn {
    name: String,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct LimitsIn {
    conn_idle_s: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct FamilyIn {
    writes: Vec<bool>,
    slots_total: u32,
}

/// Reads one message of discovery; times on it are Unix milliseconds, which are turned into the clock's
/// microseconds here and nowhere else.
pub fn targets(text: &[u8], zones: &[String]) -> Result<Targets, Fault> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let read: TargetsIn = serde_path_to_error::deserialize(&mut json)
        .map_err(|e| Fault { key: e.path().to_string(), reason: e.inner().to_string() })?;
    let mut targets = Vec::with_capacity(read.instances.len());
    for (i, t) in read.instances.into_iter().enumerate() {
        let state = match t.lifecycle.as_str() {
            "active" => NodeState::Ready,
            "leaving" => NodeState::Draining,
            "left" => NodeState::Gone,
            other => return fault(format!("instances[{i}].lifecycle"), format!("unknown value {other:?}")),
        };
        let zone = zones.iter().position(|z| *z == t.zone).unwrap_or(zones.len()) as u32;
        let target = t.target.unwrap_or_else(|| format!("iqn.2026-12.lichenrudder:{}", t.instance_id));
        targets.push(Target {
            entry: NodeEntry {
                node: NodeId(t.instance_id.into()),
                state,
                started: (t.started_at_ms > 0).then(|| Micros(t.started_at_ms.saturating_mul(1000))),
                shard: ShardId(t.cell),
                zone,
            },
            address: t.host_port.parse().ok(),
            speaks: t.speaks,
            target,
        });
    }
    Ok(Targets { generation: read.generation, whole: read.reset, targets })
}

/// Reads and checks a file's text: TOML where the name ends so, else JSON.
pub fn read(name: &str, text: &str) -> Result<Config, Fault> {
    let value: Value = if name.ends_with(".toml") {
        toml::from_str(text).map_err(|e| Fault { key: name.into(), reason: e.to_string() })?
    } else {
        serde_json::from_str(text).map_err(|e| Fault { key: name.into(), reason: e.to_string() })?
    };
    // The platform's file may grow keys, the operator's is checked to the letter.
    let mut value = value;
    let mut shape = Shape::default();
    if !name.ends_with(".toml") {
        shape = Shape::of(&value);
        const KEYS: [&str; 12] = [
            "name",
            "listen",
            "discovery",
            "seed",
            "limits",
            "known",
            "settings",
            "agent",
            "health",
            "admin",
            "iscsi",
            "clients",
        ];
        if let Some(object) = value.as_object_mut() {
            object.retain(|k, _| KEYS.contains(&k.as_str()));
        }
    }
    let file: FileIn = section(value, "")?;
    let mut setup = file.settings;
    if let Some(object) = setup.as_object_mut() {
        // Defaults for an operator who runs one front of his own.
        object.entry("FleetSize").or_insert(1.into());
    }
    let settings = oxbowhill::wire::read_settings(setup.clone())
        .map_err(|reason| Fault { key: "settings".into(), reason })?;
    oxbowhill::Scheduler::new(settings.clone(), 0)
        .map_err(|e| Fault { key: format!("settings ({})", e.field), reason: e.reason.into() })?;
    let names: NamesIn = section(setup, "settings")?;
    let shards = Some(names.family_info.slots_total).filter(|n| *n > 0);
    let writes = names.family_info.writes;
    let classes: Vec<Class> = names
        .classes
        .into_iter()
        .enumerate()
        .map(|(i, c)| Class {
            name: c.name,
            deadline: Micros((c.deadline_s * 1e6) as i64),
            write: writes.get(i).copied(),
        })
        .collect();
    let plans: Vec<String> = names.contracts.into_iter().map(|p| p.name).collect();
    let seed = match &file.seed {
        None => 0,
        Some(hex) => u64::from_str_radix(hex, 16)
            .map_err(|_| Fault { key: "seed".into(), reason: format!("{hex:?} is not a hex number") })?,
    };
    let known = match &file.known {
        None => Targets { generation: 0, whole: true, targets: vec![] },
        Some(list) => targets(list.to_string().as_bytes(), &names.zones)
            .map_err(|e| Fault { key: format!("known.{}", e.key), reason: e.reason })?,
    };
    if file.limits.sockets < 16 {
        return fault("limits.sockets", "must be at least 16");
    }
    if file.limits.memory_mb < 8 {
        return fault("limits.memory_mb", "must be at least 8");
    }
    let times = [
        ("clients.idle_s", file.clients.idle_s),
        ("clients.command_s", file.clients.command_s),
        ("clients.unread_s", file.clients.unread_s),
    ];
    if let Some((key, _)) = times.into_iter().find(|(_, s)| !(0.1..=3600.0).contains(s)) {
        return fault(key, "must be 0.1 to 3600");
    }
    if let Some(iscsi) = &file.iscsi {
        check_iscsi(iscsi, &classes, &plans)?;
    }
    let boxes = known.targets.iter().position(|t| t.speaks == Speaks::Iscsi);
    if let (Some(i), None) = (boxes, &file.iscsi) {
        return fault(format!("known.instances[{i}].speaks"), "iscsi needs LUNs under iscsi.lun");
    }
    if known.targets.is_empty() && file.discovery.is_none() && name.ends_with(".toml") {
        return fault("known.instances", "no disk box, and no discovery to tell of one");
    }
    if file.listen.is_none() && file.iscsi.is_none() && name.ends_with(".toml") {
        return fault("listen", "neither this nor iscsi.listen is there");
    }
    let idle = if names.limits.conn_idle_s > 0.0 { names.limits.conn_idle_s } else { 15.0 };
    Ok(Config {
        name: file.name.unwrap_or_else(|| "lichenrudder".into()),
        listen: file.listen,
        discovery: file.discovery,
        seed,
        limits: file.limits,
        shards,
        clients: file.clients,
        known,
        settings,
        classes,
        plans,
        zones: names.zones,
        retired: Default::default(),
        named: file.discovery,
        idle: Micros((idle * 1e6) as i64),
        agent: file.agent,
        health: file.health,
        admin: file.admin,
        iscsi: file.iscsi,
        shape,
    })
}

fn section<T: for<'a> Deserialize<'a>>(value: Value, at: &str) -> Result<T, Fault> {
    serde_path_to_error::deserialize(value).map_err(|e| {
        let path = e.path().to_string();
        let key = match (at, path.as_str()) {
            ("", ".") => "file".into(),
            ("", path) => path.to_string(),
            (at, ".") => at.to_string(),
            (at, path) => format!("{at}.{path}"),
        };
        Fault { key, reason: e.inner().to_string() }
    })
}

fn check_iscsi(iscsi: &Iscsi, classes: &[Class], plans: &[String]) -> Result<(), Fault> {
    if !iscsi.target.starts_with("iqn.") || iscsi.target.len() > 223 {
        return fault("iscsi.target", "must be an iqn. name of at most 223 characters");
    }
    if iscsi.luns.is_empty() {
        return fault("iscsi.lun", "one at least is needed");
    }
    if iscsi.record_s == 0 {
        return fault("iscsi.record_s", "must be above 0");
    }
    for (i, lun) in iscsi.luns.iter().enumerate() {
        let key = |k: &str| format!("iscsi.lun[{i}].{k}");
        if iscsi.luns[..i].iter().any(|l| l.lun == lun.lun) {
            return fault(key("lun"), "is there twice");
        }
        if lun.volume.len() != 16 || !lun.volume.bytes().all(|b| b.is_ascii_hexdigit()) {
            return fault(key("volume"), "must be 16 hex digits");
        }
        if !plans.contains(&lun.plan) {
            return fault(key("plan"), format!("unknown plan {:?}", lun.plan));
        }
        for (k, class, write) in
            [("read_class", &lun.read_class, false), ("write_class", &lun.write_class, true)]
        {
            match classes.iter().find(|c| c.name == *class) {
                None => return fault(key(k), format!("unknown class {class:?}")),
                Some(c) if c.write.is_some_and(|w| w != write) => {
                    return fault(key(k), format!("class {class:?} is of the other kind"))
                }
                Some(_) => {}
            }
        }
        for (k, figure) in [
            ("blocks", lun.blocks),
            ("piece_blocks", lun.piece_blocks),
            ("unit_blocks", lun.unit_blocks),
            ("hosts", lun.hosts),
        ] {
            if figure == 0 {
                return fault(key(k), "must be above 0");
            }
        }
        if lun.deadline_ms == Some(0) {
            return fault(key("deadline_ms"), "must be above 0");
        }
    }
    Ok(())
}

/// Reads the configuration that the environment names.
pub fn from_env(var: impl Fn(&str) -> Option<String>) -> Result<Config, Fault> {
    let Some(path) = var("GW_CONFIG") else { return fault("GW_CONFIG", "is not set") };
    let text = std::fs::read_to_string(&path)
        .map_err(|e| Fault { key: "GW_CONFIG".into(), reason: format!("{path}: {e}") })?;
    let mut config = read(&path, &text)?;
    if let Some(name) = var("GW_NAME") {
        config.name = name;
    }
    let address = |key: &str| match var(key) {
        None => Ok(None),
        Some(text) => match text.parse::<SocketAddr>() {
            Ok(address) => Ok(Some(address)),
            Err(_) => fault(key, format!("{text:?} is not an address and port")),
        },
    };
    config.listen = address("GW_LISTEN")?.or(config.listen);
    config.discovery = address("GW_DISCOVERY")?.or(config.discovery);
    config.admin = address("GW_ADMIN")?.or(config.admin);
    if config.listen.is_none() && config.iscsi.is_none() {
        return fault("GW_LISTEN", "is not set");
    }
    Ok(config)
}

/// The most classes, plans or zones; a reload keeps those that are left out, so their number could grow.
const MOST_NAMES: usize = 256;

/// Lays new names over old ones: each old one keeps its place, whether it is still there or not, and what is new
/// comes after. For each place the new one that stands there; none for an old one that was left out.
fn lay_over<'a>(
    key: &str,
    old: impl Iterator<Item = &'a str>,
    new: impl Iterator<Item = &'a str>,
) -> Result<Vec<Option<usize>>, Fault> {
    let (old, new): (Vec<&str>, Vec<&str>) = (old.collect(), new.collect());
    let kept = old.iter().map(|name| new.iter().position(|n| n == name));
    let added = (0..new.len()).filter(|i| !old.contains(&new[*i])).map(Some);
    let places: Vec<_> = kept.chain(added).collect();
    if places.len() > MOST_NAMES {
        return fault(key, "too many, with those that earlier files named: this needs a restart");
    }
    Ok(places)
}

/// What stands in each place: the new one, or the old one where it was left out.
fn placed<T: Clone>(places: &[Option<usize>], old: &[T], new: &[T]) -> Vec<T> {
    let of = |(i, place): (usize, &Option<usize>)| place.map_or_else(|| &old[i], |n| &new[n]).clone();
    places.iter().enumerate().map(of).collect()
}

fn left_out(places: &[Option<usize>]) -> BTreeSet<usize> {
    (0..places.len()).filter(|i| places[*i].is_none()).collect()
}

impl Config {
    /// The index of the class that a client may name so.
    pub fn class(&self, name: &str) -> Option<usize> {
        (0..self.classes.len()).find(|i| self.classes[*i].name == name && !self.retired.0.contains(i))
    }

    /// The index of the plan that a client may name so.
    pub fn plan(&self, name: &str) -> Option<usize> {
        (0..self.plans.len()).find(|i| self.plans[*i] == name && !self.retired.1.contains(i))
    }

    /// Sees to it that classes that were known before are of the kind that they had. Guards requests against a list of
    /// kinds (`FamilyInfo.Writes`) that was not renewed when classes came or went: its places are then others'. It counts
    /// for new classes only where it agrees with what is known of the others.
    fn keep_kinds(&mut self, before: &[Class]) {
        let known = |c: &Class| before.iter().find(|b| b.name == c.name).and_then(|b| b.write);
        let agrees = |c: &Class| c.write.is_some() && known(c).is_none_or(|k| c.write == Some(k));
        let renewed = self.classes.iter().all(agrees);
        for class in &mut self.classes {
            class.write = known(class).or(class.write.filter(|_| renewed));
        }
    }

    /// Reads the file that the environment names again, to be put in force in this one's place, and tells which
    /// keys have changed that need a restart and stay as they were. Indexes of classes, plans and zones that are in
    /// use keep their meaning. Discovery is the one that the file names, where it names another than before.
    pub fn reload(&self, var: impl Fn(&str) -> Option<String>) -> Result<(Config, Vec<&'static str>), Fault> {
        let mut new = from_env(|key| if key == "GW_DISCOVERY" { None } else { var(key) })?;
        // Guards the settings in force against a file that was cut or lost a section: what has a default elsewhere, such
        // as the rule on cold boxes, would be off.
        if let Some(key) = self.shape.missing_in(&new.shape) {
            return fault(key, "is missing, and the file before had it");
        }
        new.keep_kinds(&self.classes);
        if new.named == self.named || (new.named.is_none() && var("GW_DISCOVERY").is_some()) {
            new.discovery = self.discovery;
        }
        if let Some(iscsi) = &self.iscsi {
            check_iscsi(iscsi, &new.classes, &new.plans)?;
        }
        let names = |c: &[Class]| c.iter().map(|c| c.name.clone()).collect::<Vec<_>>();
        let (old_classes, new_classes) = (names(&self.classes), names(&new.classes));
        let text = String::as_str;
        let classes =
            lay_over("settings.Classes", old_classes.iter().map(text), new_classes.iter().map(text))?;
        let plans = lay_over("settings.Contracts", self.plans.iter().map(text), new.plans.iter().map(text))?;
        let zones = lay_over("settings.Zones", self.zones.iter().map(text), new.zones.iter().map(text))?;
        let (old, set) = (&self.settings, &mut new.settings);
        set.classes = placed(&classes, &old.classes, &set.classes);
        set.plans = placed(&plans, &old.plans, &set.plans);
        new.classes = placed(&classes, &self.classes, &new.classes);
        new.plans = placed(&plans, &self.plans, &new.plans);
        new.retired = (left_out(&classes), left_out(&plans));
        for target in &mut new.known.targets {
            let place = zones.iter().position(|z| *z == Some(target.entry.zone as usize));
            target.entry.zone = place.unwrap_or(zones.len()) as u32;
        }
        new.zones = placed(&zones, &self.zones, &new.zones);
        let checks = [
            ("name", new.name == self.name),
            ("listen", new.listen == self.listen),
            ("seed", new.seed == self.seed),
            ("agent", new.agent == self.agent),
            ("health", new.health == self.health),
            ("admin", new.admin == self.admin),
            ("iscsi", new.iscsi == self.iscsi),
        ];
        let kept = checks.into_iter().filter(|(_, same)| !same).map(|(key, _)| key).collect();
        (new.name, new.listen, new.seed) = (self.name.clone(), self.listen, self.seed);
        (new.agent, new.health, new.iscsi) = (self.agent.clone(), self.health.clone(), self.iscsi.clone());
        new.admin = self.admin;
        Ok((new, kept))
    }
}
