//! The section `[accord]`: valid files, and the key that each error names.
#![allow(clippy::unwrap_used)]
use rstest::rstest;

const VALID: &str = include_str!("../../../deploy/together.toml");

fn error_key(text: &str) -> String {
    config::read("front.toml", text).map(|_| ()).unwrap_err().key
}

#[test]
fn accepts_deployed_and_generated_files() {
    let config = config::read("front.toml", VALID).unwrap();
    let coordination = config.coordination.unwrap();
    assert_eq!(
        (coordination.members.len(), coordination.maintenance.total, coordination.lease_s),
        (5, 2, 2.0)
    );
    let generated = config::application("label-printer").unwrap();
    assert!(
        config::read("x.toml", &generated).unwrap().coordination.is_none(),
        "off unless an operator sets it"
    );
    // The commented-out section is valid once uncommented.
    let block = generated.split_once("# [accord]").unwrap().1;
    let block: Vec<&str> =
        block.lines().map(|l| l.strip_prefix("# ").unwrap_or(l.trim_start_matches('#'))).collect();
    let key = "0123456789abcdef".repeat(4);
    let enabled = format!("{generated}\n[accord]{}", block.join("\n").replace("KEY", &key));
    assert_eq!(config::read("x.toml", &enabled).unwrap().coordination.unwrap().members.len(), 1);
}

#[rstest]
#[case::no_key("keys = [\"6f1d", "keys = [\"zz1d", "accord.keys[0]")]
#[case::no_maintenance_allowed("most = 2", "most = 0", "accord.out.most")]
#[case::more_per_zone_than_in_total("per_hall = 1", "per_hall = 3", "accord.out.per_hall")]
#[case::lease_too_short("lease_s = 2.0", "lease_s = 0.9", "accord.lease_s")]
#[case::drift("drift = 0.01", "drift = 0.9", "accord.drift")]
#[case::unknown_zone("hall = \"hall-b\"", "hall = \"hall-c\"", "accord.member[1].hall")]
#[case::duplicate_name("name = \"front-3\"", "name = \"front-2\"", "accord.member[2].name")]
#[case::duplicate_address("at = \"127.0.0.3:7946\"", "at = \"127.0.0.2:7946\"", "accord.member[2].at")]
#[case::not_a_member("name = \"front-1\"\nat", "name = \"front-9\"\nat", "accord.member")]
#[case::no_folder("state = \"/var", "state = \"var", "accord.state")]
#[case::fleet("FleetSize = 5", "FleetSize = 3", "settings.FleetSize")]
#[case::unknown_key("lasts_s = 10.0", "lasts = 10.0", "accord.evidence.lasts")]
#[case::share("share = 0.2", "share = 0.8", "accord.evidence.share")]
fn names_the_key_of_each_error(#[case] valid: &str, #[case] invalid: &str, #[case] key: &str) {
    assert!(VALID.contains(valid), "{valid}");
    let found = error_key(&VALID.replacen(valid, invalid, 1));
    assert!(found.starts_with(key), "{found}, not {key}");
}

#[test]
fn platform_cannot_enable_coordination() {
    let value: serde_json::Value =
        serde_json::to_value(toml::from_str::<toml::Value>(VALID).unwrap()).unwrap();
    let config = config::read("config.json", &value.to_string()).unwrap();
    assert!(config.coordination.is_none());
}
