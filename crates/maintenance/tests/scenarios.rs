//! Failures of members, leaders and clocks while a request is open.
#![allow(clippy::unwrap_used, clippy::panic)]
mod support;

use cluster_types::{Index, MemberId};
use maintenance::{
    BackendOutcome, Command, Effect, MaintenanceState, MemberStatus, Presence, Rejection, RequestStatus,
};
use std::collections::BTreeSet;
use support::*;

const BACKENDS: &str = "a1 a2 b1 b2 c1";

fn harness() -> Harness {
    Harness::new(rules(3, 1, 3), view(BACKENDS, &[("v", 100, "a1 b1 c1")]), "f1 f2 f3")
}

fn first_grant(harness: &Harness) -> Index {
    harness.state.grants().next().unwrap().0
}

fn report_drained(harness: &mut Harness, grant: Index, name: &str) -> Vec<Effect> {
    harness.run(name, &Command::ReportDrained { grant, member: member(name) })
}

fn status(effects: &[Effect]) -> Option<&RequestStatus> {
    effects.iter().find_map(|effect| match effect {
        Effect::Status(status) => Some(status),
        _ => None,
    })
}

fn outcome(harness: &Harness, name: &str, id: &str) -> BackendOutcome {
    harness.state.status(name).unwrap().request.backends[&backend(id)]
}

/// A grant waits for a dead member until the member reports in a new incarnation, or an operator declares it dead. The
/// grant is in the log, so that any later leader continues it.
#[test]
fn grant_waits_for_dead_member_until_it_restarts_or_is_declared_dead() {
    for is_declared_dead in [false, true] {
        let mut harness = harness();
        harness.run("f1", &request("w", "a1"));
        harness.run_leader();
        let grant = first_grant(&harness);
        report_drained(&mut harness, grant, "f2");
        report_drained(&mut harness, grant, "f3");
        assert_eq!(harness.drained_count(), 0);
        let missing: BTreeSet<MemberId> = BTreeSet::from([member("f1")]);
        let status = harness.state.status("w").unwrap();
        assert_eq!(status.undrained_members[&grant], missing);
        assert_eq!(status.to_string(), "wish w: a1 drains, not yet at f1, in time");
        // Other members may report neither its drain nor its departure.
        let drained = Command::ReportDrained { grant, member: member("f1") };
        assert_eq!(rejection(&harness.run("f2", &drained)), Some(&Rejection::NotOwnReport));
        let left = set_presence("f1", Presence::Left);
        assert_eq!(rejection(&harness.run("f2", &left)), Some(&Rejection::NotOwnReport));
        if is_declared_dead {
            harness.run("f2", &Command::DeclareDead { member: member("f1") });
            let status = harness.state.member_status(&member("f1"));
            assert!(matches!(status, Some(MemberStatus::DeclaredDead { .. })));
        } else {
            harness.run("f1", &set_presence("f1", present(2)));
            report_drained(&mut harness, grant, "f1");
        }
        assert_eq!(harness.drained_count(), 1);
        // A repeated report has no effect.
        report_drained(&mut harness, grant, "f2");
        assert_eq!(harness.drained_count(), 1);
    }
}

/// After a restart, the drain reports of the earlier incarnation may no longer hold: the member has to report again.
#[test]
fn restarted_member_has_to_report_again() {
    let mut harness = harness();
    harness.run("f1", &request("w", "a1"));
    harness.run_leader();
    let grant = first_grant(&harness);
    report_drained(&mut harness, grant, "f1");
    harness.run("f1", &set_presence("f1", present(2)));
    report_drained(&mut harness, grant, "f2");
    report_drained(&mut harness, grant, "f3");
    assert_eq!(harness.drained_count(), 0);
    report_drained(&mut harness, grant, "f1");
    assert_eq!(harness.drained_count(), 1);
    let late = set_presence("f1", present(1));
    assert_eq!(rejection(&harness.run("f1", &late)), Some(&Rejection::Superseded));
}

/// Only the majority side of a partition commits. The other side's request and grant reach the log later: the grant is
/// rejected, and the request waits.
#[test]
fn rejects_grants_proposed_on_minority_side() {
    let mut harness = harness();
    let (mut minority, minority_request) = (harness.clone(), request("far", "a2"));
    harness.run("f1", &request("near", "a1"));
    harness.run_leader();
    // A leader on the minority side proposes by its own state; the log receives it only after the other side's grant.
    minority.run("f3", &minority_request);
    minority.view.min_applied = minority.state.applied();
    let late: Vec<Command> = minority.state.propose(minority.now_ms, &minority.view);
    assert!(late.iter().any(|command| matches!(command, Command::Grant { .. })));
    harness.run("f3", &minority_request);
    for command in &late {
        harness.run("f3", command);
    }
    assert!(harness.are_granted("a1"));
    harness.drain();
    harness.run("f1", &finish("near"));
    assert!(harness.are_granted(""));
    harness.recover();
    assert!(harness.are_granted("a2"));
}

/// A repeated request with the same content reports the status, even after the request has ended; one with different
/// content is rejected.
#[test]
fn repeated_request_reports_status() {
    let mut harness = harness();
    let index = status(&harness.run("f1", &request("w", "a1"))).unwrap().request.index;
    harness.run_leader();
    let repeated = harness.run("f2", &request("w", "a1"));
    let repeated = &status(&repeated).unwrap().request;
    assert_eq!(repeated.index, index);
    assert!(matches!(repeated.backends[&backend("a1")], BackendOutcome::Granted(_)));
    assert_eq!(rejection(&harness.run("f2", &request("w", "a2"))), Some(&Rejection::NameTaken));
    harness.drain();
    harness.run("f1", &finish("w"));
    let after = harness.run("f3", &request("w", "a1"));
    assert_eq!(status(&after).unwrap().request.backends[&backend("a1")], BackendOutcome::Returned);
    assert_eq!(harness.state.open_requests().len(), 0);
    assert_eq!(rejection(&harness.run("f2", &request("w", "a2"))), Some(&Rejection::NameTaken));
}

