//! Processor time.
use rustix::time::{clock_gettime, ClockId};

/// Microseconds of processor time that this thread has taken.
pub fn thread() -> f64 {
    let now = clock_gettime(ClockId::ThreadCPUTime);
    now.tv_sec as f64 * 1e6 + now.tv_nsec as f64 / 1e3
}

/// Does it, and tells the microseconds of processor time that it took this thread.
pub fn timed<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let before = thread();
    let done = work();
    (done, thread() - before)
}
