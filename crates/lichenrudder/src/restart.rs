//! The times of a planned restart, counted from SIGTERM. Knows no clock.
use oxbowhill::interface::Micros;

/// A longer deadline counts as this long.
const LONGEST_DEADLINE: i64 = 3_000_000;
/// The kill comes so long after the longest deadline, at the soonest.
const BEFORE_KILL: i64 = 700_000;
/// What an answer needs to be with its client before the kill, whose time runs from when SIGTERM was sent.
const SPARE: i64 = 100_000;
/// A program that has not been killed by then is not going to be, and ends by itself.
const NO_KILL: i64 = 1_000_000;

/// When the kill comes at the soonest. Until then nobody else serves the clients of this front, and one that ends before
/// it is not back any sooner.
fn kill(since: Micros, longest_deadline: i64) -> i64 {
    since.0 + longest_deadline.min(LONGEST_DEADLINE) + BEFORE_KILL
}

/// By when all must be answered that is taken on after SIGTERM; what comes later is refused at once. Guards against a
/// kill that finds something unanswered.
pub fn answer_by(since: Micros, longest_deadline: i64) -> Micros {
    Micros(kill(since, longest_deadline) - SPARE)
}

/// When clients' connections are closed between requests, so that the program ends by itself. Guards clients: what they
/// send up to the kill on a connection that is closed finds nobody.
pub fn closes(since: Micros, longest_deadline: i64) -> Micros {
    Micros(kill(since, longest_deadline) + NO_KILL)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn clients_are_served_until_shortly_before_the_kill_and_kept_until_after_it() {
        for (deadline, kill) in [(1_200_000, 1_900_000), (3_000_000, 3_700_000), (5_000_000, 3_700_000)] {
            let since = Micros(7_000_000);
            let owed = answer_by(since, deadline).0 - since.0;
            assert!(owed < kill && owed > kill - 200_000, "{owed} and the kill at {kill}");
            assert!(closes(since, deadline).0 - since.0 > kill);
        }
    }
}
