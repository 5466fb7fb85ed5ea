//! Log lines of requests that were retried, rejected, failed or left by their clients, at a limited rate: a flood of rejections must
//! not become a flood of lines.
use dispatch::RequestLog;
use scheduler::interface::Micros;

/// The length of the period that the limit applies to, in microseconds.
const PERIOD_US: i64 = 1_000_000;
/// The most lines of a period.
const MAX_LINES: u32 = 20;

/// Writes the lines.
#[derive(Default)]
pub struct RequestLines {
    period_start: Micros,
    /// Lines written in this period.
    written: u32,
    /// Entries without a line since the last note of them.
    omitted: u64,
}

impl RequestLines {
    /// Writes what has been recorded; entries beyond the limit are counted, and their number is logged with the next period's first.
    pub fn write(&mut self, now: Micros, log: &mut RequestLog) {
        while let Some(entry) = log.pop() {
            if now.0 - self.period_start.0 >= PERIOD_US {
                self.begin_period(now);
            }
            if self.written < MAX_LINES {
                self.written += 1;
                crate::log::line(format_args!("request at={} {entry}", crate::log::Seconds(now)));
            } else {
                self.omitted += 1;
            }
        }
        self.omitted += log.take_dropped();
    }

    fn begin_period(&mut self, now: Micros) {
        self.period_start = now;
        self.written = 0;
        let omitted = std::mem::take(&mut self.omitted);
        if omitted > 0 {
            crate::log::line(format_args!("request at={} omitted={omitted}", crate::log::Seconds(now)));
        }
    }
}
