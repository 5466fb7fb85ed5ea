//! The backoff that the policy replaced, for comparison: pauses of at most 0.8 s, and a hedge after 1.7 s.
use super::CallPacing;
use backoff::{BackoffPolicy, Call, Failure};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub struct FixedBackoff {
    random: SmallRng,
    failures: u32,
    due: i64,
    up: bool,
    out: Vec<u64>,
    next: u64,
}

impl FixedBackoff {
    fn pause(&mut self) -> i64 {
        let most = 200_000 << self.failures.min(2);
        self.failures += 1;
        self.random.random_range(most / 2..most)
    }
}

impl CallPacing for FixedBackoff {
    fn start(_: BackoffPolicy, seed: u64, now: i64) -> FixedBackoff {
        let random = SmallRng::seed_from_u64(seed);
        let mut pace = FixedBackoff { random, failures: 0, due: now, up: false, out: vec![], next: 0 };
        pace.due = now + pace.pause();
        pace
    }
    fn next_call_at(&self) -> Option<i64> {
        (!self.up).then_some(self.due)
    }
    fn start_call(&mut self, now: i64) -> Call {
        let replaces = (self.out.len() >= 2).then(|| self.out.remove(0));
        self.next += 1;
        self.out.push(self.next);
        self.due = now + 1_700_000;
        Call { number: self.next, replaces }
    }
    fn call_failed(&mut self, now: i64, number: u64, _: Failure) {
        if self.out.contains(&number) {
            self.out.retain(|n| *n != number);
            self.due = self.due.min(now + self.pause());
        }
    }
    fn watch_established(&mut self, _: i64) {
        (self.up, self.failures) = (true, 0);
        self.out.clear();
    }
    fn watch_ended(&mut self, now: i64, _: Failure) {
        self.up = false;
        self.due = now + self.pause();
    }
}
