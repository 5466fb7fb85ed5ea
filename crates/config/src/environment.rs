//! What the environment names, over what the file says.
use crate::file::read_under;
use crate::{fault, Config, Fault};
use serde_json::Value;
use std::net::SocketAddr;

/// Reads the configuration that the environment names.
pub fn from_env(var: impl Fn(&str) -> Option<String>) -> Result<Config, Fault> {
    let (path, text) = file(&var)?;
    Ok(under(var, (&path, &text), &[])?.begun())
}

/// The name and the text of the file.
pub(crate) fn file(var: impl Fn(&str) -> Option<String>) -> Result<(String, String), Fault> {
    let Some(path) = var("GW_CONFIG") else { return fault("GW_CONFIG", "is not set") };
    let text = std::fs::read_to_string(&path)
        .map_err(|e| Fault { key: "GW_CONFIG".into(), reason: format!("{path}: {e}") })?;
    Ok((path, text))
}

/// The configuration of that file, with settings laid over its own.
pub(crate) fn under(
    var: impl Fn(&str) -> Option<String>,
    (path, text): (&str, &str),
    over: &[Value],
) -> Result<Config, Fault> {
    named(var, read_under(path, text, over)?)
}

/// The configuration, with what the environment names in the place of what the file does.
pub(crate) fn named(var: impl Fn(&str) -> Option<String>, mut config: Config) -> Result<Config, Fault> {
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
