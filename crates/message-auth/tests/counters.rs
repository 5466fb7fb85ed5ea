//! Tests the counters of rejected messages.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use message_auth::{OpenCounters, Rejection};

#[test]
fn counts_each_reason_separately() {
    for reason in Rejection::ALL {
        let mut counters = OpenCounters::default();
        counters.record_rejection(reason);
        let named: Vec<_> = counters.rejections().filter(|(_, count)| *count > 0).collect();
        assert_eq!(named, [(reason.name(), 1)]);
    }
}
