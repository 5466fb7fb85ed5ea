//! What changes of configuration come to at this front: settings that lie over the file's own, and boxes of shards.
use config::{Config, Target, Targets};
use config_distribution::{Change, Key, Topic};
use scheduler::interface::BackendId;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The name of a key whose value lies over the file's settings.
const SETTINGS: &str = "settings";
/// The name of a key whose value is a shard's box.
const BOX: &str = "box";

/// What a key is to this front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Settings,
    Box(u32),
    /// Nothing that it knows.
    OtherProcess,
}

fn kind(key: &Key) -> Kind {
    match (&key.topic, &*key.name) {
        (Topic::Fleet | Topic::Region(_) | Topic::Zone(_), SETTINGS) => Kind::Settings,
        (Topic::Shard(shard), BOX) => Kind::Box(*shard),
        _ => Kind::OtherProcess,
    }
}

/// Values by their keys, read and understood.
#[derive(Clone, Debug, Default)]
pub struct EffectiveConfig {
    /// What lies over the file's settings, in the order in which it does: the fleet's, the region's, the zone's.
    settings: BTreeMap<Key, Value>,
    /// Boxes of shards.
    backends: BTreeMap<Key, Target>,
}

/// Why a key can't be taken.
pub type Refused = Vec<(Key, String)>;

/// What follows from changes.
#[derive(Debug)]
pub struct Next {
    /// What is to be in force.
    pub values: EffectiveConfig,
    /// The configuration, where that changes.
    pub config: Option<Config>,
    /// Boxes that are to be told.
    pub backends: Vec<Target>,
    /// Keys that mean nothing here.
    pub passed_over: u64,
}

/// A shard's box, as discovery would tell of it.
fn read_box(shard: u32, value: &[u8], zones: &[String]) -> Result<Target, String> {
    let entry: Value = serde_json::from_slice(value).map_err(|e| e.to_string())?;
    let list = json!({ "instances": [entry] }).to_string();
    let read = config::parse_targets(list.as_bytes(), zones).map_err(|e| e.to_string())?;
    let target = read.targets.into_iter().next().ok_or("there is none")?;
    match target.entry.shard.0 == shard {
        true => Ok(target),
        false => Err(format!("cell: is {}, and the shard is {shard}", target.entry.shard.0)),
    }
}

impl EffectiveConfig {
    /// What lies over the file's settings.
    pub fn settings(&self) -> Vec<Value> {
        self.settings.values().cloned().collect()
    }

    /// Boxes that count whatever the list says.
    pub fn backends(&self) -> BTreeMap<BackendId, Target> {
        self.backends.values().map(|target| (target.entry.backend.clone(), target.clone())).collect()
    }

    /// What these changes come to, put over what is in force, or over nothing where they are all that there is; else the keys
    /// at fault. `put` makes a configuration with such settings.
    pub fn next(
        &self,
        (whole, changes): (bool, &[Change]),
        config: &Config,
        put: impl Fn(&[Value]) -> Result<Config, String>,
    ) -> Result<Next, Refused> {
        let mut values = if whole { EffectiveConfig::default() } else { self.clone() };
        let (mut refused, mut passed_over, mut changed) = (vec![], 0, vec![]);
        for change in changes {
            let (key, value) = (&change.key, change.value.as_deref());
            let read = match (kind(key), value) {
                (Kind::OtherProcess, _) => {
                    passed_over += 1;
                    Ok(())
                }
                (_, None) => {
                    values.settings.remove(key);
                    values.backends.remove(key);
                    Ok(())
                }
                (Kind::Settings, Some(bytes)) => read_settings(bytes).map(|value| {
                    values.settings.insert(key.clone(), value);
                }),
                (Kind::Box(shard), Some(bytes)) => read_box(shard, bytes, &config.zones).map(|target| {
                    changed.push(target.clone());
                    values.backends.insert(key.clone(), target);
                }),
            };
            refused.extend(read.err().map(|why| (key.clone(), why)));
        }
        if !refused.is_empty() {
            return Err(refused);
        }
        let mut settings = None;
        if values.settings != self.settings {
            match put(&values.settings()) {
                Ok(config) => settings = Some(config),
                Err(why) => return Err(self.at_fault(&values, why, &put)),
            }
        }
        changed.extend(self.given_back(&values, config));
        Ok(Next { values, config: settings, backends: changed, passed_over })
    }

