//! The environment of the platform (`GW_*`), which takes precedence over the file.
use crate::build::read_with_overlay;
use crate::error::invalid;
use crate::source::FileText;
use crate::{Config, ConfigError};
use serde_json::Value;
use std::net::SocketAddr;

/// Reads the configuration that the environment names; `var` returns the value of a variable.
///
/// # Errors
/// The file can't be read; otherwise names the first invalid key or variable.
pub fn from_env(var: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    let file = read_file(&var)?;
    Ok(read_in_environment(var, file, &[])?.for_start())
}

/// Reads the file that the environment names.
pub(crate) fn read_file(var: impl Fn(&str) -> Option<String>) -> Result<FileText, ConfigError> {
    let Some(name) = var("GW_CONFIG") else { return invalid("GW_CONFIG", "is not set") };
    let text = std::fs::read_to_string(&name)
        .map_err(|error| ConfigError::new("GW_CONFIG", format!("{name}: {error}")))?;
    Ok(FileText { name, text })
}

/// Reads the configuration of the file with the overlay merged over its settings, then applies the environment.
pub(crate) fn read_in_environment(
    var: impl Fn(&str) -> Option<String>,
    file: FileText,
    overlay: &[Value],
) -> Result<Config, ConfigError> {
    apply_environment(var, read_with_overlay(file, overlay)?)
}

/// Replaces the values that the environment sets.
pub(crate) fn apply_environment(
    var: impl Fn(&str) -> Option<String>,
    mut config: Config,
) -> Result<Config, ConfigError> {
    if let Some(name) = var("GW_NAME") {
        config.name = name;
    }
    let address = |key: &str| match var(key) {
        None => Ok(None),
        Some(text) => match text.parse::<SocketAddr>() {
            Ok(address) => Ok(Some(address)),
            Err(_) => invalid(key, format!("{text:?} is not an address and port")),
        },
    };
    config.listen = address("GW_LISTEN")?.or(config.listen);
    config.discovery = address("GW_DISCOVERY")?.or(config.discovery);
    config.admin = address("GW_ADMIN")?.or(config.admin);
    if config.listen.is_none() && config.iscsi.is_none() {
        return invalid("GW_LISTEN", "is not set");
    }
    Ok(config)
}
