//! Forged and replayed messages, and keys that change in service.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod sim;

use cluster_types::MemberId;
use membership::{Event, Figures, Member, State};
use message_auth::Keys;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use sim::{seeds, Sim, KEY};
use std::time::Duration;

const NEXT: [u8; 32] = [77; 32];

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// All that a run came to, but for the counts of what was refused.
type Outcome = (Vec<Vec<Member>>, Vec<Figures>, Vec<(cluster_types::Time, usize, MemberId, State)>);

fn outcome(sim: &Sim) -> Outcome {
    let views = sim.up().iter().map(|which| sim.view(*which)).collect();
    let figures = sim.up().iter().map(|which| *sim.machine(*which).figures()).collect();
    (views, figures, sim.changes.clone())
}

/// A run with a death and a loss, with or without somebody who copies, changes and sends on what passes.
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
            // What was lost may come late: that is no attack. What arrived comes again, is changed, or goes astray.
            let mut forged = bytes.clone();
            let at = attacker.random_range(0..forged.len());
            forged[at] ^= 1 << attacker.random_range(0..8);
            sim.inject(from, to, forged, after);
            sim.inject(from, (to + 1) % 4, bytes.clone(), after);
            if sim.arrived(to, &bytes) {
                sim.inject(from, to, bytes, after);
            }
        }
    }
    let refused = sim
        .up()
        .into_iter()
        .flat_map(|which| sim.machine(which).envelopes().rejections())
        .map(|(_, count)| count);
    (outcome(&sim), refused.sum())
}

#[test]
fn forged_and_replayed_messages_change_nothing() {
    seeds(8, |seed| {
        let ((calm, _), (attacked, refused)) = (run(seed, false), run(seed, true));
        assert!(refused > 300, "{refused}");
        assert_eq!(calm, attacked);
    });
}

#[test]
fn what_was_recorded_before_a_restart_changes_nothing_after_it() {
    seeds(8, |seed| {
        let mut sim = Sim::started(5, seed);
        sim.tap = Some(Vec::new());
        sim.settle(secs(5));
        // There was a time when 3 was held dead, and 4 had another life.
        sim.kill(3);
        sim.run(secs(10));
        sim.kill(4);
        sim.start(3);
        sim.run(secs(1));
        sim.start(4);
        sim.settle(secs(20));
        let record = sim.tap.take().unwrap();
        for which in 0..3 {
            sim.kill(which);
            sim.start(which);
        }
        sim.settle(secs(20));
        let (before, views) = (sim.changes.len(), outcome(&sim).0);
        for (from, to, bytes) in record {
            let after = Duration::from_micros(sim.rng.random_range(0..3_000_000));
            sim.inject(from, to, bytes, after);
        }
        sim.run(secs(10));
        assert_eq!(sim.changes[before..], []);
        assert_eq!(outcome(&sim).0, views);
    });
}

#[test]
fn keys_change_in_service_and_no_member_is_lost() {
    let steps: [fn(&Keys) -> Keys; 3] = [|keys| keys.expect(NEXT), Keys::rotate, Keys::retire];
    seeds(4, |seed| {
        let mut sim = Sim::started(25, seed);
        sim.loss = 0.01;
        sim.settle(secs(10));
        let before = sim.changes.len();
        for step in steps {
            for which in 0..25 {
                let keys = step(&sim.nodes[which].keys);
                sim.nodes[which].keys = keys.clone();
                sim.event(which, Event::Keys(keys));
                sim.run(Duration::from_millis(200));
            }
        }
        sim.run(secs(10));
        let dead = sim.changes[before..].iter().find(|(_, _, _, state)| *state == State::Dead);
        assert_eq!(dead, None);
        assert_eq!(sim.settle(secs(5)), Duration::ZERO);
        // One that was forgotten, and signs with the old key still, is held dead and believed nothing.
        sim.nodes[9].keys = Keys::new(KEY, None);
        sim.kill(9);
        sim.start(9);
        sim.run(secs(15));
        assert_eq!(sim.state(0, 9), Some(State::Dead));
    });
}
