//! Chunk servers that operators have taken out. To the module such a server drains, whatever discovery lists, until the
//! call that puts it back. What is taken out is kept in a file under `TMPDIR`, so that it holds for the process that
//! follows; where there is none, it ends with the process.
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

/// So many servers are remembered as listed; with each server replaced by another, older ones are forgotten.
const LISTED: usize = 4096;
/// How long a write that failed waits for the next try.
const RETRY: Duration = Duration::from_millis(100);
/// How long a caller is kept waiting for the file; callers wait for 1 s in all.
const KEPT_WITHIN: Duration = Duration::from_millis(600);

/// What has become of a call that takes a chunk server out or puts it back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is in force, and outlasts this process where its folder does.
    Kept,
    /// It is in force, and not written down yet; that is tried until it is.
    NotKeptYet,
    /// No such server was ever listed.
    Unknown,
}

/// The chunk servers that are taken out, and those that were listed lately.
#[derive(Default)]
pub struct Suspensions {
    /// Those that operators have taken out.
    now: RefCell<Snapshot>,
    /// The number of the newest snapshot that is in a file.
    kept: Cell<i64>,
    /// Whether the writer runs.
    writing: Cell<bool>,
    written: Event,
    /// Those that the fronts have settled to take out.
    settled: RefCell<BTreeSet<BackendId>>,
    /// Servers that were listed lately, the oldest first.
    listed: RefCell<(BTreeSet<BackendId>, VecDeque<BackendId>)>,
}

impl Suspensions {
    /// All that are taken out.
    pub fn all(&self) -> Vec<BackendId> {
        self.now.borrow().out.union(&self.settled.borrow()).cloned().collect()
    }

    /// Puts in place what was read, where it is newer than what is held; tells whether anything changed.
    pub fn take_over(&self, read: Option<Snapshot>) -> bool {
        let Some(read) = read.filter(|read| read.number > self.now.borrow().number) else { return false };
        self.kept.set(read.number);
        read.out.iter().for_each(|node| self.remember(node));
        let before = self.now.replace(read);
        before.out != self.now.borrow().out
    }

    /// Notes that a server was listed.
    pub fn remember(&self, node: &BackendId) {
        let mut listed = self.listed.borrow_mut();
        let (names, order) = &mut *listed;
        if names.insert(node.clone()) {
            order.push_back(node.clone());
            if order.len() > LISTED {
                if let Some(old) = order.pop_front() {
                    names.remove(&old);
                }
            }
        }
    }

    /// What the module is told of an entry of the list.
    pub fn seen(&self, mut entry: BackendEntry) -> BackendEntry {
        let out =
            self.now.borrow().out.contains(&entry.backend) || self.settled.borrow().contains(&entry.backend);
        if entry.state == BackendState::Ready && out {
            entry.state = BackendState::Draining;
        }
        entry
    }

    /// The fronts have settled that a server is out, or back; tells whether that changed anything.
    pub fn settle(&self, node: BackendId, out: bool) -> bool {
        match out {
            true => self.settled.borrow_mut().insert(node),
            false => self.settled.borrow_mut().remove(&node),
        }
    }

    /// Takes a server out, or puts it back; tells whether that changed anything, and none for one that was never listed.
    pub fn set(self: &Rc<Suspensions>, context: &Rc<Context>, node: &str, out: bool) -> Option<bool> {
        let node = BackendId(node.into());
        if !self.listed.borrow().0.contains(&node) {
            return None;
        }
        let mut now = self.now.borrow_mut();
        let changed = match out {
            true => now.out.insert(node.clone()),
            false => now.out.remove(&node),
        };
        if changed {
            crate::log::line(format_args!("ban node={} out={out}", node.0));
            now.number = context.clock.now().0.max(now.number + 1);
            drop(now);
            self.keep(context);
        }
        Some(changed)
    }

    /// Waits until what is in force now is in a file; false where that takes long.
    pub async fn is_kept(&self) -> bool {
        let number = self.now.borrow().number;
        let kept = async {
            loop {
                let written = self.written.listen();
                if self.kept.get() >= number {
                    return true;
                }
                written.await;
            }
        };
        let late = async {
            Timer::after(KEPT_WITHIN).await;
            false
        };
        future::or(kept, late).await
    }

    /// Sees to it that what is in force is written down, beside everything else: the one thread never waits for a disk.
    fn keep(self: &Rc<Suspensions>, context: &Rc<Context>) {
        let Some(front) = process_files::path(context) else {
            return self.kept.set(self.now.borrow().number);
        };
        if !self.writing.replace(true) {
            let suspensions = self.clone();
            context.executor.spawn(async move { suspensions.write(front).await }).detach();
        }
    }

    /// Writes down what is in force until the newest is kept. A folder that takes nothing for a while is tried again.
    async fn write(&self, front: PathBuf) {
        while self.kept.get() < self.now.borrow().number {
            let snapshot = self.now.borrow().clone();
            let (to, number) = (front.clone(), snapshot.number);
            match blocking::unblock(move || suspension_files::write(&to, &snapshot)).await {
                Ok(()) => {
                    self.kept.set(self.kept.get().max(number));
                    self.written.notify(usize::MAX);
                }
                Err(error) => {
                    crate::log::line(format_args!("bans error={error}"));
                    Timer::after(RETRY).await;
                }
            }
        }
        self.writing.set(false);
    }
}
