//! One that serves a catalogue: a voter, or a relay without a vote.
mod event;
mod flush;
mod reports;
mod subscribe;
mod subscription;

pub use event::{Cut, RelayAction, RelayEvent, RelayFigures};

use crate::admission::Admission;
use crate::catalogue::Catalogue;
use crate::names::{Change, Class};
use crate::report::Fleet;
use crate::settings::Settings;
use cluster_types::{Index, Time};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use subscription::{State, Subscription};

/// The state of one that serves.
#[derive(Debug)]
pub struct Relay {
    settings: Settings,
    name: Arc<str>,
    catalogue: Catalogue,
    ready: bool,
    links: BTreeMap<u64, Subscription>,
    names: BTreeMap<Arc<str>, u64>,
    admission: Admission,
    /// Snapshots that wait for their next piece.
    pieces: VecDeque<u64>,
    fleet: Fleet,
    reported: Time,
    /// The number of the last report.
    number: u64,
    /// Since when it hears nothing of the log.
    alone: Option<Time>,
    figures: RelayFigures,
}

impl Relay {
    /// One that serves that catalogue; one without a vote begins to once it holds one.
    pub fn new(settings: Settings, name: &str, catalogue: Catalogue, now: Time) -> Relay {
        let (rate, most) = settings.admission;
        let ready = catalogue.lineage() != 0;
        Relay {
            settings,
            name: name.into(),
            catalogue,
            ready,
            links: BTreeMap::new(),
            names: BTreeMap::new(),
            admission: Admission::new(rate, most, now),
            pieces: VecDeque::new(),
            fleet: Fleet::default(),
            reported: now,
            number: 0,
            alone: None,
            figures: RelayFigures::default(),
        }
    }

    /// Numbers its reports from there on: above those of any earlier run, such as the microseconds of the wall clock.
    pub fn number(&mut self, from: u64) {
        self.number = from;
    }

    /// Since when nothing is heard of the log: [`crate::Subscriber::alone`] of its own, or what a voter knows. Subscribers are told.
    pub fn set_alone(&mut self, since: Option<Time>) {
        self.alone = since;
    }

    /// Names all control machines: until each has told, nothing counts as being everywhere.
    pub fn expect_reports(&mut self, relays: impl IntoIterator<Item = Arc<str>>) {
        self.fleet.expect_reports(relays);
    }

    /// Takes in an event and appends what is to be done.
    pub fn handle(&mut self, now: Time, event: RelayEvent, out: &mut Vec<RelayAction>) {
        // What one subscriber says is no reason to look at all others.
        let only = match &event {
            RelayEvent::Message { link, .. } => Some(*link),
            _ => None,
        };
        match event {
            RelayEvent::Tick => {}
            RelayEvent::Joined { link, name } => self.joined(now, link, name, out),
            RelayEvent::Left { link } => self.left(link),
            RelayEvent::Message { link, message } => self.message(now, link, message, out),
            RelayEvent::Applied(changes) => self.applied(now, &changes),
            RelayEvent::Reports(reports) => self.reports(now, reports),
        }
        self.flush(now, only, out);
        self.report(now, out);
    }

    /// What it serves.
    pub fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// Changes what it serves; [`RelayEvent::Applied`] has to follow.
    pub fn catalogue_mut(&mut self) -> &mut Catalogue {
        &mut self.catalogue
    }

    /// Another log, or all of one: whoever is subscribed is sent all of it.
    pub fn restored(&mut self, now: Time, out: &mut Vec<RelayAction>) {
        self.ready = true;
        let links: Vec<u64> = self.links.keys().copied().collect();
        for link in links {
            let holds = self.links.get(&link).is_some_and(|s| {
                s.state == State::Live
                    && s.lineage == self.catalogue.lineage()
                    && s.sent >= self.catalogue.floor()
            });
            if !holds {
                self.close(link, Cut::Later, out);
            }
        }
        let changes = vec![];
        self.handle(now, RelayEvent::Applied(changes), out);
    }

    /// Where changes are in force.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// When it wants to be told of the time.
    pub fn wake(&self, now: Time) -> Time {
        let due = self.links.values().map(|s| s.due(&self.settings)).min();
        let report = self.reported + self.settings.report;
        let pieces = self.pieces.front().map(|_| now + std::time::Duration::from_millis(10));
        [due, pieces].into_iter().flatten().fold(report, Time::min)
    }

    /// What was done and turned down.
    pub fn figures(&self) -> &RelayFigures {
        &self.figures
    }

    /// Who is subscribed: how many.
    pub fn subscribed(&self) -> usize {
        self.links.values().filter(|s| s.state != State::Fresh).count()
    }

    fn applied(&mut self, now: Time, changes: &[Change]) {
        for subscription in self.links.values_mut().filter(|s| s.state != State::Fresh) {
            for change in changes {
                if subscription.scope.holds(&change.key.topic) {
                    subscription.owe(now, change.version, change.class == Class::Primary);
                }
            }
        }
    }

    fn joined(&mut self, now: Time, link: u64, name: Arc<str>, out: &mut Vec<RelayAction>) {
        if let Some(before) = self.names.insert(name.clone(), link) {
            self.close(before, Cut::Replaced, out);
            self.names.insert(name.clone(), link);
        }
        self.links.insert(link, Subscription::fresh(name, now));
    }

    fn left(&mut self, link: u64) {
        if let Some(gone) = self.links.remove(&link) {
            if self.names.get(&gone.name) == Some(&link) {
                self.names.remove(&gone.name);
            }
        }
    }

    fn close(&mut self, link: u64, why: Cut, out: &mut Vec<RelayAction>) {
        if self.links.contains_key(&link) {
            self.left(link);
            out.push(RelayAction::Close { link, why });
        }
    }

    fn applied_to(&self) -> Index {
        self.catalogue.applied()
    }
}
