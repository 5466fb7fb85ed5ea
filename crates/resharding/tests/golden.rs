//! Compares the stored, transmitted and parsed formats byte for byte with the files in `tests/golden/`.
#![allow(clippy::unwrap_used, clippy::panic)]
use cluster_types::{BackendId, BlockRange, Index, MemberId, Volume};
use golden_files::GoldenFiles;
use resharding::block_set::BlockSet;
use resharding::{
    Bounds, Command, CrossZoneOrder, MemberStanding, Migration, Phase, PieceMap, Placement, Plan, RangeMove,
    ReshardingState, Settings, Step,
};
use std::collections::BTreeMap;
use std::time::Duration;

const GOLDEN: GoldenFiles = GoldenFiles::of_package(env!("CARGO_MANIFEST_DIR"));
const VOLUME: &str = "00000000000000ff";
const INCARNATION: u64 = 1 << 40;

fn member(number: u32) -> MemberId {
    format!("front-{number}").as_str().into()
}

fn backend(number: u32) -> BackendId {
    format!("box-{number}").as_str().into()
}

fn volume() -> Volume {
    VOLUME.into()
}

fn blocks(first: u64, end: u64) -> BlockRange {
    BlockRange { first, end }
}

fn range_move(step: u32) -> RangeMove {
    let first = u64::from(step) * 1000;
    RangeMove {
        step,
        volume: volume(),
        blocks: blocks(first, first + 500),
        from: backend(1),
        to: backend(2),
        reason: "the plan places it there".into(),
    }
}

fn step(id: u32, after: &[u32]) -> Step {
    let RangeMove { volume, blocks, from, to, reason, .. } = range_move(id);
    Step { id, volume, blocks, from, to, after: after.to_vec(), reason }
}

fn bounds(cross_zone: CrossZoneOrder) -> Bounds {
    Bounds { max_migrations: 3, max_per_backend: 2, copy_share_permille: 400, cross_zone }
}

fn plan_commands() -> Vec<(&'static str, Command)> {
    let ranges = vec![(blocks(0, 500), backend(1)), (blocks(500, 900), backend(2))];
    let steps = vec![step(1, &[]), step(2, &[1])];
    let bounds = bounds(CrossZoneOrder::Last);
    vec![
        ("command-00-present", Command::Join { incarnation: INCARNATION }),
        ("command-01-left", Command::Leave { incarnation: INCARNATION }),
        ("command-02-adopt", Command::Adopt { volume: volume(), ranges }),
        ("command-03-replace", Command::ReplacePlan { plan: "empty box-1".into(), steps, bounds }),
        ("command-04-begin", Command::Begin { step: 7 }),
    ]
}

fn migration_commands() -> Vec<(&'static str, Command)> {
    let (migration, assignment, freeze) = (Index(300), Index(70_000), Index(400));
    let incarnation = INCARNATION;
    let written = vec![blocks(0, 300), blocks(1000, 1001)];
    let last_revocation = Index(5);
    let chunks = vec![(blocks(0, 64), Index(310))];
    let reason = "box-2 does not answer".to_string();
    vec![
        ("command-05-ready", Command::Acknowledge { migration, incarnation, last_revocation }),
        ("command-06-assign", Command::AssignMigrator { migration, migrator: member(1) }),
        (
            "command-07-dirty",
            Command::ReportWrites { migration, incarnation, report: 9, blocks: written.clone() },
        ),
        ("command-08-copied", Command::ReportCopied { migration, assignment, chunks }),
        ("command-09-freeze", Command::Freeze { migration }),
        (
            "command-10-quiet",
            Command::ReportQuiet { migration, freeze, incarnation, report: 10, blocks: written },
        ),
        ("command-11-thaw", Command::Unfreeze { migration, freeze }),
        ("command-12-moved", Command::ConfirmSwitch { migration, incarnation }),
        ("command-13-away", Command::Revoke { member: member(2), incarnation }),
        ("command-14-excuse", Command::DeclareDead { member: member(2) }),
        ("command-15-back", Command::RollBack { migration, reason }),
        ("command-16-cancel", Command::Cancel { migration }),
        ("command-17-stopped", Command::ReportStopped { migration, assignment }),
        ("command-18-released", Command::Release { migration }),
    ]
}

fn phases() -> Vec<Phase> {
    vec![
        Phase::Prepare,
        Phase::Copy,
        Phase::CatchUp,
        Phase::HandOver { freeze: Index(400), quiet: [member(1)].into() },
        Phase::Switch { epoch: Index(410), confirmed: [member(1), member(2)].into() },
        Phase::Release { epoch: Index(410) },
        Phase::RolledBack { reason: "an operator's word".into() },
    ]
}

