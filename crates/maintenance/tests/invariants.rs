//! Checks the invariants with random logs, in which commands are reordered, repeated and late.
#![allow(clippy::unwrap_used, clippy::panic)]
mod support;

use cluster_types::{BackendId, Index};
use maintenance::{ClusterView, Command, Effect, MaintenanceState, Presence, Rules};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use support::invariants::{InvariantChecker, Transition};
use support::*;

const BACKENDS: [&str; 8] = ["a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2"];
const MEMBERS: [&str; 3] = ["f1", "f2", "f3"];

fn choose_name<'a>(rng: &mut SmallRng, from: &[&'a str]) -> &'a str {
    from.choose(rng).unwrap()
}

fn random_backends(rng: &mut SmallRng) -> BTreeSet<BackendId> {
    (0..rng.random_range(1..4)).map(|_| backend(choose_name(rng, &BACKENDS))).collect()
}

fn random_cluster(rng: &mut SmallRng) -> (Rules, ClusterView) {
    let max_out = rng.random_range(1..5);
    let rules = rules(max_out, rng.random_range(1..=max_out), rng.random_range(1..=max_out));
    let volumes = [("v", 0, "a1 b1 c1"), ("w", 0, "a1 a2 b2 c2"), ("x", 0, "b2 b3")];
    let mut view = view(&BACKENDS.join(" "), &volumes);
    for volume in view.volumes.values_mut() {
        volume.reserved = rng.random_range(0..2) * 100;
    }
    (rules, view)
}

/// A random command, valid or not.
fn random_command(rng: &mut SmallRng, state: &MaintenanceState, view: &ClusterView) -> Command {
    let name = choose_name(rng, &["w1", "w2", "w3", "w4"]).to_string();
    let grants: Vec<Index> = state.grants().map(|(index, _)| index).chain([Index(7)]).collect();
    let grant = *grants.choose(rng).unwrap();
    let member_name = choose_name(rng, &MEMBERS);
    let member = member(member_name);
    let backend = backend(choose_name(rng, &BACKENDS));
    let recovery = state.recoveries().find(|(recovering, _)| **recovering == backend);
    let step = recovery.map_or(Index(3), |(_, recovery)| recovery.step());
    match rng.random_range(0..14) {
        0 | 1 => Command::Request {
            name: name + choose_name(rng, &["", "-", "+"]),
            backends: random_backends(rng),
            work_ms: rng.random_range(0..9000),
            deadline_ms: rng.random_bool(0.2).then(|| rng.random_range(0..100_000)),
            all_at_once: rng.random_bool(0.2),
        },
        2 => Command::Withdraw { name },
        3 => Command::Grant { name, backends: random_backends(rng) },
        4 | 5 => Command::ReportDrained { grant, member },
        6 => Command::ReturnBackend { name, backend },
        7 => Command::Finish { name },
        8 => {
            let quotas = MEMBERS.map(|name| (support::member(name), rng.random_range(0..600)));
            Command::SetStage { backend, after: step, stage: rng.random_range(0..3), quotas: quotas.into() }
        }
        9 => Command::AcknowledgeStage { backend, step, member },
        10 => Command::CompleteRecovery { backend, step },
        11 => random_observation(rng, state, view, backend),
        12 => {
            let presence = *[present(1), present(2), Presence::Left].choose(rng).unwrap();
            set_presence(member_name, presence)
        }
        _ => Command::Tick,
    }
}

fn random_observation(
    rng: &mut SmallRng,
    state: &MaintenanceState,
    view: &ClusterView,
    backend: BackendId,
) -> Command {
    let mut facts = view.backends[&backend].clone();
    facts.has_failed = rng.random_bool(0.2);
    facts.is_warming_up = rng.random_bool(0.3);
    facts.is_listed = rng.random_bool(0.9);
    let min_applied = Index(state.applied().0.saturating_sub(rng.random_range(0..3)));
    let backends = BTreeMap::from([(backend, facts)]);
    Command::Observe { min_applied, is_complete: false, backends, volumes: BTreeMap::new() }
}

/// The initial commands of a cluster, and their issuers.
fn initial_commands(rules: &Rules) -> Vec<(&'static str, Command)> {
    let mut commands = vec![("op", Command::SetRules(rules.clone()))];
    commands.extend(MEMBERS.map(|name| (name, set_presence(name, present(1)))));
    commands
}

