//! Hollow callers: each calls discovery as a front does, at the pace of `backoff` and over connections of its own, and does
//! nothing else. Many of them stand in one process for the greater part of a fleet.
mod watch;

use crate::engine::{lock, within, Clock, Spawner};
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

/// Descriptors for each ten callers, for both ends of a connection are here: some have two calls out.
const EACH_TEN: u64 = 25;
/// Descriptors for all else.
const BESIDE: u64 = 500;

type Out = Pin<Box<dyn Future<Output = Result<(Watch, i64), Failure>> + Send>>;

#[derive(Default)]
struct Seen {
    /// Closing it ends the caller.
    life: Option<Sender<()>>,
    lives: u64,
    listed: Option<Duration>,
}

struct One {
    number: u64,
    discovery: SocketAddr,
    law: BackoffPolicy,
    seed: u64,
    clock: Clock,
    seen: Mutex<Seen>,
    calls: Arc<Mutex<Vec<Duration>>>,
}

/// Hollow callers; none runs at first.
pub struct Hollow {
    callers: Vec<Arc<One>>,
    calls: Arc<Mutex<Vec<Duration>>>,
    spawner: Spawner,
}

impl Hollow {
    /// So many callers at discovery's door, of a fleet whose law they obey. An error where the process may not have as many
    /// descriptors as they need.
    pub fn new(
        count: u64,
        discovery: SocketAddr,
        law: BackoffPolicy,
        seed: u64,
        clock: Clock,
        spawner: Spawner,
    ) -> io::Result<Hollow> {
        let held = std::fs::read_dir("/proc/self/fd")?.count() as u64;
        let need = held + count * EACH_TEN / 10 + BESIDE;
        if let Some(limit) = getrlimit(Resource::Nofile).current.filter(|limit| *limit < need) {
            let text = format!(
                "{count} hollow callers need {need} descriptors, and the limit (RLIMIT_NOFILE) is {limit}"
            );
            return Err(io::Error::other(text));
        }
        let calls: Arc<Mutex<Vec<Duration>>> = Arc::default();
        let one = |number| One {
            number,
            discovery,
            law,
            seed,
            clock: clock.clone(),
            seen: Mutex::default(),
            calls: calls.clone(),
        };
        Ok(Hollow { callers: (0..count).map(|n| Arc::new(one(n))).collect(), calls: calls.clone(), spawner })
    }

    /// Starts a caller, anew where it runs. It knows no list then.
    pub fn start(&self, number: usize) {
        let Some(one) = self.callers.get(number) else { return };
        let (life, ended) = async_channel::bounded(1);
        let mut seen = lock(&one.seen);
        *seen = Seen { life: Some(life), lives: seen.lives + 1, listed: None };
        let (one, lives) = (one.clone(), seen.lives);
        self.spawner.spawn(async move {
            future::or(async { while ended.recv().await.is_ok() {} }, one.run(lives, &ended)).await;
        });
    }

    /// Kills a caller: its connections end, and its list is gone.
    pub fn kill(&self, number: usize) {
        if let Some(one) = self.callers.get(number) {
            let mut seen = lock(&one.seen);
            (seen.life, seen.listed) = (None, None);
        }
    }

    /// Since when each has its list from a watch that is up; none where it has none.
    pub fn listed(&self) -> Vec<Option<Duration>> {
        self.callers.iter().map(|one| lock(&one.seen).listed).collect()
    }

    /// When calls were made, those too that found nobody.
    pub fn calls(&self) -> Vec<Duration> {
        lock(&self.calls).clone()
    }
}

enum Woken {
    Due,
    Answered(u64, Result<(Watch, i64), Failure>),
}

impl One {
    fn now(&self) -> i64 {
        i64::try_from(self.clock.now().as_micros()).unwrap_or(i64::MAX)
    }

    fn set_listed(&self, life: &Receiver<()>, listed: Option<Duration>) {
        let mut seen = lock(&self.seen);
        // One that was killed says nothing any more.
        if !life.is_closed() {
            seen.listed = listed;
        }
    }

    async fn run(&self, lives: u64, life: &Receiver<()>) {
        let seed = (self.seed ^ lives << 32 ^ self.number).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let mut caller = Caller::new(self.law, seed, self.now());
        caller.delay_first_call(self.now());
        let mut generation = 0;
        loop {
            let mut watch;
            (watch, generation) = self.call(&mut caller, generation).await;
            caller.watch_established(self.now());
            self.set_listed(life, Some(self.clock.now()));
            let failure = loop {
                match within(Duration::from_micros(IDLE_TIMEOUT_US.unsigned_abs()), watch.next(generation))
                    .await
                {
                    Some(Some(next)) => generation = next,
                    Some(None) => break Failure::Ended,
                    None => break Failure::Silent,
                }
            };
            drop(watch);
            self.set_listed(life, None);
            caller.watch_ended(self.now(), failure);
        }
    }

    /// Calls until one is up.
    async fn call(&self, caller: &mut Caller, generation: i64) -> (Watch, i64) {
        let mut out: Vec<(u64, Out)> = Vec::new();
        loop {
            let due =
                caller.next_call_at().and_then(|due| u64::try_from(due).ok()).map(Duration::from_micros);
            let due = async {
                match due {
                    Some(due) => drop(Timer::at(self.clock.instant(due)).await),
                    None => future::pending().await,
                }
                Woken::Due
            };
            match future::or(answered(&mut out), due).await {
                Woken::Answered(_, Ok(up)) => return up,
                Woken::Answered(number, Err(failure)) => caller.call_failed(self.now(), number, failure),
                Woken::Due => {
                    let call = caller.start_call(self.now());
                    lock(&self.calls).push(self.clock.now());
                    out.retain(|(number, _)| Some(*number) != call.replaces);
                    out.push((call.number, Box::pin(Watch::call(self.discovery, generation))));
                }
            }
        }
    }
}

/// Whichever call has ended or is up; none ever where there is no call.
async fn answered(out: &mut Vec<(u64, Out)>) -> Woken {
    future::poll_fn(|cx| {
        for n in 0..out.len() {
            if let Poll::Ready(answer) = out[n].1.as_mut().poll(cx) {
                return Poll::Ready(Woken::Answered(out.remove(n).0, answer));
            }
        }
        Poll::Pending
    })
    .await
}
