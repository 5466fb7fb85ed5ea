//! The times of a planned restart, counted from SIGTERM. Knows no clock.
use scheduler::interface::Micros;

/// A longer deadline counts as this long.
const LONGEST_DEADLINE: i64 = 3_000_000;
/// The kill comes so long after the longest deadline, at the soonest.
const BEFORE_KILL: i64 = 700_000;
/// What is left before the kill once nothing is taken any more: its time runs from when SIGTERM was sent, answers have a way
/// to go, and a request that crossed the closing of its connection comes once more on a new one.
const SPARE: i64 = 200_000;

/// When the kill comes at the soonest. Until then nobody else serves the clients of this front, and one that ends before
/// it is not back any sooner.
fn kill(since: Micros, longest_deadline: i64) -> i64 {
    since.0 + longest_deadline.min(LONGEST_DEADLINE) + BEFORE_KILL
}

/// By when all must be answered that is taken on after SIGTERM, and from when on clients' connections are closed between
/// requests. Guards against a kill that finds something unanswered: clients send on every connection that stays open, up to
/// the kill itself, and what comes in its last instant can't be answered.
pub fn over(since: Micros, longest_deadline: i64) -> Micros {
    Micros(kill(since, longest_deadline) - SPARE)
}
