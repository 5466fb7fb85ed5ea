//! The pace before the law, to set it against: pauses that end at 0.8 s, and a call beside one that has waited for 1.7 s.
use super::Pace;
use backoff::{Call, Failure, Law};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub struct Yesterday {
    random: SmallRng,
    failures: u32,
    due: i64,
    up: bool,
    out: Vec<u64>,
    next: u64,
}

impl Yesterday {
    fn pause(&mut self) -> i64 {
        let most = 200_000 << self.failures.min(2);
        self.failures += 1;
        self.random.random_range(most / 2..most)
    }
}

impl Pace for Yesterday {
    fn start(_: Law, seed: u64, now: i64) -> Yesterday {
        let random = SmallRng::seed_from_u64(seed);
        let mut pace = Yesterday { random, failures: 0, due: now, up: false, out: vec![], next: 0 };
        pace.due = now + pace.pause();
        pace
    }
    fn due(&self) -> Option<i64> {
        (!self.up).then_some(self.due)
    }
    fn call(&mut self, now: i64) -> Call {
        let instead_of = (self.out.len() >= 2).then(|| self.out.remove(0));
        self.next += 1;
        self.out.push(self.next);
        self.due = now + 1_700_000;
        Call { number: self.next, instead_of }
    }
    fn failed(&mut self, now: i64, number: u64, _: Failure) {
        if self.out.contains(&number) {
            self.out.retain(|n| *n != number);
            self.due = self.due.min(now + self.pause());
        }
    }
    fn up(&mut self, _: i64) {
        (self.up, self.failures) = (true, 0);
        self.out.clear();
    }
    fn ended(&mut self, now: i64, _: Failure) {
        self.up = false;
        self.due = now + self.pause();
    }
}
