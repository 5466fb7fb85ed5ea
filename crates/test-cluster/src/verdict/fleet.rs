//! What must hold of boxes: drains, limits, how many are out, and that fronts agree.
use super::{entry_line, Evidence, Verdict};
use crate::boxes::{Answer, Entry};
use crate::discovery::{Lifecycle, Told};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Within so much of a link's heal comes what it had held.
const HELD: Duration = Duration::from_millis(400);

/// From when on the front had been told that the box drains or is gone, at that time; none where it had not.
fn told_off(told: &[&Told], place: &str, at: Duration) -> Option<Duration> {
    let mut since = None;
    for line in told.iter().filter(|t| t.at <= at) {
        let named = line.boxes.iter().find(|(name, _)| name == place).map(|(_, lifecycle)| *lifecycle);
        match named.or(line.whole.then_some(Lifecycle::Left)) {
            Some(Lifecycle::Active) => since = None,
            Some(_) => since = since.or(Some(line.at)),
            None => {}
        }
    }
    since
}

/// Nothing new comes to a box that drains, later than `grace` after its front was told. Time in which the front, its link to
/// discovery, its link to the box or this machine stood still does not count; a front whose link to discovery had been away has
/// `again` more, in which to ask anew.
pub fn drained(evidence: &Evidence, grace: Duration, again: Duration) -> Verdict {
    let mut verdict = Verdict::new("nothing new comes to a drained box");
    let mut by_front: BTreeMap<&str, Vec<&Told>> = BTreeMap::new();
    evidence.told.iter().for_each(|t| by_front.entry(&t.front).or_default().push(t));
    for e in &evidence.entries {
        let told = by_front.get(e.front.as_str()).map(Vec::as_slice).unwrap_or_default();
        let Some(since) = told_off(told, &e.place, e.first) else { continue };
        let span = (since, e.first);
        let away =
            evidence.unwell("discovery", &e.front, span) + evidence.unwell(&e.front, "discovery", span);
        let held = evidence.unwell(&e.front, &e.place, span) + evidence.unwell(&e.place, &e.front, span);
        let out = evidence.out(&e.front, span) + evidence.still(span);
        let more = if away.is_zero() { Duration::ZERO } else { again };
        let late = (e.first - since).saturating_sub(grace);
        if late.is_zero() || late <= away + held + out + more {
            verdict.excused += 1;
            continue;
        }
        let offence = format!("told {:.3}, late by {late:?}: {}", since.as_secs_f64(), entry_line(e));
        verdict.look(Some(offence));
    }
    verdict.checked = evidence.entries.len();
    verdict
}

/// A volume's limit over all fronts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Units in a second.
    pub rate: f64,
    /// Units at once.
    pub depth: f64,
    /// Units beyond these that do not offend.
    pub slack: f64,
}

/// What comes for a volume from all fronts keeps to its limit. What a link had held and lets go at once is left out.
pub fn limits(evidence: &Evidence, limit: impl Fn(&str) -> Option<Limit>) -> Verdict {
    let mut verdict = Verdict::new("the sum over fronts keeps to a volume's limit");
    let mut by_volume: BTreeMap<&str, Vec<&Entry>> = BTreeMap::new();
    for e in evidence.entries.iter().filter(|e| e.answer != Answer::Syntax) {
        by_volume.entry(&e.key.0).or_default().push(e);
    }
    for (volume, entries) in by_volume {
        let Some(limit) = limit(volume) else { continue };
        let (mut level, mut last) = (0.0, Duration::ZERO);
        for e in entries {
            let span = (e.whole.saturating_sub(HELD), e.whole);
            if !evidence.unwell(&e.front, &e.place, span).is_zero() {
                verdict.excused += 1;
                continue;
            }
            level = f64::max(0.0, level - (e.whole.saturating_sub(last)).as_secs_f64() * limit.rate);
            last = last.max(e.whole);
            level += f64::from(e.units);
            let over = level - limit.depth - limit.slack;
            verdict.look((over > 1e-6).then(|| format!("over by {over:.1}: {}", entry_line(e))));
            // Told once; what follows is judged from the limit on.
            level = level.min(limit.depth + limit.slack);
        }
    }
    verdict
}

/// What a gateway's lines say of backends suspended and resumed: `suspension backend=ID suspended=BOOL`.
pub fn bans(lines: &[(Duration, String)]) -> Vec<(Duration, String, bool)> {
    let read = |(at, line): &(Duration, String)| {
        let (backend, suspended) = line.strip_prefix("suspension backend=")?.split_once(" suspended=")?;
        Some((*at, backend.to_string(), suspended.trim() == "true"))
    };
    lines.iter().filter_map(read).collect()
}

/// Never more than so many are out at once, where each is counted from its first word that it is out to its last that it is in.
pub fn most_out(events: &[(Duration, String, bool)], allowed: usize) -> Verdict {
    let mut verdict = Verdict::new("never more boxes out than allowed");
    let mut events: Vec<_> = events.iter().collect();
    // At the same time one comes back before another goes.
    events.sort_by_key(|(at, _, out)| (*at, *out));
    let mut out: BTreeSet<&str> = BTreeSet::new();
    for (at, place, gone) in events {
        if *gone {
            out.insert(place);
        } else {
            out.remove(place.as_str());
        }
        let many = *gone && out.len() > allowed;
        verdict.look(
            many.then(|| format!("{:.3} {} out, {allowed} allowed: {out:?}", at.as_secs_f64(), out.len())),
        );
    }
    verdict
}

/// All have given the same answer. Each is a front's name and what it answered.
pub fn agree(answers: &[(String, String)]) -> Verdict {
    let mut verdict = Verdict::new("all fronts agree");
    for (front, answer) in answers {
        let first = &answers[0];
        let other =
            (*answer != first.1).then(|| format!("{front} says {answer:?}, {} says {:?}", first.0, first.1));
        verdict.look(other);
    }
    verdict
}

/// No process has ended by itself. Each line is one that has.
pub fn crashes(fronts: usize, lines: &[String]) -> Verdict {
    let mut verdict = Verdict::new("no process ends by itself");
    verdict.checked = fronts;
    verdict.broken = lines.len();
    verdict.first = lines.to_vec();
    verdict
}
