//! Tests of the agent of one member.
#![allow(clippy::unwrap_used, clippy::panic)]
mod support;

use cluster_types::{Index, Time};
use maintenance::{Action, Event, MemberAgent, MemberOrder, PersistedOrders, Quota, Report};
use std::time::Duration;
use support::{backend, backends};

const DRAIN_DELAY: Duration = Duration::from_millis(250);

fn ms(at: u64) -> Time {
    Time(at * 1000)
}

/// An agent with a disk. Times are in milliseconds; in-flight counts are those of backend `a1`.
struct Host {
    agent: MemberAgent,
    disk: Option<PersistedOrders>,
}

impl Host {
    fn start(disk: Option<PersistedOrders>) -> (Host, Vec<Action>) {
        let mut actions = Vec::new();
        let agent = MemberAgent::new(DRAIN_DELAY, disk, ms(0), &mut actions);
        (Host { agent, disk: None }, actions)
    }

    /// Passes an event to the agent and persists what it asks for. Returns the other actions.
    fn handle(&mut self, at: u64, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.agent.handle(ms(at), event, &mut actions);
        let persist = actions.iter().position(|action| matches!(action, Action::Persist { .. }));
        let Some(position) = persist else { return actions };
        if let Action::Persist { serial, orders } = actions.remove(position) {
            self.disk = Some(orders);
            self.agent.handle(ms(at), Event::Persisted { serial }, &mut actions);
        }
        actions
    }

    fn orders(&mut self, at: u64, index: u64, orders: &[(&str, MemberOrder)]) -> Vec<Action> {
        let orders = orders.iter().map(|(name, order)| (backend(name), *order)).collect();
        self.handle(at, Event::Orders { index: Index(index), orders })
    }

    fn in_flight(&mut self, at: u64, in_flight: u32, last_send: u64) -> Vec<Action> {
        let last_send = Some(ms(last_send));
        self.handle(at, Event::InFlight { backend: backend("a1"), in_flight, last_send, measured_at: ms(at) })
    }

    fn renew_lease(&mut self, at: u64, until: u64) -> Vec<Action> {
        self.handle(at, Event::LeaseRenewed { until: ms(until) })
    }
}

fn drain(grant: u64) -> MemberOrder {
    MemberOrder::Drain { grant: Index(grant), is_reported: false }
}

fn ramp(step: u64, permille: u16) -> MemberOrder {
    MemberOrder::Ramp { step: Index(step), permille, is_reported: false }
}

fn drain_action_of_a1(order: u64) -> Vec<Action> {
    vec![Action::Drain { backend: backend("a1"), order: Some(Index(order)) }]
}

fn undrain_action_of_a1(quota: Quota) -> Vec<Action> {
    vec![Action::Undrain { backend: backend("a1"), quota }]
}

fn drained_report(grant: u64) -> Vec<Action> {
    vec![Action::Report(Report::Drained { grant: Index(grant) })]
}

/// The agent reports a drain once no request is in flight after the drain delay and the order is persisted, and repeats
/// the report until it is in the log. After a request was sent too late, the scheduler is notified again and the drain is
/// not reported yet.
#[test]
fn reports_drain_once_idle_and_persisted() {
    let (mut host, _) = Host::start(None);
    host.renew_lease(0, 60_000);
    assert_eq!(host.orders(1000, 5, &[("a1", drain(5))]), drain_action_of_a1(5));
    assert!(host.in_flight(1200, 0, 900).is_empty(), "it may still send");
    assert!(host.in_flight(1260, 1, 1240).is_empty(), "one is in flight");
    assert!(host.in_flight(1250, 0, 900).is_empty(), "older than what is known");
    assert_eq!(host.in_flight(1300, 0, 1251), drain_action_of_a1(5));
    assert_eq!(host.agent.late_sends(), 1);
    assert!(host.in_flight(1540, 0, 1251).is_empty());
    assert_eq!(host.in_flight(1560, 0, 1251), drained_report(5));
    assert!(host.handle(2000, Event::Tick).is_empty());
    assert_eq!(host.agent.next_wakeup(), Some(ms(2560)));
    assert_eq!(host.handle(2560, Event::Tick), drained_report(5));
    let reported = MemberOrder::Drain { grant: Index(5), is_reported: true };
    assert!(host.orders(2600, 6, &[("a1", reported)]).is_empty());
    assert_eq!(host.agent.next_wakeup(), None);
    let mut actions = Vec::new();
    let mut unpersisted_agent = MemberAgent::new(DRAIN_DELAY, None, ms(0), &mut actions);
    unpersisted_agent.handle(ms(0), Event::LeaseRenewed { until: ms(9000) }, &mut actions);
    let orders = [(backend("a1"), drain(5))].into();
    unpersisted_agent.handle(ms(0), Event::Orders { index: Index(5), orders }, &mut actions);
    actions.clear();
    let idle =
        Event::InFlight { backend: backend("a1"), in_flight: 0, last_send: None, measured_at: ms(300) };
    unpersisted_agent.handle(ms(300), idle, &mut actions);
    assert!(actions.is_empty(), "not persisted yet");
}

