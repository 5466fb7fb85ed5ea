//! The keys that a file contains, for comparison with a later file.
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// The keys of a platform's file: at the top level, and of each object within its settings. The entries of a list count as one
/// object with the keys that all of them have.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Shape(BTreeMap<String, BTreeSet<String>>);

impl Shape {
    /// Top-level keys that every gateway of the platform requires.
    const REQUIRED: [&'static str; 5] = ["name", "listen", "discovery", "limits", "settings"];

    /// The shape of a file's content.
    pub fn of(content: &Value) -> Shape {
        let mut shape = Shape::default();
        if let Some(object) = content.as_object() {
            let required = object.keys().filter(|key| Self::REQUIRED.contains(&key.as_str())).cloned();
            shape.0.insert(String::new(), required.collect());
        }
        if let Some(settings) = content.get("settings") {
            shape.add("settings.", settings);
        }
        shape
    }

    fn add(&mut self, path: &str, value: &Value) {
        match value {
            Value::Object(object) => {
                let keys: BTreeSet<String> = object.keys().cloned().collect();
                let common = self.0.entry(path.to_string()).or_insert_with(|| keys.clone());
                common.retain(|key| keys.contains(key));
                for (key, inner) in object {
                    self.add(&format!("{path}{key}."), inner);
                }
            }
            Value::Array(list) => list.iter().for_each(|entry| self.add(path, entry)),
            _ => {}
        }
    }

    /// The first key that is missing in `new`. A list that has become empty lacks no keys.
    pub fn missing_in(&self, new: &Shape) -> Option<String> {
        self.0.iter().find_map(|(path, keys)| {
            let new_keys = new.0.get(path)?;
            let missing = keys.iter().find(|key| !new_keys.contains(*key))?;
            Some(format!("{path}{missing}"))
        })
    }
}
