//! The stored and sent forms, held byte for byte by the files in `tests/golden/`.
#![allow(clippy::unwrap_used, clippy::panic)]
mod support;

use cluster_types::{Index, Time};
use maintenance::{Action, Event, MaintenanceState, MemberAgent, MemberOrder, PersistedOrders};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::path::PathBuf;
use std::time::Duration;
use support::samples::{commands, filled_state};
use support::*;

fn golden_file(name: &str) -> Vec<u8> {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    std::fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Encoding gives the file, decoding the file gives the value, and encoding that gives the file again.
fn assert_holds<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) {
    let file = golden_file(name);
    assert_eq!(postcard::to_stdvec(value).unwrap(), file, "{name}: {value:?}");
    let decoded: T = postcard::from_bytes(&file).unwrap();
    assert_eq!(decoded, *value, "{name}");
    assert_eq!(postcard::to_stdvec(&decoded).unwrap(), file, "{name}");
}

#[test]
fn commands_keep_their_bytes() {
    for (name, command) in commands() {
        assert_holds(&format!("{name}.postcard"), &command);
    }
}

#[test]
fn replicated_state_keeps_its_bytes() {
    assert_holds::<MaintenanceState>("state-empty.postcard", &MaintenanceState::default());
    assert_holds("state-filled.postcard", &filled_state().state);
}

#[test]
fn persisted_orders_keep_their_bytes() {
    assert_holds("persisted-orders-empty.postcard", &PersistedOrders::default());
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
    assert_holds("persisted-orders.postcard", &persisted.unwrap());
}
