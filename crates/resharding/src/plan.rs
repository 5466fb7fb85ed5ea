//! What an operator declares: where ranges belong, and under which bounds.
use cluster_types::{BlockRange, Volume};
use serde::{Deserialize, Serialize};
use std::fmt;
use toml::Value;

/// So many places a plan may name.
const PLACES: usize = 4096;

/// Why a plan is refused: the key, and the reason in plain words.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The key in the file, such as `place[2].blocks`.
    pub key: String,
    /// The reason.
    pub reason: String,
}

impl Fault {
    /// A fault.
    pub fn new(key: impl Into<String>, reason: impl Into<String>) -> Fault {
        Fault { key: key.into(), reason: reason.into() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.reason)
    }
}

impl std::error::Error for Fault {}

/// How moves between halls are ordered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Across {
    /// What leaves a hall goes before what moves within one.
    #[default]
    ExportsFirst,
    /// What moves within a hall goes first.
    Last,
    /// Nothing leaves its hall.
    Never,
}

/// The bounds that the moves of a plan keep.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Bounds {
    /// So many ranges move at the same time.
    pub moves_at_once: u32,
    /// So many of them from or to the same box.
    pub per_box: u32,
    /// The share that copying may take of what a box can do beyond reservations, in thousandths.
    pub share_milli: u32,
    /// How moves between halls are ordered.
    pub across: Across,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds { moves_at_once: 1, per_box: 1, share_milli: 250, across: Across::ExportsFirst }
    }
}

/// Where blocks are wanted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// The volume.
    pub volume: Volume,
    /// The blocks.
    pub blocks: BlockRange,
    /// The box, by any of its names.
    pub on: String,
}

/// A plan as it was read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// The wanted state.
    pub places: Vec<Place>,
    /// Boxes to be emptied, by any of their names.
    pub empty: Vec<String>,
    /// The bounds.
    pub bounds: Bounds,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawPlan {
    plan: Value,
    #[serde(default)]
    place: Vec<Value>,
    #[serde(default)]
    empty: Vec<Value>,
    bounds: Option<Value>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawPlace {
    volume: Value,
    blocks: Value,
    on: Value,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawEmpty {
    #[serde(rename = "box")]
    on: Value,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawBounds {
    moves_at_once: Option<Value>,
    per_box: Option<Value>,
    share_of_spare: Option<Value>,
    across_halls: Option<Value>,
}

/// The key of a fault that serde found: the field that its message names, below the section.
fn keyed(section: &str, error: &toml::de::Error) -> Fault {
    let message = error.message();
    let field = message.split('`').nth(1).filter(|_| message.contains("field"));
    let key = match (section, field) {
        ("", Some(f)) => f.to_string(),
        ("", None) => "plan".to_string(),
        (s, Some(f)) => format!("{s}.{f}"),
        (s, None) => s.to_string(),
    };
    Fault::new(key, message)
}

fn text(key: &str, value: &Value) -> Result<String, Fault> {
    match value.as_str() {
        Some(t) if !t.trim().is_empty() => Ok(t.to_string()),
        _ => Err(Fault::new(key, "must be a text that is not empty")),
    }
}

/// Blocks as `first..end`.
pub(crate) fn blocks(key: &str, value: &Value) -> Result<BlockRange, Fault> {
    let text = text(key, value)?;
    let ends =
        text.split_once("..").and_then(|(a, b)| Some((a.trim().parse().ok()?, b.trim().parse().ok()?)));
    match ends {
        Some((first, end)) if first < end => Ok(BlockRange { first, end }),
        Some(_) => Err(Fault::new(key, format!("{text} holds no block"))),
        None => Err(Fault::new(key, format!("{text} is not of the form \"first..end\""))),
    }
}

pub(crate) fn volume(key: &str, value: &Value) -> Result<Volume, Fault> {
    let text = text(key, value)?;
    if text.len() != 16 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(Fault::new(key, format!("{text} is not a volume: 16 hex digits")));
    }
    Ok(Volume::from(text.as_str()))
}

fn count(key: &str, value: Option<Value>, default: u32) -> Result<u32, Fault> {
    let Some(value) = value else { return Ok(default) };
    match value.as_integer().and_then(|n| u32::try_from(n).ok()) {
        Some(n) if (1..=1024).contains(&n) => Ok(n),
        _ => Err(Fault::new(key, format!("{value} can't be kept: it must be from 1 to 1024"))),
    }
}

fn bounds(value: Option<Value>) -> Result<Bounds, Fault> {
    let default = Bounds::default();
    let Some(value) = value else { return Ok(default) };
    let raw: RawBounds = value.try_into().map_err(|e| keyed("bounds", &e))?;
    let share_milli = match raw.share_of_spare {
        None => default.share_milli,
        Some(v) => {
            let share = v.as_float().or(v.as_integer().map(|n| n as f64)).unwrap_or(f64::NAN);
            if !(0.001..=1.0).contains(&share) {
                let reason = format!("{v} can't be kept: a share is from 0.001 to 1");
                return Err(Fault::new("bounds.share_of_spare", reason));
            }
            (share * 1000.0) as u32
        }
    };
    let across = match raw.across_halls.as_ref().map(|v| v.as_str()) {
        None => default.across,
        Some(Some("exports-first")) => Across::ExportsFirst,
        Some(Some("last")) => Across::Last,
        Some(Some("never")) => Across::Never,
        Some(_) => {
            let reason = "must be \"exports-first\", \"last\" or \"never\"";
            return Err(Fault::new("bounds.across_halls", reason));
        }
    };
    Ok(Bounds {
        moves_at_once: count("bounds.moves_at_once", raw.moves_at_once, default.moves_at_once)?,
        per_box: count("bounds.per_box", raw.per_box, default.per_box)?,
        share_milli,
        across,
    })
}

impl Plan {
    /// Reads a plan. What it names is looked at by [`Plan::check`].
    pub fn read(file: &str) -> Result<Plan, Fault> {
        let raw: RawPlan = toml::from_str(file).map_err(|e| keyed("", &e))?;
        let mut plan =
            Plan { name: text("plan", &raw.plan)?, bounds: bounds(raw.bounds)?, ..Plan::default() };
        if raw.place.len() > PLACES || raw.empty.len() > PLACES {
            return Err(Fault::new("place", format!("names more than {PLACES} places")));
        }
        for (i, value) in raw.place.into_iter().enumerate() {
            let key = format!("place[{i}]");
            let raw: RawPlace = value.try_into().map_err(|e| keyed(&key, &e))?;
            plan.places.push(Place {
                volume: volume(&format!("{key}.volume"), &raw.volume)?,
                blocks: blocks(&format!("{key}.blocks"), &raw.blocks)?,
                on: text(&format!("{key}.on"), &raw.on)?,
            });
        }
        for (i, value) in raw.empty.into_iter().enumerate() {
            let key = format!("empty[{i}]");
            let raw: RawEmpty = value.try_into().map_err(|e| keyed(&key, &e))?;
            plan.empty.push(text(&format!("{key}.box"), &raw.on)?);
        }
        Ok(plan)
    }
}
