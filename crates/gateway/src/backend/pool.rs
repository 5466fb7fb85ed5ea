//! The table of disk boxes: an actor for each that is listed, told what the list says of its box and what was taken out
//! by hand.
use crate::admin::suspension_files::Snapshot;
use crate::admin::suspensions::{Change, Suspensions};
use crate::backend::actor::{self, BackendContext, BackendMessage, Endpoint};
use crate::backend::start_times::{wall_clock, Start};
use crate::context::Context;
use crate::messages::{SchedulerMailbox, SchedulerMessage};
use async_channel::Sender;
use config::{Target, Targets};
use dispatch::Attempt;
use scheduler::interface::{BackendEntry, BackendId, BackendState, EndpointUpdate, Micros};
use std::borrow::Cow;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::{Rc, Weak};

/// The most mail that may wait for one box before it is sent nothing more.
const MAILBOX: usize = 1024;

/// A peer, as others see it.
pub struct BackendHandle {
    /// Its mailbox.
    pub mail: Sender<BackendMessage>,
    /// What the list says.
    pub endpoint: Rc<Endpoint>,
}

/// The disk boxes.
pub struct BackendPool {
    context: Rc<Context>,
    scheduler: SchedulerMailbox,
    suspensions: Rc<Suspensions>,
    handles: RefCell<BTreeMap<BackendId, BackendHandle>>,
    /// Boxes by the word of changes of configuration: it counts, whatever the list says of them.
    over: RefCell<BTreeMap<BackendId, Target>>,
    own: Weak<BackendPool>,
}

impl BackendPool {
    /// No boxes yet.
    pub fn new(
        context: Rc<Context>,
        scheduler: SchedulerMailbox,
        suspensions: Rc<Suspensions>,
    ) -> Rc<BackendPool> {
        let (handles, over) = (RefCell::default(), RefCell::default());
        Rc::new_cyclic(|own| BackendPool { context, scheduler, suspensions, handles, over, own: own.clone() })
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.handles.borrow().len()
    }

    /// Whether one is listed.
    pub fn contains(&self, node: &BackendId) -> bool {
        self.handles.borrow().contains_key(node)
    }

    /// Hands an attempt to its box; false where that can't be done, and it was not sent.
    pub fn start(&self, attempt: Attempt) -> bool {
        let mailbox = self.handles.borrow().get(&attempt.backend).map(|p| p.mail.clone());
        mailbox.is_some_and(|m| m.len() < MAILBOX && m.try_send(BackendMessage::Start(attempt)).is_ok())
    }

    /// Ends all idle connections: the program ends.
    pub fn stop(&self) {
        for handle in self.handles.borrow().values() {
            let _ = handle.mail.try_send(BackendMessage::Stop);
        }
    }

    /// Asks a box that has idle connections to close one; false where none has any.
    fn make_room(&self) -> bool {
        self.handles.borrow().values().any(|handle| {
            let idle = handle.endpoint.idle.get();
            handle.endpoint.idle.set(idle.saturating_sub(1));
            idle > 0 && handle.mail.try_send(BackendMessage::Spare).is_ok()
        })
    }

    /// A message of discovery, as it counts for this front. Peers first: what the module has started and they have not
    /// must know of a drain.
    pub fn news(&self, targets: &Targets) -> EndpointUpdate {
        let targets = &*self.lay_over(targets);
        let entries = self.update(&targets.targets, targets.whole);
        let entries = entries.into_iter().map(|entry| {
            self.suspensions.remember(&entry.backend);
            self.suspensions.seen(entry)
        });
        match targets.whole {
            true => EndpointUpdate::Full(entries.collect()),
            false => EndpointUpdate::Delta(entries.collect()),
        }
    }

