//! Five real gateways and hollow callers beside them before one discovery that takes calls in turn.
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;
use test_cluster::cluster::TestCluster;
use test_cluster::cluster_config::{ClusterConfig, BASE_CONFIG};
use test_cluster::discovery::{Outcome, QueuePolicy, RejectionTiming};
use test_cluster::simulated_callers::SimulatedCallers;

pub const FRONTS: usize = 5;
/// What discovery needs for the whole fleet, one after the other: the span measured on the day that was lost.
pub const ALL: f64 = 6.8;
const WAIT: Duration = Duration::from_secs(2);

/// Times in seconds of the rig's clock.
pub type Time = f64;

pub struct Bench {
    pub rig: TestCluster,
    pub hollow: SimulatedCallers,
    pub fleet: usize,
    refusal: RejectionTiming,
}

impl Bench {
    pub fn new(fleet: usize, refusal: RejectionTiming) -> Bench {
        let mut setup = ClusterConfig::standard(Path::new(env!("CARGO_BIN_EXE_gateway")), fleet as u64);
        (setup.gateways, setup.backends, setup.shards) = (FRONTS, 2, 1);
        setup.gateway_config = BASE_CONFIG.replace("FleetSize = @FRONTS@", "FleetSize = @FLEET@");
        assert!(setup.gateway_config.contains("@FLEET@"));
        setup.extra_placeholders.insert("FLEET".into(), fleet.to_string());
        let rig = TestCluster::new(setup).unwrap();
        let hollow = rig.simulated_callers((fleet - FRONTS) as u64, fleet as u32).unwrap();
        Bench { rig, hollow, fleet, refusal }
    }

    /// Calls are taken in turn from now on, and so many may wait.
    pub fn take_turns(&self, callers: usize) {
        let answer = Duration::from_secs_f64(ALL / self.fleet as f64);
        let turns = QueuePolicy {
            answer_cost: answer,
            rejection_cost: answer / 8,
            max_wait: WAIT,
            rejection: self.refusal,
            max_waiting: callers,
        };
        self.rig.discovery.set_queue_policy(Some(turns));
    }

    pub fn now(&self) -> Time {
        self.rig.clock.now().as_secs_f64()
    }

    /// Since when each has its list, the real gateways first; these that have lost theirs have it again once a call since
    /// then was answered.
    pub fn listed(&self, lost: impl Fn(usize) -> Option<Time>) -> Vec<Option<Time>> {
        let calls = self.rig.discovery.calls();
        let real = (0..FRONTS).map(|n| {
            let since = lost(n).unwrap_or(0.0);
            let answered = calls.iter().rev().filter(|c| c.gateway == ClusterConfig::gateway_name(n));
            let times = answered.filter_map(|c| c.outcome.filter(|(_, o)| *o == Outcome::Answered));
            times.map(|(at, _)| at.as_secs_f64()).find(|at| *at >= since)
        });
        let hollow = self.hollow.watching_since().into_iter().map(|at| at.map(|at| at.as_secs_f64()));
        real.chain(hollow).collect()
    }

    /// All calls of all callers, those too that found no listener.
    pub fn calls(&self) -> Vec<Time> {
        let real =
            self.rig.discovery.calls().into_iter().filter(|c| c.gateway != "simulated-callers").map(|c| c.at);
        let refused = self.rig.gateways.iter().flat_map(|f| f.lines());
        let refused =
            refused.filter(|(_, l)| l.contains("kind=discovery") && l.contains("reason=connect-failed"));
        let all = self.hollow.calls().into_iter().chain(real).chain(refused.map(|(at, _)| at));
        let mut all: Vec<Time> = all.map(|at| at.as_secs_f64()).collect();
        all.sort_by(f64::total_cmp);
        all
    }

    /// How long the machine stood still since then.
    pub fn hiccups(&self, since: Time) -> Time {
        let spans = self.rig.machine_stalls().into_iter().filter(|(_, to)| to.as_secs_f64() >= since);
        spans.map(|(from, to)| (to - from).as_secs_f64()).fold(0.0, |sum, span| sum + span)
    }

    /// How many calls since then came to which end.
    pub fn outcomes(&self, since: Time) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for call in self.rig.discovery.calls().iter().filter(|c| c.at.as_secs_f64() >= since) {
            let outcome = call.outcome.map_or("Waits".into(), |(_, outcome)| format!("{outcome:?}"));
            *counts.entry(outcome).or_insert(0) += 1;
        }
        counts
    }
}

/// The most calls in any second between two times.
pub fn most(calls: &[Time], from: Time, to: Time) -> usize {
    let within: Vec<Time> = calls.iter().copied().filter(|at| (from..to).contains(at)).collect();
    let second = |(n, at): (usize, &Time)| within[n..].iter().take_while(|t| **t < at + 1.0).count();
    within.iter().enumerate().map(second).max().unwrap_or(0)
}
