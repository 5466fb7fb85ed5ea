//! The tables that an operator may write, and the errors of those that can't work.
#![allow(clippy::unwrap_used)]
mod common;
use common::{ms, policy};
use rstest::rstest;
use scatter_gather::*;

fn classes() -> Vec<RequestClass> {
    let class = |name: &str, is_write| RequestClass { name: name.into(), is_write, deadline: ms(1200) };
    vec![class("read", Some(false)), class("booking", Some(true)), class("either", None)]
}

const GOOD: &str = r#"
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

fn read(text: &str) -> Policy {
    toml::from_str(text).unwrap()
}

#[test]
fn accepts_full_table_and_defaults_to_all_or_nothing() {
    assert_eq!(read(GOOD).check(true, &classes()), Ok(()));
    let plain = policy("a@x b@y", "");
    assert_eq!((plain.quorum.clone(), plain.partial_results), (QuorumRule::All, PartialResultPolicy::Fail));
    assert_eq!(plain.check(false, &classes()), Ok(()));
}

#[rstest]
#[case("class = \"read\"", "class = \"booking\"", "class: class \"booking\" writes; bookings never gather")]
#[case("class = \"read\"", "class = \"either\"", "class: the file must say that class \"either\" only reads")]
#[case("class = \"read\"", "class = \"x\"", "class: unknown class \"x\"")]
#[case("name = \"west\"", "name = \"east\"", "part[1].name: \"east\" is there twice")]
#[case("named = [\"east\"]", "named = [\"north\"]", "suffices.named[0]: \"north\" is not a part")]
#[case("at_least = 1", "at_least = 3", "suffices.at_least: is 3 of 2 parts")]
#[case("each_hall = 0.5", "each_hall = 1.5", "suffices.each_hall: must be above 0 and at most 1")]
#[case(
    "{ at_least = 1, named = [\"east\"], each_hall = 0.5 }",
    "{}",
    "suffices: is empty: at_least, named or each_hall is needed, or \"all\""
)]
#[case("remote_share = 0.6", "remote_share = 1.1", "remote_share: must be from 0 to 1")]
#[case("remote_share = 0.6", "remote_share = nan", "remote_share: must be from 0 to 1")]
#[case("way_back_ms = 15", "way_back_ms = 1200", "way_back_ms: must be below the class's deadline")]
#[case("most_bytes = 300", "most_bytes = 99", "most_bytes: no part fits in it")]
#[case("most_bytes = 300", "most_bytes = 299", "most_bytes: what suffices has up to 300 bytes")]
#[case("box = \"box-7\"", "", "part[1].shard: one of shard and box is needed, not both")]
#[case(
    "shard = 3",
    "shard = 3\nblocks = { first = 0, end = 1 }",
    "part[0].piece: one of piece and blocks is needed, not both"
)]
#[case("end = 64", "end = 0", "part[1].blocks: has no blocks")]
#[case("bytes = 100", "bytes = 0", "part[1].bytes: must be above 0")]
#[case("piece = \"00000000000000bb\"", "piece = \"bb\"", "piece: must be 16 hex digits")]
fn names_key_of_each_error(#[case] good: &str, #[case] bad: &str, #[case] expected: &str) {
    assert!(GOOD.contains(good));
    let error = read(&GOOD.replace(good, bad)).check(true, &classes()).unwrap_err();
    assert_eq!(error.to_string(), expected);
}

#[rstest]
#[case("suffices = { at_least = 1 }", "suffices: must be \"all\"")]
#[case("otherwise = \"in-part\"", "otherwise: must be \"fail\"")]
fn clients_without_partial_answers_need_every_response(#[case] more: &str, #[case] expected: &str) {
    let policy = policy("a@x b@y", more);
    assert_eq!(policy.check(true, &classes()), Ok(()));
    assert!(policy.check(false, &classes()).unwrap_err().to_string().starts_with(expected));
}

#[rstest]
#[case("suffices = \"most\"")]
#[case("suffices = { atleast = 1 }")]
#[case("sufices = \"all\"")]
#[case("otherwise = \"whole\"")]
fn rejects_unknown_keys_and_values(#[case] more: &str) {
    let head =
        "name = \"x\"\nvolume = \"00000000000000aa\"\npiece = \"00000000000000bb\"\nclass = \"read\"\n";
    assert!(
        toml::from_str::<Policy>(head).is_ok() && toml::from_str::<Policy>(&format!("{head}{more}")).is_err()
    );
    assert_eq!(read(head).check(true, &classes()).unwrap_err().key, "part");
}

#[test]
fn checks_gathers_against_each_other() {
    let (good, classes) = (read(GOOD), classes());
    let key = |all: &[Policy]| check_all(all, true, &classes).map_err(|error| error.key);
    assert_eq!(key(std::slice::from_ref(&good)), Ok(()));
    assert_eq!(key(&[good.clone(), good.clone()]), Err("gather[1].name".into()));
    let other = Policy { name: "other".into(), ..good.clone() };
    assert_eq!(key(&[good.clone(), other.clone()]), Err("gather[1].piece".into()));
    // Its piece is requested by the first one: a gather within a gather.
    let inner = Policy { piece: "00000000000000CC".into(), ..other };
    assert_eq!(key(&[good, inner]), Err("gather[0].part[0].piece".into()));
}
