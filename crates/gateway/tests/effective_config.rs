//! The effect of the distributed configuration at a gateway.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use cluster_types::Index;
use config_distribution::{Change, Class, Key, Topic};
use gateway::config_overlay::effective::{encode, EffectiveConfig, PreparedUpdate, Rejection};
use scheduler::interface::BackendState;
use serde_json::{json, Value};

const FILE: &str = include_str!("../../../deploy/changes-front.toml");

fn change(topic: Topic, name: &str, value: Value) -> Change {
    let (key, value) = (Key::new(topic, name), (!value.is_null()).then(|| encode(&value)));
    Change { version: Index(1), class: Class::Configuration, key, value }
}

fn next(
    values: &EffectiveConfig,
    is_snapshot: bool,
    changes: &[Change],
) -> Result<PreparedUpdate, Vec<Rejection>> {
    let config = config::read("front.toml", FILE).unwrap();
    let configure = |overlay: &[Value]| config.apply_overlay(|_| None, overlay);
    values.prepare_update(is_snapshot, changes, &config, configure)
}

#[test]
fn rejects_only_the_faulty_keys_and_applies_nothing_then() {
    let good = change(Topic::Fleet, "settings", json!({"Limits": {"MaxAttempts": 2}}));
    let bad = change(Topic::Zone("hall-a".into()), "settings", json!({"FamilyInfo": {"MostUnits": 0}}));
    let list = change(Topic::Region("r".into()), "settings", json!([1]));
    let other = change(Topic::Shard(1), "box", json!({"instanceId": "b", "cell": 2, "lifecycle": "active"}));
    let rejected = |changes: &[Change]| -> Vec<String> {
        let rejections = next(&EffectiveConfig::default(), false, changes).unwrap_err();
        rejections.into_iter().map(|rejection| format!("{}: {}", rejection.key, rejection.error)).collect()
    };
    let texts = rejected(&[good.clone(), bad]);
    assert!(texts.len() == 1 && texts[0].starts_with("zone/hall-a/settings: settings (most_units)"));
    assert_eq!(rejected(&[list, good]), ["region/r/settings: must be an object"]);
    assert_eq!(rejected(&[other]), ["shard/1/box: cell: is 2, and the shard is 1"]);
}

#[test]
fn withdrawn_backend_is_as_the_file_lists_it_or_gone() {
    let entry = |id: &str, lifecycle: &str| json!({"instanceId": id, "cell": 0, "lifecycle": lifecycle});
    let one = next(
        &EffectiveConfig::default(),
        false,
        &[change(Topic::Shard(0), "box", entry("box-0", "leaving"))],
    );
    let one = one.unwrap();
    assert_eq!(one.backends[0].entry.state, BackendState::Draining);
    let two = next(&one.values, false, &[change(Topic::Shard(0), "box", entry("box-9", "active"))]).unwrap();
    let states: Vec<_> = two.backends.iter().map(|t| (&*t.entry.backend.0, t.entry.state)).collect();
    assert_eq!(states, [("box-9", BackendState::Ready), ("box-0", BackendState::Ready)]);
    let none = next(&two.values, true, &[change(Topic::Shard(0), "colour", json!({}))]).unwrap();
    assert_eq!((none.backends[0].entry.state, none.unknown_keys), (BackendState::Gone, 1));
    assert!(none.values.backends().is_empty());
}
