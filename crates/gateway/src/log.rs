//! The log: lines on standard error. A line that can't be written is lost; `eprintln!` would panic once the reader of the log has closed the pipe.
use std::fmt::Arguments;
use std::io::{stderr, Write};

/// Writes a line, `key=value` by convention.
pub fn line(text: Arguments<'_>) {
    // There is nowhere to report the error.
    drop(stderr().write_all(format!("{text}\n").as_bytes()));
}
