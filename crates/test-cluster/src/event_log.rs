//! Log of the events of a run, with their times. Events are kept, and also printed as they occur where
//! `RIG_STORY` is set.
use crate::runtime::{lock, Clock};
use std::fmt::Display;
use std::sync::Mutex;
use std::time::Duration;

/// Limit on the number of events that are kept.
const MAX_EVENTS: usize = 10_000;

/// The event log of a run.
pub struct EventLog {
    clock: Clock,
    prints: bool,
    events: Mutex<Vec<(Duration, String)>>,
}

impl EventLog {
    /// An empty event log.
    pub fn new(clock: Clock) -> EventLog {
        EventLog { clock, prints: std::env::var_os("RIG_STORY").is_some(), events: Mutex::default() }
    }

    /// Turns the printing of events on or off.
    pub fn set_printing(&mut self, prints: bool) {
        self.prints = prints;
    }

    /// Records an event.
    pub fn record(&self, description: impl Display) {
        let event = (self.clock.now(), description.to_string());
        if self.prints {
            eprintln!("{}", format_event(&event));
        }
        let mut events = lock(&self.events);
        if events.len() < MAX_EVENTS {
            events.push(event);
        }
    }

    /// All events, one per line.
    pub fn text(&self) -> String {
        lock(&self.events).iter().map(|event| format_event(event) + "\n").collect()
    }
}

fn format_event((at, description): &(Duration, String)) -> String {
    format!("{:9.3} {description}", at.as_secs_f64())
}
