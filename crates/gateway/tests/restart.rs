//! The times of a planned restart.
#![allow(clippy::unwrap_used)]
#[path = "../src/lifecycle/shutdown_times.rs"]
#[allow(dead_code, reason = "the program uses the rest")]
mod restart;

use restart::over;
use scheduler::interface::Micros;

#[test]
fn clients_are_served_until_shortly_before_the_kill_which_finds_no_connection() {
    for (deadline, kill) in [(1_200_000, 1_900_000), (3_000_000, 3_700_000), (5_000_000, 3_700_000)] {
        let since = Micros(7_000_000);
        let over = over(since, deadline).0 - since.0;
        assert!(over <= kill - 200_000 && over >= kill - 300_000, "{over} and the kill at {kill}");
    }
}
