//! The section `[changes]`: valid files, the key of each error, and settings that overlay a file's own.
#![allow(clippy::unwrap_used)]
use rstest::rstest;
use serde_json::json;

const VOTER: &str = include_str!("../../../deploy/changes-voter.toml");
const RELAY: &str = include_str!("../../../deploy/changes-relay.toml");
const FRONT: &str = include_str!("../../../deploy/changes-front.toml");

fn error_key(text: &str) -> String {
    config::read("front.toml", text).map(|_| ()).unwrap_err().key
}

#[test]
fn accepts_deployed_and_generated_files() {
    let read = |text| config::read("x.toml", text).unwrap().distribution.unwrap();
    assert_eq!((read(VOTER).relays.len(), read(RELAY).relays.len(), read(FRONT).relays.len()), (0, 3, 3));
    assert!(read(RELAY).relays[1].equal && !read(FRONT).relays[2].equal);
    let written = config::application("label-printer").unwrap();
    assert!(
        config::read("x.toml", &written).unwrap().distribution.is_none(),
        "off unless an operator sets it"
    );
    // The commented-out section is valid once uncommented.
    let (_, block) = written.split_once("# [changes]").unwrap();
    let (block, _) = block.split_once("# Answers").unwrap();
    let lines: Vec<&str> =
        block.lines().map(|l| l.strip_prefix("# ").unwrap_or(l.trim_start_matches('#'))).collect();
    let key = "0123456789abcdef".repeat(4);
    let set = format!("{written}\n[changes]{}", lines.join("\n").replace("KEY", &key));
    assert_eq!(read(&set).shards, [0]);
}

#[rstest]
#[case::key(VOTER, "keys = [\"93c1", "keys = [\"zz\", \"93c1", "changes.keys[0]")]
#[case::no_key(FRONT, "keys = [\"93c1", "keys = [] # ", "changes.keys")]
#[case::voter_with_relay(
    VOTER,
    "batch_s = 2.0",
    "relay = [{ name = \"x\", at = \"127.0.0.9:1\" }] #",
    "changes.relay"
)]
#[case::long_batch(VOTER, "batch_s = 2.0", "batch_s = 20.0", "changes.batch_s")]
#[case::more_subscribers_than_descriptors(VOTER, "most = 256", "most = 600", "changes.most")]
#[case::no_subscribers(VOTER, "most = 256", "most = 0", "changes.most")]
#[case::admission(
    VOTER,
    "admission_bytes_s = 1000000.0",
    "admission_bytes_s = 1.0",
    "changes.admission_bytes_s"
)]
#[case::relay_without_upstream(RELAY, "[[changes.relay]]", "[[changes.other]]", "changes.other")]
#[case::address(RELAY, "at = \"127.0.0.2:7950\"", "at = \"voter-2\"", "changes.relay[1].at")]
#[case::duplicate_address(RELAY, "at = \"127.0.0.2:7950\"", "at = \"127.0.0.1:7950\"", "changes.relay[1].at")]
#[case::own_name(RELAY, "name = \"voter-3\"", "name = \"relay-a\"", "changes.relay[2].name")]
#[case::duplicate_name(RELAY, "name = \"voter-3\"", "name = \"voter-1\"", "changes.relay[2].name")]
#[case::relay_with_scope(RELAY, "[changes]\n", "[changes]\nshards = [1]\n", "changes.shards")]
#[case::relay_with_state(RELAY, "[changes]\n", "[changes]\nstate = \"/x\"\n", "changes.state")]
#[case::relative_path(FRONT, "state = \"/var", "state = \"var", "changes.state")]
#[case::region(FRONT, "region = \"region-a\"", "region = \"a/b\"", "changes.region")]
#[case::volume(FRONT, "volumes = [\"0000000000000001\"]", "volumes = [\"a\", \"\"]", "changes.volumes[1]")]
#[case::shard(FRONT, "shards = [0]", "shards = [-1]", "changes.shards[0]")]
#[case::unknown_key(FRONT, "zone = \"hall-a\"", "hall = \"hall-a\"", "changes.hall")]
fn names_the_key_of_each_error(#[case] good: &str, #[case] from: &str, #[case] to: &str, #[case] key: &str) {
    assert!(good.contains(from), "{from}");
    assert_eq!(error_key(&good.replace(from, to)), key);
}

