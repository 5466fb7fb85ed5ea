//! Recoveries: the members' quotas of the cold budget, and the conditions for the next stage.
#![allow(clippy::unwrap_used, clippy::panic)]
mod support;

use cluster_types::{Index, MemberId};
use maintenance::{distribute_quotas, Command, Effect, Presence, Quotas, Recovery, Rejection};
use proptest::prelude::*;
use std::collections::BTreeMap;
use support::*;

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// The quotas add up to the total, and a member with a larger weight never gets less, except for rounding.
    #[test]
    fn quotas_add_up_to_the_total(total in 0u16..=1000, weights in prop::collection::vec(any::<u64>(), 1..40)) {
        let numbered = (0..).zip(&weights);
        let weights: BTreeMap<MemberId, u64> =
            numbered.map(|(i, weight): (u32, _)| (member(&i.to_string()), *weight)).collect();
        let quotas = distribute_quotas(total, &weights);
        prop_assert_eq!(quotas.values().map(|quota| u32::from(*quota)).sum::<u32>(), u32::from(total));
        let is_unfair = |heavy: &MemberId, light: &MemberId| {
            weights[heavy] > weights[light] && quotas[heavy] + 1 < quotas[light]
        };
        let has_unfair = weights.keys().any(|heavy| weights.keys().any(|light| is_unfair(heavy, light)));
        prop_assert!(!has_unfair, "{:?}", quotas);
    }
}

/// A cluster in which the recovery of `a1` has begun.
fn recovering_cluster() -> Harness {
    let mut harness = Harness::new(rules(1, 1, 1), view("a1 b1", &[]), "f1 f2 f3");
    harness.run("f1", &request("w", "a1"));
    harness.run_leader();
    harness.drain();
    let traffic = [("f1", 700), ("f2", 200), ("f3", 100)].map(|(name, units)| (member(name), units));
    harness.view.traffic.insert(backend("a1"), traffic.into());
    harness.run("f1", &finish("w"));
    harness.run_leader();
    harness
}

fn recovery(harness: &Harness) -> &Recovery {
    harness.state.recoveries().next().unwrap().1
}

fn acknowledge(harness: &mut Harness, name: &str) {
    let step = recovery(harness).step();
    harness.run(name, &Command::AcknowledgeStage { backend: backend("a1"), step, member: member(name) });
}

fn set_first_stage(after: Index, quotas: &Quotas) -> Command {
    Command::SetStage { backend: backend("a1"), after, stage: 0, quotas: quotas.clone() }
}

#[test]
fn quotas_follow_traffic_and_grow_by_stages() {
    let mut harness = recovering_cluster();
    let quotas = recovery(&harness).quotas();
    assert!(quotas[&member("f1")] > 200 && quotas[&member("f3")] < 40, "{quotas:?}");
    assert_eq!(recovery(&harness).stage(), Some(0));
    let early_completion =
        Command::CompleteRecovery { backend: backend("a1"), step: recovery(&harness).step() };
    let rejected = harness.run("x", &early_completion);
    assert!(
        matches!(&rejected[..], [Effect::Rejected { reason: Rejection::NotRecovered, .. }]),
        "{rejected:?}"
    );
    harness.view.backends.get_mut(&backend("a1")).unwrap().is_warming_up = true;
    harness.view.healthy_ms.insert(backend("a1"), STAGE_MS);
    harness.run_leader();
    assert_eq!((recovery(&harness).stage(), recovery(&harness).max_in_use()), (Some(1), 1000));
    harness.view.backends.get_mut(&backend("a1")).unwrap().is_warming_up = false;
    harness.view.healthy_ms.insert(backend("a1"), STAGE_MS - 1);
    harness.run_leader();
    assert_eq!(harness.state.recoveries().count(), 1);
    harness.view.healthy_ms.insert(backend("a1"), STAGE_MS);
    harness.run_leader();
    assert!(harness.effects.contains(&Effect::InService { backend: backend("a1") }));
    assert!(harness.state.out_of_service().is_empty());
}

/// Members receive a step at different times: old and new quotas together must stay within the stage.
#[test]
fn moves_quota_to_another_member_only_once_it_is_released() {
    let mut harness = recovering_cluster();
    let first_step = recovery(&harness).step();
    let moved_quotas = BTreeMap::from([(member("f1"), 30), (member("f2"), 270)]);
    let mut rejection_of = |after: Index, quotas: &Quotas| -> Option<Rejection> {
        match &harness.run("x", &set_first_stage(after, quotas))[..] {
            [Effect::Rejected { reason, .. }] => Some(reason.clone()),
            _ => None,
        }
    };
    assert_eq!(rejection_of(first_step, &moved_quotas), Some(Rejection::StageExceeded));
    let lowered_quotas = BTreeMap::from([(member("f1"), 30)]);
    assert_eq!(rejection_of(first_step, &lowered_quotas), None);
    assert_eq!(rejection_of(first_step, &lowered_quotas), Some(Rejection::Superseded));
    let second_step = recovery(&harness).step();
    let rejected = harness.run("x", &set_first_stage(second_step, &moved_quotas));
    assert_eq!(rejection(&rejected), Some(&Rejection::StageExceeded));
    ["f1", "f2", "f3"].iter().for_each(|name| acknowledge(&mut harness, name));
    let third_step = recovery(&harness).step();
    assert_eq!(rejection(&harness.run("x", &set_first_stage(third_step, &moved_quotas))), None);
    assert!(recovery(&harness).max_in_use() <= 300);
}

/// A member that leaves releases its quota, and one that joins gets a quota.
#[test]
fn redistributes_quotas_when_members_join_and_leave() {
    let mut harness = recovering_cluster();
    harness.run("f1", &set_presence("f1", Presence::Left));
    harness.run("f4", &set_presence("f4", present(1)));
    for _ in 0..4 {
        harness.run_leader();
        assert!(recovery(&harness).max_in_use() <= 300);
        ["f2", "f3", "f4"].iter().for_each(|name| acknowledge(&mut harness, name));
    }
    let quotas = recovery(&harness).quotas();
    assert_eq!((quotas.len(), quotas.values().sum::<u16>()), (3, 300));
}

/// A backend that fails during its recovery passes all stages again, and counts as out of service throughout.
#[test]
fn restarts_recovery_of_failed_backend() {
    let mut harness = recovering_cluster();
    harness.view.healthy_ms.insert(backend("a1"), STAGE_MS);
    harness.view.backends.get_mut(&backend("a1")).unwrap().is_warming_up = true;
    harness.run_leader();
    assert_eq!(recovery(&harness).stage(), Some(1));
    harness.view.healthy_ms.clear();
    harness.view.backends.get_mut(&backend("a1")).unwrap().has_failed = true;
    harness.run_leader();
    let restarted = recovery(&harness);
    assert_eq!((restarted.stage(), restarted.max_in_use()), (None, 1000), "held quotas count until released");
    harness.view.backends.get_mut(&backend("a1")).unwrap().has_failed = false;
    harness.run_leader();
    assert_eq!(recovery(&harness).stage(), Some(0));
    assert!(harness.state.out_of_service().contains(&backend("a1")));
    assert!(recovery(&harness).quotas().values().sum::<u16>() <= 300);
}
