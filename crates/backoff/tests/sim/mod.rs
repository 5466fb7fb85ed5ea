//! A fleet of callers and one service that handles calls one after the other, in simulated time.
#![allow(dead_code)]
pub mod fixed_backoff;

use backoff::{BackoffPolicy, Call, Caller, Failure};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

pub const SECOND: i64 = 1_000_000;

/// Decides when a caller makes calls: [`Caller`], or another implementation for comparison.
pub trait CallPacing {
    fn start(policy: BackoffPolicy, seed: u64, now: i64) -> Self;
    fn next_call_at(&self) -> Option<i64>;
    fn start_call(&mut self, now: i64) -> Call;
    fn call_failed(&mut self, now: i64, number: u64, failure: Failure);
    fn watch_established(&mut self, now: i64);
    fn watch_ended(&mut self, now: i64, failure: Failure);
}

impl CallPacing for Caller {
    fn start(policy: BackoffPolicy, seed: u64, now: i64) -> Caller {
        let mut caller = Caller::new(policy, seed, now);
        caller.delay_first_call(now);
        caller
    }
    fn next_call_at(&self) -> Option<i64> {
        Caller::next_call_at(self)
    }
    fn start_call(&mut self, now: i64) -> Call {
        Caller::start_call(self, now)
    }
    fn call_failed(&mut self, now: i64, number: u64, failure: Failure) {
        Caller::call_failed(self, now, number, failure);
    }
    fn watch_established(&mut self, now: i64) {
        Caller::watch_established(self, now);
    }
    fn watch_ended(&mut self, now: i64, failure: Failure) {
        Caller::watch_ended(self, now, failure);
    }
}

/// When the service rejects calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejections {
    /// Immediately, if a call would wait too long.
    Immediate,
    /// After a call has waited too long.
    Late,
}

/// How the service fails during an outage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// It accepts no connections.
    Down,
    /// It rejects all calls.
    Unavailable,
}

/// The simulated service.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    /// The time to serve a call, in microseconds.
    pub serve_us: i64,
    /// The time to reject a call, in microseconds.
    pub reject_us: i64,
    /// The longest time for which a call waits in the queue, in microseconds.
    pub max_wait_us: i64,
    pub rejections: Rejections,
    pub outage: Outage,
}

enum SimEvent {
    CallDue(usize, u32),
    Served(usize, u64),
    Failed(usize, u64, Failure),
    Start(usize),
}

/// What was observed in a run.
#[derive(Debug, Default)]
pub struct Observations {
    /// When each caller last got its list, in microseconds.
    pub listed: Vec<Option<i64>>,
    /// Number of calls in each tenth of a second.
    pub calls: Vec<u32>,
    /// Calls that were served although their caller already had a watch.
    pub unneeded: u32,
}

impl Observations {
    /// The time from `from` until this fraction of the callers had their list, in seconds; `None` if they never had it.
    pub fn listed_after_s(&self, fraction: f64, from: i64) -> Option<f64> {
        let mut times: Vec<i64> = self.listed.iter().map(|t| t.unwrap_or(i64::MAX)).collect();
        times.sort_unstable();
        let rank = ((times.len() as f64 * fraction).ceil() as usize).clamp(1, times.len());
        let at = times[rank - 1];
        (at < i64::MAX).then(|| (at - from).max(0) as f64 / 1e6)
    }

    /// The highest number of calls in any second between two times.
    pub fn max_calls_per_second(&self, from: i64, to: i64) -> u32 {
        let tenth = |t: i64| (t / 100_000) as usize;
        let (from, to) = (tenth(from), tenth(to).min(self.calls.len()));
        (from..to.max(from))
            .map(|n| self.calls[n..(n + 10).min(self.calls.len())].iter().sum())
            .max()
            .unwrap_or(0)
    }
}

/// A fleet of callers, the service and the pending events.
pub struct Fleet<P> {
    pub service: Service,
    callers: Vec<P>,
    /// Counts the changes of each caller's schedule; events of an earlier epoch are ignored.
    epochs: Vec<u32>,
    /// Pending events: time, order and index of the payload.
    events: BinaryHeap<Reverse<(i64, u64, usize)>>,
    payloads: Vec<SimEvent>,
    /// When the service has handled all queued calls.
    service_free_at: i64,
    outage: (i64, i64),
    pub observed: Observations,
}

