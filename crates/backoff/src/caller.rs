//! One caller: when it calls, and which of its calls it gives up.
use crate::law::{Failure, Law, LEAST, LIVENESS};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;

/// So many calls may be out at once; one more takes the place of the oldest.
const CALLS: usize = 2;

/// A call that is to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// Its number, never used again.
    pub number: u64,
    /// The call that it takes the place of, which is to be given up.
    pub instead_of: Option<u64>,
}

/// Calls until one is answered by a watch, and again when that has ended.
#[derive(Clone, Debug)]
pub struct Caller {
    law: Law,
    random: SmallRng,
    failures: u32,
    due: i64,
    beside: i64,
    out: VecDeque<(u64, i64)>,
    next: u64,
    up: Option<i64>,
}

impl Caller {
    /// One that is to make its first call at once. The seed spreads the calls, for a whole fleet may fail at once.
    pub fn new(law: Law, seed: u64, now: i64) -> Caller {
        let (random, beside) = (SmallRng::seed_from_u64(seed), law.beside(Failure::Ended));
        Caller { law, random, failures: 0, due: now, beside, out: VecDeque::new(), next: 0, up: None }
    }

    /// The law counts for another number of callers from now on.
    pub fn obey(&mut self, law: Law) {
        self.law = law;
    }

    /// When the next call is to be made; none while a watch is up.
    pub fn due(&self) -> Option<i64> {
        self.up.is_none().then_some(self.due)
    }

    /// Puts the first call off: the whole fleet may have started in this instant.
    pub fn spread(&mut self, now: i64) {
        self.due = now + self.pause(Failure::Ended);
    }

    /// Calls now, because it is due or because something else asks for it.
    pub fn call(&mut self, now: i64) -> Call {
        let instead_of = if self.out.len() >= CALLS { self.out.pop_front().map(|(n, _)| n) } else { None };
        self.next += 1;
        self.out.push_back((self.next, now));
        self.due = now + self.beside;
        Call { number: self.next, instead_of }
    }

    /// A call has failed; one that was given up changes nothing.
    ///
    /// The pause counts from the call: what it waited for its turn is part of it, so that nothing but the law sets the pace.
    pub fn failed(&mut self, now: i64, number: u64, failure: Failure) {
        let Some(place) = self.out.iter().position(|(n, _)| *n == number) else { return };
        let Some((_, called)) = self.out.remove(place) else { return };
        self.due = (called + self.pause(failure)).max(now + LEAST);
        self.failures = self.failures.saturating_add(1);
    }

    /// A call was answered: its watch is up, and all others are to be given up.
    pub fn up(&mut self, now: i64) {
        self.out.clear();
        self.up = Some(now);
    }

    /// The watch that was up has ended.
    ///
    /// One that did not last as long as a healthy one may be quiet tells no more than a call that failed.
    pub fn ended(&mut self, now: i64, failure: Failure) {
        let lasted = self.up.take().is_some_and(|since| now - since >= LIVENESS);
        self.failures = if lasted { 0 } else { self.failures };
        self.due = now + self.pause(failure);
        self.failures = self.failures.saturating_add(u32::from(!lasted));
    }

    /// All that was observed belongs to another service. The whole fleet may have been told in this instant.
    pub fn moved(&mut self, now: i64) {
        (self.failures, self.up) = (0, None);
        self.out.clear();
        self.spread(now);
    }

    fn pause(&mut self, failure: Failure) -> i64 {
        self.beside = self.law.beside(failure);
        let (from, to) = self.law.window(failure, self.failures);
        self.random.random_range(from..to.max(from + 1))
    }
}
