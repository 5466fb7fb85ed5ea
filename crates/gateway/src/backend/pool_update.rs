//! Updates the pool from the endpoint list: starts actors, and notifies running ones.
use crate::backend::actor::{self, BackendMessage};
use crate::backend::endpoint::{BackendContext, Endpoint};
use crate::backend::pool::{BackendHandle, BackendPool};
use crate::backend::start_times::{wall_clock, Start};
use config::Target;
use scheduler::interface::{BackendEntry, BackendId, BackendState, Micros};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;

impl BackendPool {
    /// Updates the actors to entries of the list: all of it (`is_full`), or those that changed. Returns the entries in their order, with
    /// starts by this process's clock.
    pub(super) fn update(&self, targets: &[Target], is_full: bool) -> Vec<BackendEntry> {
        let mut handles = self.handles.borrow_mut();
        if is_full {
            let listed: BTreeSet<&BackendId> = targets.iter().map(|target| &target.entry.backend).collect();
            handles.retain(|backend, handle| {
                let is_listed = listed.contains(backend);
                handle.endpoint.is_closed.set(handle.endpoint.is_closed.get() || !is_listed);
                is_listed
            });
        }
        let notified_at = self.notification_times(targets);
        let mut entries = Vec::with_capacity(targets.len());
        for target in targets {
            let mut entry = target.entry.clone();
            if entry.state == BackendState::Gone {
                // Its actor ends once nothing is in flight; a backend that returns gets a new one. This bounds the memory where
                // backends are replaced again and again.
                if let Some(handle) = handles.remove(&entry.backend) {
                    handle.endpoint.is_closed.set(true);
                }
            } else {
                let handle = handles.entry(entry.backend.clone()).or_insert_with(|| self.start_actor(target));
                self.update_endpoint(handle, target, &mut entry, &notified_at);
            }
            entries.push(entry);
        }
        entries
    }

    fn update_endpoint(
        &self,
        handle: &BackendHandle,
        target: &Target,
        entry: &mut BackendEntry,
        notified_at: impl Fn(Micros) -> Micros,
    ) {
        let endpoint = &handle.endpoint;
        let has_restarted = Start::differs(endpoint.start.get(), entry.started_at);
        if let Some(reported) = entry.started_at.filter(|_| has_restarted) {
            endpoint.start.set(Some(Start::notified(reported, notified_at(reported), wall_clock())));
        }
        if has_restarted || endpoint.address.get() != target.address {
            endpoint.incarnation.set(endpoint.incarnation.get() + 1);
        }
        entry.started_at = entry.started_at.and(endpoint.start.get()).map(|start| start.at);
        endpoint.entry.replace(entry.clone());
        endpoint.protocol.set(target.protocol);
        endpoint.address.set(target.address);
        endpoint.is_closed.set(self.suspensions.apply_to(entry.clone()).state != BackendState::Ready);
        drop(handle.mailbox.try_send(BackendMessage::EndpointChanged));
    }

    /// The notification time of each start that an update reports: now, in the order of the starts, so that it is known which of
    /// two backends of one shard started last.
    fn notification_times(&self, targets: &[Target]) -> impl Fn(Micros) -> Micros {
        let mut reported: Vec<Micros> = targets.iter().filter_map(|target| target.entry.started_at).collect();
        reported.sort_unstable();
        reported.dedup();
        let first = self.context.clock.now().0 - reported.len() as i64;
        move |start| Micros(first + reported.partition_point(|other| *other <= start) as i64)
    }

    /// Starts the actor of a backend that is new on the list.
    fn start_actor(&self, target: &Target) -> BackendHandle {
        // Unbounded, since a bounded channel allocates all of its capacity at once, here 64 KiB a backend; `start` limits its length.
        let (mailbox, inbox) = async_channel::unbounded();
        let endpoint = Rc::new(Endpoint {
            entry: RefCell::new(target.entry.clone()),
            address: Cell::new(None),
            is_closed: Cell::new(false),
            start: Cell::new(None),
            protocol: Cell::new(target.protocol),
            target_name: RefCell::new(target.target.clone()),
            idle_count: Cell::new(0),
            statistics: Rc::default(),
            incarnation: Cell::new(0),
        });
        let own = self.own.clone();
        let backend = BackendContext {
            context: self.context.clone(),
            scheduler: self.scheduler.clone(),
            endpoint: endpoint.clone(),
            evict_idle_connection: Rc::new(move || {
                own.upgrade().is_some_and(|pool| pool.evict_idle_connection())
            }),
        };
        let actor = actor::run(backend, inbox, mailbox.downgrade());
        self.context.executor.spawn(actor).detach();
        BackendHandle { mailbox, endpoint }
    }
}
