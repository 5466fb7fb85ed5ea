//! The way from the log to the machine that serves, and of orders into the log.
use super::mail::{Letter, Mailbox};
use crate::calls::{Answer, WAITING};
use crate::core::Core;
use crate::ledger::{Cataloged, What};
use crate::mail::Told;
use cluster_types::{Index, Time};
use config_distribution::{Report, WriteBatch};
use std::time::Duration;

/// A catalogue that is not there yet is asked for again after that.
const AGAIN: Duration = Duration::from_millis(400);

/// The host that serves what the log comes to.
pub struct Serves {
    to: async_channel::Sender<Letter>,
    /// Whether it has missed something: it is to be told all.
    missed: bool,
    /// When a catalogue was last asked for, where there is none.
    founding: Time,
}

impl Serves {
    pub(crate) fn new(mailbox: Mailbox) -> Serves {
        Serves { to: mailbox.to, missed: false, founding: Time(0) }
    }
}

impl Core {
    /// An entry was applied.
    pub(crate) fn cataloged(&mut self, catalogue: &Cataloged) {
        let Some(serves) = &mut self.serves else { return };
        match catalogue {
            Cataloged::Same => {}
            Cataloged::Founded => serves.missed = true,
            Cataloged::Ordered(version, order) if !serves.missed => {
                serves.missed = serves.to.try_send(Letter::Ordered(*version, order.clone())).is_err();
            }
            Cataloged::Ordered(..) => {}
        }
    }

    /// Sees to it that there is a catalogue, and tells all to a host that has missed something.
    pub(crate) fn serve(&mut self, now: Time) {
        let none = self.ledger.catalogue.log_id() == 0;
        if let Some(serves) = self.serves.as_mut().filter(|s| none && now.since(s.founding) >= AGAIN) {
            serves.founding = now;
            self.forward(now, 0, What::Founding);
        }
        let Some(serves) = self.serves.as_mut().filter(|s| s.missed) else { return };
        let catalogue = Box::new(self.ledger.catalogue.clone());
        serves.missed = serves.to.try_send(Letter::Catalogue(catalogue)).is_err();
    }

    /// Where changes are in force, by the word of another voter.
    pub(crate) fn reported(&self, reports: Vec<Report>) {
        if let Some(serves) = &self.serves {
            let _ = serves.to.try_send(Letter::Reports(reports));
        }
    }

    /// An operator's order: checked, and said until it is in the log.
    pub(crate) fn order(&mut self, now: Time, order: WriteBatch, to: Answer) {
        let refused = match order.check() {
            Err(fault) => Some(Told::Unknown(format!("{fault}\n"))),
            Ok(()) if self.serves.is_none() => Some(Told::No("this machine serves no changes\n".into())),
            Ok(()) if self.waiting.len() >= WAITING => Some(Told::Late("too many calls wait\n".into())),
            Ok(()) => None,
        };
        match refused {
            Some(told) => drop(to.try_send(told)),
            None => drop(self.say(now, What::Order(order), Some(to))),
        }
    }

    /// An order of this machine's is in the log.
    pub(crate) fn ordered(&mut self, ticket: u64, version: Index) {
        if let Some(answer) = self.waiting.remove(&ticket).and_then(|w| w.answer) {
            let _ = answer.try_send(Told::Yes(version.0.to_string()));
        }
    }
}