#[test]
fn overlay_merges_key_by_key_and_its_errors_name_the_key() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("front.toml");
    std::fs::write(&path, FRONT).unwrap();
    let var = |key: &str| (key == "GW_CONFIG").then(|| path.to_str().unwrap().to_string());
    let file = config::from_env(var).unwrap();
    let attempts = |config: &config::Config| (config.settings.max_attempts, config.backend_idle.0);
    assert_eq!(attempts(&file), (3, 15_000_000));
    let over = [json!({"Limits": {"MaxAttempts": 2}}), json!({"Limits": {"ConnIdleS": 9.0}})];
    let put = file.apply_overlay(var, &over).unwrap();
    assert_eq!(attempts(&put), (2, 9_000_000));
    // The last overlay wins, and earlier ones are dropped.
    let put = put.apply_overlay(var, &[over[0].clone(), json!({"Limits": {"MaxAttempts": 4}})]).unwrap();
    assert_eq!(attempts(&put), (4, 15_000_000));
    let why = put.apply_overlay(var, &[json!({"FamilyInfo": {"MostUnits": 0.0}})]).unwrap_err().to_string();
    assert!(why.contains("most_units"), "{why}");
    // A later file counts only once it is read again; the overlay then still applies.
    std::fs::write(&path, FRONT.replace("ConnIdleS = 15.0", "ConnIdleS = 12.0")).unwrap();
    assert_eq!(attempts(&put.apply_overlay(var, &over[..1]).unwrap()), (2, 15_000_000));
    let config::Reloaded { config: read, needs_restart: kept } =
        put.reload_with_overlay(var, &over[..1]).unwrap();
    assert_eq!((attempts(&read), kept.is_empty()), ((2, 12_000_000), true));
    assert_eq!(attempts(&read.apply_overlay(var, &[]).unwrap()), (3, 12_000_000));
    let no_section = config::read("x.toml", &config::application("x").unwrap()).unwrap();
    assert_eq!(no_section.apply_overlay(var, &[]).unwrap_err().key, "changes");
}

/// The shortest time to apply an overlay to a file with so many backends, in µs.
fn overlay_time(backends: usize) -> f64 {
    use std::fmt::Write;
    let mut text = FRONT.to_string();
    let (mut more, at) = (String::new(), text.find("[settings]").unwrap());
    for n in 0..backends {
        write!(
            more,
            "[[known.instances]]\ninstanceId = \"more-{n}\"\nhostPort = \"127.0.0.9:{}\"\n",
            1024 + n
        )
        .unwrap();
        writeln!(more, "cell = {n}\nlifecycle = \"active\"").unwrap();
    }
    text.insert_str(at, &more);
    let mut config = config::read("front.toml", &text).unwrap();
    let mut quickest = f64::INFINITY;
    for n in 1..20 {
        let over = [json!({"Limits": {"MaxAttempts": 1 + n % 3}})];
        let since = std::time::Instant::now();
        config = config.apply_overlay(|_| None, &over).unwrap();
        quickest = quickest.min(since.elapsed().as_secs_f64() * 1e6);
        assert_eq!(config.settings.max_attempts, 1 + n % 3);
        assert!(config.known.targets.len() > backends, "the list stays");
    }
    quickest
}

#[test]
fn overlay_cost_does_not_depend_on_the_backend_list() {
    let (few, many) = (overlay_time(10), overlay_time(8_000));
    println!("{few:.0} µs with 10 backends in the file, {many:.0} µs with 8,000");
    assert!(many < 3.0 * few + 200.0, "{few:.0} and {many:.0} µs");
}

#[test]
fn zones_of_an_overlay_apply_to_the_backend_list() {
    let text = FRONT.replace("cell = 0", "zone = \"hall-z\"\ncell = 0");
    assert_ne!(text, FRONT);
    let config = config::read("front.toml", &text).unwrap();
    let mut zones = config.zones.clone();
    zones.push("hall-z".into());
    let put = config.apply_overlay(|_| None, &[json!({"Zones": zones})]).unwrap();
    assert_eq!(put.zones, zones);
    assert_eq!(put.known.targets[0].entry.zone as usize, zones.len() - 1);
}
