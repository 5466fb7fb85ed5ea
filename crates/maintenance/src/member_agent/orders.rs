//! How the agent accepts orders and puts them into effect.
use super::tracked::{AppliedOrder, TrackedBackend};
use super::{Action, MemberAgent, PendingOrders};
use crate::order::{MemberOrder, Quota};
use cluster_types::{BackendId, Index, Time};
use std::collections::BTreeMap;

impl MemberAgent {
    /// Keeps orders until a lease allows applying them. Returns false for orders older than known ones.
    pub(super) fn accept_orders(&mut self, index: Index, orders: BTreeMap<BackendId, MemberOrder>) -> bool {
        let newest = self.pending.as_ref().map_or(self.orders_index, |pending| pending.index);
        if index < newest {
            self.stale_inputs += 1;
            return false;
        }
        self.pending = Some(PendingOrders { index, orders });
        true
    }

    /// Puts the latest received orders into effect.
    pub(super) fn apply_pending_orders(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Some(PendingOrders { index, orders }) = self.pending.take() else { return };
        self.orders_index = index;
        let mut has_changed = self.end_orders(&orders, actions);
        for (backend, order) in orders {
            has_changed |= self.apply_order(now, backend, order, actions);
        }
        if has_changed {
            self.persist(actions);
        }
    }

    /// Undrains the backends that no longer have an order. Returns whether there were any.
    fn end_orders(&mut self, orders: &BTreeMap<BackendId, MemberOrder>, actions: &mut Vec<Action>) -> bool {
        let is_order_ended = |backend: &BackendId, tracked: &TrackedBackend| {
            !orders.contains_key(backend) && tracked.order != AppliedOrder::Orphan
        };
        let ended = self.backends.iter().filter(|(backend, tracked)| is_order_ended(backend, tracked));
        let ended: Vec<BackendId> = ended.map(|(backend, _)| backend.clone()).collect();
        let has_ended = !ended.is_empty();
        for backend in ended {
            self.backends.remove(&backend);
            actions.push(Action::Undrain { backend, quota: Quota::Full });
        }
        has_ended
    }

    /// Puts the order for one backend into effect. Returns whether the order is new.
    fn apply_order(
        &mut self,
        now: Time,
        backend: BackendId,
        order: MemberOrder,
        actions: &mut Vec<Action>,
    ) -> bool {
        let (order, is_reported) = match order {
            MemberOrder::Drain { grant, is_reported } => (AppliedOrder::Drain(grant), is_reported),
            MemberOrder::Ramp { step, permille, is_reported } => {
                (AppliedOrder::Ramp(step, permille), is_reported)
            }
        };
        let next_serial = self.last_serial + 1;
        let known = self.backends.get(&backend);
        // An orphan is treated like a backend without an order, since the current log has no order for it.
        let is_new = known.is_none_or(|tracked| tracked.order != order);
        if is_new {
            // The drain delay starts now.
            actions.push(Action::for_order(order, &backend));
            self.backends.insert(backend.clone(), TrackedBackend::new(order, now, next_serial));
        }
        if let Some(tracked) = self.backends.get_mut(&backend) {
            tracked.is_reported = is_reported;
        }
        is_new
    }

    /// Handles the replacement of the log: all backends under an order are drained until an operator releases them or the
    /// new log has an order for them. The quotas of the old log are void.
    pub(super) fn orphan_all(&mut self, actions: &mut Vec<Action>) {
        self.orders_index = Index(0);
        self.pending = None;
        for (backend, tracked) in &mut self.backends {
            if !tracked.order.is_drained() {
                actions.push(Action::for_order(AppliedOrder::Orphan, backend));
            }
            tracked.order = AppliedOrder::Orphan;
        }
        self.persist(actions);
    }

    pub(super) fn release_orphan(&mut self, backend: BackendId, actions: &mut Vec<Action>) {
        let tracked = self.backends.get(&backend);
        if tracked.is_some_and(|tracked| tracked.order == AppliedOrder::Orphan) {
            self.backends.remove(&backend);
            actions.push(Action::Undrain { backend, quota: Quota::Full });
            self.persist(actions);
        }
    }
}
