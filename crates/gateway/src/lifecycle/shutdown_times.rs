//! The schedule of a graceful shutdown, counted from SIGTERM.
use scheduler::interface::Micros;

/// A longer deadline counts as this, in microseconds.
const MAX_DEADLINE_US: i64 = 3_000_000;
/// The time between the longest deadline and SIGKILL, in microseconds at the least.
const KILL_DELAY_US: i64 = 700_000;
/// What is kept in reserve before SIGKILL, in microseconds: for the signal's own delay, for responses on the network, and for requests
/// that crossed the closing of their connection and are sent again on a new one.
const RESERVE_US: i64 = 200_000;

/// The earliest time of SIGKILL. Until then nobody else serves this gateway's clients.
fn kill_time(since: Micros, longest_deadline_us: i64) -> i64 {
    since.0 + longest_deadline_us.min(MAX_DEADLINE_US) + KILL_DELAY_US
}

/// By when everything that is accepted after SIGTERM must be answered, and from when on client connections are closed between
/// requests. Clients send on every connection that stays open, up to SIGKILL itself, and what arrives last can't be answered.
pub fn answer_deadline(since: Micros, longest_deadline_us: i64) -> Micros {
    Micros(kill_time(since, longest_deadline_us) - RESERVE_US)
}
