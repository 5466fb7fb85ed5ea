//! Compatibility of external formats with the files under `tests/golden/`: the `[[gather]]` table of a configuration file,
//! which is only parsed, and the status text of an answer, which is written and parsed.
#![allow(clippy::unwrap_used)]
use cluster_types::{BlockRange, Volume};
use scatter_gather::{
    parse_status, AnswerStatus, Cause, MissingReason, MissingResponse, PartialResultPolicy, Policy,
    QuorumConditions, QuorumRule, ShardRequest,
};

/// A policy with the required keys only.
fn minimal() -> Policy {
    Policy {
        name: "stock".into(),
        volume: Volume("00000000000000aa".into()),
        piece: "00000000000000bb".into(),
        class: "read".into(),
        requests: vec![],
        quorum: QuorumRule::All,
        remote_share: 0.7,
        reply_margin_ms: 20,
        partial_results: PartialResultPolicy::Fail,
        max_response_bytes: 65_536,
        max_total_bytes: 1_048_576,
    }
}

#[test]
fn parses_table_with_every_key() {
    let parsed: Policy = toml::from_str(include_str!("golden/policy.toml")).unwrap();
    let east = ShardRequest {
        name: "east".into(),
        zone: "hall-a".into(),
        volume: None,
        piece: Some("00000000000000cc".into()),
        blocks: None,
        shard: Some(3),
        backend: None,
        max_response_bytes: Some(200),
    };
    let west = ShardRequest {
        name: "west".into(),
        zone: "hall-b".into(),
        volume: Some(Volume("00000000000000ab".into())),
        piece: None,
        blocks: Some(BlockRange { first: 8, end: 64 }),
        shard: None,
        backend: Some("box-7".into()),
        max_response_bytes: None,
    };
    let conditions =
        QuorumConditions { at_least: Some(1), required: vec!["east".into()], share_per_zone: Some(0.5) };
    let expected = Policy {
        requests: vec![east, west],
        quorum: QuorumRule::Conditions(conditions),
        remote_share: 0.6,
        reply_margin_ms: 15,
        partial_results: PartialResultPolicy::Allow,
        max_response_bytes: 4_096,
        max_total_bytes: 300_000,
        ..minimal()
    };
    assert_eq!(parsed, expected);
}

#[test]
fn parses_defaults_of_omitted_keys() {
    let parsed: Policy = toml::from_str(include_str!("golden/policy_defaults.toml")).unwrap();
    assert_eq!(parsed, minimal());
    let explicit: Policy = toml::from_str(include_str!("golden/policy_fail.toml")).unwrap();
    assert_eq!(explicit, minimal());
}

#[test]
fn writes_and_parses_status_texts() {
    let missing = |zone: &str, request: &str, reason| MissingResponse {
        zone: zone.into(),
        request: request.into(),
        reason,
    };
    let values = [
        AnswerStatus::Complete,
        AnswerStatus::Partial(vec![missing("hall-b", "east", MissingReason::Late)]),
        AnswerStatus::Partial(vec![
            missing("hall-b", "east", MissingReason::Late),
            missing("hall c", "wüst", MissingReason::ZoneEjected),
            missing("h_c", "n.1", MissingReason::Rejected),
            missing("h", "s", MissingReason::Failed("box gone, 504".into())),
        ]),
        AnswerStatus::Failed(Cause::TooFew, vec![]),
        AnswerStatus::Failed(Cause::TooFew, vec![missing("hall-b", "east", MissingReason::Rejected)]),
        AnswerStatus::Failed(
            Cause::RequiredMissing("n/orth".into()),
            vec![
                missing("hall-b", "n/orth", MissingReason::Failed("too large".into())),
                missing("hall-b", "east", MissingReason::Late),
            ],
        ),
    ];
    let file = include_str!("golden/answers.txt");
    assert_eq!(values.iter().map(|status| format!("{status}\n")).collect::<String>(), file);
    let parsed: Vec<AnswerStatus> = file.lines().map(|line| parse_status(line).unwrap()).collect();
    assert_eq!(parsed, values);
    assert_eq!(parsed.iter().map(|status| format!("{status}\n")).collect::<String>(), file);
}
