//! A file that is parsed but not checked yet.
use crate::shape::Shape;
use crate::{ConfigError, Targets};
use serde_json::Value;
use std::sync::Arc;

/// The keys that are read from the platform's file. Others are ignored there, while in an operator's file they are errors.
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

/// A file's name and text.
#[derive(Clone, Debug)]
pub(crate) struct FileText {
    pub name: String,
    pub text: String,
}

/// A parsed file.
#[derive(Debug)]
pub(crate) struct Source {
    /// Its name and text.
    pub file: FileText,
    /// Its content, without the list of backends.
    pub content: Value,
    /// The keys that it contains.
    pub shape: Shape,
}

/// The source of the list of backends.
pub(crate) enum TargetSource {
    /// There is no list.
    None,
    /// The file's content.
    File(Value),
    /// The list of an earlier configuration with the same zones.
    Parsed(Arc<Targets>),
}

impl Source {
    /// Parses a file: TOML if its name ends with `.toml`, else JSON.
    pub fn parse(file: FileText) -> Result<(Source, TargetSource), ConfigError> {
        let is_operators = is_operators_file(&file.name);
        let mut content: Value = if is_operators {
            toml::from_str(&file.text).map_err(|error| ConfigError::new(&file.name, error.to_string()))?
        } else {
            serde_json::from_str(&file.text)
                .map_err(|error| ConfigError::new(&file.name, error.to_string()))?
        };
        let mut shape = Shape::default();
        // Later versions of the platform's file may have more keys; in an operator's file, unknown keys are errors.
        if !is_operators {
            shape = Shape::of(&content);
            if let Some(object) = content.as_object_mut() {
                object.retain(|key, _| PLATFORM_KEYS.contains(&key.as_str()));
            }
        }
        let list = content.as_object_mut().and_then(|object| object.remove("known"));
        let targets = list.map_or(TargetSource::None, TargetSource::File);
        Ok((Source { file, content, shape }, targets))
    }
}

/// Whether the file with this name is an operator's, rather than the platform's.
pub(crate) fn is_operators_file(name: &str) -> bool {
    name.ends_with(".toml")
}
