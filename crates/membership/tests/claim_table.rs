//! Tests replacement, expiry and limits of the claims of one source.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use cluster_types::Time;
use membership::claim_table::{AdoptOutcome, ClaimTable};
use membership::wire::ClaimRecord;
use membership::{ClaimKind, Digest, Subject};
use std::time::Duration;

fn claim(number: u64, of: &str, kind: ClaimKind, age_ms: u32) -> ClaimRecord {
    let subject = Subject::Backend(of.into());
    let source = "a".into();
    ClaimRecord { source, number, subject, kind, confidence: 200, age_ms, valid_for_ms: 10_000 }
}

fn at(ms: u64) -> Time {
    Time(ms * 1_000)
}

/// The total number of claims, and the number by source. All are of one source, so both must be equal.
fn counts(claims: &ClaimTable) -> (usize, usize) {
    (claims.count(), claims.count_of(&"a".into()))
}

#[test]
fn newest_claim_replaces_older_and_ages_accumulate_over_hops() {
    let x = Subject::Backend("x".into());
    let mut first = ClaimTable::new(4, Duration::from_secs(60));
    let adopted = first.adopt(&claim(5, "x", ClaimKind::Unresponsive, 3_000), at(100));
    assert_eq!(adopted, AdoptOutcome::Adopted);
    let forwarded = first.record(&x, &"a".into(), at(2_100)).unwrap();
    assert_eq!(forwarded.age_ms, 5_001);
    // By the clock of another process, the claim doesn't expire later than in the first table.
    let mut second = ClaimTable::new(4, Duration::from_secs(60));
    assert_eq!(second.adopt(&forwarded, at(900_000)), AdoptOutcome::Adopted);
    assert_eq!(second.next_deadline(), Some(at(904_999)));
    let same_number = claim(5, "x", ClaimKind::Healthy, 0);
    assert_eq!(first.adopt(&same_number, at(2_200)), AdoptOutcome::Outdated);
    let next_number = claim(6, "x", ClaimKind::Healthy, 0);
    assert_eq!(first.adopt(&next_number, at(2_200)), AdoptOutcome::Adopted);
    assert!(!first.claims_about(&x).any(|(_, claim)| claim.is_negative(at(2_300))));
    assert_eq!(counts(&first), (1, 1));
}

#[test]
fn expired_claim_is_not_restored_by_late_copy_and_is_removed() {
    let mut claims = ClaimTable::new(4, Duration::from_secs(60));
    claims.adopt(&claim(5, "x", ClaimKind::Unresponsive, 0), at(0));
    assert_eq!(claims.expire(at(9_999)), []);
    assert_eq!(claims.expire(at(10_000)).len(), 1);
    let late_copy = claim(5, "x", ClaimKind::Unresponsive, 9_000);
    assert_eq!(claims.adopt(&late_copy, at(12_000)), AdoptOutcome::Outdated);
    assert!(claims.record(&Subject::Backend("x".into()), &"a".into(), at(12_000)).is_none());
    assert_eq!(claims.expire(at(40_000)), []);
    assert_eq!((counts(&claims), claims.next_deadline()), ((0, 0), None));
    assert_eq!(*claims.digest(), Digest::default());
}

#[test]
fn limits_claims_per_source_and_evicts_only_non_negative_ones() {
    let mut claims = ClaimTable::new(2, Duration::from_secs(60));
    for (number, of) in [(1, "x"), (2, "y")] {
        assert_eq!(claims.adopt(&claim(number, of, ClaimKind::Slow, 0), at(0)), AdoptOutcome::Adopted);
    }
    assert_eq!(claims.adopt(&claim(3, "z", ClaimKind::Slow, 0), at(0)), AdoptOutcome::Rejected);
    assert_eq!(claims.adopt(&claim(4, "y", ClaimKind::Healthy, 0), at(0)), AdoptOutcome::Adopted);
    assert_eq!(claims.adopt(&claim(3, "z", ClaimKind::Slow, 0), at(0)), AdoptOutcome::Adopted);
    assert_eq!(counts(&claims), (2, 2));
    assert!(claims.get(&Subject::Backend("y".into()), &"a".into()).is_none());
    let too_long = ClaimRecord { valid_for_ms: 60_001, ..claim(9, "x", ClaimKind::Slow, 0) };
    assert_eq!(claims.adopt(&too_long, at(0)), AdoptOutcome::Rejected);
}
