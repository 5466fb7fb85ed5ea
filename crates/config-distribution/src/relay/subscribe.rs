//! Who subscribes, and what subscribers say.
use super::subscription::State;
use super::{Cut, Relay, RelayAction};
use crate::catalogue::Since;
use crate::message::{FromRelay, Refusal, ToRelay};
use crate::report::WORST;
use crate::scope::Scope;
use cluster_types::{Index, Time};

/// What a subscription takes beside what it is sent, in bytes.
const BESIDE: usize = 256;

impl Relay {
    pub(super) fn message(&mut self, now: Time, link: u64, message: ToRelay, out: &mut Vec<RelayAction>) {
        if !self.links.contains_key(&link) {
            return;
        }
        match message {
            ToRelay::Subscribe { lineage, scope, from } => {
                self.subscribe(now, link, lineage, scope, from, out)
            }
            ToRelay::Decided { upto, refused } => self.decided(now, link, upto, refused, out),
            ToRelay::Next => self.next(now, link, out),
            ToRelay::Report(report) => {
                let relay = self.links.get(&link).is_some_and(|s| {
                    s.state != State::Fresh && s.scope == Scope::Everything && *s.name == *report.relay
                });
                match relay && report.bounded() {
                    true => self.hand_on(now, report, out),
                    false => self.bad(link, out),
                }
            }
        }
    }

    fn bad(&mut self, link: u64, out: &mut Vec<RelayAction>) {
        self.figures.bad += 1;
        self.close(link, Cut::Bad, out);
    }

    fn subscribe(
        &mut self,
        now: Time,
        link: u64,
        lineage: u64,
        scope: Scope,
        from: Index,
        out: &mut Vec<RelayAction>,
    ) {
        if !scope.proper() {
            return self.bad(link, out);
        }
        let own = self.catalogue.lineage();
        let from = if lineage == own { from } else { Index(0) };
        // Of an older log, or of this one from a version that is told one by one still: only what came since.
        let since = match from > Index(0) {
            true => self.catalogue.since(&scope, from, self.settings.message),
            false => Since::Snapshot,
        };
        let bytes = BESIDE
            + match &since {
                Since::Changes(changes) => changes.iter().map(|c| c.bytes()).sum(),
                // Its pieces take tokens themselves.
                Since::Snapshot => 0,
            };
        let served = self.links.values().filter(|s| s.state != State::Fresh).count();
        let again = self.links.get(&link).is_some_and(|s| s.state != State::Fresh);
        if !self.ready || (!again && served >= self.settings.most) || !self.admission.admit(now, bytes) {
            self.figures.later += 1;
            out.push(RelayAction::Send { link, message: FromRelay::Later });
            return self.close(link, Cut::Later, out);
        }
        self.figures.admitted += 1;
        self.pieces.retain(|waits| *waits != link);
        let owes = self.catalogue.next(&scope, from).map(|(version, _)| version);
        let applied = self.applied_to();
        let Some(s) = self.links.get_mut(&link) else { return };
        (s.scope, s.lineage, s.since, s.told, s.summed) = (scope, own, now, now, now);
        (s.out, s.waits, s.owes, s.refused) = (None, None, owes, vec![]);
        out.push(RelayAction::Send { link, message: FromRelay::Subscribed { lineage: own } });
        match since {
            Since::Changes(changes) if changes.is_empty() => {
                // A relay that is behind its subscriber has nothing to tell until it is not.
                (s.state, s.sent, s.owes) = (State::Live, from.max(applied), None);
            }
            Since::Changes(changes) => {
                (s.state, s.sent, s.out) = (State::Live, applied, Some((now, applied)));
                out.push(RelayAction::Send {
                    link,
                    message: FromRelay::Changes { from, upto: applied, changes },
                });
                self.figures.changes += 1;
            }
            Since::Snapshot => self.snapshot(link),
        }
    }

    /// Begins to send all that a subscriber's scope holds.
    pub(super) fn snapshot(&mut self, link: u64) {
        let base = self.applied_to();
        if let Some(s) = self.links.get_mut(&link) {
            s.state = State::Snapshot { base, after: None, late: None, out: false };
            (s.out, s.waits) = (None, None);
            self.pieces.push_back(link);
        }
    }

    fn next(&mut self, now: Time, link: u64, out: &mut Vec<RelayAction>) {
        let Some(s) = self.links.get_mut(&link) else { return };
        match &mut s.state {
            State::Snapshot { out: out_, .. } if *out_ => {
                (*out_, s.since) = (false, now);
                self.pieces.push_back(link);
            }
            _ => self.bad(link, out),
        }
    }

    fn decided(
        &mut self,
        now: Time,
        link: u64,
        upto: Index,
        refused: Vec<Refusal>,
        out: &mut Vec<RelayAction>,
    ) {
        let Some(s) = self.links.get_mut(&link) else { return };
        let live = s.state == State::Live;
        if refused.len() > WORST
            || !refused.iter().all(Refusal::bounded)
            || s.state == State::Fresh
            || (live && upto > s.sent)
        {
            return self.bad(link, out);
        }
        s.refused = refused;
        // Only what answers a message is an answer: others don't make one that is slow quicker.
        if s.out.is_some_and(|(_, sent)| sent <= upto) {
            (s.out, s.since) = (None, now);
        }
        if live {
            s.owes = self.catalogue.next(&s.scope, upto).map(|(version, _)| version);
        }
    }
}