    /// A message of discovery, with what counts in its place.
    fn lay_over<'a>(&self, targets: &'a Targets) -> Cow<'a, Targets> {
        let over = self.over.borrow();
        if over.is_empty() {
            return Cow::Borrowed(targets);
        }
        let mut targets = targets.clone();
        targets.targets.retain(|target| !over.contains_key(&target.entry.backend));
        targets.targets.extend(over.values().cloned());
        Cow::Owned(targets)
    }

    /// These boxes are by the word of changes from now on, and these others as they are given here.
    pub async fn put(&self, over: BTreeMap<BackendId, Target>, changed: &[Target]) {
        self.over.replace(over);
        changed.iter().for_each(|target| self.suspensions.remember(&target.entry.backend));
        let entries = self.update(changed, false);
        let entries = entries.into_iter().map(|entry| self.suspensions.seen(entry)).collect();
        let _ = self.scheduler.send(SchedulerMessage::News(EndpointUpdate::Delta(entries))).await;
        // This is no word of discovery: where that is not heard, the module goes on taking care.
        if self.context.config().discovery.is_some() && !self.context.lifecycle.watching.get() {
            let _ = self.scheduler.send(SchedulerMessage::News(EndpointUpdate::Failed)).await;
        }
    }

    /// Puts in force what is taken out now: attempts that still wait for a connection first, then the module.
    pub async fn apply(&self) {
        let mut entries = Vec::new();
        for handle in self.handles.borrow().values() {
            let entry = self.suspensions.seen(handle.endpoint.entry.borrow().clone());
            handle.endpoint.closed.set(entry.state != BackendState::Ready);
            drop(handle.mail.try_send(BackendMessage::Changed));
            entries.push(entry);
        }
        // Guards the watch: this is no news of discovery, and must not pass for a sign that it was heard.
        let _ = self.scheduler.send(SchedulerMessage::News(EndpointUpdate::Cached(entries))).await;
    }

    /// The fronts have settled that a box is out, or back.
    pub async fn settle(&self, node: &str, out: bool) {
        if self.suspensions.settle(BackendId(node.into()), out) {
            self.apply().await;
        }
    }

    /// What each box is, and what is measured of it.
    pub fn endpoints(&self) -> Vec<Rc<Endpoint>> {
        self.handles.borrow().values().map(|p| p.endpoint.clone()).collect()
    }

    /// Puts in place what another process of the front has written down; tells whether anything changed.
    pub fn take_over(&self, read: Option<Snapshot>) -> bool {
        self.suspensions.take_over(read)
    }

    /// Takes a server out, or puts it back. It is in force at once, whether or not that can be written down in time.
    pub async fn set(&self, node: &str, out: bool) -> Change {
        let Some(changed) = self.suspensions.set(&self.context, node, out) else { return Change::Unknown };
        if changed {
            self.apply().await;
        }
        match self.suspensions.is_kept().await {
            true => Change::Kept,
            false => Change::NotKeptYet,
        }
    }

    /// Starts peers for new entries of the list and tells those that are there. Gives the entries in their order, with starts
    /// by this process's own clock.
    fn update(&self, targets: &[Target], whole: bool) -> Vec<BackendEntry> {
        let mut handles = self.handles.borrow_mut();
        // One that has left is forgotten: its actor ends once nothing is out there, and one that returns is new. Bounds the
        // memory where every server is replaced, and replaced again.
        let leave = |handle: &BackendHandle| handle.endpoint.closed.set(true);
        if whole {
            let named: BTreeSet<&BackendId> = targets.iter().map(|t| &t.entry.backend).collect();
            handles.retain(|node, handle| {
                let stays = named.contains(node);
                if !stays {
                    leave(handle);
                }
                stays
            });
        }
        let now = self.notification_times(targets);
        let mut entries = Vec::with_capacity(targets.len());
        for target in targets {
            let mut entry = target.entry.clone();
            if entry.state == BackendState::Gone {
                handles.remove(&entry.backend).iter().for_each(leave);
                entries.push(entry);
                continue;
            }
            let handle = handles.entry(entry.backend.clone()).or_insert_with(|| self.start_peer(target));
            let endpoint = &handle.endpoint;
            let restarted = Start::differs(endpoint.start.get(), entry.started_at);
            if let Some(told) = entry.started_at.filter(|_| restarted) {
                endpoint.start.set(Some(Start::notified(told, now(told), wall_clock())));
            }
            if restarted || endpoint.address.get() != target.address {
                endpoint.incarnation.set(endpoint.incarnation.get() + 1);
            }
            entry.started_at = entry.started_at.and(endpoint.start.get()).map(|start| start.at);
            endpoint.entry.replace(entry.clone());
            endpoint.speaks.set(target.speaks);
            endpoint.address.set(target.address);
            endpoint.closed.set(self.suspensions.seen(entry.clone()).state != BackendState::Ready);
            drop(handle.mail.try_send(BackendMessage::Changed));
            entries.push(entry);
        }
        entries
    }

    /// When each start that a message tells counts as notified: now, and those that were told later a little later, so that
    /// of two servers of one shard the one that started last is known.
    fn notification_times(&self, targets: &[Target]) -> impl Fn(Micros) -> Micros {
        let mut told: Vec<Micros> = targets.iter().filter_map(|target| target.entry.started_at).collect();
        told.sort_unstable();
        told.dedup();
        let now = self.context.clock.now().0 - told.len() as i64;
        move |start| Micros(now + told.partition_point(|other| *other <= start) as i64)
    }

    /// The actor of a server that is new on the list.
    fn start_peer(&self, target: &Target) -> BackendHandle {
        // Bounds the memory: a mailbox with a bound takes room for all of its messages at once, here 64 KiB a server.
        let (mail, inbox) = async_channel::unbounded();
        let endpoint = Rc::new(Endpoint {
            entry: RefCell::new(target.entry.clone()),
            address: Cell::new(None),
            closed: Cell::new(false),
            start: Cell::new(None),
            speaks: Cell::new(target.speaks),
            target: RefCell::new(target.target.clone()),
            idle: Cell::new(0),
            statistics: Rc::default(),
            incarnation: Cell::new(0),
        });
        let own = self.own.clone();
        let work = BackendContext {
            context: self.context.clone(),
            scheduler: self.scheduler.clone(),
            endpoint: endpoint.clone(),
            make_room: Rc::new(move || own.upgrade().is_some_and(|pool| pool.make_room())),
        };
        let actor = actor::run(work, inbox, mail.downgrade());
        self.context.executor.spawn(actor).detach();
        BackendHandle { mail, endpoint }
    }
}
