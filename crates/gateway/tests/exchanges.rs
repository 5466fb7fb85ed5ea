//! Each file under `exchanges` is played against the program and compared byte for byte.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod common;
use rstest::rstest;
use std::path::PathBuf;

#[rstest]
fn exchange(#[files("tests/exchanges/*.txt")] path: PathBuf) {
    let text = std::fs::read_to_string(&path).unwrap();
    common::play::play(&path.file_name().unwrap().to_string_lossy(), &text);
}
