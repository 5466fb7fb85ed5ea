//! The backoff that the policy replaced, for comparison: pauses of at most 0.8 s, and a hedge after 1.7 s.
use super::CallPacing;
use backoff::{BackoffPolicy, Call, Failure};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub struct FixedBackoff {
    random: SmallRng,
    failures: u32,
    next_call_at_us: i64,
    is_watching: bool,
    in_flight: Vec<u64>,
    last_number: u64,
}

impl FixedBackoff {
    fn draw_pause_us(&mut self) -> i64 {
        let window_end_us = 200_000 << self.failures.min(2);
        self.failures += 1;
        self.random.random_range(window_end_us / 2..window_end_us)
    }
}

impl CallPacing for FixedBackoff {
    fn start(_: BackoffPolicy, seed: u64, now: i64) -> FixedBackoff {
        let random = SmallRng::seed_from_u64(seed);
        let mut caller = FixedBackoff {
            random,
            failures: 0,
            next_call_at_us: now,
            is_watching: false,
            in_flight: vec![],
            last_number: 0,
        };
        caller.next_call_at_us = now + caller.draw_pause_us();
        caller
    }
    fn next_call_at(&self) -> Option<i64> {
        (!self.is_watching).then_some(self.next_call_at_us)
    }
    fn start_call(&mut self, now: i64) -> Call {
        let replaces = (self.in_flight.len() >= 2).then(|| self.in_flight.remove(0));
        self.last_number += 1;
        self.in_flight.push(self.last_number);
        self.next_call_at_us = now + 1_700_000;
        Call { number: self.last_number, replaces }
    }
    fn call_failed(&mut self, now: i64, number: u64, _: Failure) {
        if self.in_flight.contains(&number) {
            self.in_flight.retain(|n| *n != number);
            self.next_call_at_us = self.next_call_at_us.min(now + self.draw_pause_us());
        }
    }
    fn watch_established(&mut self, _: i64) {
        (self.is_watching, self.failures) = (true, 0);
        self.in_flight.clear();
    }
    fn watch_ended(&mut self, now: i64, _: Failure) {
        self.is_watching = false;
        self.next_call_at_us = now + self.draw_pause_us();
    }
}
