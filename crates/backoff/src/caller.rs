//! One caller: when it makes calls, and which calls it abandons.
use crate::policy::{BackoffPolicy, Failure, PauseWindow, IDLE_TIMEOUT_US, MIN_PAUSE_US};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;

/// Maximum number of calls in flight; a further call replaces the oldest.
const MAX_CALLS: usize = 2;

/// A call to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// Its number, which is never reused.
    pub number: u64,
    /// The call that it replaces, which must be abandoned.
    pub replaces: Option<u64>,
}

/// A call in flight.
#[derive(Clone, Copy, Debug)]
struct CallInFlight {
    number: u64,
    started_at: i64,
}

/// Makes calls until a watch is established, and again after the watch has ended.
///
/// All times are in microseconds on one monotonic clock.
#[derive(Clone, Debug)]
pub struct Caller {
    policy: BackoffPolicy,
    random: SmallRng,
    /// Consecutive failures.
    failures: u32,
    next_call_at: i64,
    hedge_delay_us: i64,
    calls: VecDeque<CallInFlight>,
    last_number: u64,
    /// When the current watch was established; `None` without one.
    established_at: Option<i64>,
}

impl Caller {
    /// Creates a caller that makes its first call immediately. The seed spreads the calls of a fleet that fails as a whole.
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

    /// Replaces the policy after the number of callers has changed.
    pub fn set_policy(&mut self, policy: BackoffPolicy) {
        self.policy = policy;
    }

    /// When the next call is due; `None` while a watch is established.
    pub fn next_call_at(&self) -> Option<i64> {
        self.established_at.is_none().then_some(self.next_call_at)
    }

    /// Delays the first call, since the whole fleet may have started at the same moment.
    pub fn delay_first_call(&mut self, now: i64) {
        self.next_call_at = now + self.draw_pause_us(Failure::Ended);
    }

    /// Starts a call that is due or that was requested for another reason.
    pub fn start_call(&mut self, now: i64) -> Call {
        let replaced = if self.calls.len() >= MAX_CALLS { self.calls.pop_front() } else { None };
        self.last_number += 1;
        self.calls.push_back(CallInFlight { number: self.last_number, started_at: now });
        self.next_call_at = now + self.hedge_delay_us;
        Call { number: self.last_number, replaces: replaced.map(|call| call.number) }
    }

    /// Records that a call has failed; the failure of an abandoned call is ignored.
    ///
    /// The pause counts from the start of the call, so it includes the time for which the call waited at the service.
    pub fn call_failed(&mut self, now: i64, number: u64, failure: Failure) {
        let Some(index) = self.calls.iter().position(|call| call.number == number) else { return };
        let Some(call) = self.calls.remove(index) else { return };
        let pause_us = self.draw_pause_us(failure);
        self.next_call_at = (call.started_at + pause_us).max(now + MIN_PAUSE_US);
        self.failures = self.failures.saturating_add(1);
    }

    /// Records that a call has established a watch; all other calls must be abandoned.
    pub fn watch_established(&mut self, now: i64) {
        self.calls.clear();
        self.established_at = Some(now);
    }

    /// Records that the established watch has ended.
    ///
    /// One that ended before its idle timeout counts as a failure, like a failed call.
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

    /// Records that the service was replaced by another one, whose state is unknown. The first call to it is delayed, since
    /// the whole fleet may have been notified at the same moment.
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
