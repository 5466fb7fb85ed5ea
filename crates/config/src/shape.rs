//! Which keys a file has, so that a later one can be held against it.
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// The keys of a file of the platform: of the whole, and of each object under its settings. What stands in a list
/// counts as one place, with the keys that all of its entries have.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Shape(BTreeMap<String, BTreeSet<String>>);

impl Shape {
    /// Keys of the whole without which no front of the platform can serve.
    const WHOLE: [&'static str; 5] = ["name", "listen", "discovery", "limits", "settings"];

    pub fn of(value: &Value) -> Shape {
        let mut shape = Shape::default();
        if let Some(object) = value.as_object() {
            let whole = object.keys().filter(|k| Self::WHOLE.contains(&k.as_str())).cloned();
            shape.0.insert(String::new(), whole.collect());
        }
        if let Some(settings) = value.get("settings") {
            shape.add("settings.", settings);
        }
        shape
    }

    fn add(&mut self, at: &str, value: &Value) {
        match value {
            Value::Object(object) => {
                let keys: BTreeSet<String> = object.keys().cloned().collect();
                let all = self.0.entry(at.to_string()).or_insert_with(|| keys.clone());
                all.retain(|k| keys.contains(k));
                object.iter().for_each(|(k, v)| self.add(&format!("{at}{k}."), v));
            }
            Value::Array(list) => list.iter().for_each(|v| self.add(at, v)),
            _ => {}
        }
    }

    /// The first key that `new` lacks. A list that has become empty lacks none.
    pub fn missing_in(&self, new: &Shape) -> Option<String> {
        self.0.iter().find_map(|(at, keys)| {
            let there = new.0.get(at)?;
            keys.iter().find(|k| !there.contains(*k)).map(|k| format!("{at}{k}"))
        })
    }
}
