//! Compares the messages for rejected plans and piece files with `tests/golden/refused-files.txt`.
#![allow(clippy::unwrap_used)]
use resharding::{PieceMap, Plan};
use std::fmt::Write;

const VOLUME: &str = "00000000000000ff";

fn with_place(volume: &str, blocks: &str) -> String {
    format!("plan = \"p\"\n[[place]]\nvolume = \"{volume}\"\nblocks = \"{blocks}\"\non = \"b\"\n")
}

fn rejected_plans() -> Vec<String> {
    let head = "plan = \"p\"\n";
    vec![
        String::new(),
        "plan = 1\n".to_string(),
        "plan = \"p\"\nother = 1\n".to_string(),
        "= broken".to_string(),
        with_place("xyz", "0..1"),
        with_place(VOLUME, "1..1"),
        with_place(VOLUME, "1-2"),
        format!("{head}[[place]]\nvolume = \"{VOLUME}\"\n"),
        format!("{head}[[empty]]\nbox = \" \"\n"),
        format!("{head}[bounds]\nmoves_at_once = 0\n"),
        format!("{head}[bounds]\nper_box = 2000\n"),
        format!("{head}[bounds]\nshare_of_spare = 2\n"),
        format!("{head}[bounds]\nacross_halls = \"soon\"\n"),
        format!("{head}[bounds]\nhalls = 1\n"),
    ]
}

fn rejected_piece_files() -> Vec<String> {
    let piece = |name: &str, blocks: &str| {
        format!("[[piece]]\nvolume = \"{VOLUME}\"\nname = \"{name}\"\nblocks = \"{blocks}\"\n")
    };
    vec![
        format!("{}{}", piece("a", "0..4"), piece("b", "3..5")),
        format!("{}{}", piece("a", "0..4"), piece("a", "4..5")),
        "[[piece]]\nname = \"a\"\n".to_string(),
    ]
}

#[test]
fn rejection_messages_match_golden_file() {
    let mut text = String::new();
    for plan in rejected_plans() {
        writeln!(text, "{}", Plan::read(&plan).unwrap_err()).unwrap();
    }
    for file in rejected_piece_files() {
        writeln!(text, "{}", PieceMap::read(&file).unwrap_err()).unwrap();
    }
    assert_eq!(text, include_str!("golden/refused-files.txt"));
}
