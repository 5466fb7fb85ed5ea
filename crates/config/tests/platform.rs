//! The platform's JSON: keys that are not known are passed over, the environment has the last word, and times of
//! discovery become the clock's.
#![allow(clippy::unwrap_used)]
use oxbowhill::interface::{Micros, NodeState};

const FILE: &str = r#"{"name":"n3","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"8c1f30d27a5be964","novelty":{"a":1},
 "limits":{"cores":0.5,"memory_mb":24,"sockets":40,"novelty":2},
 "known":{"generation":41,"reset":true,"instances":[
  {"instanceId":"s-1","hostPort":"127.0.0.1:3","zone":"b","machineType":"m","cell":3,"lifecycle":"leaving","weight":1.0,"startedAtMs":1700000000123},
  {"instanceId":"s-2","hostPort":"nowhere","zone":"c","cell":4,"lifecycle":"active","startedAtMs":0}]},
 "settings":{"FleetSize":3,"Novelty":1,"Zones":["a","b"],"Classes":[{"Name":"r","OnTimeS":0.25,"DeadlineS":1.2,"Idempotency":"idempotent"}],
  "Contracts":[{"Name":"basis"}],"FamilyInfo":{"MostUnits":6,"UnitMean":2,"Writes":[false]},"Limits":{"MaxAttempts":3}}}"#;

#[test]
fn the_platforms_file_is_read() {
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
    let fault = config::from_env(env("here")).unwrap_err();
    std::fs::remove_file(&path).unwrap();
    let config = config.unwrap();
    assert_eq!((config.name.as_str(), config.seed), ("n4", 0x8c1f30d27a5be964));
    assert_eq!(config.listen.unwrap().to_string(), "127.0.0.9:6379");
    assert_eq!(config.discovery.unwrap().to_string(), "127.0.0.1:2");
    assert_eq!((config.limits.sockets, config.limits.memory_mb), (40, 24));
    let [first, second] = &config.known.targets[..] else { unreachable!() };
    assert_eq!(
        first.entry.started,
        Some(Micros(1_700_000_000_123_000)),
        "milliseconds there, microseconds here"
    );
    assert_eq!((first.entry.state, first.entry.zone, first.entry.shard.0), (NodeState::Draining, 1, 3));
    assert_eq!((second.entry.started, second.address, second.entry.zone), (None, None, 2));
    assert_eq!(config.idle, Micros(15_000_000), "the default");
    assert_eq!(fault.key, "GW_LISTEN");
}
