//! Validation of `[[gather]]` tables: accepted tables, and the error of each invalid one.
#![allow(clippy::unwrap_used)]
mod common;
use common::{ms, policy};
use rstest::rstest;
use scatter_gather::*;

fn classes() -> Vec<RequestClass> {
    let class = |name: &str, is_write| RequestClass { name: name.into(), is_write, deadline: ms(1200) };
    vec![class("read", Some(false)), class("booking", Some(true)), class("either", None)]
}

const VALID: &str = r#"
name = "stock"
volume = "00000000000000aa"
piece = "00000000000000bb"
class = "read"
suffices = { at_least = 1, named = ["east"], each_hall = 0.5 }
remote_share = 0.6
way_back_ms = 15
otherwise = "in-part"
most_bytes = 300
[[part]]
name = "east"
hall = "hall-a"
piece = "00000000000000cc"
shard = 3
bytes = 200
[[part]]
name = "west"
hall = "hall-b"
volume = "00000000000000ab"
blocks = { first = 0, end = 64 }
box = "box-7"
bytes = 100
"#;

fn parse(text: &str) -> Policy {
    toml::from_str(text).unwrap()
}

#[test]
fn accepts_full_table_and_requires_all_responses_by_default() {
    assert_eq!(parse(VALID).check(true, &classes()), Ok(()));
    let default_policy = policy("a@x b@y", "");
    assert_eq!(
        (default_policy.quorum.clone(), default_policy.partial_results),
        (QuorumRule::All, PartialResultPolicy::Fail)
    );
    assert_eq!(default_policy.check(false, &classes()), Ok(()));
}

#[rstest]
#[case("class = \"read\"", "class = \"booking\"", "class: class \"booking\" writes; bookings never gather")]
#[case("class = \"read\"", "class = \"either\"", "class: the file must say that class \"either\" only reads")]
#[case("class = \"read\"", "class = \"x\"", "class: unknown class \"x\"")]
#[case("name = \"west\"", "name = \"east\"", "part[1].name: duplicate name \"east\"")]
#[case("named = [\"east\"]", "named = [\"north\"]", "suffices.named[0]: no part has the name \"north\"")]
#[case("at_least = 1", "at_least = 3", "suffices.at_least: needs 3 responses of 2 parts")]
#[case("each_hall = 0.5", "each_hall = 1.5", "suffices.each_hall: must be above 0 and at most 1")]
#[case(
    "{ at_least = 1, named = [\"east\"], each_hall = 0.5 }",
    "{}",
    "suffices: needs at_least, named or each_hall, or must be \"all\""
)]
#[case("remote_share = 0.6", "remote_share = 1.1", "remote_share: must be between 0 and 1")]
#[case("remote_share = 0.6", "remote_share = nan", "remote_share: must be between 0 and 1")]
#[case("way_back_ms = 15", "way_back_ms = 1200", "way_back_ms: must be below the class's deadline")]
#[case("most_bytes = 300", "most_bytes = 99", "most_bytes: is below the limit of every part")]
#[case("most_bytes = 300", "most_bytes = 299", "most_bytes: is below the 300 bytes that a quorum may need")]
#[case("box = \"box-7\"", "", "part[1].shard: exactly one of shard and box must be set")]
#[case(
    "shard = 3",
    "shard = 3\nblocks = { first = 0, end = 1 }",
    "part[0].piece: exactly one of piece and blocks must be set"
)]
#[case("end = 64", "end = 0", "part[1].blocks: the block range is empty")]
#[case("bytes = 100", "bytes = 0", "part[1].bytes: must be above 0")]
#[case("piece = \"00000000000000bb\"", "piece = \"bb\"", "piece: must be 16 hex digits")]
fn names_key_of_each_error(#[case] valid: &str, #[case] invalid: &str, #[case] expected: &str) {
    assert!(VALID.contains(valid));
    let error = parse(&VALID.replace(valid, invalid)).check(true, &classes()).unwrap_err();
    assert_eq!(error.to_string(), expected);
}

#[rstest]
#[case("suffices = { at_least = 1 }", "suffices: must be \"all\"")]
#[case("otherwise = \"in-part\"", "otherwise: must be \"fail\"")]
fn requires_all_responses_without_partial_result_support(#[case] extra_lines: &str, #[case] expected: &str) {
    let policy = policy("a@x b@y", extra_lines);
    assert_eq!(policy.check(true, &classes()), Ok(()));
    assert!(policy.check(false, &classes()).unwrap_err().to_string().starts_with(expected));
}

#[rstest]
#[case("suffices = \"most\"")]
#[case("suffices = { atleast = 1 }")]
#[case("sufices = \"all\"")]
#[case("otherwise = \"whole\"")]
fn rejects_unknown_keys_and_values(#[case] extra_lines: &str) {
    let head =
        "name = \"x\"\nvolume = \"00000000000000aa\"\npiece = \"00000000000000bb\"\nclass = \"read\"\n";
    assert!(
        toml::from_str::<Policy>(head).is_ok()
            && toml::from_str::<Policy>(&format!("{head}{extra_lines}")).is_err()
    );
    assert_eq!(parse(head).check(true, &classes()).unwrap_err().key, "part");
}

#[test]
fn checks_gathers_against_each_other() {
    let (valid, classes) = (parse(VALID), classes());
    let key = |all: &[Policy]| check_all(all, true, &classes).map_err(|error| error.key);
    assert_eq!(key(std::slice::from_ref(&valid)), Ok(()));
    assert_eq!(key(&[valid.clone(), valid.clone()]), Err("gather[1].name".into()));
    let other = Policy { name: "other".into(), ..valid.clone() };
    assert_eq!(key(&[valid.clone(), other.clone()]), Err("gather[1].piece".into()));
    // The first gather requests this gather's piece, so they would be nested.
    let nested = Policy { piece: "00000000000000CC".into(), ..other };
    assert_eq!(key(&[valid, nested]), Err("gather[0].part[0].piece".into()));
}
