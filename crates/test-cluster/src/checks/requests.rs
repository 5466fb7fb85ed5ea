//! Checks on requests and writes.
use super::{describe_command, describe_request, CheckResult, RunRecord};
use crate::backends::store::{Key, SharedStore, NEVER_WRITTEN};
use crate::backends::{unpad, Answer, CommandRecord};
use crate::clients::{Request, RequestEnd};
use crate::runtime::lock;
use std::collections::BTreeMap;
use std::time::Duration;

/// Finds the store and key of a write; none if the store has lost its data.
pub type LocateWrite<'a> = &'a dyn Fn(&Request) -> Option<(SharedStore, Key)>;

/// How long after an outage its effect on a connection may show.
const OUTAGE_AFTEREFFECT: Duration = Duration::from_millis(500);

fn describe_commands(commands: &[&CommandRecord]) -> String {
    commands.iter().map(|e| format!("\n      {}", describe_command(e))).collect()
}

/// Every request gets exactly one final answer, or its connection ends visibly.
pub fn one_final_answer(run_record: &RunRecord) -> CheckResult {
    let mut result = CheckResult::new("every request gets one final answer");
    for r in &run_record.requests {
        let silent = r.end == RequestEnd::Unanswered;
        if silent && !run_record.outage_time(&r.gateway, (r.sent.0, r.ended.0)).is_zero() {
            result.excused += 1;
            continue;
        }
        let malformed = matches!(&r.end, RequestEnd::Failed(words) if words.starts_with("bytes that"));
        result.record(
            (silent || r.extra > 0 || malformed)
                .then(|| format!("{} extra {}", describe_request(r), r.extra)),
        );
    }
    result
}

/// A connection with an open request ends only when its gateway does.
pub fn connections_stay_open(run_record: &RunRecord) -> CheckResult {
    let mut result = CheckResult::new("connections with a request end only with their gateway");
    for r in run_record.requests.iter().filter(|r| r.end != RequestEnd::Unsent) {
        let span = (r.sent.0.saturating_sub(OUTAGE_AFTEREFFECT), r.ended.0);
        match r.end == RequestEnd::Closed {
            true if !run_record.outage_time(&r.gateway, span).is_zero() => result.excused += 1,
            closed => result.record(closed.then(|| describe_request(r))),
        }
    }
    result
}

/// Every write is executed at most once, over all backends.
pub fn writes_run_once(run_record: &RunRecord) -> CheckResult {
    let mut result = CheckResult::new("every write is executed at most once");
    for (id, commands) in run_record.commands_by_request() {
        let ran: Vec<&CommandRecord> =
            commands.into_iter().filter(|e| e.is_write && e.executed.is_some()).collect();
        if !ran.is_empty() {
            result.record(
                (ran.len() > 1)
                    .then(|| format!("{id} was executed {} times{}", ran.len(), describe_commands(&ran))),
            );
        }
    }
    result
}

/// A write that was refused has not been executed and never will be.
pub fn refused_writes_never_run(run_record: &RunRecord) -> CheckResult {
    let mut result = CheckResult::new("a refused write is never executed");
    let commands_by_request = run_record.commands_by_request();
    let refused =
        |r: &&Request| r.written.is_some() && matches!(r.end, RequestEnd::Busy(_) | RequestEnd::Unsent);
    for r in run_record.requests.iter().filter(refused) {
        let candidates = commands_by_request.get(r.id.as_str()).into_iter().flatten().copied();
        let ran: Vec<&CommandRecord> = candidates.filter(|e| e.executed.is_some()).collect();
        result
            .record((!ran.is_empty()).then(|| format!("{}{}", describe_request(r), describe_commands(&ran))));
    }
    result
}

/// A served value came from a backend for this request, and a served write has been executed.
pub fn served_by_backend(run_record: &RunRecord) -> CheckResult {
    let mut result = CheckResult::new("served values come from a backend");
    let commands_by_request = run_record.commands_by_request();
    for r in &run_record.requests {
        let RequestEnd::Served(got) = &r.end else { continue };
        let own = commands_by_request.get(r.id.as_str()).cloned().unwrap_or_default();
        let has_value =
            |e: &CommandRecord| matches!(&e.answer, Answer::Value(v) if e.is_write || unpad(v) == unpad(got));
        // A read over iSCSI carries no id: it is matched by the value that it returned.
        let tagged = || run_record.commands.iter().any(|e| e.id.starts_with("task-") && has_value(e));
        let good = own.iter().any(|e| e.executed.is_some() && has_value(e))
            || (r.written.is_none() && own.is_empty() && tagged());
        result.record((!good).then(|| format!("{}{}", describe_request(r), describe_commands(&own))));
    }
    result
}

/// Every write that was answered as served is in the data, where the placement says.
pub fn served_writes_are_stored(run_record: &RunRecord, locate: LocateWrite<'_>) -> CheckResult {
    let mut result = CheckResult::new("a served write is stored where it belongs");
    for r in run_record.requests.iter().filter(|r| matches!(r.end, RequestEnd::Served(_))) {
        let Some(written) = &r.written else { continue };
        let Some((store, key)) = locate(r) else {
            result.excused += 1;
            continue;
        };
        let is_stored = lock(&store).was_written(&key, written);
        result.record((!is_stored).then(|| describe_request(r)));
    }
    result
}

/// A read never returns a value that had been overwritten by a write that was answered as served before the
/// read was sent. A write whose outcome is unknown may be executed at any time.
pub fn reads_are_not_stale(run_record: &RunRecord) -> CheckResult {
    let mut result = CheckResult::new("a read never returns a value older than one served before");
    let mut writes_by_key: BTreeMap<&Key, Vec<&Request>> = BTreeMap::new();
    for r in run_record.requests.iter().filter(|r| r.written.is_some()) {
        writes_by_key.entry(&r.key).or_default().push(r);
    }
    for read in run_record.requests.iter().filter(|r| r.written.is_none()) {
        let RequestEnd::Served(value) = &read.end else { continue };
        let candidates = writes_by_key.get(&read.key).map(Vec::as_slice).unwrap_or_default();
        let is_served = |r: &&&Request| matches!(r.end, RequestEnd::Served(_));
        let before =
            candidates.iter().filter(is_served).filter(|r| r.ended.1 < read.sent.1).max_by_key(|r| r.sent.1);
        let source = candidates.iter().find(|r| r.written.as_deref().is_some_and(|b| b == unpad(value)));
        let violation = match (before, source) {
            (Some(newer), None) => Some(format!("{} returned what no write stored", describe_request(newer))),
            (None, None) if unpad(value) != NEVER_WRITTEN => Some("returned what no write stored".into()),
            (Some(newer), Some(source))
                if matches!(source.end, RequestEnd::Served(_)) && source.ended.1 < newer.sent.1 =>
            {
                Some(format!("returned {}, older than {}", source.id, describe_request(newer)))
            }
            (_, Some(source)) if source.sent.1 > read.ended.1 => {
                Some("returned what was written later".into())
            }
            _ => None,
        };
        result.record(violation.map(|o| format!("{}: {o}", describe_request(read))));
    }
    result
}
