//! Simulates five members with an idealised log, under partitions, delayed and lost messages, deposed leaders, restarts,
//! stalls and clocks that differ by minutes. `SIM_SEED=N` repeats one run.
#![allow(clippy::unwrap_used, clippy::panic)]
#[path = "simulation/calls.rs"]
mod calls;
#[path = "simulation/cluster.rs"]
mod cluster;
#[path = "simulation/member.rs"]
mod simulated_member;
mod support;

use cluster::{SimulatedCluster, MEMBERS};
use rand::seq::IndexedRandom;
use rand::Rng;
use std::collections::BTreeSet;
use support::*;

/// The number of steps with random faults.
const FAULTY_STEPS: u64 = 2500;
/// The number of steps after the faults within which all requests must end.
const HEALTHY_STEPS: u64 = 40_000;
/// The number of steps between new requests.
const STEPS_PER_REQUEST: u64 = 250;
/// The number of steps at the start without faults.
const INITIAL_FAULT_FREE_STEPS: u64 = 100;

impl SimulatedCluster {
    /// Injects a random fault, or repairs one.
    fn inject_fault(&mut self) {
        let number = self.rng.random_range(0..MEMBERS);
        let now = self.now;
        match self.rng.random_range(0..7) {
            0 => {
                let groups: Vec<u8> = (0..MEMBERS).map(|_| self.rng.random_range(0..2)).collect();
                self.members.iter_mut().zip(groups).for_each(|(member, group)| member.group = group);
            }
            1 => self.members.iter_mut().for_each(|member| member.group = 0),
            2 if self.members[number].is_running => self.members[number].crash(),
            2 | 3 if !self.members[number].is_running => self.members[number].start(now, &mut self.rng),
            4 => self.members[number].stalled_until = now + self.rng.random_range(100..2000),
            5 => {
                let names: Vec<&str> = cluster::BACKENDS.split(' ').collect();
                let name = names.choose(&mut self.rng).unwrap();
                let facts = self.view.backends.get_mut(&backend(name)).unwrap();
                facts.has_failed = !facts.has_failed;
            }
            _ => self.members[number].clock_offset = self.rng.random_range(-300_000..300_000),
        }
    }

    fn restart_all(&mut self) {
        let now = self.now;
        self.members.iter_mut().for_each(|member| member.crash());
        for member in &mut self.members {
            member.start(now, &mut self.rng);
        }
    }

    fn repair_all(&mut self) {
        self.is_faulty = false;
        self.view.backends.values_mut().for_each(|facts| facts.has_failed = false);
        for member in &mut self.members {
            (member.group, member.stalled_until) = (0, 0);
            if !member.is_running {
                member.start(self.now, &mut self.rng);
            }
        }
    }

    fn submit_request(&mut self, name: String) {
        let names: Vec<&str> = cluster::BACKENDS.split(' ').collect();
        let chosen: BTreeSet<&str> = (0..3).map(|_| *names.choose(&mut self.rng).unwrap()).collect();
        let chosen: Vec<&str> = chosen.into_iter().collect();
        self.submitted.insert(name.clone(), request(&name, &chosen.join(" ")));
    }

    fn have_all_ended(&self) -> bool {
        let has_ended = |name: &String| self.state.request(name).is_some_and(|request| !request.is_open());
        self.submitted.keys().all(has_ended) && self.state.out_of_service().is_empty()
    }
}

/// Returns whether all members were restarted while three backends were out.
fn run_simulation(seed: u64) -> bool {
    println!("seed {seed}");
    let mut cluster = SimulatedCluster::new(seed);
    let mut has_restarted = false;
    for step in 0..FAULTY_STEPS {
        if step % STEPS_PER_REQUEST == 0 {
            cluster.submit_request(format!("w{step}"));
        }
        if step > INITIAL_FAULT_FREE_STEPS && cluster.rng.random_bool(0.02) {
            cluster.inject_fault();
        }
        if !has_restarted && cluster.max_granted >= 3 {
            has_restarted = true;
            cluster.restart_all();
        }
        cluster.step();
        assert!(cluster.max_granted <= 3);
    }
    cluster.repair_all();
    for _ in 0..HEALTHY_STEPS {
        if cluster.have_all_ended() {
            let SimulatedCluster { drained_count, max_granted, now, .. } = cluster;
            println!("{drained_count} drained, {max_granted} out at most, ended at {now} ms");
            return has_restarted;
        }
        cluster.step();
    }
    panic!("seed {seed}: requests never end: {:?}", cluster.state.open_requests());
}

#[test]
fn all_requests_end_although_members_fail() {
    let seed = std::env::var("SIM_SEED").ok().and_then(|seed| seed.parse().ok());
    let seeds = seed.map_or(0..3, |seed| seed..seed + 1);
    let restarted = seeds.filter(|seed| run_simulation(*seed)).count();
    assert!(restarted > 0 || seed.is_some());
}
