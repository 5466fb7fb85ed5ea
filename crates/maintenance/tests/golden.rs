//! Compares the stored and sent encodings byte for byte with the files in `tests/golden/`.
#![allow(clippy::unwrap_used, clippy::panic)]
mod support;

use cluster_types::{Index, Time};
use golden_files::GoldenFiles;
use maintenance::{Action, Event, MaintenanceState, MemberAgent, MemberOrder, PersistedOrders};
use std::collections::BTreeMap;
use std::time::Duration;
use support::samples::{commands, filled_state};
use support::*;

const GOLDEN: GoldenFiles = GoldenFiles::of_package(env!("CARGO_MANIFEST_DIR"));

#[test]
fn commands_match_golden_files() {
    for (name, command) in commands() {
        GOLDEN.assert_postcard(&format!("{name}.postcard"), &command);
    }
}

#[test]
fn replicated_state_matches_golden_files() {
    GOLDEN.assert_postcard("state-empty.postcard", &MaintenanceState::default());
    GOLDEN.assert_postcard("state-filled.postcard", &filled_state().state);
}

#[test]
fn persisted_orders_match_golden_files() {
    GOLDEN.assert_postcard("persisted-orders-empty.postcard", &PersistedOrders::default());
    let mut actions = Vec::new();
    let mut agent = MemberAgent::new(Duration::from_millis(250), None, Time(0), &mut actions);
    agent.handle(Time(0), Event::LeaseRenewed { until: Time(60_000_000) }, &mut actions);
    let drain = |grant| MemberOrder::Drain { grant: Index(grant), is_reported: false };
    let orders = BTreeMap::from([(backend("a1"), drain(500))]);
    agent.handle(Time(1), Event::Orders { index: Index(500), orders }, &mut actions);
    agent.handle(Time(2), Event::LogReplaced, &mut actions);
    let ramp = MemberOrder::Ramp { step: Index(300), permille: 750, is_reported: false };
    let orders = BTreeMap::from([(backend("b1"), drain(200)), (backend("c1"), ramp)]);
    agent.handle(Time(3), Event::Orders { index: Index(301), orders }, &mut actions);
    let persisted = actions.iter().rev().find_map(|action| match action {
        Action::Persist { orders, .. } => Some(orders.clone()),
        _ => None,
    });
    GOLDEN.assert_postcard("persisted-orders.postcard", &persisted.unwrap());
}