    /// Which of the settings that are new can't be taken: those with which a configuration is faulty that was good without.
    fn at_fault(
        &self,
        values: &EffectiveConfig,
        why: String,
        put: impl Fn(&[Value]) -> Result<Config, String>,
    ) -> Refused {
        let (mut good, mut refused) = (self.settings.clone(), vec![]);
        let keys: std::collections::BTreeSet<&Key> =
            values.settings.keys().chain(self.settings.keys()).collect();
        for key in keys.into_iter().filter(|key| values.settings.get(key) != self.settings.get(key)) {
            let before = good.clone();
            match values.settings.get(key) {
                Some(value) => drop(good.insert(key.clone(), value.clone())),
                None => drop(good.remove(key)),
            }
            if let Err(why) = put(&good.values().cloned().collect::<Vec<_>>()) {
                refused.push((key.clone(), why));
                good = before;
            }
        }
        if refused.is_empty() {
            // Only all of it together is faulty.
            refused.extend(values.settings.keys().map(|key| (key.clone(), why.clone())));
        }
        refused
    }

    /// Boxes that were by the word of changes and are not any more: as the file lists them, else gone where no discovery will
    /// tell.
    fn given_back(&self, values: &EffectiveConfig, config: &Config) -> Vec<Target> {
        let (before, after) = (self.backends(), values.backends());
        let left = before.into_iter().filter(|(node, _)| !after.contains_key(node));
        let known: &Targets = &config.known;
        left.filter_map(|(node, mut target)| {
            let listed = known.targets.iter().find(|t| t.entry.backend == node).cloned();
            if listed.is_none() {
                target.entry.state = scheduler::interface::BackendState::Gone;
            }
            config.discovery.is_none().then(|| listed.unwrap_or(target))
        })
        .collect()
    }
}

fn read_settings(bytes: &[u8]) -> Result<Value, String> {
    match serde_json::from_slice(bytes) {
        Ok(value @ Value::Object(_)) => Ok(value),
        Ok(_) => Err("must be an object".into()),
        Err(e) => Err(e.to_string()),
    }
}

/// The bytes of a value.
pub fn bytes(value: &Value) -> Arc<[u8]> {
    value.to_string().into_bytes().into()
}

#[cfg(test)]
mod tests {
    use super::*;
    use cluster_types::Index;
    use config_distribution::Class;
    use scheduler::interface::BackendState;

    const FILE: &str = include_str!("../../../../deploy/changes-front.toml");

    fn change(topic: Topic, name: &str, value: Value) -> Change {
        let (key, value) = (Key::new(topic, name), (!value.is_null()).then(|| bytes(&value)));
        Change { version: Index(1), class: Class::Configuration, key, value }
    }

    fn next(on: &EffectiveConfig, whole: bool, changes: &[Change]) -> Result<Next, Refused> {
        let config = config::read("front.toml", FILE).unwrap();
        let put = |over: &[Value]| config.apply_overlay(|_| None, over).map_err(|e| e.to_string());
        on.next((whole, changes), &config, put)
    }

    #[test]
    fn only_the_keys_at_fault_are_refused_and_nothing_is_in_force_then() {
        let good = change(Topic::Fleet, "settings", json!({"Limits": {"MaxAttempts": 2}}));
        let bad = change(Topic::Zone("hall-a".into()), "settings", json!({"FamilyInfo": {"MostUnits": 0}}));
        let list = change(Topic::Region("r".into()), "settings", json!([1]));
        let other =
            change(Topic::Shard(1), "box", json!({"instanceId": "b", "cell": 2, "lifecycle": "active"}));
        let refused = |changes: &[Change]| -> Vec<String> {
            let refused = next(&EffectiveConfig::default(), false, changes).unwrap_err();
            refused.into_iter().map(|(key, why)| format!("{key}: {why}")).collect()
        };
        let told = refused(&[good.clone(), bad]);
        assert!(told.len() == 1 && told[0].starts_with("zone/hall-a/settings: settings (most_units)"));
        assert_eq!(refused(&[list, good]), ["region/r/settings: must be an object"]);
        assert_eq!(refused(&[other]), ["shard/1/box: cell: is 2, and the shard is 1"]);
    }

    #[test]
    fn a_box_that_is_withdrawn_is_as_the_file_lists_it_or_gone() {
        let entry = |id: &str, lifecycle: &str| json!({"instanceId": id, "cell": 0, "lifecycle": lifecycle});
        let one = next(
            &EffectiveConfig::default(),
            false,
            &[change(Topic::Shard(0), "box", entry("box-0", "leaving"))],
        );
        let one = one.unwrap();
        assert_eq!(one.backends[0].entry.state, BackendState::Draining);
        let two =
            next(&one.values, false, &[change(Topic::Shard(0), "box", entry("box-9", "active"))]).unwrap();
        let states: Vec<_> = two.backends.iter().map(|t| (&*t.entry.backend.0, t.entry.state)).collect();
        assert_eq!(states, [("box-9", BackendState::Ready), ("box-0", BackendState::Ready)]);
        let none = next(&two.values, true, &[change(Topic::Shard(0), "colour", json!({}))]).unwrap();
        assert_eq!((none.backends[0].entry.state, none.passed_over), (BackendState::Gone, 1));
        assert!(none.values.backends().is_empty());
    }
}
