//! Checks on backends: drains, volume limits, the number of suspended backends, and agreement between
//! gateways.
use super::{describe_command, CheckResult, RunRecord};
use crate::backends::{Answer, CommandRecord};
use crate::discovery::{Lifecycle, SentUpdate};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time after a link heals in which the data that it had held back arrives.
const BACKLOG_AFTER_HEAL: Duration = Duration::from_millis(400);

/// Since when the gateway knew, at that time, that the backend was draining or gone; none if it did not know.
fn drain_notified_at(sent_updates: &[&SentUpdate], backend: &str, at: Duration) -> Option<Duration> {
    let mut since = None;
    for update in sent_updates.iter().filter(|t| t.at <= at) {
        let named = update.backends.iter().find(|(name, _)| name == backend).map(|(_, lifecycle)| *lifecycle);
        match named.or(update.is_full_list.then_some(Lifecycle::Left)) {
            Some(Lifecycle::Active) => since = None,
            Some(_) => since = since.or(Some(update.at)),
            None => {}
        }
    }
    since
}

/// No new command comes to a draining backend later than `grace` after its gateway was notified. Time in
/// which the gateway, its link to discovery, its link to the backend or this machine was stopped does not
/// count. A gateway whose link to discovery was down has `retry_grace` more to ask again.
pub fn drained_backends_get_nothing_new(
    run_record: &RunRecord,
    grace: Duration,
    retry_grace: Duration,
) -> CheckResult {
    let mut result = CheckResult::new("a drained backend gets no new commands");
    let mut by_gateway: BTreeMap<&str, Vec<&SentUpdate>> = BTreeMap::new();
    run_record.sent_updates.iter().for_each(|t| by_gateway.entry(&t.gateway).or_default().push(t));
    for e in &run_record.commands {
        let sent_updates = by_gateway.get(e.gateway.as_str()).map(Vec::as_slice).unwrap_or_default();
        let Some(since) = drain_notified_at(sent_updates, &e.backend, e.first_byte_at) else { continue };
        let span = (since, e.first_byte_at);
        let away = run_record.impaired_time("discovery", &e.gateway, span)
            + run_record.impaired_time(&e.gateway, "discovery", span);
        let held = run_record.impaired_time(&e.gateway, &e.backend, span)
            + run_record.impaired_time(&e.backend, &e.gateway, span);
        let outage = run_record.outage_time(&e.gateway, span) + run_record.stalled_time(span);
        let more = if away.is_zero() { Duration::ZERO } else { retry_grace };
        let late = (e.first_byte_at - since).saturating_sub(grace);
        if late.is_zero() || late <= away + held + outage + more {
            result.excused += 1;
            continue;
        }
        let violation =
            format!("notified at {:.3}, late by {late:?}: {}", since.as_secs_f64(), describe_command(e));
        result.record(Some(violation));
    }
    result.checked = run_record.commands.len();
    result
}

/// The limit of a volume over all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VolumeLimit {
    /// Rate in units per second.
    pub rate: f64,
    /// Burst in units.
    pub depth: f64,
    /// Units beyond the limit that are tolerated.
    pub slack: f64,
}

/// The commands of all gateways for a volume keep to its limit. Commands that an impaired link held back and
/// released at once are left out.
pub fn volume_limits_hold(
    run_record: &RunRecord,
    limit: impl Fn(&str) -> Option<VolumeLimit>,
) -> CheckResult {
    let mut result = CheckResult::new("the sum over gateways keeps to a volume's limit");
    let mut by_volume: BTreeMap<&str, Vec<&CommandRecord>> = BTreeMap::new();
    for e in run_record.commands.iter().filter(|e| e.answer != Answer::Syntax) {
        by_volume.entry(&e.key.0).or_default().push(e);
    }
    for (volume, commands) in by_volume {
        let Some(limit) = limit(volume) else { continue };
        let (mut level, mut last) = (0.0, Duration::ZERO);
        for e in commands {
            let span = (e.last_byte_at.saturating_sub(BACKLOG_AFTER_HEAL), e.last_byte_at);
            if !run_record.impaired_time(&e.gateway, &e.backend, span).is_zero() {
                result.excused += 1;
                continue;
            }
            level = f64::max(0.0, level - (e.last_byte_at.saturating_sub(last)).as_secs_f64() * limit.rate);
            last = last.max(e.last_byte_at);
            level += f64::from(e.units);
            let over = level - limit.depth - limit.slack;
            result.record((over > 1e-6).then(|| format!("over by {over:.1}: {}", describe_command(e))));
            // Reported once; later commands are judged from the limit on.
            level = level.min(limit.depth + limit.slack);
        }
    }
    result
}

/// Reads suspensions and resumptions of backends from a gateway's log lines: `suspension backend=ID
/// suspended=BOOL`.
pub fn suspensions(lines: &[(Duration, String)]) -> Vec<(Duration, String, bool)> {
    let read = |(at, line): &(Duration, String)| {
        let (backend, suspended) = line.strip_prefix("suspension backend=")?.split_once(" suspended=")?;
        Some((*at, backend.to_string(), suspended.trim() == "true"))
    };
    lines.iter().filter_map(read).collect()
}

/// At no time more backends are suspended than allowed. A backend counts from the first line that says so
/// until the last one that says that it was resumed.
pub fn suspended_at_most(events: &[(Duration, String, bool)], allowed: usize) -> CheckResult {
    let mut result = CheckResult::new("never more backends suspended than allowed");
    let mut events: Vec<_> = events.iter().collect();
    // Of events at the same time, resumptions come before suspensions.
    events.sort_by_key(|(at, _, suspended)| (*at, *suspended));
    let mut suspended: BTreeSet<&str> = BTreeSet::new();
    for (at, backend, is_suspended) in events {
        if *is_suspended {
            suspended.insert(backend);
        } else {
            suspended.remove(backend.as_str());
        }
        let is_violation = *is_suspended && suspended.len() > allowed;
        result.record(is_violation.then(|| {
            format!("{:.3} {} suspended, {allowed} allowed: {suspended:?}", at.as_secs_f64(), suspended.len())
        }));
    }
    result
}

/// All gateways have given the same answer. `answers` holds names of gateways and their answers.
pub fn gateways_agree(answers: &[(String, String)]) -> CheckResult {
    let mut result = CheckResult::new("all gateways agree");
    for (gateway, answer) in answers {
        let first = &answers[0];
        let differing = (*answer != first.1)
            .then(|| format!("{gateway} answers {answer:?}, {} answers {:?}", first.0, first.1));
        result.record(differing);
    }
    result
}

/// No process has exited unasked. Each line describes one that has.
pub fn no_crashes(gateways: usize, lines: &[String]) -> CheckResult {
    let mut result = CheckResult::new("no process exits unasked");
    result.checked = gateways;
    result.violations = lines.len();
    result.examples = lines.to_vec();
    result
}
