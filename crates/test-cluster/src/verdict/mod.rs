//! Verdicts: what must hold, whatever failed, judged on what boxes, discovery, fronts and clients have logged.
mod fleet;
mod requests;

pub use fleet::{agree, bans, crashes, drained, limits, most_out, Limit};
pub use requests::{booked_once, closed, found, never_stale, one_answer, refused_never_ran, served, Place};

use crate::boxes::Entry;
use crate::clients::Request;
use crate::discovery::Told;
use crate::engine::Hiccup;
use crate::fronts::Outage;
use crate::links::Pause;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Lines that are kept of what offends.
const SHOWN: usize = 8;

/// What was found.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// What must hold.
    pub name: &'static str,
    /// How much was looked at.
    pub checked: usize,
    /// How much could not be judged, for something that failed excuses it.
    pub excused: usize,
    /// How much offends.
    pub broken: usize,
    /// The first that offend.
    pub first: Vec<String>,
}

impl Verdict {
    /// Nothing looked at yet.
    pub fn new(name: &'static str) -> Verdict {
        Verdict { name, ..Verdict::default() }
    }

    /// Whether nothing offends.
    pub fn holds(&self) -> bool {
        self.broken == 0
    }

    /// One was looked at; it offends where there is a line.
    pub fn look(&mut self, offence: Option<String>) {
        self.checked += 1;
        if let Some(line) = offence {
            self.broken += 1;
            if self.first.len() < SHOWN {
                self.first.push(line);
            }
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = if self.holds() { "holds" } else { "BROKEN" };
        write!(
            f,
            "{word} {}: {} checked, {} excused, {} broken",
            self.name, self.checked, self.excused, self.broken
        )?;
        self.first.iter().try_for_each(|line| write!(f, "\n    {line}"))
    }
}

/// Everything that was logged in a run.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// What clients saw.
    pub requests: Vec<Request>,
    /// What came to boxes, in the rig's order.
    pub entries: Vec<Entry>,
    /// What discovery wrote.
    pub told: Vec<Told>,
    /// When each front did not run.
    pub outages: BTreeMap<String, Vec<Outage>>,
    /// When links were not well.
    pub pauses: Vec<Pause>,
    /// When this machine stood still.
    pub hiccups: Vec<Hiccup>,
}

/// The part of a span in which something was; what still is has no end.
fn overlap(span: (Duration, Duration), since: Duration, until: Option<Duration>) -> Duration {
    let end = until.map_or(span.1, |u| u.min(span.1));
    end.saturating_sub(since.max(span.0))
}

impl Evidence {
    /// How long the front did not run within a span.
    pub(crate) fn out(&self, front: &str, span: (Duration, Duration)) -> Duration {
        let outages = self.outages.get(front).into_iter().flatten();
        outages.map(|o| overlap(span, o.since, o.until)).sum()
    }

    /// How long this machine stood still within a span.
    pub(crate) fn still(&self, span: (Duration, Duration)) -> Duration {
        self.hiccups.iter().map(|h| overlap(span, h.0, Some(h.1))).sum()
    }

    /// How long a direction was not well within a span.
    pub(crate) fn unwell(&self, from: &str, to: &str, span: (Duration, Duration)) -> Duration {
        let pauses = self.pauses.iter().filter(|p| p.from == from && p.to == to);
        pauses.map(|p| overlap(span, p.since, p.until)).sum()
    }

    /// Entries by the ids of their requests.
    pub(crate) fn by_id(&self) -> BTreeMap<&str, Vec<&Entry>> {
        let mut all: BTreeMap<&str, Vec<&Entry>> = BTreeMap::new();
        self.entries.iter().for_each(|e| all.entry(e.id.as_str()).or_default().push(e));
        all
    }
}

fn entry_line(e: &Entry) -> String {
    let s = |d: Duration| d.as_secs_f64();
    let verb = if e.write { "PWRITE" } else { "PREAD" };
    let ran = e.ran.map_or("not run".into(), |(at, order)| format!("ran {:.3} order {order}", s(at)));
    format!(
        "{} from {} {verb} {} volume={} number={:x} first {:.3} whole {:.3} order {} {ran} {:?}",
        e.place,
        e.front,
        e.id,
        e.key.0,
        e.key.1,
        s(e.first),
        s(e.whole),
        e.order,
        e.answer
    )
}

fn request_line(r: &Request) -> String {
    let verb = if r.booked.is_some() { "PWRITE" } else { "PREAD" };
    let (sent, ended) = (r.sent.0.as_secs_f64(), r.ended.0.as_secs_f64());
    let end = match &r.end {
        crate::clients::End::Served(value) => format!("served {:?}", String::from_utf8_lossy(value)),
        other => format!("{other:?}"),
    };
    format!(
        "{} {verb} {} volume={} number={:x} sent {sent:.3} ended {ended:.3} {end}",
        r.front, r.id, r.key.0, r.key.1
    )
}
