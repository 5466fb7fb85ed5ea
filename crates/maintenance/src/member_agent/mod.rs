//! The agent of one member: it carries out the orders of the replicated state while the member's lease is valid.
//!
//! Without a lease the member can't know whether its latest orders still apply, and changes nothing: drained backends stay
//! drained, no others are drained and none is undrained. Once it has a lease again, it applies the latest orders.
mod action;
mod event;
mod orders;
mod report;
mod tracked;

pub use action::{Action, Report};
pub use event::Event;
pub use tracked::PersistedOrders;

use crate::order::MemberOrder;
use cluster_types::{BackendId, Index, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tracked::{AppliedOrder, TrackedBackend};

/// A report that is not in the log is sent again after this time.
const REPORT_RETRY: Duration = Duration::from_secs(1);

/// Orders that were received and are not in effect yet.
#[derive(Clone, Debug)]
struct PendingOrders {
    index: Index,
    orders: BTreeMap<BackendId, MemberOrder>,
}

/// The agent of one member. It does no I/O: it handles events and returns actions for the host to carry out.
#[derive(Clone, Debug)]
pub struct MemberAgent {
    /// How long after an order the scheduler may still send requests to a backend.
    drain_delay: Duration,
    /// The log index of the orders in effect.
    orders_index: Index,
    backends: BTreeMap<BackendId, TrackedBackend>,
    pending: Option<PendingOrders>,
    lease_end: Option<Time>,
    /// The serial numbers of the last [`Action::Persist`], and of the last one that was completed.
    last_serial: u64,
    persisted_serial: u64,
    late_sends: u64,
    stale_inputs: u64,
}

impl MemberAgent {
    /// An agent that starts with the persisted orders in effect, with or without a lease. `drain_delay` is how long after an
    /// order the scheduler may still send requests to a backend.
    pub fn new(
        drain_delay: Duration,
        persisted: Option<PersistedOrders>,
        now: Time,
        actions: &mut Vec<Action>,
    ) -> MemberAgent {
        let PersistedOrders { orders_index, orders } = persisted.unwrap_or_default();
        let mut backends = BTreeMap::new();
        for (backend, order) in orders {
            actions.push(Action::for_order(order, &backend));
            backends.insert(backend, TrackedBackend::new(order, now, 0));
        }
        MemberAgent {
            drain_delay,
            orders_index,
            backends,
            pending: None,
            lease_end: None,
            last_serial: 0,
            persisted_serial: 0,
            late_sends: 0,
            stale_inputs: 0,
        }
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => {}
            Event::Orders { index, orders } => {
                if !self.accept_orders(index, orders) {
                    return;
                }
            }
            Event::LeaseRenewed { until } => self.lease_end = self.lease_end.max(Some(until)),
            Event::InFlight { backend, in_flight, last_send, measured_at } => {
                self.record_in_flight(now, &backend, in_flight, last_send, measured_at, actions);
            }
            Event::Persisted { serial } => {
                self.persisted_serial = self.persisted_serial.max(serial.min(self.last_serial));
            }
            Event::LogReplaced => self.orphan_all(actions),
            Event::ReleaseOrphan { backend } => self.release_orphan(backend, actions),
        }
        if self.has_lease(now) {
            self.apply_pending_orders(now, actions);
            self.report(now, actions);
        }
    }

    /// Whether the lease is valid.
    pub fn has_lease(&self, now: Time) -> bool {
        self.lease_end.is_some_and(|end| now < end)
    }

    /// When the agent next needs an [`Event::Tick`].
    pub fn next_wakeup(&self) -> Option<Time> {
        let unreported = self.backends.values().filter(|tracked| !tracked.is_reported);
        let wakeups = unreported.filter_map(|tracked| match (tracked.order, tracked.reported_at) {
            (AppliedOrder::Orphan, _) => None,
            (_, Some(reported_at)) => Some(reported_at + REPORT_RETRY),
            (AppliedOrder::Ramp { .. }, None) => Some(tracked.ordered_at + self.drain_delay),
            (AppliedOrder::Drain(_), None) => None,
        });
        wakeups.min()
    }

    /// The backends that receive no new requests.
    pub fn drained_backends(&self) -> BTreeSet<BackendId> {
        let drained = self.backends.iter().filter(|(_, tracked)| tracked.order.is_drained());
        drained.map(|(backend, _)| backend.clone()).collect()
    }

    /// How often a request was sent to a drained backend after the end of the drain delay.
    pub fn late_sends(&self) -> u64 {
        self.late_sends
    }

    /// How many orders and measurements were ignored as outdated or dated in the future.
    pub fn stale_inputs(&self) -> u64 {
        self.stale_inputs
    }

    fn persist(&mut self, actions: &mut Vec<Action>) {
        self.last_serial += 1;
        let orders =
            self.backends.iter().map(|(backend, tracked)| (backend.clone(), tracked.order)).collect();
        let persisted = PersistedOrders { orders_index: self.orders_index, orders };
        actions.push(Action::Persist { serial: self.last_serial, orders: persisted });
    }
}