fn migration(step: u32, phase: Phase) -> Migration {
    let mut uncopied = BlockSet::of(blocks(0, 500), Index(320));
    uncopied.add(blocks(100, 200), Index(330));
    Migration {
        range: range_move(step),
        phase,
        members: [
            (member(1), MemberStanding::Leased { incarnation: INCARNATION, last_report: 12 }),
            (member(2), MemberStanding::Revoked),
            (member(3), MemberStanding::Unacknowledged),
        ]
        .into(),
        migrator: Some((member(1), Index(305))),
        last_migrator: Some(member(1)),
        uncopied,
        copy_start: Index(320),
        unfreezes: 2,
        pending_acknowledgements: [(member(2), Some(Index(302))), (member(4), None)].into(),
        phase_start_ms: 1_790_000_000_000,
    }
}

/// A state with entries in all maps and a migration in each phase.
fn filled_state() -> ReshardingState {
    let mut placement = Placement::default();
    placement.place(&volume(), blocks(0, 9000), &backend(1), Index(2));
    placement.place(&volume(), blocks(2000, 2500), &backend(2), Index(410));
    let numbered = (1u32..).zip(phases());
    let mut migrations: BTreeMap<Index, Migration> =
        numbered.map(|(number, phase)| (Index(300 + u64::from(number)), migration(number, phase))).collect();
    if let Some(idle) = migrations.get_mut(&Index(301)) {
        (idle.migrator, idle.last_migrator) = (None, None);
        idle.uncopied = BlockSet::default();
        idle.pending_acknowledgements.clear();
    }
    ReshardingState {
        placement,
        present: [member(1), member(2)].into(),
        incarnations: [(member(1), INCARNATION), (member(3), 3)].into(),
        plan: Some("empty box-1".into()),
        bounds: bounds(CrossZoneOrder::Never),
        queue: [(8, step(8, &[])), (9, step(9, &[8, 1]))].into(),
        done: [4, 5].into(),
        migrations,
        ended: [(4, "done".to_string()), (0, "went back: the plan was replaced".to_string())].into(),
        revocations: [(member(2), Index(390))].into(),
        fence: Index(410),
        applied: Index(70_000),
        ignored: 3,
    }
}

#[test]
fn commands_keep_their_bytes() {
    for (name, command) in plan_commands().into_iter().chain(migration_commands()) {
        GOLDEN.assert_postcard(&format!("{name}.postcard"), &command);
    }
}

#[test]
fn replicated_state_keeps_its_bytes() {
    GOLDEN.assert_postcard("state-empty.postcard", &ReshardingState::new());
    GOLDEN.assert_postcard("state-filled.postcard", &filled_state());
}

#[test]
fn settings_keep_their_bytes() {
    let ms = Duration::from_millis;
    let settings = Settings {
        lease: ms(2100),
        max_clock_drift: ms(110),
        max_command_time: ms(1200),
        hand_over_timeout: ms(310),
        report_interval: ms(210),
        hand_over_blocks: 300,
        chunk_blocks: 70,
        max_chunks: 5,
        verify: false,
    };
    GOLDEN.assert_postcard("rules.postcard", &settings);
    GOLDEN.assert_postcard("bounds-exports-first.postcard", &bounds(CrossZoneOrder::ExportsFirst));
    GOLDEN.assert_postcard("bounds-last.postcard", &bounds(CrossZoneOrder::Last));
    GOLDEN.assert_postcard("bounds-never.postcard", &bounds(CrossZoneOrder::Never));
}

/// The status of steps and migrations in the operators' interface.
#[test]
fn operator_status_matches_golden_file() {
    let status = BTreeMap::from([("step", filled_state().status())]);
    assert_eq!(toml::to_string(&status).unwrap(), GOLDEN.text("status.toml"));
}

#[test]
fn reads_plan_file() {
    let plan = Plan::read(&GOLDEN.text("plan.toml")).unwrap();
    assert_eq!(plan.name, "empty box-1");
    let targets = plan.targets.iter();
    let targets: Vec<_> =
        targets.map(|target| (target.volume.clone(), target.blocks, target.backend.as_str())).collect();
    let wanted = [(volume(), blocks(0, 500), "10.0.0.1:7000"), (volume(), blocks(500, 900), "box-2")];
    assert_eq!(targets, wanted);
    assert_eq!(plan.emptied, ["box-1"]);
    assert_eq!(plan.bounds, bounds(CrossZoneOrder::Never));
}

#[test]
fn reads_piece_file() {
    let pieces = PieceMap::read(&GOLDEN.text("pieces.toml")).unwrap();
    assert_eq!(pieces.find(&volume(), "head"), Some(blocks(0, 16)));
    assert_eq!(pieces.find(&volume(), "tail"), Some(blocks(16, 40)));
}