/// Without a lease, drained backends stay drained and no others are drained; with a new lease, the latest orders apply.
#[test]
fn follows_no_orders_without_lease() {
    let (mut host, _) = Host::start(None);
    host.renew_lease(0, 1000);
    host.orders(500, 5, &[("a1", drain(5))]);
    assert!(host.in_flight(1100, 0, 0).is_empty(), "no report without a lease");
    assert!(host.orders(1200, 8, &[("b1", drain(8))]).is_empty());
    assert_eq!(host.agent.drained_backends(), backends("a1"));
    host.orders(1300, 9, &[("a1", ramp(9, 40)), ("b1", drain(8))]);
    let actions_after_renewal = host.renew_lease(1400, 9000);
    assert_eq!(actions_after_renewal[0], undrain_action_of_a1(Quota::Permille(40))[0]);
    assert_eq!(host.agent.drained_backends(), backends("b1"));
}

/// A persisted drain is in effect immediately after a restart, even without a lease, and older orders are ignored. A drain
/// that was not persisted is restored from the log.
#[test]
fn restores_drains_after_restart() {
    let (mut host, _) = Host::start(None);
    host.renew_lease(0, 1000);
    host.orders(500, 5, &[("a1", drain(5))]);
    let (mut restarted, initial_actions) = Host::start(host.disk);
    assert_eq!(initial_actions, drain_action_of_a1(5));
    restarted.renew_lease(0, 9000);
    assert!(restarted.orders(10, 4, &[]).is_empty());
    assert_eq!(restarted.agent.stale_inputs(), 1);
    assert!(restarted.orders(20, 5, &[("a1", drain(5))]).is_empty());
    assert_eq!(restarted.in_flight(300, 0, 0), drained_report(5));
    let (mut without_disk, initial_actions) = Host::start(None);
    assert!(initial_actions.is_empty());
    without_disk.renew_lease(0, 9000);
    assert_eq!(without_disk.orders(10, 7, &[("a1", drain(5))]), drain_action_of_a1(5));
}

#[test]
fn acknowledges_recovery_stages() {
    let (mut host, _) = Host::start(None);
    host.renew_lease(0, 60_000);
    host.orders(0, 5, &[("a1", drain(5))]);
    assert_eq!(host.orders(1000, 8, &[("a1", ramp(8, 0))]), drain_action_of_a1(8));
    assert_eq!(host.orders(1100, 9, &[("a1", ramp(9, 75))]), undrain_action_of_a1(Quota::Permille(75)));
    assert_eq!(host.agent.next_wakeup(), Some(ms(1350)));
    let acknowledged = Report::StageAcknowledged { backend: backend("a1"), step: Index(9) };
    assert_eq!(host.handle(1350, Event::Tick), [Action::Report(acknowledged)]);
    assert_eq!(host.orders(2000, 12, &[]), undrain_action_of_a1(Quota::Full));
}

/// A log that was bootstrapped again has no orders for drained backends: they stay drained until an operator releases them.
#[test]
fn keeps_drains_of_replaced_log_until_released() {
    let (mut host, _) = Host::start(None);
    host.renew_lease(0, 60_000);
    host.orders(0, 500, &[("a1", drain(500))]);
    host.handle(10, Event::LogReplaced);
    assert!(host.orders(20, 3, &[]).is_empty());
    assert_eq!(host.agent.drained_backends(), backends("a1"));
    let release = |name: &str| Event::ReleaseOrphan { backend: backend(name) };
    assert!(host.handle(30, release("b1")).is_empty());
    assert_eq!(host.handle(40, release("a1")), undrain_action_of_a1(Quota::Full));
}
