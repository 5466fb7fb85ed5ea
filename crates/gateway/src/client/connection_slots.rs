//! Connection slots of RESP2 clients and iSCSI initiators. Where they run short, idle connections are evicted for new ones.
use crate::context::Context;
use async_channel::{Receiver, Sender};
use futures_lite::future;
use scheduler::interface::Micros;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Where connections are scarce, one that has never sent anything is evicted after this time, in microseconds.
const SILENT_TIMEOUT_US: i64 = 50_000;
/// Where nearly none are left, an idle connection is evicted after this time.
pub const EXHAUSTED_IDLE_TIMEOUT: Micros = Micros(100_000);

/// Connections count as scarce from the limit divided by this on.
const SCARCE_DIVISOR: usize = 4;

/// What a connection is activity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// It has not sent anything yet.
    Silent,
    /// It is between requests.
    Idle,
    /// A request is open or partly received.
    Busy,
}

/// All slots in use.
pub struct ConnectionSlots {
    context: Rc<Context>,
    taken: RefCell<BTreeMap<u64, Rc<Entry>>>,
}

/// One connection's slot, released when dropped.
pub struct ConnectionSlot {
    slots: Rc<ConnectionSlots>,
    number: u64,
    entry: Rc<Entry>,
    /// Receives a message when the connection is to be evicted.
    pub evictions: Receiver<()>,
}

/// How long a connection may be idle before it is evicted.
#[derive(Clone, Copy)]
pub struct IdleTimeouts {
    /// Where connections are scarce.
    pub scarce: Micros,
    /// Where nearly none are left.
    pub exhausted: Micros,
}

/// A slot as the others see it.
struct Entry {
    activity: Cell<Activity>,
    /// Whether it has carried more than one request.
    is_reused: Cell<bool>,
    /// Since when it has been doing so.
    since: Cell<Micros>,
    idle_timeouts: IdleTimeouts,
    is_eviction_sent: Cell<bool>,
    eviction: Sender<()>,
}

impl ConnectionSlot {
    /// Takes a slot.
    pub fn take(slots: &Rc<ConnectionSlots>, idle_timeouts: IdleTimeouts) -> ConnectionSlot {
        let (eviction, evictions) = async_channel::bounded(1);
        let entry = Rc::new(Entry {
            activity: Cell::new(Activity::Silent),
            is_reused: Cell::new(false),
            since: Cell::new(slots.context.clock.now()),
            idle_timeouts,
            is_eviction_sent: Cell::new(false),
            eviction,
        });
        let number = slots.context.number().0;
        slots.taken.borrow_mut().insert(number, entry.clone());
        ConnectionSlot { slots: slots.clone(), number, entry, evictions }
    }

    /// Records what the connection is doing now.
    pub fn set_activity(&self, activity: Activity) {
        let before = self.entry.activity.replace(activity);
        if before != activity {
            self.entry.is_reused.set(self.entry.is_reused.get() || before == Activity::Idle);
            self.entry.since.set(self.slots.context.clock.now());
            self.entry.is_eviction_sent.set(false);
        }
    }

    /// Whether it is between requests, or has not sent anything yet.
    pub fn is_idle(&self) -> bool {
        self.entry.activity.get() != Activity::Busy
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.slots.taken.borrow_mut().remove(&self.number);
    }
}

impl ConnectionSlots {
    /// Creates an empty table.
    pub fn new(context: Rc<Context>) -> Rc<ConnectionSlots> {
        Rc::new(ConnectionSlots { context, taken: RefCell::default() })
    }

    /// The connection to evict: silent ones first, then those that carried one request, and of these the one that has been idle the
    /// longest; `None` where all are in use or were until just now.
    fn eviction_candidate(&self) -> Option<Rc<Entry>> {
        let context = &self.context;
        let now = context.clock.now();
        // A new connection brings a request that would fail; an evicted client only has to reconnect.
        let is_exhausted = context.gauges.clients.get() >= context.exhausted_clients();
        let slots = self.taken.borrow();
        let may_evict = |entry: &&Rc<Entry>| {
            let idle_us = now.0 - entry.since.get().0;
            !entry.is_eviction_sent.get()
                && match entry.activity.get() {
                    Activity::Silent => idle_us >= SILENT_TIMEOUT_US,
                    Activity::Idle => {
                        idle_us
                            >= if is_exhausted {
                                entry.idle_timeouts.exhausted.0
                            } else {
                                entry.idle_timeouts.scarce.0
                            }
                    }
                    Activity::Busy => false,
                }
        };
        let order = |entry: &&Rc<Entry>| {
            (entry.activity.get() != Activity::Silent, entry.is_reused.get(), entry.since.get())
        };
        slots.values().filter(may_evict).min_by_key(order).cloned()
    }

    /// Evicts idle connections while connections are scarce, before another one is accepted.
    ///
    /// This begins well below the limit: it protects regular clients from crowds that connect, send one request or none, and stay.
    pub async fn evict_idle(&self) {
        let context = &self.context;
        while context.gauges.clients.get() >= context.client_limit() / SCARCE_DIVISOR {
            let Some(entry) = self.eviction_candidate() else { return };
            entry.is_eviction_sent.set(true);
            // A full mailbox already holds an eviction.
            let _ = entry.eviction.try_send(());
            // The connection's own task, which closes it, runs first.
            future::yield_now().await;
        }
    }
}
