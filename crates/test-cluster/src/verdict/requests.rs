//! What must hold of requests and bookings.
use super::{entry_line, request_line, Evidence, Verdict};
use crate::boxes::store::{Key, Shelf, NEVER_WRITTEN};
use crate::boxes::{trimmed, Answer, Entry};
use crate::clients::{End, Request};
use crate::engine::lock;
use std::collections::BTreeMap;
use std::time::Duration;

/// Where a booking must be found; none where its place has lost its data.
pub type Place<'a> = &'a dyn Fn(&Request) -> Option<(Shelf, Key)>;

/// How long after an outage what it has done to a connection may show.
const AFTER: Duration = Duration::from_millis(500);

fn lines(entries: &[&Entry]) -> String {
    entries.iter().map(|e| format!("\n      {}", entry_line(e))).collect()
}

/// Every request has exactly one final answer, or its connection has ended visibly.
pub fn one_answer(evidence: &Evidence) -> Verdict {
    let mut verdict = Verdict::new("every request has one final answer");
    for r in &evidence.requests {
        let silent = r.end == End::Unanswered;
        if silent && !evidence.out(&r.front, (r.sent.0, r.ended.0)).is_zero() {
            verdict.excused += 1;
            continue;
        }
        let senseless = matches!(&r.end, End::Failed(words) if words.starts_with("bytes that"));
        verdict.look(
            (silent || r.extra > 0 || senseless).then(|| format!("{} extra {}", request_line(r), r.extra)),
        );
    }
    verdict
}

/// A connection with a request on it ends only where its front did.
pub fn closed(evidence: &Evidence) -> Verdict {
    let mut verdict = Verdict::new("connections with a request end only with their front");
    for r in evidence.requests.iter().filter(|r| r.end != End::Unsent) {
        let span = (r.sent.0.saturating_sub(AFTER), r.ended.0);
        match r.end == End::Closed {
            true if !evidence.out(&r.front, span).is_zero() => verdict.excused += 1,
            closed => verdict.look(closed.then(|| request_line(r))),
        }
    }
    verdict
}

/// Every booking has run once at most, over all boxes.
pub fn booked_once(evidence: &Evidence) -> Verdict {
    let mut verdict = Verdict::new("every booking runs once at most");
    for (id, entries) in evidence.by_id() {
        let ran: Vec<&Entry> = entries.into_iter().filter(|e| e.write && e.ran.is_some()).collect();
        if !ran.is_empty() {
            verdict.look((ran.len() > 1).then(|| format!("{id} ran {} times{}", ran.len(), lines(&ran))));
        }
    }
    verdict
}

/// A booking that was refused has never run and never will.
pub fn refused_never_ran(evidence: &Evidence) -> Verdict {
    let mut verdict = Verdict::new("a refused booking never runs");
    let by_id = evidence.by_id();
    let refused = |r: &&Request| r.booked.is_some() && matches!(r.end, End::Busy(_) | End::Unsent);
    for r in evidence.requests.iter().filter(refused) {
        let all = by_id.get(r.id.as_str()).into_iter().flatten().copied();
        let ran: Vec<&Entry> = all.filter(|e| e.ran.is_some()).collect();
        verdict.look((!ran.is_empty()).then(|| format!("{}{}", request_line(r), lines(&ran))));
    }
    verdict
}

/// What was served came from a box, for this request; a served booking has run.
pub fn served(evidence: &Evidence) -> Verdict {
    let mut verdict = Verdict::new("what is served came from a box");
    let by_id = evidence.by_id();
    for r in &evidence.requests {
        let End::Served(value) = &r.end else { continue };
        let own = by_id.get(r.id.as_str()).cloned().unwrap_or_default();
        let gave =
            |e: &Entry| matches!(&e.answer, Answer::Value(v) if e.write || trimmed(v) == trimmed(value));
        // Over iSCSI a read has no id: it is known by what it gave.
        let tagged = || evidence.entries.iter().any(|e| e.id.starts_with("task-") && gave(e));
        let good = own.iter().any(|e| e.ran.is_some() && gave(e))
            || (r.booked.is_none() && own.is_empty() && tagged());
        verdict.look((!good).then(|| format!("{}{}", request_line(r), lines(&own))));
    }
    verdict
}

/// Every booking that was answered as served is in the data where the placement says.
pub fn found(evidence: &Evidence, place: Place<'_>) -> Verdict {
    let mut verdict = Verdict::new("a served booking is found where it belongs");
    for r in evidence.requests.iter().filter(|r| matches!(r.end, End::Served(_))) {
        let Some(booked) = &r.booked else { continue };
        let Some((shelf, key)) = place(r) else {
            verdict.excused += 1;
            continue;
        };
        let there = lock(&shelf).has_run(&key, booked);
        verdict.look((!there).then(|| request_line(r)));
    }
    verdict
}

/// A read never gives what a booking had overwritten that was answered as served before the read was sent. A booking whose
/// end is unknown may run at any time.
pub fn never_stale(evidence: &Evidence) -> Verdict {
    let mut verdict = Verdict::new("a read never gives an older value than was served before");
    let mut bookings: BTreeMap<&Key, Vec<&Request>> = BTreeMap::new();
    for r in evidence.requests.iter().filter(|r| r.booked.is_some()) {
        bookings.entry(&r.key).or_default().push(r);
    }
    for read in evidence.requests.iter().filter(|r| r.booked.is_none()) {
        let End::Served(value) = &read.end else { continue };
        let all = bookings.get(&read.key).map(Vec::as_slice).unwrap_or_default();
        let is_served = |r: &&&Request| matches!(r.end, End::Served(_));
        let before =
            all.iter().filter(is_served).filter(|r| r.ended.1 < read.sent.1).max_by_key(|r| r.sent.1);
        let source = all.iter().find(|r| r.booked.as_deref().is_some_and(|b| b == trimmed(value)));
        let offence = match (before, source) {
            (Some(newer), None) => Some(format!("{} gave what no booking wrote", request_line(newer))),
            (None, None) if trimmed(value) != NEVER_WRITTEN => Some("gave what no booking wrote".into()),
            (Some(newer), Some(source))
                if matches!(source.end, End::Served(_)) && source.ended.1 < newer.sent.1 =>
            {
                Some(format!("gave {}, older than {}", source.id, request_line(newer)))
            }
            (_, Some(source)) if source.sent.1 > read.ended.1 => Some("gave what was booked later".into()),
            _ => None,
        };
        verdict.look(offence.map(|o| format!("{}: {o}", request_line(read))));
    }
    verdict
}
