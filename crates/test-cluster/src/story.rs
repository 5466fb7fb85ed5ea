//! What a run did, step by step, with its time. Printed as it comes where `RIG_STORY` is set, else kept.
use crate::engine::{lock, Clock};
use std::fmt::Display;
use std::sync::Mutex;
use std::time::Duration;

/// The most steps that are kept.
const STEPS: usize = 10_000;

/// The steps.
pub struct Story {
    clock: Clock,
    shown: bool,
    steps: Mutex<Vec<(Duration, String)>>,
}

impl Story {
    /// A story without steps.
    pub fn new(clock: Clock) -> Story {
        Story { clock, shown: std::env::var_os("RIG_STORY").is_some(), steps: Mutex::default() }
    }

    /// Prints steps as they come, or no longer.
    pub fn show(&mut self, shown: bool) {
        self.shown = shown;
    }

    /// A step.
    pub fn step(&self, what: impl Display) {
        let step = (self.clock.now(), what.to_string());
        if self.shown {
            eprintln!("{}", line(&step));
        }
        let mut steps = lock(&self.steps);
        if steps.len() < STEPS {
            steps.push(step);
        }
    }

    /// All steps, one a line.
    pub fn text(&self) -> String {
        lock(&self.steps).iter().map(|step| line(step) + "\n").collect()
    }
}

fn line((at, what): &(Duration, String)) -> String {
    format!("{:9.3} {what}", at.as_secs_f64())
}