impl<P: CallPacing> Fleet<P> {
    /// A fleet whose callers start at these times.
    pub fn new(service: Service, starts: &[i64], outage: (i64, i64), seed: u64) -> Fleet<P> {
        let policy = BackoffPolicy::for_callers(starts.len() as u32);
        let callers = starts.iter().enumerate();
        let callers =
            callers.map(|(n, at)| P::start(policy, seed.wrapping_mul(1_000_003) + n as u64, *at)).collect();
        let observed = Observations { listed: vec![None; starts.len()], ..Observations::default() };
        let epochs = vec![0; starts.len()];
        let mut fleet = Fleet {
            service,
            callers,
            epochs,
            events: BinaryHeap::new(),
            payloads: vec![],
            service_free_at: 0,
            outage,
            observed,
        };
        (0..starts.len()).for_each(|n| fleet.schedule_next_call(n));
        fleet
    }

    fn push(&mut self, at: i64, event: SimEvent) {
        self.payloads.push(event);
        self.events.push(Reverse((at, self.payloads.len() as u64, self.payloads.len() - 1)));
    }

    fn schedule_next_call(&mut self, n: usize) {
        self.epochs[n] += 1;
        if let Some(due) = self.callers[n].next_call_at() {
            self.push(due, SimEvent::CallDue(n, self.epochs[n]));
        }
    }

    /// Ends the watches of these callers.
    pub fn end_watches(&mut self, now: i64, which: impl Iterator<Item = usize>, failure: Failure) {
        for n in which {
            self.observed.listed[n] = None;
            self.callers[n].watch_ended(now, failure);
            self.schedule_next_call(n);
        }
    }

    /// Kills these callers; they restart at that time with different seeds.
    pub fn restart(&mut self, at: i64, which: impl Iterator<Item = usize>) {
        for n in which {
            self.push(at, SimEvent::Start(n));
        }
    }

    pub fn run(&mut self, until: i64) {
        while let Some(Reverse((at, _, index))) = self.events.peek().copied() {
            if at > until {
                return;
            }
            self.events.pop();
            match std::mem::replace(&mut self.payloads[index], SimEvent::CallDue(0, 0)) {
                SimEvent::CallDue(n, epoch) if epoch == self.epochs[n] && epoch > 0 => self.call(at, n),
                SimEvent::CallDue(..) => {}
                SimEvent::Start(n) => {
                    self.observed.listed[n] = None;
                    self.callers[n] = P::start(
                        BackoffPolicy::for_callers(self.callers.len() as u32),
                        index as u64 ^ 0x5eed,
                        at,
                    );
                    self.schedule_next_call(n);
                }
                SimEvent::Served(n, _) => {
                    if self.callers[n].next_call_at().is_some() {
                        self.callers[n].watch_established(at);
                        self.observed.listed[n] = Some(at);
                        self.epochs[n] += 1;
                    } else {
                        self.observed.unneeded += 1;
                    }
                }
                SimEvent::Failed(n, number, failure) => {
                    if self.callers[n].next_call_at().is_some() {
                        self.callers[n].call_failed(at, number, failure);
                        self.schedule_next_call(n);
                    }
                }
            }
        }
    }

    fn call(&mut self, now: i64, n: usize) {
        let number = self.callers[n].start_call(now).number;
        let tenth = (now / 100_000) as usize;
        let calls = &mut self.observed.calls;
        calls.resize(calls.len().max(tenth + 1), 0);
        calls[tenth] += 1;
        let service = self.service;
        if (self.outage.0..self.outage.1).contains(&now) {
            let failure = if service.outage == Outage::Down { Failure::Down } else { Failure::Overloaded };
            self.push(now + 300, SimEvent::Failed(n, number, failure));
        } else {
            let handled_at = self.service_free_at.max(now);
            if handled_at - now > service.max_wait_us {
                self.service_free_at = handled_at + service.reject_us;
                let rejected_at = if service.rejections == Rejections::Immediate {
                    now + 300
                } else {
                    now + service.max_wait_us
                };
                self.push(rejected_at, SimEvent::Failed(n, number, Failure::Overloaded));
            } else {
                self.service_free_at = handled_at + service.serve_us;
                self.push(handled_at + service.serve_us, SimEvent::Served(n, number));
            }
        }
        self.schedule_next_call(n);
    }
}
