//! A fleet of callers before one service that handles calls in turn, in simulated time.
#![allow(dead_code)]
pub mod yesterday;

use backoff::{Call, Caller, Failure, Law};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

pub const SECOND: i64 = 1_000_000;

/// What paces a caller: the law, or another to set it against.
pub trait Pace {
    fn start(law: Law, seed: u64, now: i64) -> Self;
    fn due(&self) -> Option<i64>;
    fn call(&mut self, now: i64) -> Call;
    fn failed(&mut self, now: i64, number: u64, failure: Failure);
    fn up(&mut self, now: i64);
    fn ended(&mut self, now: i64, failure: Failure);
}

impl Pace for Caller {
    fn start(law: Law, seed: u64, now: i64) -> Caller {
        let mut caller = Caller::new(law, seed, now);
        caller.spread(now);
        caller
    }
    fn due(&self) -> Option<i64> {
        Caller::due(self)
    }
    fn call(&mut self, now: i64) -> Call {
        Caller::call(self, now)
    }
    fn failed(&mut self, now: i64, number: u64, failure: Failure) {
        Caller::failed(self, now, number, failure);
    }
    fn up(&mut self, now: i64) {
        Caller::up(self, now);
    }
    fn ended(&mut self, now: i64, failure: Failure) {
        Caller::ended(self, now, failure);
    }
}

/// How the service turns calls away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Turns {
    /// At once, where it foresees that a call would wait too long.
    Away,
    /// Once a call has waited that long.
    Late,
}

/// How it is while it does not serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Nobody listens.
    Down,
    /// Calls are answered that it can't.
    Unavailable,
}

/// The service.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    /// The work of one call that is answered, and of one that is turned away (µs).
    pub serves: i64,
    pub refuses: i64,
    /// The longest that a call waits for its turn (µs).
    pub waits: i64,
    pub turns: Turns,
    pub outage: Outage,
}

enum What {
    Due(usize, u32),
    Served(usize, u64),
    Failed(usize, u64, Failure),
    Start(usize),
}

/// What is seen of one run.
#[derive(Debug, Default)]
pub struct Seen {
    /// When each caller had its list last (µs).
    pub listed: Vec<Option<i64>>,
    /// Calls in each tenth of a second.
    pub calls: Vec<u32>,
    /// Calls that were answered and were not wanted any more.
    pub wasted: u32,
}

impl Seen {
    /// When that share of all had their list, counted from a time (s); none where they never had.
    pub fn by(&self, share: f64, from: i64) -> Option<f64> {
        let mut times: Vec<i64> = self.listed.iter().map(|t| t.unwrap_or(i64::MAX)).collect();
        times.sort_unstable();
        let place = ((times.len() as f64 * share).ceil() as usize).clamp(1, times.len());
        let at = times[place - 1];
        (at < i64::MAX).then(|| (at - from).max(0) as f64 / 1e6)
    }

    /// The most calls in any second between two times.
    pub fn most(&self, from: i64, to: i64) -> u32 {
        let tenth = |t: i64| (t / 100_000) as usize;
        let (from, to) = (tenth(from), tenth(to).min(self.calls.len()));
        (from..to.max(from))
            .map(|n| self.calls[n..(n + 10).min(self.calls.len())].iter().sum())
            .max()
            .unwrap_or(0)
    }
}

pub struct Fleet<P> {
    pub service: Service,
    callers: Vec<P>,
    /// Guards against what was planned for an earlier state of a caller.
    epochs: Vec<u32>,
    /// Calls given up, by caller.
    events: BinaryHeap<Reverse<(i64, u64, usize)>>,
    whats: Vec<What>,
    free_at: i64,
    outage: (i64, i64),
    pub seen: Seen,
}

impl<P: Pace> Fleet<P> {
    /// A fleet of which each caller starts at a time.
    pub fn new(service: Service, starts: &[i64], outage: (i64, i64), seed: u64) -> Fleet<P> {
        let law = Law::fleet(starts.len() as u32);
        let callers = starts.iter().enumerate();
        let callers =
            callers.map(|(n, at)| P::start(law, seed.wrapping_mul(1_000_003) + n as u64, *at)).collect();
        let seen = Seen { listed: vec![None; starts.len()], ..Seen::default() };
        let epochs = vec![0; starts.len()];
        let mut fleet = Fleet {
            service,
            callers,
            epochs,
            events: BinaryHeap::new(),
            whats: vec![],
            free_at: 0,
            outage,
            seen,
        };
        (0..starts.len()).for_each(|n| fleet.plan(n));
        fleet
    }

    fn push(&mut self, at: i64, what: What) {
        self.whats.push(what);
        self.events.push(Reverse((at, self.whats.len() as u64, self.whats.len() - 1)));
    }

    fn plan(&mut self, n: usize) {
        self.epochs[n] += 1;
        if let Some(due) = self.callers[n].due() {
            self.push(due, What::Due(n, self.epochs[n]));
        }
    }

    /// All watches end in that instant.
    pub fn cut(&mut self, now: i64, which: impl Iterator<Item = usize>, failure: Failure) {
        for n in which {
            self.seen.listed[n] = None;
            self.callers[n].ended(now, failure);
            self.plan(n);
        }
    }

    /// Callers that are killed, and start again later with another seed.
    pub fn restart(&mut self, at: i64, which: impl Iterator<Item = usize>) {
        for n in which {
            self.push(at, What::Start(n));
        }
    }

    pub fn run(&mut self, until: i64) {
        while let Some(Reverse((at, _, place))) = self.events.peek().copied() {
            if at > until {
                return;
            }
            self.events.pop();
            match std::mem::replace(&mut self.whats[place], What::Due(0, 0)) {
                What::Due(n, epoch) if epoch == self.epochs[n] && epoch > 0 => self.call(at, n),
                What::Due(..) => {}
                What::Start(n) => {
                    self.seen.listed[n] = None;
                    self.callers[n] =
                        P::start(Law::fleet(self.callers.len() as u32), place as u64 ^ 0x5eed, at);
                    self.plan(n);
                }
                What::Served(n, _) => {
                    if self.callers[n].due().is_some() {
                        self.callers[n].up(at);
                        self.seen.listed[n] = Some(at);
                        self.epochs[n] += 1;
                    } else {
                        self.seen.wasted += 1;
                    }
                }
                What::Failed(n, number, failure) => {
                    if self.callers[n].due().is_some() {
                        self.callers[n].failed(at, number, failure);
                        self.plan(n);
                    }
                }
            }
        }
    }

    fn call(&mut self, now: i64, n: usize) {
        let number = self.callers[n].call(now).number;
        let tenth = (now / 100_000) as usize;
        let calls = &mut self.seen.calls;
        calls.resize(calls.len().max(tenth + 1), 0);
        calls[tenth] += 1;
        let s = self.service;
        if (self.outage.0..self.outage.1).contains(&now) {
            let failure = if s.outage == Outage::Down { Failure::Down } else { Failure::Overbooked };
            self.push(now + 300, What::Failed(n, number, failure));
        } else {
            let begins = self.free_at.max(now);
            if begins - now > s.waits {
                self.free_at = begins + s.refuses;
                let told = if s.turns == Turns::Away { now + 300 } else { now + s.waits };
                self.push(told, What::Failed(n, number, Failure::Overbooked));
            } else {
                self.free_at = begins + s.serves;
                self.push(begins + s.serves, What::Served(n, number));
            }
        }
        self.plan(n);
    }
}
