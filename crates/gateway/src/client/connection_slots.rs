//! Connection slots of RESP2 clients and iSCSI initiators. When they run short, idle connections are evicted to admit new ones.
use crate::context::Context;
use async_channel::{Receiver, Sender};
use futures_lite::future;
use scheduler::interface::Micros;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// While connections are scarce, a connection that has never sent anything may be evicted after this time, in microseconds.
const SILENT_TIMEOUT_US: i64 = 50_000;
/// While connections are exhausted, an idle connection may be evicted after this time.
pub const EXHAUSTED_IDLE_TIMEOUT: Micros = Micros(100_000);

/// Connections count as scarce once their number reaches the limit divided by this.
const SCARCE_DIVISOR: usize = 4;

/// What a connection is doing.
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
    entries: RefCell<BTreeMap<u64, Rc<Entry>>>,
}

/// The slot of one connection, released when dropped.
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
    /// While connections are scarce.
    pub scarce: Micros,
    /// While connections are exhausted.
    pub exhausted: Micros,
}

/// The state of a slot in the table.
struct Entry {
    activity: Cell<Activity>,
    /// Whether it has carried more than one request.
    is_reused: Cell<bool>,
    /// When the activity last changed.
    activity_since: Cell<Micros>,
    idle_timeouts: IdleTimeouts,
    is_eviction_sent: Cell<bool>,
    eviction: Sender<()>,
}

impl ConnectionSlot {
    /// Acquires a slot for a new connection.
    pub fn acquire(slots: &Rc<ConnectionSlots>, idle_timeouts: IdleTimeouts) -> ConnectionSlot {
        let (eviction, evictions) = async_channel::bounded(1);
        let entry = Rc::new(Entry {
            activity: Cell::new(Activity::Silent),
            is_reused: Cell::new(false),
            activity_since: Cell::new(slots.context.clock.now()),
            idle_timeouts,
            is_eviction_sent: Cell::new(false),
            eviction,
        });
        let number = slots.context.next_request_id().0;
        slots.entries.borrow_mut().insert(number, entry.clone());
        ConnectionSlot { slots: slots.clone(), number, entry, evictions }
    }

    /// Updates the connection's activity.
    pub fn set_activity(&self, activity: Activity) {
        let before = self.entry.activity.replace(activity);
        if before != activity {
            self.entry.is_reused.set(self.entry.is_reused.get() || before == Activity::Idle);
            self.entry.activity_since.set(self.slots.context.clock.now());
            self.entry.is_eviction_sent.set(false);
        }
    }

    /// Whether the connection is between requests or has not sent anything yet.
    pub fn is_idle(&self) -> bool {
        self.entry.activity.get() != Activity::Busy
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.slots.entries.borrow_mut().remove(&self.number);
    }
}

impl ConnectionSlots {
    /// Creates an empty table.
    pub fn new(context: Rc<Context>) -> Rc<ConnectionSlots> {
        Rc::new(ConnectionSlots { context, entries: RefCell::default() })
    }

    /// Selects the connection to evict: silent ones first, then those that have carried only one request, and among equals the one that
    /// has been idle the longest. Returns `None` if all are busy or have been idle for too short a time.
    fn eviction_candidate(&self) -> Option<Rc<Entry>> {
        let context = &self.context;
        let now = context.clock.now();
        // Without a slot the request of a new connection would fail, while an evicted client only has to reconnect.
        let is_exhausted = context.gauges.client_connections.get() >= context.client_exhaustion_threshold();
        let slots = self.entries.borrow();
        let may_evict = |entry: &&Rc<Entry>| {
            let idle_us = now.0 - entry.activity_since.get().0;
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
            (entry.activity.get() != Activity::Silent, entry.is_reused.get(), entry.activity_since.get())
        };
        slots.values().filter(may_evict).min_by_key(order).cloned()
    }

    /// Evicts idle connections while connections are scarce, before another one is accepted.
    ///
    /// Eviction begins well below the limit, to protect regular clients from crowds of clients that connect, send at most one request
    /// and keep the connection open.
    pub async fn evict_idle(&self) {
        let context = &self.context;
        while context.gauges.client_connections.get() >= context.client_limit() / SCARCE_DIVISOR {
            let Some(entry) = self.eviction_candidate() else { return };
            entry.is_eviction_sent.set(true);
            // A full channel already holds an eviction message.
            let _ = entry.eviction.try_send(());
            // Lets the connection's own task run, which closes it.
            future::yield_now().await;
        }
    }
}
