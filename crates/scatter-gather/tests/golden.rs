//! The forms that operators and clients see, held by files under `tests/golden/`: the `[[gather]]` table of a configuration
//! file, which is read only, and the text that tells a client what is missing of an answer, which is written and read.
#![allow(clippy::unwrap_used)]
use cluster_types::{BlockRange, Volume};
use scatter_gather::{parse, Cause, Missing, Needs, Otherwise, Part, Policy, Suffices, Told, Why};

/// The table with nothing but what it must have.
fn plain() -> Policy {
    Policy {
        name: "stock".into(),
        volume: Volume("00000000000000aa".into()),
        piece: "00000000000000bb".into(),
        class: "read".into(),
        parts: vec![],
        suffices: Suffices::All,
        remote_share: 0.7,
        way_back_ms: 20,
        otherwise: Otherwise::Fail,
        part_bytes: 65_536,
        most_bytes: 1_048_576,
    }
}

#[test]
fn table_with_every_key_is_read() {
    let read: Policy = toml::from_str(include_str!("golden/policy.toml")).unwrap();
    let east = Part {
        name: "east".into(),
        hall: "hall-a".into(),
        volume: None,
        piece: Some("00000000000000cc".into()),
        blocks: None,
        shard: Some(3),
        at: None,
        bytes: Some(200),
    };
    let west = Part {
        name: "west".into(),
        hall: "hall-b".into(),
        volume: Some(Volume("00000000000000ab".into())),
        piece: None,
        blocks: Some(BlockRange { first: 8, end: 64 }),
        shard: None,
        at: Some("box-7".into()),
        bytes: None,
    };
    let needs = Needs { at_least: Some(1), named: vec!["east".into()], each_hall: Some(0.5) };
    let expected = Policy {
        parts: vec![east, west],
        suffices: Suffices::Needs(needs),
        remote_share: 0.6,
        way_back_ms: 15,
        otherwise: Otherwise::InPart,
        part_bytes: 4_096,
        most_bytes: 300_000,
        ..plain()
    };
    assert_eq!(read, expected);
}

#[test]
fn table_without_optional_keys_has_the_defaults() {
    let read: Policy = toml::from_str(include_str!("golden/policy_defaults.toml")).unwrap();
    assert_eq!(read, plain());
    let written_out: Policy = toml::from_str(include_str!("golden/policy_fail.toml")).unwrap();
    assert_eq!(written_out, plain());
}

#[test]
fn texts_of_answers_are_written_and_read() {
    let missing = |hall: &str, part: &str, why| Missing { hall: hall.into(), part: part.into(), why };
    let values = [
        Told::Whole,
        Told::Part(vec![missing("hall-b", "east", Why::Late)]),
        Told::Part(vec![
            missing("hall-b", "east", Why::Late),
            missing("hall c", "wüst", Why::CutOff),
            missing("h_c", "n.1", Why::Refused),
            missing("h", "s", Why::Failed("box gone, 504".into())),
        ]),
        Told::Failed(Cause::TooFew, vec![]),
        Told::Failed(Cause::TooFew, vec![missing("hall-b", "east", Why::Refused)]),
        Told::Failed(
            Cause::Named("n/orth".into()),
            vec![
                missing("hall-b", "n/orth", Why::Failed("too large".into())),
                missing("hall-b", "east", Why::Late),
            ],
        ),
    ];
    let file = include_str!("golden/answers.txt");
    assert_eq!(values.iter().map(|told| told.text() + "\n").collect::<String>(), file);
    let read: Vec<Told> = file.lines().map(|line| parse(line).unwrap()).collect();
    assert_eq!(read, values);
    assert_eq!(read.iter().map(|told| told.text() + "\n").collect::<String>(), file);
}
