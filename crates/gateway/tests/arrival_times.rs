//! Arrival times of a connection's bytes.
#![allow(clippy::unwrap_used)]
use gateway::client::arrival_times::ArrivalTimes;
use scheduler::interface::Micros;

const MS: i64 = 1000;

#[test]
fn bytes_arrive_when_they_are_read() {
    let mut arrivals = ArrivalTimes::default();
    arrivals.record(100, true, Micros(10 * MS));
    arrivals.record(250, true, Micros(40 * MS));
    arrivals.record(250, true, Micros(90 * MS));
    assert_eq!(arrivals.arrival_of_next(100), Some(Micros(10 * MS)));
    assert_eq!(arrivals.arrival_of_next(101), Some(Micros(40 * MS)), "its last byte counts");
    arrivals.consume(180);
    assert_eq!(arrivals.arrival_of_next(70), Some(Micros(40 * MS)));
    assert_eq!(arrivals.arrival_of_next(71), None, "that has not arrived");
}

#[test]
fn bytes_read_after_a_full_buffer_may_have_arrived_since() {
    let mut arrivals = ArrivalTimes::default();
    arrivals.record(100, false, Micros(10 * MS));
    arrivals.consume(50);
    arrivals.record(150, false, Micros(300 * MS));
    arrivals.record(200, true, Micros(600 * MS));
    arrivals.record(210, true, Micros(700 * MS));
    arrivals.consume(50);
    assert_eq!(arrivals.arrival_of_next(50), Some(Micros(10 * MS)));
    assert_eq!(arrivals.arrival_of_next(100), Some(Micros(10 * MS)), "all that waited is read with this");
    assert_eq!(arrivals.arrival_of_next(110), Some(Micros(700 * MS)));
}

#[test]
fn many_small_reads_share_marks() {
    let mut arrivals = ArrivalTimes::default();
    for n in 1..=10_000 {
        arrivals.record(n, true, Micros(n as i64 * 100));
    }
    let at = arrivals.arrival_of_next(10_000).unwrap();
    assert!((995_000..=1_000_000).contains(&at.0), "{at:?}");
}
