//! Counters of requests and attempts.
use scheduler::interface::AttemptOutcome;
use std::fmt;

/// Counts since the start. They are displayed as the `key=value` pairs of a log line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests received.
    pub received: u64,
    /// Requests served.
    pub served: u64,
    /// Requests rejected by the scheduler.
    pub rejected: u64,
    /// Requests rejected because the table was full.
    pub over_capacity: u64,
    /// Requests failed.
    pub failed: u64,
    /// Requests with the name of an open one.
    pub duplicates: u64,
    /// Requests whose client disconnected before the response.
    pub client_left: u64,
    /// Requests that the scheduler did not finish in time.
    pub overdue: u64,
    /// Requests rejected or failed after more than half of their time, with no attempt written completely.
    pub late: u64,
    /// Attempts sent.
    pub sent: u64,
    /// Attempts sent beyond a request's first.
    pub retries: u64,
    /// Attempts by outcome.
    pub attempts: AttemptCounters,
    /// Updates of the backend list.
    pub endpoint_updates: u64,
    /// Subscriptions to the backend list.
    pub watches: u64,
    /// Reloads of the settings that took effect.
    pub reloads: u64,
    /// Reloads rejected because of an invalid configuration.
    pub reload_errors: u64,
}

/// Ended attempts, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounters {
    /// Served.
    pub ok: u64,
    /// The backend responded with an error.
    pub error: u64,
    /// Rejected by the backend.
    pub rejected: u64,
    /// No response in time.
    pub timeout: u64,
    /// No connection was established.
    pub connect_failed: u64,
    /// The connection was lost.
    pub reset: u64,
    /// Cancelled or not sent, because of a limit of the gateway itself.
    pub unsent: u64,
}

impl AttemptCounters {
    /// Counts the end of an attempt.
    pub(crate) fn record(&mut self, outcome: AttemptOutcome) {
        let counter = match outcome {
            AttemptOutcome::Ok => &mut self.ok,
            AttemptOutcome::Error => &mut self.error,
            AttemptOutcome::Rejected => &mut self.rejected,
            AttemptOutcome::Timeout => &mut self.timeout,
            AttemptOutcome::ConnectFailed => &mut self.connect_failed,
            AttemptOutcome::Reset => &mut self.reset,
            AttemptOutcome::Cancelled | AttemptOutcome::NotSent => &mut self.unsent,
        };
        *counter += 1;
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let AttemptCounters { ok, error, rejected, timeout, connect_failed, reset, unsent } = self.attempts;
        let pairs = [
            ("received", self.received),
            ("served", self.served),
            ("rejected", self.rejected),
            ("over_capacity", self.over_capacity),
            ("failed", self.failed),
            ("duplicates", self.duplicates),
            ("client_left", self.client_left),
            ("overdue", self.overdue),
            ("late", self.late),
            ("sent", self.sent),
            ("retries", self.retries),
            ("ok", ok),
            ("error", error),
            ("backend_rejected", rejected),
            ("timeout", timeout),
            ("connect_failed", connect_failed),
            ("reset", reset),
            ("unsent", unsent),
            ("endpoint_updates", self.endpoint_updates),
            ("watches", self.watches),
            ("reloads", self.reloads),
            ("reload_errors", self.reload_errors),
        ];
        for (index, (key, count)) in pairs.into_iter().enumerate() {
            let separator = if index == 0 { "" } else { " " };
            write!(formatter, "{separator}{key}={count}")?;
        }
        Ok(())
    }
}
