//! Suspended backends. To the scheduler a suspended backend is draining, whatever discovery reports, until it is resumed. Operators'
//! suspensions are persisted under `TMPDIR` for the next process of the gateway; without `TMPDIR` they end with the process.
use crate::admin::suspension_files::{self, Snapshot};
use crate::context::Context;
use crate::lifecycle::process_files;
use async_io::Timer;
use event_listener::Event;
use futures_lite::future;
use scheduler::interface::{BackendEntry, BackendId, BackendState};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, VecDeque};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

/// The maximum number of backends that are remembered as listed; the oldest are forgotten first.
const MAX_REMEMBERED: usize = 4096;
/// The delay before a failed write is retried.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// How long an operator's call waits for the file to be written; callers give up after 1 s.
const PERSIST_TIMEOUT: Duration = Duration::from_millis(600);

/// The result of an operator's call. The suspension is in effect in either case, unless the backend is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Persistence {
    /// The suspension is persisted, provided that the folder is kept.
    Done,
    /// The suspension is not persisted yet; the write is retried until it succeeds.
    Pending,
    /// No such backend was listed.
    UnknownBackend,
}

/// The suspended backends, and those that were listed recently.
#[derive(Default)]
pub struct Suspensions {
    /// Operators' suspensions.
    current: RefCell<Snapshot>,
    /// The number of the newest snapshot that is persisted.
    persisted: Cell<i64>,
    /// Whether the writer task is running.
    is_writing: Cell<bool>,
    /// Notified after each persisted snapshot.
    written: Event,
    /// Suspensions that the coordination group has agreed on.
    agreed: RefCell<BTreeSet<BackendId>>,
    remembered: RefCell<Remembered>,
}

/// Backends that were listed recently.
#[derive(Default)]
struct Remembered {
    backends: BTreeSet<BackendId>,
    /// The same backends, in the order in which they were first listed.
    order: VecDeque<BackendId>,
}

impl Suspensions {
    /// Returns all suspended backends, by operators and by the coordination group.
    pub fn all(&self) -> Vec<BackendId> {
        self.current.borrow().suspended.union(&self.agreed.borrow()).cloned().collect()
    }

    /// Takes over a persisted snapshot if it is newer than the current one. Returns whether the suspensions changed.
    pub fn take_over(&self, persisted: Option<Snapshot>) -> bool {
        let is_newer = |snapshot: &Snapshot| snapshot.number > self.current.borrow().number;
        let Some(snapshot) = persisted.filter(is_newer) else { return false };
        self.persisted.set(snapshot.number);
        snapshot.suspended.iter().for_each(|backend| self.remember(backend));
        let before = self.current.replace(snapshot);
        before.suspended != self.current.borrow().suspended
    }

    /// Remembers that a backend was listed.
    pub fn remember(&self, backend: &BackendId) {
        let mut remembered = self.remembered.borrow_mut();
        let Remembered { backends, order } = &mut *remembered;
        if backends.insert(backend.clone()) {
            order.push_back(backend.clone());
            if order.len() > MAX_REMEMBERED {
                if let Some(oldest) = order.pop_front() {
                    backends.remove(&oldest);
                }
            }
        }
    }

    /// Returns an entry of the endpoint list with the suspension applied, as the scheduler is to see it.
    pub fn apply_to(&self, mut entry: BackendEntry) -> BackendEntry {
        let is_suspended = self.current.borrow().suspended.contains(&entry.backend)
            || self.agreed.borrow().contains(&entry.backend);
        if entry.state == BackendState::Ready && is_suspended {
            entry.state = BackendState::Draining;
        }
        entry
    }

    /// Applies a decision of the coordination group. Returns whether it changed anything.
    pub fn set_agreed(&self, backend: BackendId, is_suspended: bool) -> bool {
        if is_suspended {
            self.agreed.borrow_mut().insert(backend)
        } else {
            self.agreed.borrow_mut().remove(&backend)
        }
    }

    /// Suspends or resumes a backend, and starts to persist the change. Returns whether it changed anything; `None` for a backend that
    /// is not known to have been listed.
    pub fn set(self: &Rc<Self>, context: &Rc<Context>, backend: &str, is_suspended: bool) -> Option<bool> {
        let backend = BackendId(backend.into());
        if !self.remembered.borrow().backends.contains(&backend) {
            return None;
        }
        let mut current = self.current.borrow_mut();
        let has_changed = if is_suspended {
            current.suspended.insert(backend.clone())
        } else {
            current.suspended.remove(&backend)
        };
        if has_changed {
            crate::log::line(format_args!("suspension backend={} suspended={is_suspended}", backend.0));
            current.number = context.clock.now().0.max(current.number + 1);
            drop(current);
            self.begin_writing(context);
        }
        Some(has_changed)
    }

    /// Waits until the current suspensions are persisted. Returns false on a timeout.
    pub async fn wait_until_persisted(&self) -> bool {
        let number = self.current.borrow().number;
        let persisted = async {
            loop {
                let written = self.written.listen();
                if self.persisted.get() >= number {
                    return true;
                }
                written.await;
            }
        };
        let timed_out = async {
            Timer::after(PERSIST_TIMEOUT).await;
            false
        };
        future::or(persisted, timed_out).await
    }

    /// Starts the writer task unless it is running. Writes happen off the main thread, which must not wait for a disk.
    fn begin_writing(self: &Rc<Self>, context: &Rc<Context>) {
        let Some(prefix) = process_files::path_prefix(context) else {
            return self.persisted.set(self.current.borrow().number);
        };
        if !self.is_writing.replace(true) {
            let suspensions = self.clone();
            context.executor.spawn(async move { suspensions.write(prefix).await }).detach();
        }
    }

    /// Writes snapshots until the newest is persisted; failed writes are retried.
    async fn write(&self, prefix: PathBuf) {
        while self.persisted.get() < self.current.borrow().number {
            let snapshot = self.current.borrow().clone();
            let (prefix, number) = (prefix.clone(), snapshot.number);
            match blocking::unblock(move || suspension_files::write(&prefix, &snapshot)).await {
                Ok(()) => {
                    self.persisted.set(self.persisted.get().max(number));
                    self.written.notify(usize::MAX);
                }
                Err(error) => {
                    crate::log::line(format_args!("suspensions error={error}"));
                    Timer::after(WRITE_RETRY_DELAY).await;
                }
            }
        }
        self.is_writing.set(false);
    }
}
