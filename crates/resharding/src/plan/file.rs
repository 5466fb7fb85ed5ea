//! The TOML format of plans.
use super::error::{PlanError, PlanProblem};
use super::{Bounds, CrossZoneOrder, Plan, Target};
use cluster_types::{BlockRange, Volume};
use serde::Deserialize;
use toml::Value;

/// The maximum number of places that a plan may name, and also of backends to be emptied.
const MAX_TARGETS: usize = 4096;
/// The number of digits in the name of a volume.
const VOLUME_DIGITS: usize = 16;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PlanFile {
    plan: Value,
    #[serde(default)]
    place: Vec<Value>,
    #[serde(default)]
    empty: Vec<Value>,
    bounds: Option<Value>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PlaceSection {
    volume: Value,
    blocks: Value,
    #[serde(rename = "on")]
    backend: Value,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EmptySection {
    #[serde(rename = "box")]
    backend: Value,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct BoundsSection {
    #[serde(rename = "moves_at_once")]
    max_migrations: Option<Value>,
    #[serde(rename = "per_box")]
    max_per_backend: Option<Value>,
    #[serde(rename = "share_of_spare")]
    copy_share: Option<Value>,
    #[serde(rename = "across_halls")]
    cross_zone: Option<Value>,
}

/// Converts an error of serde. The key is the section, with the field that the message names.
fn syntax_error(section: &str, error: &toml::de::Error) -> PlanError {
    let message = error.message();
    let field = message.split('`').nth(1).filter(|_| message.contains("field"));
    let key = match (section, field) {
        ("", Some(field)) => field.to_string(),
        ("", None) => "plan".to_string(),
        (section, Some(field)) => format!("{section}.{field}"),
        (section, None) => section.to_string(),
    };
    PlanError::new(key, PlanProblem::Syntax(message.to_string()))
}

fn parse_text(key: &str, value: &Value) -> Result<String, PlanError> {
    match value.as_str() {
        Some(text) if !text.trim().is_empty() => Ok(text.to_string()),
        _ => Err(PlanError::new(key, PlanProblem::EmptyText)),
    }
}

/// Parses blocks of the form `first..end`.
pub(super) fn parse_blocks(key: &str, value: &Value) -> Result<BlockRange, PlanError> {
    let text = parse_text(key, value)?;
    let ends = text.split_once("..").map(|(first, end)| (first.trim().parse(), end.trim().parse()));
    match ends {
        Some((Ok(first), Ok(end))) if first < end => Ok(BlockRange { first, end }),
        Some((Ok(_), Ok(_))) => Err(PlanError::new(key, PlanProblem::EmptyRange(text))),
        _ => Err(PlanError::new(key, PlanProblem::NotARange(text))),
    }
}

pub(super) fn parse_volume(key: &str, value: &Value) -> Result<Volume, PlanError> {
    let text = parse_text(key, value)?;
    if text.len() != VOLUME_DIGITS || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(PlanError::new(key, PlanProblem::NotAVolume(text)));
    }
    Ok(Volume::from(text.as_str()))
}

fn parse_count(key: &str, value: Option<Value>, default: u32) -> Result<u32, PlanError> {
    let Some(value) = value else { return Ok(default) };
    match value.as_integer().and_then(|count| u32::try_from(count).ok()) {
        Some(count) if (1..=1024).contains(&count) => Ok(count),
        _ => Err(PlanError::new(key, PlanProblem::NotACount(value.to_string()))),
    }
}

/// Parses a share from 0.001 to 1, in thousandths.
fn parse_share(key: &str, value: &Value) -> Result<u32, PlanError> {
    let share = value.as_float().or(value.as_integer().map(|whole| whole as f64)).unwrap_or(f64::NAN);
    if !(0.001..=1.0).contains(&share) {
        return Err(PlanError::new(key, PlanProblem::NotAShare(value.to_string())));
    }
    Ok((share * 1000.0) as u32)
}

fn parse_cross_zone(key: &str, value: &Value) -> Result<CrossZoneOrder, PlanError> {
    match value.as_str() {
        Some("exports-first") => Ok(CrossZoneOrder::ExportsFirst),
        Some("last") => Ok(CrossZoneOrder::Last),
        Some("never") => Ok(CrossZoneOrder::Never),
        _ => Err(PlanError::new(key, PlanProblem::UnknownCrossZoneOrder)),
    }
}

fn parse_bounds(value: Option<Value>) -> Result<Bounds, PlanError> {
    let default = Bounds::default();
    let Some(value) = value else { return Ok(default) };
    let section: BoundsSection = value.try_into().map_err(|error| syntax_error("bounds", &error))?;
    let copy_share_permille = match &section.copy_share {
        Some(share) => parse_share("bounds.share_of_spare", share)?,
        None => default.copy_share_permille,
    };
    let cross_zone = match &section.cross_zone {
        Some(order) => parse_cross_zone("bounds.across_halls", order)?,
        None => default.cross_zone,
    };
    let max_migrations = section.max_migrations;
    let max_per_backend = section.max_per_backend;
    Ok(Bounds {
        max_migrations: parse_count("bounds.moves_at_once", max_migrations, default.max_migrations)?,
        max_per_backend: parse_count("bounds.per_box", max_per_backend, default.max_per_backend)?,
        copy_share_permille,
        cross_zone,
    })
}

impl Plan {
    /// Reads a plan from TOML. [`Plan::check`] checks it against the cluster.
    ///
    /// # Errors
    ///
    /// Returns the first key that is missing, unknown or malformed.
    pub fn read(text: &str) -> Result<Plan, PlanError> {
        let file: PlanFile = toml::from_str(text).map_err(|error| syntax_error("", &error))?;
        let name = parse_text("plan", &file.plan)?;
        let mut plan = Plan { name, bounds: parse_bounds(file.bounds)?, ..Plan::default() };
        if file.place.len() > MAX_TARGETS || file.empty.len() > MAX_TARGETS {
            return Err(PlanError::new("place", PlanProblem::TooManyTargets(MAX_TARGETS)));
        }
        for (number, value) in file.place.into_iter().enumerate() {
            let key = format!("place[{number}]");
            let place: PlaceSection = value.try_into().map_err(|error| syntax_error(&key, &error))?;
            plan.targets.push(Target {
                volume: parse_volume(&format!("{key}.volume"), &place.volume)?,
                blocks: parse_blocks(&format!("{key}.blocks"), &place.blocks)?,
                backend: parse_text(&format!("{key}.on"), &place.backend)?,
            });
        }
        for (number, value) in file.empty.into_iter().enumerate() {
            let key = format!("empty[{number}]");
            let empty: EmptySection = value.try_into().map_err(|error| syntax_error(&key, &error))?;
            plan.emptied.push(parse_text(&format!("{key}.box"), &empty.backend)?);
        }
        Ok(plan)
    }
}
