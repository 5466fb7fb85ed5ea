//! Connections to relays, at the rate set by `backoff`.
use super::{caller_time, Subscriber, SubscriberAction};
use crate::message::SubscriberMessage;
use backoff::{Failure, IDLE_TIMEOUT_US};
use cluster_types::Time;
use std::time::Duration;

/// A connection that is open or being opened.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub connection: u64,
    pub relay: usize,
}

impl Subscriber {
    /// Disconnects from a relay that has been silent for too long, and opens the next connection when it is due.
    pub(super) fn connect_if_due(&mut self, now: Time, out: &mut Vec<SubscriberAction>) {
        let silence_limit = Duration::from_micros(IDLE_TIMEOUT_US as u64);
        let silent = self.followed.filter(|_| now.since(self.last_message_at) >= silence_limit);
        if let Some(connection) = silent {
            self.leave(now, connection, Failure::Silent, out);
        }
        let is_due = self.caller.next_call_at().is_some_and(|due| due <= caller_time(now));
        if is_due && self.followed.is_none() {
            self.connect(now, out);
        }
    }

    fn connect(&mut self, now: Time, out: &mut Vec<SubscriberAction>) {
        let call = self.caller.start_call(caller_time(now));
        if let Some(replaced) = call.replaces {
            self.attempts.retain(|attempt| attempt.connection != replaced);
            out.push(SubscriberAction::Close { connection: replaced });
        }
        let connection = call.number;
        let relay = (self.failed_attempts + self.attempts.len()) % self.relay_count;
        self.attempts.push(Attempt { connection, relay });
        self.stats.connection_attempts += 1;
        out.push(SubscriberAction::Connect { connection, relay });
    }

    /// The relay of a connection that is open or being opened.
    pub(super) fn relay_of(&self, connection: u64) -> Option<usize> {
        let attempt = self.attempts.iter().find(|attempt| attempt.connection == connection);
        attempt.map(|attempt| attempt.relay)
    }

    pub(super) fn connected(&mut self, connection: u64, out: &mut Vec<SubscriberAction>) {
        if self.relay_of(connection).is_some() {
            self.send_subscribe(connection, out);
        }
    }

    pub(super) fn send_subscribe(&mut self, connection: u64, out: &mut Vec<SubscriberAction>) {
        let from = self.state.up_to();
        self.requested_from = from;
        let message =
            SubscriberMessage::Subscribe { log_id: self.state.log_id(), scope: self.scope.clone(), from };
        out.push(SubscriberAction::Send { connection, message });
    }

    pub(super) fn disconnected(&mut self, now: Time, connection: u64, failure: Failure) {
        if self.followed == Some(connection) {
            // An incomplete snapshot is discarded; values that the host is applying are not affected.
            self.followed = None;
            self.staging = None;
            self.is_resubscribing = false;
            // The next attempt goes to another relay whatever the reason: a second failure at this one would cost another pause.
            self.failed_attempts = self.relay_of(connection).unwrap_or(0) + 1;
            self.caller.watch_ended(caller_time(now), failure);
        } else if self.relay_of(connection).is_some() {
            self.failed_attempts += 1;
            self.caller.call_failed(caller_time(now), connection, failure);
        }
        self.attempts.retain(|attempt| attempt.connection != connection);
        self.queued.retain(|(queued, _)| *queued != connection);
    }

    /// Closes a connection and treats it as failed.
    pub(super) fn leave(
        &mut self,
        now: Time,
        connection: u64,
        failure: Failure,
        out: &mut Vec<SubscriberAction>,
    ) {
        out.push(SubscriberAction::Close { connection });
        self.disconnected(now, connection, failure);
    }

    /// Follows a relay that has accepted the subscription, and closes all other connections.
    pub(super) fn follow(&mut self, now: Time, connection: u64, out: &mut Vec<SubscriberAction>) {
        self.caller.watch_established(caller_time(now));
        self.followed = Some(connection);
        self.staging = None;
        for attempt in self.attempts.iter().filter(|attempt| attempt.connection != connection) {
            out.push(SubscriberAction::Close { connection: attempt.connection });
        }
        self.attempts.retain(|attempt| attempt.connection == connection);
    }
}
