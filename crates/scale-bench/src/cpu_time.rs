//! Processor time.
use rustix::time::{clock_gettime, ClockId};

/// Microseconds of processor time that this thread has taken.
pub fn thread_cpu_us() -> f64 {
    let now = clock_gettime(ClockId::ThreadCPUTime);
    now.tv_sec as f64 * 1e6 + now.tv_nsec as f64 / 1e3
}

/// Runs `work` and also returns the processor time that it took on this thread, in microseconds.
pub fn measure<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let before = thread_cpu_us();
    let result = work();
    (result, thread_cpu_us() - before)
}
