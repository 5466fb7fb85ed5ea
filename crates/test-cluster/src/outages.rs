//! When a process did not run or not yet serve.
use crate::engine::{lock, Clock};
use crate::operator::pings;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A time in which a process did not run, or not yet serve; `until` is none while it still does not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outage {
    /// From when.
    pub since: Duration,
    /// Until when.
    pub until: Option<Duration>,
    /// Whether the process was another one afterwards.
    pub ended: bool,
}

/// The outages of one front.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outages {
    all: Arc<Mutex<Vec<Outage>>>,
    /// Counts processes and their ends.
    life: Arc<AtomicU64>,
    /// The process that has answered.
    answered: Arc<AtomicU64>,
}

impl Outages {
    /// All so far.
    pub(crate) fn all(&self) -> Vec<Outage> {
        lock(&self.all).clone()
    }

    /// From now on it is out; an end counts until another process answers.
    pub(crate) fn begin(&self, since: Duration, ended: bool) {
        let mut all = lock(&self.all);
        if ended {
            self.life.fetch_add(1, Ordering::SeqCst);
        }
        all.push(Outage { since, until: None, ended });
    }

    /// It stands still no more.
    pub(crate) fn goes_on(&self, now: Duration) {
        let mut all = lock(&self.all);
        all.iter_mut().filter(|o| !o.ended && o.until.is_none()).for_each(|o| o.until = Some(now));
    }

    /// Whether the process that there is now has answered.
    pub(crate) fn answers(&self) -> bool {
        self.answered.load(Ordering::SeqCst) == self.life.load(Ordering::SeqCst)
    }

    /// Looks, on a thread, for a new process to answer `PING`: from then on it is not out any more. Ends with the process.
    pub(crate) fn await_answer(&self, at: SocketAddr, clock: Clock) {
        let own = self.life.fetch_add(1, Ordering::SeqCst) + 1;
        let outages = self.clone();
        std::thread::spawn(move || {
            while outages.life.load(Ordering::SeqCst) == own {
                let answers = pings(at);
                let mut all = lock(&outages.all);
                if answers && outages.life.load(Ordering::SeqCst) == own {
                    let now = clock.now();
                    all.iter_mut().filter(|o| o.ended && o.until.is_none()).for_each(|o| o.until = Some(now));
                    outages.answered.store(own, Ordering::SeqCst);
                    return;
                }
                drop(all);
                std::thread::sleep(Duration::from_millis(10));
            }
        });
    }
}
