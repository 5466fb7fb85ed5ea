//! The schedule of a graceful shutdown.
#![allow(clippy::unwrap_used)]
use gateway::lifecycle::shutdown_times::answer_deadline;
use scheduler::interface::Micros;

#[test]
fn clients_are_served_until_shortly_before_the_kill() {
    for (deadline, kill) in [(1_200_000, 1_900_000), (3_000_000, 3_700_000), (5_000_000, 3_700_000)] {
        let since = Micros(7_000_000);
        let deadline = answer_deadline(since, deadline).0 - since.0;
        assert!(
            deadline <= kill - 200_000 && deadline >= kill - 300_000,
            "{deadline} and the kill at {kill}"
        );
    }
}
