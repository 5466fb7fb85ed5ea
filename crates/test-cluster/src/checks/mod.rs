//! Checks of what must hold whatever fails, based on the logs of backends, discovery, gateways and clients.
mod backends;
mod requests;

pub use backends::{
    drained_backends_get_nothing_new, gateways_agree, no_crashes, suspended_at_most, suspensions,
    volume_limits_hold, VolumeLimit,
};
pub use requests::{
    connections_stay_open, one_final_answer, reads_are_not_stale, refused_writes_never_run,
    served_by_backend, served_writes_are_stored, writes_run_once, LocateWrite,
};

use crate::backends::CommandRecord;
use crate::clients::Request;
use crate::discovery::SentUpdate;
use crate::gateway_process::Outage;
use crate::links::Impairment;
use crate::runtime::MachineStall;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Limit on the number of violations that are described.
const MAX_EXAMPLES: usize = 8;

/// Result of a check.
#[derive(Clone, Debug, Default)]
pub struct CheckResult {
    /// The property that must hold.
    pub name: &'static str,
    /// Number of items that were checked.
    pub checked: usize,
    /// Number of items that could not be judged because a fault excuses them.
    pub excused: usize,
    /// Number of violations.
    pub violations: usize,
    /// Descriptions of the first violations.
    pub examples: Vec<String>,
}

impl CheckResult {
    /// A result without any checked items.
    pub fn new(name: &'static str) -> CheckResult {
        CheckResult { name, ..CheckResult::default() }
    }

    /// Whether there are no violations.
    pub fn holds(&self) -> bool {
        self.violations == 0
    }

    /// Counts a checked item, which is a violation if a description is given.
    pub fn record(&mut self, violation: Option<String>) {
        self.checked += 1;
        if let Some(line) = violation {
            self.violations += 1;
            if self.examples.len() < MAX_EXAMPLES {
                self.examples.push(line);
            }
        }
    }
}

impl fmt::Display for CheckResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = if self.holds() { "holds" } else { "BROKEN" };
        write!(
            f,
            "{word} {}: {} checked, {} excused, {} broken",
            self.name, self.checked, self.excused, self.violations
        )?;
        self.examples.iter().try_for_each(|line| write!(f, "\n    {line}"))
    }
}

/// Everything that was logged in a run.
#[derive(Clone, Debug, Default)]
pub struct RunRecord {
    /// The requests of clients.
    pub requests: Vec<Request>,
    /// The commands that backends received, by sequence number.
    pub commands: Vec<CommandRecord>,
    /// The updates that discovery sent.
    pub sent_updates: Vec<SentUpdate>,
    /// Outages of each gateway.
    pub outages: BTreeMap<String, Vec<Outage>>,
    /// Impairments of links.
    pub impairments: Vec<Impairment>,
    /// Times in which this machine stalled.
    pub machine_stalls: Vec<MachineStall>,
}

/// How much of the span the interval covers; an interval without an end lasts on.
fn overlap(span: (Duration, Duration), since: Duration, until: Option<Duration>) -> Duration {
    let end = until.map_or(span.1, |u| u.min(span.1));
    end.saturating_sub(since.max(span.0))
}

impl RunRecord {
    /// How long the gateway did not run within the span.
    pub(crate) fn outage_time(&self, gateway: &str, span: (Duration, Duration)) -> Duration {
        let outages = self.outages.get(gateway).into_iter().flatten();
        outages.map(|o| overlap(span, o.since, o.until)).sum()
    }

    /// How long this machine stalled within the span.
    pub(crate) fn stalled_time(&self, span: (Duration, Duration)) -> Duration {
        self.machine_stalls.iter().map(|h| overlap(span, h.0, Some(h.1))).sum()
    }

    /// How long a direction was impaired within the span.
    pub(crate) fn impaired_time(&self, from: &str, to: &str, span: (Duration, Duration)) -> Duration {
        let impairments = self.impairments.iter().filter(|p| p.from == from && p.to == to);
        impairments.map(|p| overlap(span, p.since, p.until)).sum()
    }

    /// Commands by the ids of their requests.
    pub(crate) fn commands_by_request(&self) -> BTreeMap<&str, Vec<&CommandRecord>> {
        let mut all: BTreeMap<&str, Vec<&CommandRecord>> = BTreeMap::new();
        self.commands.iter().for_each(|e| all.entry(e.id.as_str()).or_default().push(e));
        all
    }
}

fn describe_command(e: &CommandRecord) -> String {
    let s = |d: Duration| d.as_secs_f64();
    let verb = if e.is_write { "PWRITE" } else { "PREAD" };
    let ran =
        e.executed.map_or("not run".into(), |(at, sequence)| format!("ran {:.3} order {sequence}", s(at)));
    format!(
        "{} from {} {verb} {} volume={} number={:x} first {:.3} whole {:.3} order {} {ran} {:?}",
        e.backend,
        e.gateway,
        e.id,
        e.key.0,
        e.key.1,
        s(e.first_byte_at),
        s(e.last_byte_at),
        e.sequence,
        e.answer
    )
}

fn describe_request(r: &Request) -> String {
    let verb = if r.written.is_some() { "PWRITE" } else { "PREAD" };
    let (sent, ended) = (r.sent.0.as_secs_f64(), r.ended.0.as_secs_f64());
    let end = match &r.end {
        crate::clients::RequestEnd::Served(value) => format!("served {:?}", String::from_utf8_lossy(value)),
        other => format!("{other:?}"),
    };
    format!(
        "{} {verb} {} volume={} number={:x} sent {sent:.3} ended {ended:.3} {end}",
        r.gateway, r.id, r.key.0, r.key.1
    )
}
