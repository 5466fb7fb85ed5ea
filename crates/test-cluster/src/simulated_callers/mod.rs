//! Simulated callers. Each calls discovery as a gateway does, at the pace of `backoff` and over connections
//! of its own, and does nothing else. Many of them run in one process and take the place of most gateways of
//! a fleet.
mod watch;

use crate::runtime::{lock, with_timeout, Clock, Spawner};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use backoff::{BackoffPolicy, Caller, Failure, IDLE_TIMEOUT_US};
use futures_lite::future;
use rustix::process::{getrlimit, Resource};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::Poll;
use std::time::Duration;
use watch::Watch;

/// Descriptors for ten callers: both ends of a connection are in this process, and some callers have two open
/// calls.
const DESCRIPTORS_PER_TEN_CALLERS: u64 = 25;
/// Descriptors for everything else.
const OTHER_DESCRIPTORS: u64 = 500;

type PendingCall = Pin<Box<dyn Future<Output = Result<(Watch, i64), Failure>> + Send>>;

#[derive(Default)]
struct CallerState {
    /// Closing it stops the caller.
    stop: Option<Sender<()>>,
    start_count: u64,
    watching_since: Option<Duration>,
}

struct SimulatedCaller {
    number: u64,
    discovery: SocketAddr,
    policy: BackoffPolicy,
    seed: u64,
    clock: Clock,
    state: Mutex<CallerState>,
    calls: Arc<Mutex<Vec<Duration>>>,
}

/// Simulated callers; none runs at first.
pub struct SimulatedCallers {
    callers: Vec<Arc<SimulatedCaller>>,
    calls: Arc<Mutex<Vec<Duration>>>,
    spawner: Spawner,
}

impl SimulatedCallers {
    /// That many callers of the discovery service at this address, with the policy of the fleet. An error if
    /// the descriptor limit of the process is too low for them.
    pub fn new(
        count: u64,
        discovery: SocketAddr,
        policy: BackoffPolicy,
        seed: u64,
        clock: Clock,
        spawner: Spawner,
    ) -> io::Result<SimulatedCallers> {
        let open_descriptors = std::fs::read_dir("/proc/self/fd")?.count() as u64;
        let needed = open_descriptors + count * DESCRIPTORS_PER_TEN_CALLERS / 10 + OTHER_DESCRIPTORS;
        if let Some(limit) = getrlimit(Resource::Nofile).current.filter(|limit| *limit < needed) {
            let text = format!(
                "{count} simulated callers need {needed} descriptors, and the limit (RLIMIT_NOFILE) is {limit}"
            );
            return Err(io::Error::other(text));
        }
        let calls: Arc<Mutex<Vec<Duration>>> = Arc::default();
        let caller = |number| SimulatedCaller {
            number,
            discovery,
            policy,
            seed,
            clock: clock.clone(),
            state: Mutex::default(),
            calls: calls.clone(),
        };
        Ok(SimulatedCallers {
            callers: (0..count).map(|n| Arc::new(caller(n))).collect(),
            calls: calls.clone(),
            spawner,
        })
    }

    /// Starts a caller, or restarts it; it has no list then.
    pub fn start(&self, number: usize) {
        let Some(caller) = self.callers.get(number) else { return };
        let (stop, stopped) = async_channel::bounded(1);
        let mut state = lock(&caller.state);
        *state = CallerState { stop: Some(stop), start_count: state.start_count + 1, watching_since: None };
        let (caller, start_count) = (caller.clone(), state.start_count);
        self.spawner.spawn(async move {
            future::or(async { while stopped.recv().await.is_ok() {} }, caller.run(start_count, &stopped))
                .await;
        });
    }

    /// Kills a caller: its connections are closed and its list is lost.
    pub fn kill(&self, number: usize) {
        if let Some(caller) = self.callers.get(number) {
            let mut state = lock(&caller.state);
            (state.stop, state.watching_since) = (None, None);
        }
    }

    /// For each caller, since when it has had its list from an open watch; none if it has no such watch.
    pub fn watching_since(&self) -> Vec<Option<Duration>> {
        self.callers.iter().map(|caller| lock(&caller.state).watching_since).collect()
    }

    /// Times of all calls, including those that were refused.
    pub fn calls(&self) -> Vec<Duration> {
        lock(&self.calls).clone()
    }
}

enum CallEvent {
    Due,
    Answered(u64, Result<(Watch, i64), Failure>),
}

impl SimulatedCaller {
    fn now(&self) -> i64 {
        i64::try_from(self.clock.now().as_micros()).unwrap_or(i64::MAX)
    }

    fn set_watching_since(&self, stopped: &Receiver<()>, since: Option<Duration>) {
        let mut state = lock(&self.state);
        // A caller that was killed reports nothing more.
        if !stopped.is_closed() {
            state.watching_since = since;
        }
    }

    async fn run(&self, start_count: u64, stopped: &Receiver<()>) {
        let seed = (self.seed ^ start_count << 32 ^ self.number).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mut caller = Caller::new(self.policy, seed, self.now());
        caller.delay_first_call(self.now());
        let mut generation = 0;
        loop {
            let mut watch;
            (watch, generation) = self.call(&mut caller, generation).await;
            caller.watch_established(self.now());
            self.set_watching_since(stopped, Some(self.clock.now()));
            let failure = loop {
                match with_timeout(
                    Duration::from_micros(IDLE_TIMEOUT_US.unsigned_abs()),
                    watch.next_generation(generation),
                )
                .await
                {
                    Some(Some(next)) => generation = next,
                    Some(None) => break Failure::Ended,
                    None => break Failure::Silent,
                }
            };
            drop(watch);
            self.set_watching_since(stopped, None);
            caller.watch_ended(self.now(), failure);
        }
    }

    /// Calls until a watch is open.
    async fn call(&self, caller: &mut Caller, generation: i64) -> (Watch, i64) {
        let mut pending: Vec<(u64, PendingCall)> = Vec::new();
        loop {
            let due =
                caller.next_call_at().and_then(|due| u64::try_from(due).ok()).map(Duration::from_micros);
            let due = async {
                match due {
                    Some(due) => drop(Timer::at(self.clock.instant(due)).await),
                    None => future::pending().await,
                }
                CallEvent::Due
            };
            match future::or(next_answer(&mut pending), due).await {
                CallEvent::Answered(_, Ok(up)) => return up,
                CallEvent::Answered(number, Err(failure)) => caller.call_failed(self.now(), number, failure),
                CallEvent::Due => {
                    let call = caller.start_call(self.now());
                    lock(&self.calls).push(self.clock.now());
                    pending.retain(|(number, _)| Some(*number) != call.replaces);
                    pending.push((call.number, Box::pin(Watch::open(self.discovery, generation))));
                }
            }
        }
    }
}

/// The next call that ends or opens a watch; never returns where there is no call.
async fn next_answer(pending: &mut Vec<(u64, PendingCall)>) -> CallEvent {
    future::poll_fn(|cx| {
        for n in 0..pending.len() {
            if let Poll::Ready(answer) = pending[n].1.as_mut().poll(cx) {
                return Poll::Ready(CallEvent::Answered(pending.remove(n).0, answer));
            }
        }
        Poll::Pending
    })
    .await
}
