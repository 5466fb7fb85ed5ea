//! Lines on standard error. One that can't be written is lost: unlike `eprintln!`, which would end the program
//! because the reader of its log has gone.
use std::fmt::Arguments;
use std::io::{stderr, Write};

/// Writes a line.
pub fn line(text: Arguments<'_>) {
    let _ = stderr().write_all(format!("{text}\n").as_bytes());
}
