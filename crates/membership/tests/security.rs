//! Tests forged and replayed messages, and key rotation.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod sim;

use cluster_types::{MemberId, Time};
use membership::{Counters, Event, Member, MemberState};
use message_auth::Keys;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sim::{run_with_seeds, Sim, KEY};
use std::time::Duration;

const NEXT_KEY: [u8; 32] = [77; 32];

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// The result of a run, without the counters of rejected messages.
#[derive(Debug, PartialEq)]
struct Outcome {
    views: Vec<Vec<Member>>,
    counters: Vec<Counters>,
    changes: Vec<(Time, usize, MemberId, MemberState)>,
}

fn outcome(sim: &Sim) -> Outcome {
    let running = sim.running();
    Outcome {
        views: running.iter().map(|index| sim.view(*index)).collect(),
        counters: running.iter().map(|index| *sim.membership(*index).counters()).collect(),
        changes: sim.changes.clone(),
    }
}

/// Runs a group with packet loss and the death of a member, with or without an attacker who captures, modifies and replays
/// datagrams. Also returns the number of rejected messages.
fn run(seed: u64, attacked: bool) -> (Outcome, u64) {
    let mut sim = Sim::started(5, seed);
    (sim.loss, sim.tap) = (0.05, Some(Vec::new()));
    let mut attacker = SmallRng::seed_from_u64(seed);
    for round in 0..60 {
        sim.run(Duration::from_millis(250));
        if round == 20 {
            sim.kill(4);
        }
        let seen = sim.tap.as_mut().map(std::mem::take).unwrap_or_default();
        for (from, to, bytes) in seen.into_iter().filter(|_| attacked) {
            let after = Duration::from_micros(attacker.random_range(500_000..5_000_000));
            // Replays only datagrams that were delivered: the late arrival of a lost one is legitimate. Each datagram is also
            // forged, and sent to another member.
            let mut forged = bytes.clone();
            let at = attacker.random_range(0..forged.len());
            forged[at] ^= 1 << attacker.random_range(0..8);
            sim.inject(from, to, forged, after);
            sim.inject(from, (to + 1) % 4, bytes.clone(), after);
            if sim.was_delivered(to, &bytes) {
                sim.inject(from, to, bytes, after);
            }
        }
    }
    let rejections =
        sim.running().into_iter().flat_map(|index| sim.membership(index).open_counters().rejections());
    let rejected = rejections.map(|(_, count)| count).sum();
    (outcome(&sim), rejected)
}

#[test]
fn forged_and_replayed_messages_change_no_state() {
    run_with_seeds(8, |seed| {
        let ((undisturbed, _), (attacked, rejected)) = (run(seed, false), run(seed, true));
        assert!(rejected > 300, "{rejected}");
        assert_eq!(undisturbed, attacked);
    });
}

#[test]
fn messages_recorded_before_restart_change_no_state_after_it() {
    run_with_seeds(8, |seed| {
        let mut sim = Sim::started(5, seed);
        sim.tap = Some(Vec::new());
        sim.converge(secs(5));
        // The recording covers a time when member 3 was marked as dead and member 4 had another incarnation.
        sim.kill(3);
        sim.run(secs(10));
        sim.kill(4);
        sim.start(3);
        sim.run(secs(1));
        sim.start(4);
        sim.converge(secs(20));
        let recording = sim.tap.take().unwrap();
        for index in 0..3 {
            sim.kill(index);
            sim.start(index);
        }
        sim.converge(secs(20));
        let (before, views) = (sim.changes.len(), outcome(&sim).views);
        for (from, to, bytes) in recording {
            let after = Duration::from_micros(sim.rng.random_range(0..3_000_000));
            sim.inject(from, to, bytes, after);
        }
        sim.run(secs(10));
        assert_eq!(sim.changes[before..], []);
        assert_eq!(outcome(&sim).views, views);
    });
}

#[test]
fn key_rotation_loses_no_member() {
    let steps: [fn(&Keys) -> Keys; 3] = [|keys| keys.accept_next(NEXT_KEY), Keys::rotate, Keys::retire];
    run_with_seeds(4, |seed| {
        let mut sim = Sim::started(25, seed);
        sim.loss = 0.01;
        sim.converge(secs(10));
        let before = sim.changes.len();
        for step in steps {
            for index in 0..25 {
                let keys = step(&sim.nodes[index].keys);
                sim.nodes[index].keys = keys.clone();
                sim.event(index, Event::KeysChanged(keys));
                sim.run(Duration::from_millis(200));
            }
        }
        sim.run(secs(10));
        let dead = sim.changes[before..].iter().find(|(_, _, _, state)| *state == MemberState::Dead);
        assert_eq!(dead, None);
        assert_eq!(sim.converge(secs(5)), Duration::ZERO);
        // A member that was missed by the rotation still signs with the old key: its messages are rejected, and it is
        // marked as dead.
        sim.nodes[9].keys = Keys::new(KEY, None);
        sim.kill(9);
        sim.start(9);
        sim.run(secs(15));
        assert_eq!(sim.state(0, 9), Some(MemberState::Dead));
    });
}
