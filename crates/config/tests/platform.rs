//! The platform's JSON file: unknown keys are ignored, the environment takes precedence, and times of discovery are
//! converted to microseconds.
#![allow(clippy::unwrap_used)]
use scheduler::interface::{BackendState, Micros};

const FILE: &str = r#"{"name":"n3","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964","novelty":{"a":1},
 "limits":{"cores":0.5,"memory_mb":24,"sockets":40,"novelty":2},
 "known":{"generation":41,"reset":true,"instances":[
  {"instanceId":"s-1","hostPort":"127.0.0.1:3","zone":"b","machineType":"m","cell":3,"lifecycle":"leaving","weight":1.0,"startedAtMs":1700000000123},
  {"instanceId":"s-2","hostPort":"nowhere","zone":"c","cell":4,"lifecycle":"active","startedAtMs":0}]},
 "settings":{"FleetSize":3,"Novelty":1,"Zones":["a","b"],"Classes":[{"Name":"r","OnTimeS":0.25,"DeadlineS":1.2,"Idempotency":"idempotent"}],
  "Contracts":[{"Name":"basis"}],"FamilyInfo":{"MostUnits":6,"UnitMean":2,"Writes":[false]},"Limits":{"MaxAttempts":3}}}"#;

#[test]
fn reads_platform_file() {
    let path = std::env::temp_dir().join(format!("lichenrudder-platform-{}.json", std::process::id()));
    std::fs::write(&path, FILE).unwrap();
    let file = path.to_str().unwrap().to_string();
    let env = |listen: &'static str| {
        let file = file.clone();
        move |key: &str| match key {
            "GW_CONFIG" => Some(file.clone()),
            "GW_LISTEN" => Some(listen.to_string()),
            "GW_NAME" => Some("n4".to_string()),
            _ => None,
        }
    };
    let config = config::from_env(env("127.0.0.9:6379"));
    let error = config::from_env(env("here")).unwrap_err();
    std::fs::remove_file(&path).unwrap();
    let config = config.unwrap();
    assert_eq!((config.name.as_str(), config.seed), ("n4", 0x8c1f30d27a5be964));
    assert_eq!(config.listen.unwrap().to_string(), "127.0.0.9:6379");
    assert_eq!(config.discovery.unwrap().to_string(), "127.0.0.1:2");
    assert_eq!((config.limits.sockets, config.limits.memory_mb), (40, 24));
    let [first, second] = &config.known.targets[..] else { unreachable!() };
    assert_eq!(
        first.entry.started_at,
        Some(Micros(1_700_000_000_123_000)),
        "milliseconds in the file, microseconds in the configuration"
    );
    assert_eq!((first.entry.state, first.entry.zone, first.entry.shard.0), (BackendState::Draining, 1, 3));
    assert_eq!((second.entry.started_at, second.address, second.entry.zone), (None, None, 2));
    assert_eq!(config.backend_idle, Micros(15_000_000), "the default");
    assert_eq!(error.key, "GW_LISTEN");
}

/// A file without a key that the earlier file had is rejected, even if the key has a default: the platform writes complete
/// files, so such a file must be truncated.
#[test]
fn reload_rejects_file_without_earlier_keys() {
    let path = std::env::temp_dir().join(format!("lichenrudder-short-{}.json", std::process::id()));
    let file = path.to_str().unwrap().to_string();
    let env = move |key: &str| (key == "GW_CONFIG").then(|| file.clone());
    std::fs::write(&path, FILE).unwrap();
    let config = config::from_env(&env).unwrap();
    let error_key = |from: &str, to: &str| {
        assert!(FILE.contains(from));
        std::fs::write(&path, FILE.replacen(from, to, 1)).unwrap();
        config.reload(&env).err().map(|e| e.key)
    };
    assert_eq!(error_key("", ""), None);
    assert_eq!(error_key("\"MaxAttempts\":3", "\"MaxAttempts\":4"), None);
    assert_eq!(error_key("\"MostUnits\":6,", "").as_deref(), Some("settings (most_units)"));
    assert_eq!(error_key("\"Zones\":[\"a\",\"b\"],", "").as_deref(), Some("settings.Zones"));
    assert_eq!(error_key(",\"Writes\":[false]", "").as_deref(), Some("settings.FamilyInfo.Writes"));
    assert_eq!(
        error_key("\"limits\":{\"cores\":0.5,\"memory_mb\":24,\"sockets\":40,\"novelty\":2},", "").as_deref(),
        Some("limits")
    );
    assert_eq!(
        error_key("\"MaxAttempts\":3", "\"MaxAttempts\":0").as_deref(),
        Some("settings (max_attempts)")
    );
    assert_eq!(error_key("\"DeadlineS\":1.2", "\"DeadlineS\":0").as_deref(), Some("settings (classes)"));
    std::fs::write(&path, "").unwrap();
    assert!(config.reload(&env).is_err());
    std::fs::write(&path, &FILE[..FILE.len() / 2]).unwrap();
    assert!(config.reload(&env).is_err());
    std::fs::remove_file(&path).unwrap();
}

/// Classes keep their kinds across a reload, even if the list of kinds was not updated with them.
#[test]
fn reload_keeps_kind_of_classes() {
    let path = std::env::temp_dir().join(format!("lichenrudder-kinds-{}.json", std::process::id()));
    let file = path.to_str().unwrap().to_string();
    let env = move |key: &str| (key == "GW_CONFIG").then(|| file.clone());
    let class = |name: &str| {
        format!("{{\"Name\":\"{name}\",\"OnTimeS\":0.25,\"DeadlineS\":1.2,\"Idempotency\":\"idempotent\"}}")
    };
    let write = |classes: &[&str], kinds: &str| {
        let classes: Vec<String> = classes.iter().map(|c| class(c)).collect();
        let text = FILE.replace(&class("r"), &classes.join(",")).replace("[false]", kinds);
        std::fs::write(&path, text).unwrap();
    };
    write(&["r", "w", "x"], "[false,true,false]");
    let first = config::from_env(&env).unwrap();
    let kinds = |config: &config::Config, names: &[&str]| -> Vec<Option<bool>> {
        names.iter().map(|n| config.classes[config.class(n).unwrap()].write).collect()
    };
    assert_eq!(kinds(&first, &["r", "w", "x"]), [Some(false), Some(true), Some(false)]);
    write(&["w", "x", "new", "v"], "[false,true,false]");
    let second = first.reload(&env).unwrap().config;
    assert_eq!(kinds(&second, &["w", "x", "new", "v"]), [Some(true), Some(false), None, None]);
    write(&["w", "x", "new", "v"], "[true,false,false,true]");
    let third = second.reload(&env).unwrap().config;
    assert_eq!(kinds(&third, &["w", "x", "new", "v"]), [Some(true), Some(false), Some(false), Some(true)]);
    std::fs::remove_file(&path).unwrap();
}
