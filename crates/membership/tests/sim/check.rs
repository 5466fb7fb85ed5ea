//! Names and addresses of simulated members, queries and assertions on a simulated network, and runs with many seeds.
use super::Sim;
use cluster_types::MemberId;
use membership::{Member, MemberState, Membership, Seed};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

pub fn name(index: usize) -> MemberId {
    MemberId::from(format!("front-{index:03}").as_str())
}

pub fn address(index: usize) -> SocketAddr {
    (Ipv4Addr::new(10, 0, (index / 200) as u8, (index % 200) as u8 + 1), 7_000).into()
}

pub fn index_of(at: SocketAddr) -> Option<usize> {
    (0..300).find(|index| address(*index) == at)
}

pub fn seed(index: usize) -> Seed {
    let zone = format!("hall-{}", index % 3);
    Seed { member: name(index), zone: zone.as_str().into(), address: address(index) }
}

impl Sim {
    /// Asserts that a member has not exceeded its send budget.
    pub fn assert_within_send_budget(&self, index: usize) {
        let node = &self.nodes[index];
        let Some(membership) = &node.membership else { return };
        let span = self.now.since(node.started).as_secs_f64();
        let bound = node.settings.burst_bytes as f64 + node.settings.bytes_per_second as f64 * span;
        let sent = membership.counters().bytes_sent;
        assert!(sent as f64 <= bound + 1.0, "{index} sent {sent}");
    }

    /// The indexes of the running members.
    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|index| self.nodes[*index].membership.is_some()).collect()
    }

    pub fn membership(&self, index: usize) -> &Membership {
        self.nodes[index].membership.as_ref().unwrap()
    }

    pub fn view(&self, index: usize) -> Vec<Member> {
        self.membership(index).view()
    }

    /// The state of `other` in the view of a member.
    pub fn state(&self, index: usize, other: usize) -> Option<MemberState> {
        self.view(index).into_iter().find(|member| member.member == name(other)).map(|member| member.state)
    }

    /// Describes how the views of the running members differ, or returns `None` if each has exactly the running members as
    /// alive and all digests are equal.
    pub fn disagreement(&self) -> Option<String> {
        let running = self.running();
        let names: BTreeSet<MemberId> = running.iter().map(|index| name(*index)).collect();
        let digests: BTreeSet<_> = running.iter().map(|index| self.membership(*index).digest()).collect();
        for index in &running {
            let view = self.view(*index);
            let alive = view.iter().filter(|member| member.state == MemberState::Alive);
            let alive: BTreeSet<MemberId> = alive.map(|member| member.member.clone()).collect();
            if alive != names {
                let differing: Vec<_> = alive.symmetric_difference(&names).map(ToString::to_string).collect();
                return Some(format!("{} differs in {differing:?}", name(*index)));
            }
        }
        (digests.len() > 1).then(|| "digests differ".into())
    }

    /// Runs until all members have the same view, which must take less than `within`. Returns how long it took.
    pub fn converge(&mut self, within: Duration) -> Duration {
        let from = self.now;
        while let Some(reason) = self.disagreement() {
            assert!(self.now.since(from) < within, "after {:?}: {reason}", self.now.since(from));
            self.run(Duration::from_millis(250));
        }
        self.now.since(from)
    }
}

/// Runs a test with `default_count` seeds on four threads, or MEMBERS_TIMES as many if that is set. Prints the seed of a
/// failed run.
pub fn run_with_seeds(default_count: u64, run: impl Fn(u64) + Sync) {
    let times: u64 = std::env::var("MEMBERS_TIMES").ok().and_then(|text| text.parse().ok()).unwrap_or(1);
    let count = default_count * times;
    std::thread::scope(|scope| {
        for thread in 0..4 {
            let run = &run;
            scope.spawn(move || {
                for seed in (thread..count).step_by(4) {
                    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run(seed)));
                    if let Err(panic) = result {
                        eprintln!("failed under seed {seed}");
                        std::panic::resume_unwind(panic);
                    }
                }
            });
        }
    });
}
