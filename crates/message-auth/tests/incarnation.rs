//! Tests the incarnations of successive restarts.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use message_auth::new_incarnation;
use std::time::Duration;

#[test]
fn incarnation_increases_after_clock_is_set_back() {
    let first = new_incarnation(Duration::from_secs(1_800_000_000), 0);
    let second = new_incarnation(Duration::from_secs(1_700_000_000), first);
    assert!(second > first);
    assert!(new_incarnation(Duration::from_secs(1_900_000_000), second) > second);
    assert!(new_incarnation(Duration::MAX, 0) > second);
}
