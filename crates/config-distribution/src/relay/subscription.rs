//! What a relay knows of one subscriber. Nothing is queued for it: what it is sent follows from its scope and version.
use crate::catalogue::Place;
use crate::message::Refusal;
use crate::names::Key;
use crate::scope::Scope;
use crate::settings::Settings;
use cluster_types::{Index, Time};
use std::sync::Arc;
use std::time::Duration;

/// How often a subscriber is told the sum over its scope.
pub(super) const SUM: Duration = Duration::from_secs(10);

/// How far it has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// Connected, and has not asked yet.
    Fresh,
    /// It is being sent all that its scope holds.
    Snapshot {
        /// The version as of the first piece.
        base: Index,
        /// After which key the next piece begins; none for the first.
        after: Option<Key>,
        /// Once all keys were walked: up to which place in the log it was sent what has changed meanwhile.
        late: Option<Place>,
        /// Whether a piece is out that was not answered yet.
        out: bool,
    },
    /// It holds everything up to `sent`, or is about to.
    Live,
}

#[derive(Debug)]
pub(super) struct Subscription {
    pub name: Arc<str>,
    pub scope: Scope,
    pub lineage: u64,
    pub state: State,
    /// Up to where it was sent everything.
    pub sent: Index,
    /// The message that it has not decided on yet: since when, and up to where.
    pub out: Option<(Time, Index)>,
    /// Since when something waits for it, and whether that goes ahead.
    pub waits: Option<(Time, bool)>,
    /// The first version in its scope that it has not decided on.
    pub owes: Option<Index>,
    /// When it was last sent anything, and a sum.
    pub told: Time,
    pub summed: Time,
    /// Since when nothing came that was due; counted from its joining at first.
    pub since: Time,
    pub refused: Vec<Refusal>,
}

impl Subscription {
    pub fn fresh(name: Arc<str>, now: Time) -> Subscription {
        Subscription {
            name,
            scope: Scope::of([]),
            lineage: 0,
            state: State::Fresh,
            sent: Index(0),
            out: None,
            waits: None,
            owes: None,
            told: now,
            summed: now,
            since: now,
            refused: vec![],
        }
    }

    pub fn owe(&mut self, now: Time, version: Index, ahead: bool) {
        // A relay that was behind its subscriber has now come to what that one holds already.
        if self.state == State::Live && version <= self.sent {
            return;
        }
        self.owes.get_or_insert(version);
        let (since, before) = self.waits.unwrap_or((now, false));
        self.waits = Some((since, before || ahead));
    }

    /// Whether it owes an answer.
    pub fn awaited(&self) -> bool {
        self.out.is_some() || matches!(self.state, State::Fresh | State::Snapshot { out: true, .. })
    }

    /// When something is due for it.
    pub fn due(&self, settings: &Settings) -> Time {
        let far = Time(u64::MAX);
        let answer = self.awaited().then(|| self.since + settings.patience);
        let waits = self.waits.filter(|_| self.state == State::Live && self.out.is_none());
        let waits = waits.map(|(since, ahead)| if ahead { since } else { since + settings.batch });
        let quiet = self.state == State::Live && self.out.is_none();
        let sum = if quiet { self.summed + SUM } else { far };
        // Also one that waits for its turn, or that takes long to decide, hears that the relay is there.
        let alive = (self.state != State::Fresh).then(|| (self.told + settings.alive).min(sum));
        [answer, waits, alive].into_iter().flatten().fold(far, Time::min)
    }
}
