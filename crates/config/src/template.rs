//! The configuration file of a new application.
use crate::error::invalid;
use crate::ConfigError;

/// The text of an operator's file for the application with this name.
///
/// # Errors
/// The name, which is reported as the argument `APP`, doesn't consist of 1 to 64 characters of a-z, 0-9 and -.
pub fn application(name: &str) -> Result<String, ConfigError> {
    let is_allowed = |letter: char| matches!(letter, 'a'..='z' | '0'..='9' | '-');
    if name.is_empty() || name.len() > 64 || !name.chars().all(is_allowed) {
        return invalid("APP", "must be 1 to 64 of a-z, 0-9 and -");
    }
    Ok(include_str!("application.toml").replace("@APP@", name))
}
