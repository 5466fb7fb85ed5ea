//! Checks shared by several sections.
use crate::error::invalid;
use crate::ConfigError;

/// The longest name of a member or relay, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// A numeric setting and its inclusive bounds.
pub(crate) struct Range {
    pub key: &'static str,
    pub value: f64,
    pub min: f64,
    pub max: f64,
}

/// Reports the first setting outside its bounds.
pub(crate) fn check_ranges(ranges: &[Range]) -> Result<(), ConfigError> {
    match ranges.iter().find(|range| !(range.min..=range.max).contains(&range.value)) {
        Some(range) => invalid(range.key, format!("must be {} to {}", range.min, range.max)),
        None => Ok(()),
    }
}

/// Whether the name of a member or relay has a valid length.
pub(crate) fn has_valid_length(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
}
