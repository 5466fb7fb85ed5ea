//! The memory budget.
#![allow(clippy::unwrap_used)]
use scatter_gather::MemoryBudget;

#[test]
fn reserves_up_to_capacity_and_releases_everything() {
    let budget = MemoryBudget::new(100);
    let mut first = budget.reserve(60).unwrap();
    assert!(budget.reserve(41).is_none() && budget.reserve(u64::MAX).is_none());
    let second = budget.reserve(40).unwrap();
    assert!(!first.resize(61) && first.bytes() == 60 && budget.reserved() == 100);
    assert!(first.resize(10) && budget.reserved() == 50);
    drop((first, second));
    assert_eq!(budget.reserved(), 0);
}
