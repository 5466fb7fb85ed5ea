//! Tests the replay window against a model, and at the highest sequence numbers.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use message_auth::replay_window::{ReplayWindow, WINDOW_SIZE};
use proptest::prelude::*;
use std::collections::BTreeSet;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// The model is the set of all numbers accepted so far: window and model agree on steps of every size.
    #[test]
    fn accepts_each_sequence_number_once(steps in prop::collection::vec((0u64..3, 0u64..2_100), 1..400)) {
        let (mut window, mut seen, mut highest) = (ReplayWindow::default(), BTreeSet::new(), 1u64);
        for (direction, size) in steps {
            let number = match direction {
                0 => highest + size % 3,
                1 => highest + size,
                _ => highest.saturating_sub(size).max(1),
            };
            let is_new = (number > highest || highest - number < WINDOW_SIZE) && !seen.contains(&number);
            prop_assert_eq!(window.accept(number), is_new, "number {} highest {}", number, highest);
            if is_new {
                seen.insert(number);
                highest = highest.max(number);
            }
        }
    }
}

#[test]
fn accepts_highest_sequence_numbers() {
    let mut window = ReplayWindow::default();
    assert!(window.accept(u64::MAX) && !window.accept(u64::MAX));
    assert!(window.accept(u64::MAX - 1_023) && !window.accept(u64::MAX - 1_024));
}
