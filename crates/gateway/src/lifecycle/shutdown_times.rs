//! Deadlines of a graceful shutdown, relative to SIGTERM.
use scheduler::interface::Micros;

/// Longer request deadlines are treated as this one, in microseconds.
const MAX_DEADLINE_US: i64 = 3_000_000;
/// The minimum time between the longest deadline and SIGKILL, in microseconds.
const KILL_DELAY_US: i64 = 700_000;
/// The time kept in reserve before SIGKILL, in microseconds: for the delay of the signal, for responses on the network, and for requests
/// that were sent on a connection that was being closed and are resent on a new one.
const RESERVE_US: i64 = 200_000;

/// The earliest time of SIGKILL, in microseconds. Until then no other process serves this gateway's clients.
fn kill_time(since: Micros, longest_deadline_us: i64) -> i64 {
    since.0 + longest_deadline_us.min(MAX_DEADLINE_US) + KILL_DELAY_US
}

/// The time by which everything that is accepted after SIGTERM must be answered, and from which on client connections are closed
/// between requests. Clients send on every connection that stays open, up to SIGKILL itself, and the last requests could not be
/// answered.
pub fn answer_deadline(since: Micros, longest_deadline_us: i64) -> Micros {
    Micros(kill_time(since, longest_deadline_us) - RESERVE_US)
}
