//! The pool of backends: one actor for each backend on the endpoint list, updated by discovery, operators and the coordination
//! group.
use crate::admin::suspension_files::Snapshot;
use crate::admin::suspensions::{Persistence, Suspensions};
use crate::backend::actor::BackendMessage;
use crate::backend::endpoint::Endpoint;
use crate::context::Context;
use crate::messages::{SchedulerMailbox, SchedulerMessage};
use async_channel::Sender;
use config::{Target, Targets};
use dispatch::Attempt;
use scheduler::interface::{BackendId, BackendState, EndpointUpdate};
use std::borrow::Cow;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};

/// Messages queued for one backend at which no further attempt is started there.
const MAILBOX_LIMIT: usize = 1024;

/// A backend's actor as the pool sees it.
pub(super) struct BackendHandle {
    pub(super) mailbox: Sender<BackendMessage>,
    pub(super) endpoint: Rc<Endpoint>,
}

/// The pool of backends.
pub struct BackendPool {
    pub(super) context: Rc<Context>,
    pub(super) scheduler: SchedulerMailbox,
    pub(super) suspensions: Rc<Suspensions>,
    pub(super) handles: RefCell<BTreeMap<BackendId, BackendHandle>>,
    /// Backends from the distributed configuration, which take precedence over the list.
    overlay: RefCell<BTreeMap<BackendId, Target>>,
    pub(super) own: Weak<BackendPool>,
}

impl BackendPool {
    /// Creates an empty pool.
    pub fn new(
        context: Rc<Context>,
        scheduler: SchedulerMailbox,
        suspensions: Rc<Suspensions>,
    ) -> Rc<BackendPool> {
        Rc::new_cyclic(|own| BackendPool {
            context,
            scheduler,
            suspensions,
            handles: RefCell::default(),
            overlay: RefCell::default(),
            own: own.clone(),
        })
    }

    /// The number of backends.
    pub fn len(&self) -> usize {
        self.handles.borrow().len()
    }

    /// Whether there are no backends.
    pub fn is_empty(&self) -> bool {
        self.handles.borrow().is_empty()
    }

    /// Whether a backend is in the pool.
    pub fn contains(&self, backend: &BackendId) -> bool {
        self.handles.borrow().contains_key(backend)
    }

    /// Hands an attempt to its backend. Returns false where that was not possible, and nothing was sent.
    pub fn start(&self, attempt: Attempt) -> bool {
        let mailbox = self.handles.borrow().get(&attempt.backend).map(|handle| handle.mailbox.clone());
        mailbox.is_some_and(|mailbox| {
            mailbox.len() < MAILBOX_LIMIT && mailbox.try_send(BackendMessage::Start(attempt)).is_ok()
        })
    }

    /// Closes all idle connections: the process is shutting down.
    pub fn stop(&self) {
        for handle in self.handles.borrow().values() {
            // An actor that has ended has no connections.
            drop(handle.mailbox.try_send(BackendMessage::Stop));
        }
    }

    /// Asks a backend with idle connections to close one. Returns false where none has any.
    pub(super) fn evict_idle_connection(&self) -> bool {
        self.handles.borrow().values().any(|handle| {
            let idle = handle.endpoint.idle_count.get();
            handle.endpoint.idle_count.set(idle.saturating_sub(1));
            idle > 0 && handle.mailbox.try_send(BackendMessage::EvictIdle).is_ok()
        })
    }

    /// Takes an update from discovery. Returns it for the scheduler, with suspensions and the overlay applied.
    ///
    /// The actors are updated first: a drain must stop attempts that the scheduler has started and that have not been sent.
    pub fn update_from_discovery(&self, targets: &Targets) -> EndpointUpdate {
        let targets = &*self.with_overlay(targets);
        let entries = self.update(&targets.targets, targets.is_complete);
        let entries = entries.into_iter().map(|entry| {
            self.suspensions.remember(&entry.backend);
            self.suspensions.apply_to(entry)
        });
        if targets.is_complete {
            EndpointUpdate::Full(entries.collect())
        } else {
            EndpointUpdate::Delta(entries.collect())
        }
    }

    fn with_overlay<'a>(&self, targets: &'a Targets) -> Cow<'a, Targets> {
        let overlay = self.overlay.borrow();
        if overlay.is_empty() {
            return Cow::Borrowed(targets);
        }
        let mut targets = targets.clone();
        targets.targets.retain(|target| !overlay.contains_key(&target.entry.backend));
        targets.targets.extend(overlay.values().cloned());
        Cow::Owned(targets)
    }

    /// Replaces the overlay of the distributed configuration; `changed` are the entries that differ from before.
    pub async fn set_overlay(&self, overlay: BTreeMap<BackendId, Target>, changed: &[Target]) {
        self.overlay.replace(overlay);
        changed.iter().for_each(|target| self.suspensions.remember(&target.entry.backend));
        let entries = self.update(changed, false);
        let entries = entries.into_iter().map(|entry| self.suspensions.apply_to(entry)).collect();
        self.update_scheduler(EndpointUpdate::Delta(entries)).await;
        // The update does not come from discovery: while that is unavailable, the scheduler must go on treating it so.
        if self.context.config().discovery.is_some() && !self.context.lifecycle.is_watching.get() {
            self.update_scheduler(EndpointUpdate::Failed).await;
        }
    }

    async fn update_scheduler(&self, update: EndpointUpdate) {
        // The mailbox is closed only at the end of the process.
        drop(self.scheduler.send(SchedulerMessage::Endpoints(update)).await);
    }

    /// Applies the suspensions as they are now, first to attempts that wait for a connection, then to the scheduler.
    pub async fn apply_suspensions(&self) {
        let mut entries = Vec::new();
        for handle in self.handles.borrow().values() {
            let entry = self.suspensions.apply_to(handle.endpoint.entry.borrow().clone());
            handle.endpoint.is_closed.set(entry.state != BackendState::Ready);
            drop(handle.mailbox.try_send(BackendMessage::EndpointChanged));
            entries.push(entry);
        }
        // `Cached`, so that the scheduler does not take it as evidence that discovery is alive.
        self.update_scheduler(EndpointUpdate::Cached(entries)).await;
    }

    /// Applies a decision of the coordination group: the backend is suspended, or no longer.
    pub async fn set_agreed_suspension(&self, backend: &str, is_suspended: bool) {
        if self.suspensions.set_agreed(BackendId(backend.into()), is_suspended) {
            self.apply_suspensions().await;
        }
    }

    /// All backends.
    pub fn endpoints(&self) -> Vec<Rc<Endpoint>> {
        self.handles.borrow().values().map(|handle| handle.endpoint.clone()).collect()
    }

    /// Takes over suspensions that another process of this gateway has persisted. Returns whether anything changed.
    pub fn take_over_suspensions(&self, persisted: Option<Snapshot>) -> bool {
        self.suspensions.take_over(persisted)
    }

    /// Suspends a backend or resumes it, for an operator. Takes effect at once, whether or not it can be persisted in time.
    pub async fn set_suspension(&self, backend: &str, is_suspended: bool) -> Persistence {
        let Some(has_changed) = self.suspensions.set(&self.context, backend, is_suspended) else {
            return Persistence::UnknownBackend;
        };
        if has_changed {
            self.apply_suspensions().await;
        }
        if self.suspensions.wait_until_persisted().await {
            Persistence::Done
        } else {
            Persistence::Pending
        }
    }
}