/// Applies random commands, among them proposals of leaders with an earlier state, to two replicas.
fn check_random_commands(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let (rules, view) = random_cluster(&mut rng);
    let mut checker = InvariantChecker::default();
    let (mut state, mut replica) = (MaintenanceState::default(), MaintenanceState::default());
    let mut now_ms = 1000;
    let mut earlier = vec![state.clone()];
    let mut queue = initial_commands(&rules);
    for _ in 0..300 {
        if queue.is_empty() {
            if rng.random_bool(0.3) {
                let leader = earlier.choose(&mut rng).unwrap();
                let view = ClusterView { min_applied: leader.applied(), ..view.clone() };
                queue.extend(leader.propose(now_ms, &view).into_iter().map(|command| ("leader", command)));
            } else {
                queue.push((choose_name(&mut rng, &MEMBERS), random_command(&mut rng, &state, &view)));
            }
            continue;
        }
        let (issuer, command) = queue.remove(0);
        now_ms = (now_ms + rng.random_range(0..2000)).saturating_sub(rng.random_range(0..1500));
        let index = Index(state.applied().0 + rng.random_range(1..3));
        let before = state.clone();
        let effects = state.apply(index, now_ms, &member(issuer), &command);
        let (command, effects) = (&command, &effects[..]);
        checker.check(
            &view,
            &rules,
            &Transition { before: &before, after: &state, issuer, command, effects },
        );
        assert_eq!(effects, replica.apply(index, now_ms, &member(issuer), command));
        // Applying the same entry again changes nothing.
        let repeated = state.apply(index, now_ms, &member(issuer), command);
        assert!(matches!(&repeated[..], [Effect::Rejected { .. }]));
        replica.apply(index, now_ms, &member(issuer), command);
        if rng.random_bool(0.1) {
            replica = postcard::from_bytes(&postcard::to_stdvec(&state).unwrap()).unwrap();
            earlier.push(state.clone());
            earlier.drain(..earlier.len().saturating_sub(4));
        }
        assert_eq!(state, replica);
    }
}

fn is_grantable(backends: &BTreeSet<BackendId>, harness: &Harness) -> bool {
    let mut trial = harness.clone();
    let command = Command::Request {
        name: "t".into(),
        backends: backends.clone(),
        work_ms: 1,
        deadline_ms: None,
        all_at_once: true,
    };
    trial.run("f1", &command);
    trial.run_leader();
    trial.granted().len() == backends.len()
}

/// Younger requests arrive all the time, and their backends are never returned. The older request must be granted as soon
/// as the backends that were out before it are in service again.
fn check_older_request_is_granted(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let (rules, view) = random_cluster(&mut rng);
    let mut harness = Harness::new(rules, view, "f1");
    let backends = random_backends(&mut rng);
    if !is_grantable(&backends, &harness) {
        return;
    }
    for number in 0..rng.random_range(1..5) {
        harness.run("f1", &request(&format!("before{number}"), choose_name(&mut rng, &BACKENDS)));
        harness.run_leader();
    }
    let open = harness.state.open_requests();
    let before: Vec<String> = open.iter().map(|(name, _)| name.to_string()).collect();
    let older = Command::Request {
        name: "old".into(),
        backends: backends.clone(),
        work_ms: 1,
        deadline_ms: None,
        all_at_once: false,
    };
    harness.run("f1", &older);
    let is_older_granted = |harness: &Harness| harness.granted().values().any(|name| name == "old");
    let mut younger_count = 0;
    for name in before.iter().chain([&String::new(), &String::new()]) {
        for _ in 0..3 {
            let younger = Command::Request {
                backends: random_backends(&mut rng),
                name: format!("young{younger_count}"),
                work_ms: 1,
                deadline_ms: None,
                all_at_once: rng.random_bool(0.3),
            };
            harness.run("f1", &younger);
            harness.run_leader();
            younger_count += 1;
        }
        if is_older_granted(&harness) {
            return;
        }
        if !name.is_empty() {
            harness.drain();
            harness.run("f1", &finish(name));
            harness.recover();
        }
    }
    assert!(is_older_granted(&harness), "starved: {:?} is out, {backends:?} waits", harness.granted());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn invariants_hold_for_random_commands(seed in any::<u64>()) {
        check_random_commands(seed);
    }

    #[test]
    fn no_request_starves(seed in any::<u64>()) {
        check_older_request_is_granted(seed);
    }
}
