//! Where changes are in force: this relay's own report, and those of others.
use super::subscription::{State, Subscription};
use super::{Relay, RelayAction};
use crate::message::FromRelay;
use crate::report::{Lag, Report, WORST};
use crate::scope::Scope;
use cluster_types::Time;
use std::time::Duration;

/// Reports that were not renewed for so long belong to relays that are gone.
const FORGET: Duration = Duration::from_secs(60);

impl Relay {
    /// Makes the report that is due: it goes to the other control machines, and to the relays that follow this one.
    pub(super) fn report(&mut self, now: Time, out: &mut Vec<RelayAction>) {
        if now.since(self.reported) < self.settings.report {
            return;
        }
        (self.reported, self.number) = (now, self.number.saturating_add(1));
        self.fleet.forget(now, FORGET);
        let report = self.own_report(now);
        self.fleet.take(now, report.clone());
        out.push(RelayAction::Reports(vec![report]));
        // What is old is not told again: to whoever hears it, it would be new.
        let all: Vec<Report> = self.fleet.recent(now, self.settings.report * 2).cloned().collect();
        for (link, _) in
            self.links.iter().filter(|(_, s)| s.scope == Scope::Everything && s.state == State::Live)
        {
            out.push(RelayAction::Send { link: *link, message: FromRelay::Fleet(all.clone()) });
        }
    }

    /// What others tell is not told again: each report is handed on once, by the one that it was told to.
    pub(super) fn reports(&mut self, now: Time, reports: Vec<Report>) {
        for report in reports {
            match *report.relay != *self.name && report.bounded() {
                true => drop(self.fleet.take(now, report)),
                false => self.figures.bad += u64::from(!report.bounded()),
            }
        }
    }

    /// A relay that follows this one has told of its fronts.
    pub(super) fn hand_on(&mut self, now: Time, report: Report, out: &mut Vec<RelayAction>) {
        if *report.relay != *self.name && self.fleet.take(now, report.clone()) {
            out.push(RelayAction::Reports(vec![report]));
        }
    }

    fn own_report(&self, now: Time) -> Report {
        let fronts =
            || self.links.values().filter(|s| s.state != State::Fresh && s.scope != Scope::Everything);
        let mut behind: Vec<&Subscription> = fronts().filter(|s| s.owes.is_some()).collect();
        behind.sort_by_key(|s| (s.owes, s.name.clone()));
        let lag = |s: &&Subscription| {
            let owes = s.owes?;
            Some(Lag { front: s.name.clone(), owes, why: why(s, now) })
        };
        let refusing: Vec<&Subscription> = fronts().filter(|s| !s.refused.is_empty()).collect();
        let refused = refusing.iter().flat_map(|s| s.refused.iter().map(|r| (s.name.clone(), r.clone())));
        Report {
            relay: self.name.clone(),
            number: self.number,
            applied: self.applied_to(),
            fronts: fronts().count() as u32,
            behind: behind.len() as u32,
            worst: behind.iter().take(WORST).filter_map(lag).collect(),
            refusing: refusing.len() as u32,
            refused: refused.take(WORST).collect(),
        }
    }
}

/// Why a front has not decided yet, as its relay sees it.
fn why(s: &Subscription, now: Time) -> String {
    match (&s.state, s.out) {
        (State::Snapshot { .. }, _) => "it is being sent all of its scope".into(),
        (_, Some((since, _))) => {
            format!("it was sent it {} ms ago and has not answered", now.since(since).as_millis())
        }
        _ => "it is to be sent it".into(),
    }
}
