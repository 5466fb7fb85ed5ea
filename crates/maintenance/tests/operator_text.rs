//! Compares the texts of the operator interface with `tests/golden/operator-text.txt`.
#![allow(clippy::unwrap_used, clippy::panic)]
mod support;

use cluster_types::{Index, Volume};
use maintenance::{BackendFacts, BackendOutcome, Bound, Command, Effect, Rejection, Rules, RulesError};
use std::collections::BTreeMap;
use std::fmt::Write;
use support::samples::{commands, filled_state, sample_rules};
use support::*;

fn rules_errors() -> Vec<RulesError> {
    let broken = [
        Rules { max_out_per_zone: 10, ..sample_rules() },
        Rules { max_out_per_volume: 10, ..sample_rules() },
        Rules { max_measurement_age_ms: 0, ..sample_rules() },
        Rules { stages: Vec::new(), ..sample_rules() },
        Rules { stages: vec![200, 200], ..sample_rules() },
        Rules { stages: vec![200, 1001], ..sample_rules() },
    ];
    broken.iter().map(|rules| rules.check().unwrap_err()).collect()
}

fn rejections() -> Vec<Rejection> {
    let volume = || Volume::from("00000000000000ff");
    let mut rejections = vec![
        Rejection::AlreadyApplied,
        Rejection::Superseded,
        Rejection::NotFound,
        Rejection::NameTaken,
        Rejection::LimitReached,
        Rejection::InvalidSize,
        Rejection::NotListed(backend("a1")),
        Rejection::UnderMaintenance(backend("a1")),
        Rejection::StaleMeasurements,
        Rejection::NoMemberPresent,
        Rejection::NotOwnReport,
        Rejection::MemberNotPresent,
        Rejection::BoundExceeded(Bound::Total),
        Rejection::BoundExceeded(Bound::Zone("hall-a".into())),
        Rejection::BoundExceeded(Bound::Volume(volume())),
        Rejection::BoundExceeded(Bound::Reservation(volume())),
        Rejection::QueuedBehind("rack-7".into()),
        Rejection::StageExceeded,
        Rejection::NotRecovered,
    ];
    rejections.extend(rules_errors().into_iter().map(Rejection::InvalidRules));
    rejections
}

/// Rejections of all kinds of commands, as `command: reason`.
fn rejected_commands(harness: &mut Harness) -> Vec<String> {
    let mut commands = commands();
    let too_many = (0..200).map(|n| (backend(&n.to_string()), BackendFacts::default())).collect();
    let observe = Command::Observe {
        min_applied: Index(1),
        is_complete: false,
        backends: too_many,
        volumes: BTreeMap::new(),
    };
    commands.extend([
        ("long", withdraw(&"n".repeat(200))),
        ("rules", Command::SetRules(Rules { max_measurement_age_ms: 0, ..sample_rules() })),
        ("observe", observe),
    ]);
    let mut effects: Vec<Effect> =
        commands.iter().flat_map(|(_, command)| harness.run("op", command)).collect();
    effects.extend(harness.state.apply(Index(5), 0, &member("op"), &Command::Tick));
    let lines = effects.iter().filter_map(|effect| match effect {
        Effect::Rejected { command, reason } => Some(format!("{command}: {reason}")),
        _ => None,
    });
    lines.collect()
}

#[test]
fn operator_text_matches_golden_file() {
    let mut text = String::new();
    for rejection in rejections() {
        writeln!(text, "{rejection}").unwrap();
    }
    let outcomes = [
        BackendOutcome::Waiting,
        BackendOutcome::Granted(Index(77)),
        BackendOutcome::Returned,
        BackendOutcome::DeadlineMissed,
        BackendOutcome::Withdrawn,
        BackendOutcome::Unlisted,
    ];
    for outcome in outcomes {
        writeln!(text, "{outcome}").unwrap();
    }
    let mut harness = filled_state();
    for name in ["first", "mixed", "timed", "partly", "past", "listed"] {
        writeln!(text, "{}", harness.state.status(name).unwrap()).unwrap();
    }
    for line in rejected_commands(&mut harness) {
        writeln!(text, "{line}").unwrap();
    }
    assert_eq!(text, include_str!("golden/operator-text.txt"));
}
