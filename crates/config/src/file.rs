//! A file's text, read section by section.
use crate::check::check;
use crate::shape::Shape;
use crate::{
    gathers, targets, Accord, Changes, Class, Clients, Config, Fault, Iscsi, Limits, Listen, Targets,
};
use scheduler::interface::Micros;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;

/// A file as it stands. A further section is one more field here and in `Config`; its types and bounds are a module
/// like `iscsi`, called from `check`, and what needs a restart is said in `reload`. It is an operator's alone while its
/// key is not under `PLATFORM_KEYS`.
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
    #[serde(default)]
    pub accord: Option<Accord>,
    #[serde(default)]
    pub changes: Option<Changes>,
    #[serde(default)]
    pub gather: Vec<scatter_gather::Policy>,
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

/// The name of a front that is given none.
pub(crate) const DEFAULT_NAME: &str = "lichenrudder";

/// The keys that are read from a file of the platform, which may have others; an operator's may not.
const PLATFORM_KEYS: [&str; 12] = [
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

/// Lays settings over others: key by key, and so within objects; what is no object takes the other's place.
fn lay_over(under: &mut Value, over: &Value) {
    match (under, over) {
        (Value::Object(under), Value::Object(over)) => {
            over.iter().for_each(|(key, over)| lay_over(under.entry(key).or_insert(Value::Null), over));
        }
        (under, over) => *under = over.clone(),
    }
}

/// A file that was understood and not checked yet.
#[derive(Debug)]
pub(crate) struct Source {
    /// Its name, and its text.
    pub file: (String, String),
    /// What it says but for the list.
    pub bare: Value,
    shape: Shape,
}

/// Reads and checks a file's text: TOML where the name ends so, else JSON.
pub fn read(name: &str, text: &str) -> Result<Config, Fault> {
    Ok(read_under(name, text, &[])?.begun())
}

/// The same, with these settings laid over the file's own, one after the other.
pub(crate) fn read_under(name: &str, text: &str, over: &[Value]) -> Result<Config, Fault> {
    let mut value: Value = if name.ends_with(".toml") {
        toml::from_str(text).map_err(|e| Fault { key: name.into(), reason: e.to_string() })?
    } else {
        serde_json::from_str(text).map_err(|e| Fault { key: name.into(), reason: e.to_string() })?
    };
    // The platform's file may grow keys, the operator's is checked to the letter.
    let mut shape = Shape::default();
    if !name.ends_with(".toml") {
        shape = Shape::of(&value);
        if let Some(object) = value.as_object_mut() {
            object.retain(|k, _| PLATFORM_KEYS.contains(&k.as_str()));
        }
    }
    let list = value.as_object_mut().and_then(|object| object.remove("known"));
    let source = Source { file: (name.into(), text.into()), bare: value, shape };
    build(Arc::new(source), over, list.map(List::Said).unwrap_or(List::None))
}

/// The list beside the rest of a file.
pub(crate) enum List {
    /// There is none.
    None,
    /// As the file says it.
    Said(Value),
    /// As it was understood before, for the same zones.
    Understood(Arc<Targets>),
}

/// A configuration from what a file says, with these settings laid over its own, one after the other.
pub(crate) fn build(source: Arc<Source>, over: &[Value], list: List) -> Result<Config, Fault> {
    let (name, mut value) = (source.file.0.as_str(), source.bare.clone());
    // The shape is the file's own: what lies over it comes and goes.
    if let Some(settings) = value.get_mut("settings") {
        over.iter().for_each(|over| lay_over(settings, over));
    }
    let mut file: FileIn = section(value, "")?;
    let mut setup = std::mem::take(&mut file.settings);
    if let Some(object) = setup.as_object_mut() {
        // Defaults for an operator who runs one front of his own.
        object.entry("FleetSize").or_insert(1.into());
    }
    let settings = scheduler::simulator_wire::read_settings(setup.clone())
        .map_err(|error| Fault { key: "settings".into(), reason: error.to_string() })?;
    scheduler::Scheduler::new(settings.clone(), 0)
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
    let known = match list {
        List::None => Arc::new(Targets { generation: 0, whole: true, targets: vec![] }),
        List::Said(list) => targets(list.to_string().as_bytes(), &names.zones)
            .map(Arc::new)
            .map_err(|e| Fault { key: format!("known.{}", e.key), reason: e.reason })?,
        List::Understood(list) => list,
    };
    check(name, &file, &classes, &plans, &known, &names.zones, settings.gateways)?;
    gathers::check(&file.gather, &gathers::Beside::of(&file, &classes, &names.zones, shards))?;
    let idle = if names.limits.conn_idle_s > 0.0 { names.limits.conn_idle_s } else { 15.0 };
    Ok(Config {
        name: file.name.unwrap_or_else(|| DEFAULT_NAME.into()),
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
        accord: file.accord,
        shape: source.shape.clone(),
        source: Some(source),
        changes: file.changes,
        gathers: file.gather.into_iter().map(Arc::new).collect(),
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
