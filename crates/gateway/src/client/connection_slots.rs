//! The places that clients' connections take, of both fronts. Where they run out, the one that has stood idle for the
//! longest makes room for a newcomer.
use crate::context::Context;
use async_channel::{Receiver, Sender};
use futures_lite::future;
use scheduler::interface::Micros;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// A connection on which nothing has come has nothing to lose; where connections are scarce it makes room after this
/// time.
const SILENT: i64 = 50_000;
/// Where nearly none are left, a client that opens connections as it needs them makes room after this time.
pub const SHORT: Micros = Micros(100_000);

/// Connections are scarce from this part of their bound on.
const SCARCE: usize = 4;

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doing {
    /// Nothing has come on it yet.
    Silent,
    /// It stands between requests.
    Idle,
    /// Something is owed or half there.
    Busy,
}

/// All places that are taken.
pub struct ConnectionSlots {
    context: Rc<Context>,
    taken: RefCell<BTreeMap<u64, Rc<Entry>>>,
}

/// One connection's place, given up when dropped.
pub struct ConnectionSlot {
    slots: Rc<ConnectionSlots>,
    number: u64,
    entry: Rc<Entry>,
    /// A letter asks to make room.
    pub asked: Receiver<()>,
}

/// What others see of a place.
pub struct Entry {
    doing: Cell<Doing>,
    /// Whether it was in use more than once.
    usual: Cell<bool>,
    since: Cell<Micros>,
    /// How long it may stand idle where places are scarce, and where nearly none are left.
    timeout: (Micros, Micros),
    asked: Cell<bool>,
    ask: Sender<()>,
}

impl ConnectionSlot {
    /// Takes a place; `patience` is for how long it may stand idle where places are scarce, and nearly none left.
    pub fn take(slots: &Rc<ConnectionSlots>, timeout: (Micros, Micros)) -> ConnectionSlot {
        let (ask, asked) = async_channel::bounded(1);
        let entry = Rc::new(Entry {
            doing: Cell::new(Doing::Silent),
            usual: Cell::new(false),
            since: Cell::new(slots.context.clock.now()),
            timeout,
            asked: Cell::new(false),
            ask,
        });
        let number = slots.context.number().0;
        slots.taken.borrow_mut().insert(number, entry.clone());
        ConnectionSlot { slots: slots.clone(), number, entry, asked }
    }

    /// Says what the connection does now.
    pub fn set(&self, doing: Doing) {
        let before = self.entry.doing.replace(doing);
        if before != doing {
            self.entry.usual.set(self.entry.usual.get() || before == Doing::Idle);
            self.entry.since.set(self.slots.context.clock.now());
            self.entry.asked.set(false);
        }
    }

    /// Whether it stands between requests, or nothing has come on it yet.
    pub fn idle(&self) -> bool {
        self.entry.doing.get() != Doing::Busy
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.slots.taken.borrow_mut().remove(&self.number);
    }
}

impl ConnectionSlots {
    /// No place is taken yet.
    pub fn new(context: Rc<Context>) -> Rc<ConnectionSlots> {
        Rc::new(ConnectionSlots { context, taken: RefCell::default() })
    }

    /// The connection that is to make room: silent ones first, then those that asked once, and of these the one idle for
    /// the longest; none where all are in use or have just been.
    fn longest_idle(&self) -> Option<Rc<Entry>> {
        let context = &self.context;
        let now = context.clock.now();
        // Guards newcomers, whose requests would fail: it costs less that another client opens one more.
        let full = context.gauges.clients.get() >= context.clients_full();
        let slots = self.taken.borrow();
        let may = |e: &&Rc<Entry>| {
            let stood = now.0 - e.since.get().0;
            !e.asked.get()
                && match e.doing.get() {
                    Doing::Silent => stood >= SILENT,
                    Doing::Idle => stood >= if full { e.timeout.1 .0 } else { e.timeout.0 .0 },
                    Doing::Busy => false,
                }
        };
        let turn = |e: &&Rc<Entry>| (e.doing.get() != Doing::Silent, e.usual.get(), e.since.get());
        slots.values().filter(may).min_by_key(turn).cloned()
    }

    /// Before one more connection is accepted: where connections are scarce, lets others make room, as far as they can.
    // Guards the usual clients against crowds that connect, ask once or never, and stay. It begins well under the bound:
    // clients may count their own connections, and those that only stand would be among them.
    pub async fn room(&self) {
        let context = &self.context;
        while context.gauges.clients.get() >= context.client_bound() / SCARCE {
            let Some(entry) = self.longest_idle() else { return };
            entry.asked.set(true);
            let _ = entry.ask.try_send(());
            // Its own task closes it, and comes before this one.
            future::yield_now().await;
        }
    }
}
