//! Claims of one source replace each other, end, and are bounded.
use super::*;

fn told(number: u64, of: &str, kind: Kind, age_ms: u32) -> Told {
    let subject = Subject::Box(of.into());
    Told { source: "a".into(), number, subject, kind, weight: 200, age_ms, lasts_ms: 10_000 }
}

fn at(ms: u64) -> Time {
    Time(ms * 1_000)
}

#[test]
fn the_newest_claim_of_a_source_counts_and_ages_add_up() {
    let mut first = Evidence::new(4, Duration::from_secs(60));
    assert_eq!(first.adopt(&told(5, "x", Kind::Silent, 3_000), at(100)), Adopted::New);
    let passed_on = first.told(&Subject::Box("x".into()), &"a".into(), at(2_100)).unwrap();
    assert_eq!(passed_on.age_ms, 5_001);
    // On another process's clock it ends no later than here.
    let mut second = Evidence::new(4, Duration::from_secs(60));
    assert_eq!(second.adopt(&passed_on, at(900_000)), Adopted::New);
    assert_eq!(second.next(), Some(at(904_999)));
    assert_eq!(first.adopt(&told(5, "x", Kind::Well, 0), at(2_200)), Adopted::Old);
    assert_eq!(first.adopt(&told(6, "x", Kind::Well, 0), at(2_200)), Adopted::New);
    assert!(!first.about(&Subject::Box("x".into())).any(|(_, claim)| claim.bad(at(2_300))));
    assert_eq!(len(&first), (1, 1));
}

#[test]
fn a_claim_that_ended_is_not_brought_back_and_leaves_nothing_behind() {
    let mut evidence = Evidence::new(4, Duration::from_secs(60));
    evidence.adopt(&told(5, "x", Kind::Silent, 0), at(0));
    assert_eq!(evidence.expire(at(9_999)), []);
    assert_eq!(evidence.expire(at(10_000)).len(), 1);
    assert_eq!(evidence.adopt(&told(5, "x", Kind::Silent, 9_000), at(12_000)), Adopted::Old);
    assert!(evidence.told(&Subject::Box("x".into()), &"a".into(), at(12_000)).is_none());
    assert_eq!(evidence.expire(at(40_000)), []);
    assert_eq!((len(&evidence), evidence.next()), ((0, 0), None));
    assert_eq!(*evidence.digest(), Digest::default());
}

#[test]
fn a_source_has_its_bound_and_only_what_counts_no_more_gives_way() {
    let mut evidence = Evidence::new(2, Duration::from_secs(60));
    for (number, of) in [(1, "x"), (2, "y")] {
        assert_eq!(evidence.adopt(&told(number, of, Kind::Slow, 0), at(0)), Adopted::New);
    }
    assert_eq!(evidence.adopt(&told(3, "z", Kind::Slow, 0), at(0)), Adopted::Refused);
    assert_eq!(evidence.adopt(&told(4, "y", Kind::Well, 0), at(0)), Adopted::New);
    assert_eq!(evidence.adopt(&told(3, "z", Kind::Slow, 0), at(0)), Adopted::New);
    assert_eq!(len(&evidence), (2, 2));
    assert!(evidence.get(&Subject::Box("y".into()), &"a".into()).is_none());
    let long = Told { lasts_ms: 60_001, ..told(9, "x", Kind::Slow, 0) };
    assert_eq!(evidence.adopt(&long, at(0)), Adopted::Refused);
}

/// How many are held, by either index.
fn len(evidence: &Evidence) -> (usize, usize) {
    (evidence.count(), evidence.by_source.values().map(BTreeSet::len).sum())
}
