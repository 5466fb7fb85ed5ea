//! Names of writes that may have been executed and must not be executed again, kept for a while after their final response.
use scheduler::interface::{Idempotency, Micros, Settings};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// How long a name is kept: twice the time after which any client has given up and come again.
const RETENTION_US: i64 = 10_000_000;
/// The most names that are kept; beyond it the oldest is forgotten.
const MAX_NAMES: usize = 8192;

/// The names, and which classes they are kept for.
pub(super) struct RecentWrites {
    /// For each class, whether its requests must not be executed twice.
    is_at_most_once: Vec<bool>,
    /// Until when each name is kept.
    expiry: BTreeMap<Rc<str>, Micros>,
    /// Names in the order of their expiry. One that was forgotten or renewed is still among them.
    order: VecDeque<(Micros, Rc<str>)>,
}

impl RecentWrites {
    pub(super) fn new(settings: &Settings) -> RecentWrites {
        let mut recent =
            RecentWrites { is_at_most_once: vec![], expiry: BTreeMap::new(), order: VecDeque::new() };
        recent.set_classes(settings);
        recent
    }

    /// Takes over the classes of new settings.
    pub(super) fn set_classes(&mut self, settings: &Settings) {
        let is_at_most_once = |idempotency| idempotency == Idempotency::AtMostOnce;
        self.is_at_most_once =
            settings.classes.iter().map(|class| is_at_most_once(class.idempotency)).collect();
    }

    /// Keeps the name of a request of this class from now on, if the class needs it.
    pub(super) fn keep(&mut self, now: Micros, class: usize, name: &Rc<str>) {
        if !self.is_at_most_once(class) {
            return;
        }
        let until = Micros(now.0 + RETENTION_US);
        self.expiry.insert(name.clone(), until);
        self.order.push_back((until, name.clone()));
        self.remove_expired(now);
    }

    /// Forgets a name: its request has proved not to have been executed.
    pub(super) fn forget(&mut self, name: &str) {
        self.expiry.remove(name);
    }

    /// Whether a request of this class must not be executed twice.
    pub(super) fn is_at_most_once(&self, class: usize) -> bool {
        self.is_at_most_once.get(class).copied().unwrap_or(true)
    }

    /// The names that are kept.
    pub(super) fn names(&self) -> impl Iterator<Item = &Rc<str>> {
        self.expiry.keys()
    }

    /// Whether a request with this name may have been executed lately.
    pub(super) fn contains(&mut self, now: Micros, name: &str) -> bool {
        self.remove_expired(now);
        self.expiry.contains_key(name)
    }

    fn remove_expired(&mut self, now: Micros) {
        while let Some((until, name)) = self.order.front() {
            if *until > now && self.order.len() <= MAX_NAMES {
                return;
            }
            if self.expiry.get(name) == Some(until) {
                self.expiry.remove(name);
            }
            self.order.pop_front();
        }
    }
}
