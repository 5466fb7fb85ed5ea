//! A start counts from its notification, whatever the wall clocks say, unless no step can feign how long ago it was.
use gateway::backend::start_times::Start;
use scheduler::interface::Micros;

const HOUR: i64 = 3_600_000_000;
const SECOND: i64 = 1_000_000;
const WALL: Micros = Micros(500_000 * HOUR);
const NOW: Micros = Micros(7 * SECOND);

fn at(seconds_ago: i64) -> i64 {
    Start::notified(Micros(WALL.0 - seconds_ago * SECOND), NOW, WALL).at.0
}

#[test]
fn what_a_step_can_feign_counts_from_the_notification() {
    for seconds_ago in [-7200, -5, 0, 5, 18, 3599, 3600] {
        assert_eq!(at(seconds_ago), NOW.0, "{seconds_ago} s ago");
    }
}

#[test]
fn old_start_is_certain_but_for_an_hour() {
    assert_eq!(at(3618), NOW.0 - 18 * SECOND);
    assert_eq!(at(7200), NOW.0 - HOUR);
}

#[test]
fn another_start_is_one_also_where_it_seems_earlier() {
    let start = Start::notified(WALL, NOW, WALL);
    assert!(Start::differs(None, Some(WALL)));
    assert!(!Start::differs(Some(start), Some(WALL)));
    assert!(Start::differs(Some(start), Some(Micros(WALL.0 - HOUR))));
    assert!(!Start::differs(Some(start), None), "one that is not told is none");
}
