//! The log: lines on standard error, written by a thread of their own. A reader that stalls delays nobody: lines beyond the buffer are
//! lost and counted. So is a line that can't be written; `eprintln!` would panic once the reader of the log has closed the pipe.
use scheduler::interface::Micros;
use std::fmt::{self, Arguments};
use std::io::{stderr, Write};
use std::sync::OnceLock;
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};

/// The most lines that wait to be written.
const MAX_BUFFERED_LINES: usize = 4096;

/// Hands lines to the thread, once it runs.
static WRITER: OnceLock<NonBlocking> = OnceLock::new();

/// Starts the thread that writes the log. Dropping the guard writes what is buffered, for a second at most.
pub fn start() -> WorkerGuard {
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_BUFFERED_LINES);
    let (writer, guard) = builder.thread_name("log").finish(stderr());
    // A second call would come from the program itself; lines go on to the first writer then.
    drop(WRITER.set(writer));
    guard
}

/// Writes a line, `key=value` by convention.
pub fn line(text: Arguments<'_>) {
    let line = format!("{text}\n");
    // There is nowhere to report the error.
    drop(match WRITER.get() {
        Some(writer) => writer.clone().write_all(line.as_bytes()),
        None => stderr().write_all(line.as_bytes()),
    });
}

/// How many lines were lost because their reader is too slow.
pub fn lost_lines() -> usize {
    WRITER.get().map_or(0, |writer| writer.error_counter().dropped_lines())
}

/// A time as a log line shows it: Unix time in seconds, with milliseconds.
pub struct Seconds(pub Micros);

impl fmt::Display for Seconds {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{:03}", self.0 .0 / 1_000_000, self.0 .0 / 1000 % 1000)
    }
}
