//! What goes out: changes that are due, pieces of snapshots, and a word where there is nothing to say.
use super::subscription::{State, SUM};
use super::{Cut, Relay, RelayAction};
use crate::catalogue::Since;
use crate::message::FromRelay;
use fleet::Time;

/// The fewest bytes that a piece is counted as.
const LEAST: usize = 128;

impl Relay {
    pub(super) fn flush(&mut self, now: Time, out: &mut Vec<RelayAction>) {
        let due: Vec<u64> =
            self.links.iter().filter(|(_, s)| s.due(&self.settings) <= now).map(|(link, _)| *link).collect();
        for link in due {
            let Some(s) = self.links.get(&link) else { continue };
            if s.awaited() {
                self.figures.slow += 1;
                self.close(link, Cut::Slow, out);
            } else if s.waits.is_some() {
                self.changes(now, link, out);
            } else {
                self.alive(now, link, out);
            }
        }
        self.send_pieces(now, out);
    }

    fn changes(&mut self, now: Time, link: u64, out: &mut Vec<RelayAction>) {
        let applied = self.applied_to();
        let Some(s) = self.links.get_mut(&link) else { return };
        let (from, since) = (s.sent, self.catalogue.since(&s.scope, s.sent, self.settings.message));
        s.waits = None;
        match since {
            Since::Changes(changes) if changes.is_empty() => s.sent = s.sent.max(applied),
            Since::Changes(changes) => {
                (s.sent, s.out, s.since, s.told) = (applied, Some((now, applied)), now, now);
                out.push(RelayAction::Send {
                    link,
                    message: FromRelay::Changes { from, upto: applied, changes },
                });
                self.figures.changes += 1;
            }
            Since::Snapshot => {
                self.figures.behind += 1;
                self.snapshot(link);
            }
        }
    }

    fn alive(&mut self, now: Time, link: u64, out: &mut Vec<RelayAction>) {
        let applied = self.applied_to();
        let Some(s) = self.links.get_mut(&link) else { return };
        // A subscriber may hold more than this relay does yet.
        let behind = s.sent > applied;
        s.sent = s.sent.max(applied);
        let sum = (now.since(s.summed) >= SUM && !behind).then(|| self.catalogue.sum(&s.scope));
        s.summed = if sum.is_some() { now } else { s.summed };
        s.told = now;
        out.push(RelayAction::Send { link, message: FromRelay::Alive { upto: s.sent, sum } });
    }

    fn send_pieces(&mut self, now: Time, out: &mut Vec<RelayAction>) {
        for _ in 0..self.pieces.len() {
            // Whoever waits keeps its turn; the store of tokens says how many go out now.
            if !self.admission.admit(now, 0) {
                return;
            }
            let Some(link) = self.pieces.pop_front() else { return };
            let applied = self.applied_to();
            let Some(s) = self.links.get_mut(&link) else { continue };
            let State::Snapshot { base, after, .. } = &s.state else { continue };
            let (base, first) = (*base, after.is_none());
            let (entries, next) = self.catalogue.piece(&s.scope, after.as_ref(), self.settings.piece);
            let bytes: usize = entries.iter().map(|c| c.bytes()).sum();
            let last = next.is_none();
            (s.since, s.told) = (now, now);
            self.figures.pieces += 1;
            out.push(RelayAction::Send { link, message: FromRelay::Piece { base, first, last, entries } });
            self.admission.admit(now, bytes.max(LEAST));
            if !last {
                s.state = State::Snapshot { base, after: next, out: true };
                continue;
            }
            // What has changed since the first piece makes it whole.
            match self.catalogue.since(&s.scope, base, usize::MAX) {
                Since::Changes(changes) => {
                    (s.state, s.sent, s.out, s.waits) = (State::Live, applied, Some((now, applied)), None);
                    let message = FromRelay::Changes { from: base, upto: applied, changes };
                    out.push(RelayAction::Send { link, message });
                }
                Since::Snapshot => self.snapshot(link),
            }
        }
    }
}
