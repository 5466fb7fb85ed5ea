//! Calls for a relay, by the law that counts for discovery too.
use super::{Action, Subscriber};
use crate::message::ToRelay;
use backoff::{Failure, IDLE_TIMEOUT_US};
use cluster_types::Time;
use std::time::Duration;

impl Subscriber {
    /// What is due: a call, or the end of a link that says nothing.
    pub(super) fn time(&mut self, now: Time, out: &mut Vec<Action>) {
        let silent = Duration::from_micros(IDLE_TIMEOUT_US as u64);
        if let Some(call) = self.follows.filter(|_| now.since(self.heard) >= silent) {
            out.push(Action::Close { call });
            self.down(now, call, Failure::Silent);
        }
        if self.caller.next_call_at().is_some_and(|due| due <= now.0 as i64) && self.follows.is_none() {
            let made = self.caller.start_call(now.0 as i64);
            if let Some(number) = made.replaces {
                self.calls.retain(|(call, _)| *call != number);
                out.push(Action::Close { call: number });
            }
            let relay = (self.passed + self.calls.len()) % self.relays;
            self.calls.push((made.number, relay));
            self.figures.calls += 1;
            out.push(Action::Connect { call: made.number, relay });
        }
    }

    /// The relay that a call goes to, where it is up or coming up.
    pub(super) fn relay_of(&self, call: u64) -> Option<usize> {
        self.calls.iter().find(|(number, _)| *number == call).map(|(_, relay)| *relay)
    }

    pub(super) fn up(&mut self, call: u64, out: &mut Vec<Action>) {
        if self.relay_of(call).is_some() {
            self.subscribe(call, out);
        }
    }

    pub(super) fn subscribe(&mut self, call: u64, out: &mut Vec<Action>) {
        let (lineage, scope, from) = (self.held.lineage(), self.scope.clone(), self.place());
        self.from = from;
        out.push(Action::Send { call, message: ToRelay::Subscribe { lineage, scope, from } });
    }

    pub(super) fn down(&mut self, now: Time, call: u64, failure: Failure) {
        if self.follows == Some(call) {
            // What came in part counts for nothing; what is being decided goes on.
            (self.follows, self.staging, self.asked) = (None, None, false);
            // Whatever ended it, another relay is the one to ask: the clock has no room for two pauses.
            self.passed = self.relay_of(call).unwrap_or(0) + 1;
            self.caller.watch_ended(now.0 as i64, failure);
        } else if self.relay_of(call).is_some() {
            self.passed += 1;
            self.caller.call_failed(now.0 as i64, call, failure);
        }
        self.calls.retain(|(number, _)| *number != call);
        self.waiting.retain(|(number, _)| *number != call);
    }

    /// A relay has taken this one on: all other calls are given up.
    pub(super) fn follow(&mut self, now: Time, call: u64, out: &mut Vec<Action>) {
        self.caller.watch_established(now.0 as i64);
        (self.follows, self.staging) = (Some(call), None);
        for (number, _) in self.calls.iter().filter(|(number, _)| *number != call) {
            out.push(Action::Close { call: *number });
        }
        self.calls.retain(|(number, _)| *number == call);
    }
}
