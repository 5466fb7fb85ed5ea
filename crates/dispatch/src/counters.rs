//! What is counted.
use scheduler::interface::Ending;
use std::fmt;

/// Counts since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests taken.
    pub taken: u64,
    /// Requests answered as served.
    pub served: u64,
    /// Requests refused by the module.
    pub refused: u64,
    /// Requests refused because a bound was reached.
    pub bounded: u64,
    /// Requests failed.
    pub failed: u64,
    /// Requests under the id of one that was open.
    pub duplicates: u64,
    /// Requests whose client left before the answer.
    pub left: u64,
    /// Requests that the module had not answered in time.
    pub overdue: u64,
    /// Requests refused or failed past half their time, with no attempt written whole.
    pub late: u64,
    /// Attempts sent.
    pub sent: u64,
    /// Attempts sent beyond a request's first.
    pub further: u64,
    /// Attempts by ending: ok, error, full, timeout, connect failed, reset.
    pub endings: [u64; 6],
    /// Attempts that a bound of the front's own kept back.
    pub unsent: u64,
    /// News of the list.
    pub news: u64,
    /// Watches asked for.
    pub watches: u64,
    /// Settings that were put in force while it ran.
    pub reloads: u64,
    /// Files that were faulty when they were read again.
    pub reload_faults: u64,
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [ok, error, full, timeout, connect, reset] = self.endings;
        write!(
            f,
            "taken={} served={} refused={} bounded={} failed={} duplicates={} left={} overdue={} late={} sent={} further={} ok={ok} \
             error={error} full={full} timeout={timeout} connect_failed={connect} reset={reset} unsent={} news={} watches={} \
             reloads={} reload_faults={}",
            self.taken,
            self.served,
            self.refused,
            self.bounded,
            self.failed,
            self.duplicates,
            self.left,
            self.overdue,
            self.late,
            self.sent,
            self.further,
            self.unsent,
            self.news,
            self.watches,
            self.reloads,
            self.reload_faults
        )
    }
}

/// The place of an ending under `endings`; none for an attempt that was not written.
pub(crate) fn position(ending: Ending) -> Option<usize> {
    match ending {
        Ending::Ok => Some(0),
        Ending::Error => Some(1),
        Ending::Full => Some(2),
        Ending::Timeout => Some(3),
        Ending::ConnectFailed => Some(4),
        Ending::Reset => Some(5),
        Ending::Cancelled | Ending::Moot => None,
    }
}
