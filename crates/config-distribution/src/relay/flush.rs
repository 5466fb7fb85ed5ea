//! What goes out: changes that are due, pieces of snapshots, and a word where there is nothing to say.
use super::subscription::{State, SUM};
use super::{Cut, Relay, RelayAction};
use crate::catalogue::{Catalogue, Since};
use crate::message::FromRelay;
use cluster_types::{Index, Time};

/// The fewest bytes that a piece is counted as.
const LEAST: usize = 128;

impl Relay {
    /// What is due for all, or for one connection.
    pub(super) fn flush(&mut self, now: Time, only: Option<u64>, out: &mut Vec<RelayAction>) {
        let links = match only {
            Some(link) => self.links.range(link..=link),
            None => self.links.range(..),
        };
        let due: Vec<u64> =
            links.filter(|(_, s)| s.due(&self.settings) <= now).map(|(link, _)| *link).collect();
        for link in due {
            let Some(s) = self.links.get(&link) else { continue };
            if s.awaited() && s.since + self.settings.patience <= now {
                self.figures.slow += 1;
                self.close(link, Cut::Slow, out);
            } else if s.waits.is_some() && s.state == State::Live && s.out.is_none() {
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
            Since::Changes(changes) if changes.is_empty() => {
                (s.sent, s.owes) = (s.sent.max(applied), None);
            }
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
        let alone = self.alone.map(|since| now.since(since));
        let Some(s) = self.links.get_mut(&link) else { return };
        if s.state != State::Live || s.out.is_some() {
            // Nothing more than that the relay is there.
            s.told = now;
            let message = FromRelay::Alive { upto: Index(0), sum: None, alone };
            out.push(RelayAction::Send { link, message });
            return;
        }
        // A subscriber may hold more than this relay does yet.
        let behind = s.sent > applied;
        s.sent = s.sent.max(applied);
        let sum = (now.since(s.summed) >= SUM && !behind).then(|| self.catalogue.sum(&s.scope));
        s.summed = if sum.is_some() { now } else { s.summed };
        s.told = now;
        out.push(RelayAction::Send { link, message: FromRelay::Alive { upto: s.sent, sum, alone } });
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
            let State::Snapshot { base, after, late, .. } = s.state.clone() else { continue };
            let (first, most) = (after.is_none() && late.is_none(), self.settings.piece);
            // First all keys, in pieces; then what has changed meanwhile, in pieces too; then what is left of that.
            let (entries, after, late) = match late {
                Some(late) => {
                    let (entries, more) = self.catalogue.late(&s.scope, &late, most);
                    (entries, after, Some(more.unwrap_or_else(|| Catalogue::place(applied))))
                }
                None => {
                    let (entries, after) = self.catalogue.piece(&s.scope, after.as_ref(), most);
                    let late = after.is_none().then(|| Catalogue::place(base));
                    (entries, after, late)
                }
            };
            let forgotten = late.as_ref().is_some_and(|(version, _)| self.catalogue.floor() >= *version);
            let rest = late.as_ref().filter(|_| !forgotten);
            let rest = rest.map(|late| self.catalogue.late(&s.scope, late, self.settings.message));
            let last = forgotten || matches!(rest, Some((_, None)));
            let bytes: usize = entries.iter().map(|c| c.bytes()).sum();
            (s.since, s.told) = (now, now);
            self.figures.pieces += 1;
            out.push(RelayAction::Send { link, message: FromRelay::Piece { base, first, last, entries } });
            self.admission.admit(now, bytes.max(LEAST));
            match rest {
                // What is left makes it whole.
                Some((changes, None)) => {
                    (s.state, s.sent, s.out, s.waits) = (State::Live, applied, Some((now, applied)), None);
                    self.admission.admit(now, changes.iter().map(|c| c.bytes()).sum());
                    let message = FromRelay::Changes { from: base, upto: applied, changes };
                    out.push(RelayAction::Send { link, message });
                }
                // What was withdrawn meanwhile can't be told any more: from the beginning.
                _ if forgotten => self.snapshot(link),
                _ => s.state = State::Snapshot { base, after, late, out: true },
            }
        }
    }
}
