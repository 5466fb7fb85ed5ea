//! Support code of the golden tests.
#[allow(dead_code, reason = "the tests of the store need none")]
pub mod entries;

use cluster_types::{Index, MemberId};
use golden_files::GoldenFiles;
use maintenance::{Action, Event, MemberAgent, MemberOrder, PersistedOrders};
use std::time::Duration;

/// The golden files of this package.
pub const GOLDEN: GoldenFiles = GoldenFiles::of_package(env!("CARGO_MANIFEST_DIR"));

/// The orders that a maintenance agent persists after it has received two orders.
#[allow(dead_code, reason = "used by the tests of the store alone")]
pub fn persisted_orders() -> PersistedOrders {
    let mut actions = Vec::new();
    let now = cluster_types::Time(1_000_000);
    let mut agent = MemberAgent::new(Duration::from_millis(250), None, now, &mut actions);
    agent.handle(now, Event::LeaseRenewed { until: now + Duration::from_secs(9) }, &mut actions);
    let orders = [
        ("b-1".into(), MemberOrder::Drain { grant: Index(300), is_reported: false }),
        ("b-2".into(), MemberOrder::Ramp { step: Index(301), permille: 250, is_reported: true }),
    ];
    agent.handle(now, Event::Orders { index: Index(302), orders: orders.into() }, &mut actions);
    let persisted = actions.into_iter().filter_map(|action| match action {
        Action::Persist { orders, .. } => Some(orders),
        _ => None,
    });
    persisted.last().expect("the agent persists its orders")
}

/// The id of a test member.
#[allow(dead_code, reason = "used by the tests of frames and entries alone")]
pub fn member(number: u8) -> MemberId {
    format!("front-{number}").as_str().into()
}
