//! Times in which a gateway process did not run, or did not serve yet.
use crate::admin_client::answers_ping;
use crate::runtime::{lock, Clock};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A time in which a process did not run, or did not serve yet; `until` is none while it lasts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outage {
    /// Start of the outage.
    pub since: Duration,
    /// End of the outage.
    pub until: Option<Duration>,
    /// Whether the process ended, so that another one ran after the outage.
    pub process_ended: bool,
}

/// The outages of one gateway.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outages {
    all: Arc<Mutex<Vec<Outage>>>,
    /// Incremented at each start and each end of a process.
    process_number: Arc<AtomicU64>,
    /// The number of the process that has answered.
    answered_process: Arc<AtomicU64>,
}

impl Outages {
    /// All outages so far.
    pub(crate) fn all(&self) -> Vec<Outage> {
        lock(&self.all).clone()
    }

    /// Begins an outage. One in which the process ended lasts until another process answers.
    pub(crate) fn begin(&self, since: Duration, process_ended: bool) {
        let mut all = lock(&self.all);
        if process_ended {
            self.process_number.fetch_add(1, Ordering::SeqCst);
        }
        all.push(Outage { since, until: None, process_ended });
    }

    /// Ends the outages in which the process was stalled.
    pub(crate) fn end_stalls(&self, now: Duration) {
        let mut all = lock(&self.all);
        all.iter_mut().filter(|o| !o.process_ended && o.until.is_none()).for_each(|o| o.until = Some(now));
    }

    /// Whether the current process has answered.
    pub(crate) fn has_answered(&self) -> bool {
        self.answered_process.load(Ordering::SeqCst) == self.process_number.load(Ordering::SeqCst)
    }

    /// Polls the new process with `PING` on a thread and ends its outage at the first answer. The thread
    /// stops when the process ends.
    pub(crate) fn watch_for_answer(&self, address: SocketAddr, clock: Clock) {
        let own_number = self.process_number.fetch_add(1, Ordering::SeqCst) + 1;
        let outages = self.clone();
        std::thread::spawn(move || {
            while outages.process_number.load(Ordering::SeqCst) == own_number {
                let answers = answers_ping(address);
                let mut all = lock(&outages.all);
                if answers && outages.process_number.load(Ordering::SeqCst) == own_number {
                    let now = clock.now();
                    all.iter_mut()
                        .filter(|o| o.process_ended && o.until.is_none())
                        .for_each(|o| o.until = Some(now));
                    outages.answered_process.store(own_number, Ordering::SeqCst);
                    return;
                }
                drop(all);
                std::thread::sleep(Duration::from_millis(10));
            }
        });
    }
}
