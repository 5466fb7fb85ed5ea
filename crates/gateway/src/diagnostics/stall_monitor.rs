//! Watches how long the main thread serves nobody else: all actors share it, so a task that does not yield delays every client.
use crate::context::Context;
use crate::log::Seconds;
use async_io::Timer;
use scheduler::interface::Micros;
use std::rc::Rc;
use std::time::Duration;

/// How often the monitor asks to run.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A delay of the monitor that counts as a stall, in microseconds.
const STALL_US: i64 = 100_000;

/// Runs until the process ends. Logs and counts each time that it runs much later than it asked to.
pub async fn run(context: Rc<Context>) {
    loop {
        let asked_at = context.clock.now();
        Timer::after(CHECK_INTERVAL).await;
        let now = context.clock.now();
        let delay = Micros(now.0 - asked_at.0 - CHECK_INTERVAL.as_micros() as i64);
        if delay.0 >= STALL_US {
            context.counters.count_stall(delay);
            crate::log::line(format_args!("stall at={} ms={}", Seconds(now), delay.0 / 1000));
        }
    }
}