/// An unlisted backend of a request is dropped, and the others are granted. The unlisted one counts as out for a while,
/// since discovery also drops backends that have failed.
#[test]
fn drops_waiting_backend_that_is_unlisted() {
    let mut harness = harness();
    harness.run("f1", &request("first", "a1"));
    harness.run_leader();
    harness.drain();
    harness.run("f1", &request("w", "a2 c1"));
    harness.run("f1", &request("later", "a1"));
    harness.view.backends.remove(&backend("a2"));
    harness.run_leader();
    let unlisted = Effect::Unlisted { name: "w".into(), backend: backend("a2") };
    assert!(harness.effects.contains(&unlisted));
    assert!(harness.are_granted("a1 c1"));
    harness.run("f1", &finish("first"));
    harness.recover();
    assert!(harness.are_granted("c1"), "a2 counts in its zone: {:?}", harness.granted());
    harness.now_ms += 700_000;
    harness.run_leader();
    assert!(harness.are_granted("a1 c1"));
    harness.run("f1", &finish("w"));
    assert_eq!(outcome(&harness, "w", "a2"), BackendOutcome::Unlisted);
    let rejected = harness.run("f1", &request("typo", "a2"));
    assert_eq!(rejection(&rejected), Some(&Rejection::NotListed(backend("a2"))));
}

/// A leader whose clock is behind reverts nothing. A leader whose clock is ahead grants and returns nothing early; it only
/// ends requests whose deadline appears to have passed, and reports them.
#[test]
fn tolerates_leaders_with_different_clocks() {
    let mut harness = harness();
    harness.now_ms = 10_000_000;
    harness.run("f1", &request("first", "a1"));
    harness.run_leader();
    harness.run("f1", &with_deadline(request("late", "a2"), 10_200_000));
    harness.now_ms = 9_700_000;
    harness.run("f1", &Command::Tick);
    harness.run_leader();
    assert!(harness.are_granted("a1"));
    assert_eq!(outcome(&harness, "late", "a2"), BackendOutcome::Waiting);
    harness.drain();
    harness.now_ms = 10_300_000;
    harness.run_leader();
    let missed = Effect::DeadlineMissed { name: "late".into(), backends: backends("a2") };
    assert!(harness.effects.contains(&missed));
    let is_overdue = |effect: &&Effect| matches!(effect, Effect::Overdue { .. });
    assert_eq!(harness.effects.iter().filter(is_overdue).count(), 1);
    assert!(harness.are_granted("a1"), "overdue, and never returned silently");
    harness.run("f1", &finish("first"));
    harness.run_leader();
    let current_stage =
        |harness: &Harness| harness.state.recoveries().next().map(|(_, recovery)| recovery.stage());
    assert_eq!(current_stage(&harness), Some(Some(0)));
    harness.now_ms += 3_600_000;
    harness.run_leader();
    assert_eq!(current_stage(&harness), Some(Some(0)), "stages are timed on the leader's steady clock");
}

/// After the state is restored from a snapshot, members are ordered to drain the same backends as before.
#[test]
fn restores_grants_from_snapshot_after_cluster_restart() {
    let mut harness = harness();
    harness.run("f1", &request("w", "a1 b1 c1"));
    harness.view.volumes.clear();
    harness.run_leader();
    harness.drain();
    assert!(harness.are_granted("a1 b1 c1"));
    let bytes = postcard::to_stdvec(&harness.state).unwrap();
    let state: MaintenanceState = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(state, harness.state);
    let mut restarted = Harness { state, ..harness.clone() };
    for name in ["f1", "f2", "f3"] {
        restarted.run(name, &set_presence(name, present(2)));
        assert_eq!(restarted.state.orders(&member(name)).len(), 3);
    }
    restarted.run("f1", &request("next", "b2"));
    restarted.run_leader();
    assert!(restarted.are_granted("a1 b1 c1"));
    restarted.run("f2", &return_backend("w", "b1"));
    restarted.recover();
    assert!(restarted.are_granted("a1 b2 c1"));
    assert_eq!(restarted.drained_count(), harness.drained_count(), "what was drained is not reported again");
}

/// Withdrawal drops waiting backends and ends draining grants; drained backends stay out until they are returned.
#[test]
fn withdrawal_leaves_open_backends_out() {
    let mut harness = harness();
    harness.run("f1", &request("w", "a1 a2"));
    harness.run("f1", &request("x", "b1 b2"));
    harness.run_leader();
    harness.run("f2", &withdraw("x"));
    assert!(harness.are_granted("a1"));
    harness.drain();
    harness.run("f2", &withdraw("w"));
    assert!(harness.are_granted("a1"));
    assert_eq!(outcome(&harness, "w", "a2"), BackendOutcome::Withdrawn);
    harness.run("f2", &finish("w"));
    assert!(harness.are_granted("") && harness.state.open_requests().is_empty());
    assert_eq!(rejection(&harness.run("f2", &withdraw("none"))), Some(&Rejection::NotFound));
}
