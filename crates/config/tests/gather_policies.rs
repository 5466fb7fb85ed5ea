//! The tables `[[gather]]`: valid files, errors and reloads.
#![allow(clippy::unwrap_used)]
use config::Config;
use rstest::rstest;

const VALID: &str = r#"
[[gather]]
name = "all-halls"
volume = "0000000000000001"
piece = "00000000000000ff"
class = "stock-read"
suffices = { at_least = 1, named = ["north"] }
otherwise = "in-part"

[[gather.part]]
name = "north"
hall = "hall-a"
piece = "0000000000000001"
shard = 0

[[gather.part]]
name = "south"
hall = "hall-b"
volume = "0000000000000002"
piece = "0000000000000002"
shard = 3
"#;

/// A generated file with two zones, four shards and the given tables.
fn file_with(gathers: &str) -> String {
    let generated = config::application("label-printer").unwrap();
    let with_zones = generated.replace("Zones = [\"hall-a\"]", "Zones = [\"hall-a\", \"hall-b\"]");
    with_zones.replace("[settings.FamilyInfo]", "[settings.FamilyInfo]\nSlotsTotal = 4") + gathers
}

fn read(text: &str) -> Result<Config, config::ConfigError> {
    config::read("x.toml", text)
}

#[test]
fn reads_policies_and_a_generated_file_has_none() {
    let config = read(&file_with(VALID)).unwrap();
    assert_eq!((config.gather_policies.len(), config.gather_policies[0].requests.len()), (1, 2));
    let generated = config::application("label-printer").unwrap();
    assert!(read(&generated).unwrap().gather_policies.is_empty(), "off unless an operator sets it");
    // The commented-out section is valid once uncommented.
    let (_, block) = generated.split_once("# [[gather]]").unwrap();
    let (block, _) = block.split_once("# Fronts").unwrap();
    let lines: Vec<&str> =
        block.lines().map(|l| l.strip_prefix("# ").unwrap_or(l.trim_start_matches('#'))).collect();
    let enabled = format!("{generated}\n[[gather]]{}", lines.join("\n"));
    assert_eq!(read(&enabled).unwrap().gather_policies[0].requests.len(), 2);
}

#[rstest]
#[case::writing_class("class = \"stock-read\"", "class = \"booking-write\"", "gather[0].class")]
#[case::unknown_class("class = \"stock-read\"", "class = \"x\"", "gather[0].class")]
#[case::no_piece("piece = \"00000000000000ff\"", "piece = \"ff\"", "gather[0].piece")]
#[case::own_piece("piece = \"0000000000000001\"", "piece = \"00000000000000FF\"", "gather[0].part[0].piece")]
#[case::backend_instead_of_shard("shard = 3", "box = \"box-3\"", "gather[0].part[1].box")]
#[case::unknown_shard("shard = 3", "shard = 4", "gather[0].part[1].shard")]
#[case::unknown_zone("hall = \"hall-b\"", "hall = \"hall-c\"", "gather[0].part[1].hall")]
#[case::blocks_without_a_lun(
    "piece = \"0000000000000002\"",
    "blocks = { first = 0, end = 8 }",
    "gather[0].part[1].blocks"
)]
#[case::too_many("at_least = 1", "at_least = 3", "gather[0].suffices.at_least")]
#[case::unknown_part("named = [\"north\"]", "named = [\"west\"]", "gather[0].suffices.named[0]")]
#[case::duplicate_name("name = \"south\"", "name = \"north\"", "gather[0].part[1].name")]
#[case::more_than_memory_limit("otherwise = \"in-part\"", "most_bytes = 30000000", "gather[0].most_bytes")]
#[case::way_back_too_long("otherwise = \"in-part\"", "way_back_ms = 1200", "gather[0].way_back_ms")]
#[case::unknown_key("otherwise", "else", "gather[0].else")]
fn names_the_key_of_each_error(#[case] valid: &str, #[case] invalid: &str, #[case] key: &str) {
    assert!(VALID.contains(valid), "{valid}");
    let found = read(&file_with(&VALID.replacen(valid, invalid, 1))).map(|_| ()).unwrap_err();
    assert_eq!(found.key, key, "{found}");
}

#[test]
fn accepts_blocks_within_a_lun() {
    let blocks = |end: u64| {
        let block_range = format!("blocks = {{ first = 8, end = {end} }}");
        file_with(&VALID.replacen("piece = \"0000000000000001\"", &block_range, 1))
    };
    assert!(read(&blocks(131_072)).is_ok());
    assert_eq!(read(&blocks(131_073)).map(|_| ()).unwrap_err().key, "gather[0].part[0].blocks");
}

#[test]
fn iscsi_only_gateway_rejects_partial_results() {
    let only_iscsi = |gathers: &str| {
        let text = file_with(gathers);
        let listen = text.lines().find(|l| l.starts_with("listen = ")).unwrap().to_string();
        read(&text.replacen(&listen, "", 1)).map(|_| ())
    };
    assert_eq!(only_iscsi(VALID).unwrap_err().key, "gather[0].suffices");
    let all = VALID.replace("suffices = { at_least = 1, named = [\"north\"] }", "suffices = \"all\"");
    assert_eq!(only_iscsi(&all).unwrap_err().key, "gather[0].otherwise");
    only_iscsi(&all.replace("otherwise = \"in-part\"", "")).unwrap();
}

#[test]
fn platform_cannot_enable_policies() {
    let value: toml::Value = toml::from_str(&file_with(VALID)).unwrap();
    let json = serde_json::to_value(value).unwrap().to_string();
    assert!(config::read("config.json", &json).unwrap().gather_policies.is_empty());
}

#[test]
fn reload_keeps_policies_and_reports_the_key() {
    let path = std::env::temp_dir().join(format!("gather-{}.toml", std::process::id()));
    let vars = |key: &str| (key == "GW_CONFIG").then(|| path.to_str().unwrap().to_string());
    std::fs::write(&path, file_with(VALID)).unwrap();
    let old = config::from_env(vars).unwrap();
    std::fs::write(&path, file_with(&VALID.replacen("all-halls", "other", 1))).unwrap();
    let config::Reloaded { config: new, needs_restart } = old.reload(vars).unwrap();
    assert_eq!((needs_restart, &new.gather_policies), (vec!["gather"], &old.gather_policies));
    std::fs::write(&path, file_with("").replace("SlotsTotal = 4", "SlotsTotal = 2")).unwrap();
    let error = old.reload(vars).map(|_| ()).unwrap_err();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(
        error.key, "gather[0].part[1].shard",
        "the old policies stay, and must be valid with the new settings"
    );
}
