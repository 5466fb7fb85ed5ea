//! A front's own side.
#![allow(clippy::unwrap_used, clippy::panic)]
mod kit;

use cluster_types::{BackendId, Index, Time};
use kit::id;
use maintenance::{Action, Event, FrontSide, Kept, Order, Report, Share};
use std::time::Duration;

const RULE: Duration = Duration::from_millis(250);

fn ms(at: u64) -> Time {
    Time(at * 1000)
}

/// A front's side, the time and what it keeps.
struct Side {
    side: FrontSide,
    kept: Option<Kept>,
}

impl Side {
    fn new(kept: Option<Kept>) -> (Side, Vec<Action>) {
        let mut out = Vec::new();
        (Side { side: FrontSide::new(RULE, kept, ms(0), &mut out), kept: None }, out)
    }

    /// Hands an event in and saves what it wants kept.
    fn at(&mut self, at: u64, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.side.handle(ms(at), event, &mut out);
        let Some(n) = out.iter().position(|a| matches!(a, Action::Keep { .. })) else { return out };
        if let Action::Keep { serial, kept } = out.remove(n) {
            self.kept = Some(kept);
            self.side.handle(ms(at), Event::Saved { serial }, &mut out);
        }
        out
    }

    fn orders(&mut self, at: u64, index: u64, orders: &[(&str, Order)]) -> Vec<Action> {
        let orders = orders.iter().map(|(b, o)| (id(b), *o)).collect();
        self.at(at, Event::Orders { index: Index(index), orders })
    }

    fn figures(&mut self, at: u64, out: u32, last: u64) -> Vec<Action> {
        self.at(at, Event::Figures { id: id("a1"), out, last_send: Some(ms(last)), at: ms(at) })
    }

    fn lease(&mut self, at: u64, until: u64) -> Vec<Action> {
        self.at(at, Event::Lease { until: ms(until) })
    }
}

fn drain(grant: u64) -> Order {
    Order::Drain { grant: Index(grant), heard: false }
}

fn part(number: u64, part: u16) -> Order {
    Order::Part { number: Index(number), part, heard: false }
}

fn drains(grant: u64) -> Vec<Action> {
    vec![Action::Drain { id: id("a1"), grant: Some(Index(grant)) }]
}

fn undrains(share: Share) -> Vec<Action> {
    vec![Action::Undrain { id: id("a1"), share }]
}

fn reports(grant: u64) -> Vec<Action> {
    vec![Action::Report(Report::Drained { grant: Index(grant) })]
}

/// It reports once nothing is out at a time at which nothing new may go there, not before it is kept, and again until the log
/// has it. One that sends later than the rule is told again and not reported.
#[test]
fn drains_and_reports() {
    let (mut side, _) = Side::new(None);
    side.lease(0, 60_000);
    assert_eq!(side.orders(1000, 5, &[("a1", drain(5))]), drains(5));
    assert!(side.figures(1200, 0, 900).is_empty(), "it may still send");
    assert!(side.figures(1260, 1, 1240).is_empty(), "one is out");
    assert!(side.figures(1250, 0, 900).is_empty(), "older than what is known");
    assert_eq!(side.figures(1300, 0, 1251), drains(5));
    assert_eq!(side.side.late(), 1);
    assert!(side.figures(1540, 0, 1251).is_empty());
    assert_eq!(side.figures(1560, 0, 1251), reports(5));
    assert!(side.at(2000, Event::Tick).is_empty());
    assert_eq!(side.side.wake(), Some(ms(2560)));
    assert_eq!(side.at(2560, Event::Tick), reports(5));
    assert!(side.orders(2600, 6, &[("a1", Order::Drain { grant: Index(5), heard: true })]).is_empty());
    assert_eq!(side.side.wake(), None);
    let mut out = Vec::new();
    let mut unsaved = FrontSide::new(RULE, None, ms(0), &mut out);
    unsaved.handle(ms(0), Event::Lease { until: ms(9000) }, &mut out);
    unsaved.handle(ms(0), Event::Orders { index: Index(5), orders: [(id("a1"), drain(5))].into() }, &mut out);
    out.clear();
    unsaved.handle(ms(300), Event::Figures { id: id("a1"), out: 0, last_send: None, at: ms(300) }, &mut out);
    assert!(out.is_empty(), "not kept yet");
}

/// Without its lease: drained stays drained, nothing new is taken out; with it again, what was ordered last counts.
#[test]
fn the_lease_is_lost() {
    let (mut side, _) = Side::new(None);
    side.lease(0, 1000);
    side.orders(500, 5, &[("a1", drain(5))]);
    assert!(side.figures(1100, 0, 0).is_empty(), "no report without a lease");
    assert!(side.orders(1200, 8, &[("b1", drain(8))]).is_empty());
    assert_eq!(side.side.drained(), kit::set("a1"));
    side.orders(1300, 9, &[("a1", part(9, 40)), ("b1", drain(8))]);
    let regained = side.lease(1400, 9000);
    assert_eq!(regained[0], undrains(Share::Part(40))[0]);
    assert_eq!(side.side.drained(), kit::set("b1"));
}

/// Kept, a drain holds from the first moment, without any lease, and an older state of the log does not lift it. Lost, it
/// is learnt on catching up.
#[test]
fn a_restart() {
    let (mut side, _) = Side::new(None);
    side.lease(0, 1000);
    side.orders(500, 5, &[("a1", drain(5))]);
    let (mut again, first) = Side::new(side.kept);
    assert_eq!(first, drains(5));
    again.lease(0, 9000);
    assert!(again.orders(10, 4, &[]).is_empty());
    assert_eq!(again.side.stale(), 1);
    assert!(again.orders(20, 5, &[("a1", drain(5))]).is_empty());
    assert_eq!(again.figures(300, 0, 0), reports(5));
    let (mut lost, first) = Side::new(None);
    assert!(first.is_empty());
    lost.lease(0, 9000);
    assert_eq!(lost.orders(10, 7, &[("a1", drain(5))]), drains(5));
}

#[test]
fn comes_back_in_parts() {
    let (mut side, _) = Side::new(None);
    side.lease(0, 60_000);
    side.orders(0, 5, &[("a1", drain(5))]);
    assert_eq!(side.orders(1000, 8, &[("a1", part(8, 0))]), drains(8));
    assert_eq!(side.orders(1100, 9, &[("a1", part(9, 75))]), undrains(Share::Part(75)));
    assert_eq!(side.side.wake(), Some(ms(1350)));
    let staged = Action::Report(Report::Staged { id: id("a1"), number: Index(9) });
    assert_eq!(side.at(1350, Event::Tick), [staged]);
    assert_eq!(side.orders(2000, 12, &[]), undrains(Share::Whole));
}

/// A log that was founded anew knows nothing of what is out: it stays drained until an operator ends it.
#[test]
fn the_log_is_founded_anew() {
    let (mut side, _) = Side::new(None);
    side.lease(0, 60_000);
    side.orders(0, 500, &[("a1", drain(500))]);
    side.at(10, Event::Refounded);
    assert!(side.orders(20, 3, &[]).is_empty());
    assert_eq!(side.side.drained(), kit::set("a1"));
    let release = |b: &str| Event::Release { id: BackendId::from(b) };
    assert!(side.at(30, release("b1")).is_empty());
    assert_eq!(side.at(40, release("a1")), undrains(Share::Whole));
}
