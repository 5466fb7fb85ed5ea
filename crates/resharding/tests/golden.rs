//! The stored, sent and read forms, held byte for byte by the files in `tests/golden/`.
#![allow(clippy::unwrap_used, clippy::panic)]
use cluster_types::{BackendId, BlockRange, Index, MemberId, Volume};
use resharding::runs::Runs;
use resharding::{
    Across, Bounds, Command, Move, Moves, Phase, Pieces, Placement, Plan, Rules, Standing, Step,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::{Debug, Write};
use std::path::PathBuf;
use std::time::Duration;

const VOLUME: &str = "00000000000000ff";

fn golden(name: &str) -> Vec<u8> {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    std::fs::read(&path).unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn golden_text(name: &str) -> String {
    String::from_utf8(golden(name)).unwrap()
}

/// Encoding gives the file, decoding the file gives the value, and writing that back gives the file again.
fn holds<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) {
    let file = golden(name);
    assert_eq!(postcard::to_stdvec(value).unwrap(), file, "{name}: {value:?}");
    let read: T = postcard::from_bytes(&file).unwrap();
    assert_eq!(read, *value, "{name}");
    assert_eq!(postcard::to_stdvec(&read).unwrap(), file, "{name}");
}

fn member(name: &str) -> MemberId {
    name.into()
}

fn on(name: &str) -> BackendId {
    name.into()
}

fn volume() -> Volume {
    VOLUME.into()
}

fn blocks(first: u64, end: u64) -> BlockRange {
    BlockRange { first, end }
}

fn step(id: u32, after: &[u32]) -> Step {
    Step {
        id,
        volume: volume(),
        blocks: blocks(u64::from(id) * 1000, u64::from(id) * 1000 + 500),
        from: on("box-1"),
        to: on("box-2"),
        after: after.to_vec(),
        why: "the plan places it there".into(),
    }
}

fn bounds(across: Across) -> Bounds {
    Bounds { moves_at_once: 3, per_box: 2, share_milli: 400, across }
}

fn commands() -> Vec<(&'static str, Command)> {
    let (id, number, life) = (Index(300), Index(70_000), 1 << 40);
    let marks = vec![blocks(0, 300), blocks(1000, 1001)];
    vec![
        ("command-00-present", Command::Present { life }),
        ("command-01-left", Command::Left { life }),
        (
            "command-02-adopt",
            Command::Adopt {
                volume: volume(),
                ranges: vec![(blocks(0, 500), on("box-1")), (blocks(500, 900), on("box-2"))],
            },
        ),
        (
            "command-03-replace",
            Command::Replace {
                plan: "empty box-1".into(),
                steps: vec![step(1, &[]), step(2, &[1])],
                bounds: bounds(Across::Last),
            },
        ),
        ("command-04-begin", Command::Begin { step: 7 }),
        ("command-05-ready", Command::Ready { id, life, after: Index(5) }),
        ("command-06-assign", Command::Assign { id, mover: member("front-1") }),
        ("command-07-dirty", Command::Dirty { id, life, number: 9, marks: marks.clone() }),
        ("command-08-copied", Command::Copied { id, number, parts: vec![(blocks(0, 64), Index(310))] }),
        ("command-09-freeze", Command::Freeze { id }),
        ("command-10-quiet", Command::Quiet { id, freeze: Index(400), life, number: 10, marks }),
        ("command-11-thaw", Command::Thaw { id, freeze: Index(400) }),
        ("command-12-moved", Command::Moved { id, life }),
        ("command-13-away", Command::Away { member: member("front-2"), life }),
        ("command-14-excuse", Command::Excuse { member: member("front-2") }),
        ("command-15-back", Command::Back { id, why: "box-2 does not answer".into() }),
        ("command-16-cancel", Command::Cancel { id }),
        ("command-17-stopped", Command::Stopped { id, number }),
        ("command-18-released", Command::Released { id }),
    ]
}

fn phases() -> Vec<Phase> {
    vec![
        Phase::Prepare,
        Phase::Copy,
        Phase::CatchUp,
        Phase::HandOver { freeze: Index(400), quiet: [member("front-1")].into() },
        Phase::Switch { epoch: Index(410), knows: [member("front-1"), member("front-2")].into() },
        Phase::Release { epoch: Index(410) },
        Phase::Back { why: "an operator's word".into() },
    ]
}

fn running(step: u32, phase: Phase) -> Move {
    let mut todo = Runs::of(blocks(0, 500), Index(320));
    todo.add(blocks(100, 200), Index(330));
    Move {
        step,
        volume: volume(),
        blocks: blocks(u64::from(step) * 1000, u64::from(step) * 1000 + 500),
        from: on("box-1"),
        to: on("box-2"),
        why: "the plan places it there".into(),
        phase,
        fronts: [
            (member("front-1"), Standing::Uses { life: 1 << 40, heard: 12 }),
            (member("front-2"), Standing::Away),
            (member("front-3"), Standing::Awaited),
        ]
        .into(),
        mover: Some((member("front-1"), Index(305))),
        last: Some(member("front-1")),
        todo,
        pass: Index(320),
        thaws: 2,
        owing: [(member("front-2"), Some(Index(302))), (member("front-4"), None)].into(),
        since_ms: 1_790_000_000_000,
    }
}

/// A state in which each map holds something and each phase occurs.
fn filled_state() -> Moves {
    let mut placement = Placement::default();
    placement.put(&volume(), blocks(0, 9000), &on("box-1"), Index(2));
    placement.put(&volume(), blocks(2000, 2500), &on("box-2"), Index(410));
    let phases = phases();
    let mut active: BTreeMap<Index, Move> =
        (1u32..).zip(phases).map(|(n, phase)| (Index(300 + u64::from(n)), running(n, phase))).collect();
    if let Some(idle) = active.get_mut(&Index(301)) {
        (idle.mover, idle.last) = (None, None);
        idle.todo = Runs::default();
        idle.owing.clear();
    }
    Moves {
        placement,
        present: [member("front-1"), member("front-2")].into(),
        lives: [(member("front-1"), 1 << 40), (member("front-3"), 3)].into(),
        plan: Some("empty box-1".into()),
        bounds: bounds(Across::Never),
        queue: [(8, step(8, &[])), (9, step(9, &[8, 1]))].into(),
        done: [4, 5].into(),
        active,
        past: [(4, "done".to_string()), (0, "went back: the plan was replaced".to_string())].into(),
        away: [(member("front-2"), Index(390))].into(),
        fence: Index(410),
        applied: Index(70_000),
        ignored: 3,
    }
}

#[test]
fn commands_keep_their_bytes() {
    for (name, command) in commands() {
        holds(&format!("{name}.postcard"), &command);
    }
}

#[test]
fn replicated_state_keeps_its_bytes() {
    holds("state-empty.postcard", &Moves::new());
    holds("state-filled.postcard", &filled_state());
}

#[test]
fn settings_keep_their_bytes() {
    let rules = Rules {
        lease: Duration::from_millis(2100),
        drift: Duration::from_millis(110),
        longest: Duration::from_millis(1200),
        hand_over: Duration::from_millis(310),
        report: Duration::from_millis(210),
        small: 300,
        chunk: 70,
        window: 5,
        verify: false,
    };
    holds("rules.postcard", &rules);
    for (name, across) in
        [("exports-first", Across::ExportsFirst), ("last", Across::Last), ("never", Across::Never)]
    {
        holds(&format!("bounds-{name}.postcard"), &bounds(across));
    }
}

/// What the operators' address tells of steps and moves.
#[test]
fn operator_status_keeps_its_form() {
    let told = BTreeMap::from([("step", filled_state().tell())]);
    assert_eq!(toml::to_string(&told).unwrap(), golden_text("status.toml"));
}

#[test]
fn reads_plan_file() {
    let plan = Plan::read(&golden_text("plan.toml")).unwrap();
    assert_eq!(plan.name, "empty box-1");
    let places: Vec<_> = plan.places.iter().map(|p| (p.volume.clone(), p.blocks, p.on.as_str())).collect();
    let wanted = [(volume(), blocks(0, 500), "10.0.0.1:7000"), (volume(), blocks(500, 900), "box-2")];
    assert_eq!(places, wanted);
    assert_eq!(plan.empty, ["box-1"]);
    assert_eq!(plan.bounds, bounds(Across::Never));
}

#[test]
fn reads_piece_file() {
    let pieces = Pieces::read(&golden_text("pieces.toml")).unwrap();
    assert_eq!(pieces.find(&volume(), "head"), Some(blocks(0, 16)));
    assert_eq!(pieces.find(&volume(), "tail"), Some(blocks(16, 40)));
}

/// What operators read when a plan or a file of pieces is refused.
#[test]
fn refused_files_keep_their_wording() {
    let head = "plan = \"p\"\n";
    let place = |volume: &str, blocks: &str| {
        format!("{head}[[place]]\nvolume = \"{volume}\"\nblocks = \"{blocks}\"\non = \"b\"\n")
    };
    let plans = [
        String::new(),
        "plan = 1\n".to_string(),
        "plan = \"p\"\nother = 1\n".to_string(),
        "= broken".to_string(),
        place("xyz", "0..1"),
        place(VOLUME, "1..1"),
        place(VOLUME, "1-2"),
        format!("{head}[[place]]\nvolume = \"{VOLUME}\"\n"),
        format!("{head}[[empty]]\nbox = \" \"\n"),
        format!("{head}[bounds]\nmoves_at_once = 0\n"),
        format!("{head}[bounds]\nper_box = 2000\n"),
        format!("{head}[bounds]\nshare_of_spare = 2\n"),
        format!("{head}[bounds]\nacross_halls = \"soon\"\n"),
        format!("{head}[bounds]\nhalls = 1\n"),
    ];
    let mut text = String::new();
    for plan in plans {
        writeln!(text, "{}", Plan::read(&plan).unwrap_err()).unwrap();
    }
    let piece = |name: &str, blocks: &str| {
        format!("[[piece]]\nvolume = \"{VOLUME}\"\nname = \"{name}\"\nblocks = \"{blocks}\"\n")
    };
    let files = [
        format!("{}{}", piece("a", "0..4"), piece("b", "3..5")),
        format!("{}{}", piece("a", "0..4"), piece("a", "4..5")),
        "[[piece]]\nname = \"a\"\n".to_string(),
    ];
    for file in files {
        writeln!(text, "{}", Pieces::read(&file).unwrap_err()).unwrap();
    }
    assert_eq!(text, golden_text("refused-files.txt"));
}
