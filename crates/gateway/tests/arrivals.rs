//! A command's time runs from when its last byte has come.
#![allow(clippy::unwrap_used)]
#[path = "../src/client/arrival_times.rs"]
mod arrivals;

use arrivals::Arrivals;
use scheduler::interface::Micros;

const MS: i64 = 1000;

#[test]
fn each_byte_has_come_when_it_was_read() {
    let mut arrivals = Arrivals::default();
    arrivals.note(100, true, Micros(10 * MS));
    arrivals.note(250, true, Micros(40 * MS));
    arrivals.note(250, true, Micros(90 * MS));
    assert_eq!(arrivals.of_next(100), Some(Micros(10 * MS)));
    assert_eq!(arrivals.of_next(101), Some(Micros(40 * MS)), "its last byte counts");
    arrivals.use_up(180);
    assert_eq!(arrivals.of_next(70), Some(Micros(40 * MS)));
    assert_eq!(arrivals.of_next(71), None, "that has not come");
}

#[test]
fn what_found_no_room_may_have_come_since_there_was_none() {
    let mut arrivals = Arrivals::default();
    arrivals.note(100, false, Micros(10 * MS));
    arrivals.use_up(50);
    arrivals.note(150, false, Micros(300 * MS));
    arrivals.note(200, true, Micros(600 * MS));
    arrivals.note(210, true, Micros(700 * MS));
    arrivals.use_up(50);
    assert_eq!(arrivals.of_next(50), Some(Micros(10 * MS)));
    assert_eq!(arrivals.of_next(100), Some(Micros(10 * MS)), "all that waited is read with this");
    assert_eq!(arrivals.of_next(110), Some(Micros(700 * MS)));
}

#[test]
fn many_small_pieces_take_little() {
    let mut arrivals = Arrivals::default();
    for n in 1..=10_000 {
        arrivals.note(n, true, Micros(n as i64 * 100));
    }
    let at = arrivals.of_next(10_000).unwrap();
    assert!((995_000..=1_000_000).contains(&at.0), "{at:?}");
}
