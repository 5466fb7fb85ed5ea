//! Conversions between the process's clock and the time type of the `scatter_gather` state machine.
use cluster_types::Time;
use scheduler::interface::Micros;

/// The machine's time as the clock's; the latest possible where it is out of range.
pub fn to_micros(at: Time) -> Micros {
    Micros(i64::try_from(at.0).unwrap_or(i64::MAX))
}

/// The clock's time as the machine's; 0 for times before the origin.
pub fn to_time(at: Micros) -> Time {
    Time(u64::try_from(at.0).unwrap_or(0))
}
