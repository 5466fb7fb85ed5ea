//! One caller: when it calls, and which of its calls it gives up.
use crate::policy::{BackoffPolicy, Failure, PauseWindow, IDLE_TIMEOUT_US, MIN_PAUSE_US};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;

/// Maximum number of calls in flight; one more replaces the oldest.
const MAX_CALLS: usize = 2;

/// A call to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// Its number, never reused.
    pub number: u64,
    /// The call that it replaces, which is to be given up.
    pub replaces: Option<u64>,
}

/// A call in flight.
#[derive(Clone, Copy, Debug)]
struct CallInFlight {
    number: u64,
    started_at: i64,
}

/// Calls until a watch is established, and again when that has ended.
///
/// All times are in microseconds of one steady clock.
#[derive(Clone, Debug)]
pub struct Caller {
    policy: BackoffPolicy,
    random: SmallRng,
    /// Failures in a row.
    failures: u32,
    next_call_at: i64,
    hedge_delay_us: i64,
    calls: VecDeque<CallInFlight>,
    last_number: u64,
    /// Since when a watch is established.
    established_at: Option<i64>,
}

impl Caller {
    /// A caller that makes its first call at once. The seed spreads the calls: a whole fleet may fail at once.
    pub fn new(policy: BackoffPolicy, seed: u64, now: i64) -> Caller {
        Caller {
            policy,
            random: SmallRng::seed_from_u64(seed),
            failures: 0,
            next_call_at: now,
            hedge_delay_us: policy.hedge_delay_us(Failure::Ended),
            calls: VecDeque::new(),
            last_number: 0,
            established_at: None,
        }
    }

    /// Replaces the policy, when the number of callers has changed.
    pub fn set_policy(&mut self, policy: BackoffPolicy) {
        self.policy = policy;
    }

    /// When the next call is to be made; none while a watch is established.
    pub fn next_call_at(&self) -> Option<i64> {
        self.established_at.is_none().then_some(self.next_call_at)
    }

    /// Delays the first call: the whole fleet may have started at this moment.
    pub fn delay_first_call(&mut self, now: i64) {
        self.next_call_at = now + self.draw_pause_us(Failure::Ended);
    }

    /// Starts a call, because it is due or because something else asks for it.
    pub fn start_call(&mut self, now: i64) -> Call {
        let replaced = if self.calls.len() >= MAX_CALLS { self.calls.pop_front() } else { None };
        self.last_number += 1;
        self.calls.push_back(CallInFlight { number: self.last_number, started_at: now });
        self.next_call_at = now + self.hedge_delay_us;
        Call { number: self.last_number, replaces: replaced.map(|call| call.number) }
    }

    /// A call has failed; one that was given up changes nothing.
    ///
    /// The pause counts from the start of the call: the time for which it waited at the service is part of it.
    pub fn call_failed(&mut self, now: i64, number: u64, failure: Failure) {
        let Some(index) = self.calls.iter().position(|call| call.number == number) else { return };
        let Some(call) = self.calls.remove(index) else { return };
        let pause_us = self.draw_pause_us(failure);
        self.next_call_at = (call.started_at + pause_us).max(now + MIN_PAUSE_US);
        self.failures = self.failures.saturating_add(1);
    }

    /// A call has established a watch; all other calls are to be given up.
    pub fn watch_established(&mut self, now: i64) {
        self.calls.clear();
        self.established_at = Some(now);
    }

    /// The established watch has ended.
    ///
    /// One that ended before its idle timeout says no more than a call that failed.
    pub fn watch_ended(&mut self, now: i64, failure: Failure) {
        let established_at = self.established_at.take();
        let was_healthy = established_at.is_some_and(|since| now - since >= IDLE_TIMEOUT_US);
        if was_healthy {
            self.failures = 0;
        }
        self.next_call_at = now + self.draw_pause_us(failure);
        if !was_healthy {
            self.failures = self.failures.saturating_add(1);
        }
    }

    /// The service was replaced by another one, of which nothing is known. The whole fleet may have been notified
    /// at this moment.
    pub fn service_replaced(&mut self, now: i64) {
        (self.failures, self.established_at) = (0, None);
        self.calls.clear();
        self.delay_first_call(now);
    }

    fn draw_pause_us(&mut self, failure: Failure) -> i64 {
        self.hedge_delay_us = self.policy.hedge_delay_us(failure);
        let PauseWindow { start_us, end_us } = self.policy.pause_window(failure, self.failures);
        self.random.random_range(start_us..end_us.max(start_us + 1))
    }
}
