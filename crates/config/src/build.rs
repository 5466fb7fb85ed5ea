//! Builds a configuration from a parsed file and the overlays of its settings.
use crate::check::{check, Checked};
use crate::file::{section, FileIn, NamesIn, DEFAULT_NAME};
use crate::gather_policies::{self, PolicyContext};
use crate::source::{FileText, Source, TargetSource};
use crate::{parse_targets, Class, Config, ConfigError, Targets};
use scheduler::interface::{Micros, Settings};
use serde_json::Value;
use std::sync::Arc;

/// Seconds after which backends close idle connections, if the settings don't specify it.
const DEFAULT_BACKEND_IDLE_S: f64 = 15.0;

/// Reads and checks a file's text: TOML if its name ends with `.toml`, else JSON.
///
/// # Errors
/// Names the first invalid key.
pub fn read(name: &str, text: &str) -> Result<Config, ConfigError> {
    let file = FileText { name: name.into(), text: text.into() };
    Ok(read_with_overlay(file, &[])?.for_start())
}

/// Like [`read`], with the overlays merged over the file's settings in order.
pub(crate) fn read_with_overlay(file: FileText, overlay: &[Value]) -> Result<Config, ConfigError> {
    let (source, targets) = Source::parse(file)?;
    build(Arc::new(source), overlay, targets)
}

/// Merges an overlay over other settings: objects key by key and recursively; any other value replaces the existing one.
fn merge(base: &mut Value, overlay: &Value) {
    match (base, overlay) {
        (Value::Object(base), Value::Object(overlay)) => {
            for (key, value) in overlay {
                merge(base.entry(key).or_insert(Value::Null), value);
            }
        }
        (base, overlay) => *base = overlay.clone(),
    }
}

/// Builds a configuration from a parsed file, with the overlays merged over its settings in order.
pub(crate) fn build(
    source: Arc<Source>,
    overlay: &[Value],
    targets: TargetSource,
) -> Result<Config, ConfigError> {
    let mut content = source.content.clone();
    // The shape remains that of the file, since overlays may be removed later.
    if let Some(settings) = content.get_mut("settings") {
        overlay.iter().for_each(|values| merge(settings, values));
    }
    let mut file: FileIn = section(content, "")?;
    let raw_settings = std::mem::take(&mut file.settings);
    let (settings, names) = read_settings(raw_settings)?;
    let shards = Some(names.family_info.slots_total).filter(|count| *count > 0);
    let classes = classes(&names);
    let plans: Vec<String> = names.contracts.into_iter().map(|plan| plan.name).collect();
    let seed = parse_seed(file.seed.as_deref())?;
    let known = resolve_targets(targets, &names.zones)?;
    check(&Checked {
        file_name: &source.file.name,
        file: &file,
        classes: &classes,
        plans: &plans,
        known: &known,
        zones: &names.zones,
        gateways: settings.gateways,
    })?;
    let context = PolicyContext::of(&file, &classes, &names.zones, shards);
    gather_policies::check(&file.gather_policies, &context)?;
    let stated_idle_s = names.limits.conn_idle_s;
    let idle_s = if stated_idle_s > 0.0 { stated_idle_s } else { DEFAULT_BACKEND_IDLE_S };
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
        file_discovery: file.discovery,
        backend_idle: Micros((idle_s * 1e6) as i64),
        agent: file.agent,
        health: file.health,
        admin: file.admin,
        iscsi: file.iscsi,
        coordination: file.coordination,
        shape: source.shape.clone(),
        source: Some(source),
        distribution: file.distribution,
        gather_policies: file.gather_policies.into_iter().map(Arc::new).collect(),
    })
}

/// Reads the scheduler's settings, which the scheduler checks itself, and the names that only this program needs.
fn read_settings(mut raw: Value) -> Result<(Settings, NamesIn), ConfigError> {
    if let Some(object) = raw.as_object_mut() {
        // An operator may run a single gateway.
        object.entry("FleetSize").or_insert(1.into());
    }
    let settings = scheduler::simulator_wire::read_settings(raw.clone())
        .map_err(|error| ConfigError::new("settings", error.to_string()))?;
    scheduler::Scheduler::new(settings.clone(), 0)
        .map_err(|error| ConfigError::new(format!("settings ({})", error.field), error.reason))?;
    Ok((settings, section(raw, "settings")?))
}

fn classes(names: &NamesIn) -> Vec<Class> {
    let writes = names.family_info.writes.iter().copied().map(Some).chain(std::iter::repeat(None));
    let class = |(class, write): (&crate::file::ClassIn, Option<bool>)| Class {
        name: class.name.clone(),
        deadline: Micros((class.deadline_s * 1e6) as i64),
        write,
    };
    names.classes.iter().zip(writes).map(class).collect()
}

fn parse_seed(hex: Option<&str>) -> Result<u64, ConfigError> {
    let Some(hex) = hex else { return Ok(0) };
    let parsed = u64::from_str_radix(hex, 16).ok();
    parsed.ok_or_else(|| ConfigError::new("seed", format!("{hex:?} is not a hex number")))
}

fn resolve_targets(source: TargetSource, zones: &[String]) -> Result<Arc<Targets>, ConfigError> {
    match source {
        TargetSource::None => Ok(Arc::new(Targets { generation: 0, is_complete: true, targets: vec![] })),
        TargetSource::File(list) => parse_targets(list.to_string().as_bytes(), zones)
            .map(Arc::new)
            .map_err(|error| ConfigError { key: format!("known.{}", error.key), ..error }),
        TargetSource::Parsed(list) => Ok(list),
    }
}
