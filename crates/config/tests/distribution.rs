//! The section `[changes]`: valid files, the key that each error names, and overlays of a file's settings.
#![allow(clippy::unwrap_used)]
use rstest::rstest;
use serde_json::json;

const VOTER: &str = include_str!("../../../deploy/changes-voter.toml");
const RELAY: &str = include_str!("../../../deploy/changes-relay.toml");
const GATEWAY: &str = include_str!("../../../deploy/changes-front.toml");

fn error_key(text: &str) -> String {
    config::read("front.toml", text).map(|_| ()).unwrap_err().key
}

#[test]
fn accepts_deployed_and_generated_files() {
    let read = |text| config::read("x.toml", text).unwrap().distribution.unwrap();
    assert_eq!((read(VOTER).relays.len(), read(RELAY).relays.len(), read(GATEWAY).relays.len()), (0, 3, 3));
    assert!(read(RELAY).relays[1].equal && !read(GATEWAY).relays[2].equal);
    let generated = config::application("label-printer").unwrap();
    assert!(
        config::read("x.toml", &generated).unwrap().distribution.is_none(),
        "off unless an operator sets it"
    );
    // The commented-out section is valid once uncommented.
    let (_, block) = generated.split_once("# [changes]").unwrap();
    let (block, _) = block.split_once("# Answers").unwrap();
    let lines: Vec<&str> =
        block.lines().map(|l| l.strip_prefix("# ").unwrap_or(l.trim_start_matches('#'))).collect();
    let key = "0123456789abcdef".repeat(4);
    let enabled = format!("{generated}\n[changes]{}", lines.join("\n").replace("KEY", &key));
    assert_eq!(read(&enabled).shards, [0]);
}

#[rstest]
#[case::key(VOTER, "keys = [\"93c1", "keys = [\"zz\", \"93c1", "changes.keys[0]")]
#[case::no_key(GATEWAY, "keys = [\"93c1", "keys = [] # ", "changes.keys")]
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
#[case::relative_path(GATEWAY, "state = \"/var", "state = \"var", "changes.state")]
#[case::region(GATEWAY, "region = \"region-a\"", "region = \"a/b\"", "changes.region")]
#[case::volume(GATEWAY, "volumes = [\"0000000000000001\"]", "volumes = [\"a\", \"\"]", "changes.volumes[1]")]
#[case::shard(GATEWAY, "shards = [0]", "shards = [-1]", "changes.shards[0]")]
#[case::unknown_key(GATEWAY, "zone = \"hall-a\"", "hall = \"hall-a\"", "changes.hall")]
fn names_the_key_of_each_error(#[case] valid: &str, #[case] from: &str, #[case] to: &str, #[case] key: &str) {
    assert!(valid.contains(from), "{from}");
    assert_eq!(error_key(&valid.replace(from, to)), key);
}

#[test]
fn overlay_merges_key_by_key_and_its_errors_name_the_key() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("front.toml");
    std::fs::write(&path, GATEWAY).unwrap();
    let var = |key: &str| (key == "GW_CONFIG").then(|| path.to_str().unwrap().to_string());
    let file = config::from_env(var).unwrap();
    let limits = |config: &config::Config| (config.settings.max_attempts, config.backend_idle.0);
    assert_eq!(limits(&file), (3, 15_000_000));
    let overlay = [json!({"Limits": {"MaxAttempts": 2}}), json!({"Limits": {"ConnIdleS": 9.0}})];
    let overlaid = file.apply_overlay(var, &overlay).unwrap();
    assert_eq!(limits(&overlaid), (2, 9_000_000));
    // Later overlays take precedence, and a call replaces all earlier overlays.
    let overlaid =
        overlaid.apply_overlay(var, &[overlay[0].clone(), json!({"Limits": {"MaxAttempts": 4}})]).unwrap();
    assert_eq!(limits(&overlaid), (4, 15_000_000));
    let error =
        overlaid.apply_overlay(var, &[json!({"FamilyInfo": {"MostUnits": 0.0}})]).unwrap_err().to_string();
    assert!(error.contains("most_units"), "{error}");
    // A changed file takes effect only once it is read again; overlays still apply to it.
    std::fs::write(&path, GATEWAY.replace("ConnIdleS = 15.0", "ConnIdleS = 12.0")).unwrap();
    assert_eq!(limits(&overlaid.apply_overlay(var, &overlay[..1]).unwrap()), (2, 15_000_000));
    let config::Reloaded { config: reloaded, needs_restart } =
        overlaid.reload_with_overlay(var, &overlay[..1]).unwrap();
    assert_eq!((limits(&reloaded), needs_restart.is_empty()), ((2, 12_000_000), true));
    assert_eq!(limits(&reloaded.apply_overlay(var, &[]).unwrap()), (3, 12_000_000));
    let without_section = config::read("x.toml", &config::application("x").unwrap()).unwrap();
    assert_eq!(without_section.apply_overlay(var, &[]).unwrap_err().key, "changes");
}

/// The shortest time to apply an overlay to a file with this number of backends, in µs.
fn min_overlay_time_us(backends: usize) -> f64 {
    use std::fmt::Write;
    let mut text = GATEWAY.to_string();
    let (mut instances, offset) = (String::new(), text.find("[settings]").unwrap());
    for n in 0..backends {
        write!(
            instances,
            "[[known.instances]]\ninstanceId = \"more-{n}\"\nhostPort = \"127.0.0.9:{}\"\n",
            1024 + n
        )
        .unwrap();
        writeln!(instances, "cell = {n}\nlifecycle = \"active\"").unwrap();
    }
    text.insert_str(offset, &instances);
    let mut config = config::read("front.toml", &text).unwrap();
    let mut min_us = f64::INFINITY;
    for n in 1..20 {
        let overlay = [json!({"Limits": {"MaxAttempts": 1 + n % 3}})];
        let started_at = std::time::Instant::now();
        config = config.apply_overlay(|_| None, &overlay).unwrap();
        min_us = min_us.min(started_at.elapsed().as_secs_f64() * 1e6);
        assert_eq!(config.settings.max_attempts, 1 + n % 3);
        assert!(config.known.targets.len() > backends, "the list stays");
    }
    min_us
}

#[test]
fn overlay_cost_does_not_depend_on_the_backend_list() {
    let (few_us, many_us) = (min_overlay_time_us(10), min_overlay_time_us(8_000));
    println!("{few_us:.0} µs with 10 backends in the file, {many_us:.0} µs with 8,000");
    assert!(many_us < 3.0 * few_us + 200.0, "{few_us:.0} and {many_us:.0} µs");
}

#[test]
fn zones_of_an_overlay_apply_to_the_backend_list() {
    let text = GATEWAY.replace("cell = 0", "zone = \"hall-z\"\ncell = 0");
    assert_ne!(text, GATEWAY);
    let config = config::read("front.toml", &text).unwrap();
    let mut zones = config.zones.clone();
    zones.push("hall-z".into());
    let overlaid = config.apply_overlay(|_| None, &[json!({"Zones": zones})]).unwrap();
    assert_eq!(overlaid.zones, zones);
    assert_eq!(overlaid.known.targets[0].entry.zone as usize, zones.len() - 1);
}
