//! Names, what is looked at in a network of members, and runs under many seeds.
use super::Sim;
use cluster_types::MemberId;
use membership::{Member, Members, Seed, State};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

pub fn name(which: usize) -> MemberId {
    MemberId::from(format!("front-{which:03}").as_str())
}

pub fn address(which: usize) -> SocketAddr {
    (Ipv4Addr::new(10, 0, (which / 200) as u8, (which % 200) as u8 + 1), 7_000).into()
}

pub fn of(at: SocketAddr) -> Option<usize> {
    (0..300).find(|which| address(*which) == at)
}

pub fn seed(which: usize) -> Seed {
    Seed { member: name(which), hall: format!("hall-{}", which % 3).as_str().into(), at: address(which) }
}

impl Sim {
    /// No member ever sends more than the bound, whatever happens.
    pub fn check_bytes(&self, which: usize) {
        let node = &self.nodes[which];
        let Some(machine) = &node.machine else { return };
        let span = self.now.since(node.started).as_secs_f64();
        let bound = node.settings.burst as f64 + node.settings.bytes as f64 * span;
        assert!(machine.figures().bytes as f64 <= bound + 1.0, "{which} sent {}", machine.figures().bytes);
    }

    pub fn up(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|which| self.nodes[*which].machine.is_some()).collect()
    }

    pub fn machine(&self, which: usize) -> &Members {
        self.nodes[which].machine.as_ref().unwrap()
    }

    pub fn view(&self, which: usize) -> Vec<Member> {
        self.machine(which).view()
    }

    /// Whom that one holds how.
    pub fn state(&self, which: usize, whom: usize) -> Option<State> {
        self.view(which).into_iter().find(|member| member.member == name(whom)).map(|member| member.state)
    }

    /// Why not all that run hold exactly those that run, if so.
    pub fn differs(&self) -> Option<String> {
        let up = self.up();
        let names: BTreeSet<MemberId> = up.iter().map(|which| name(*which)).collect();
        let digests: BTreeSet<_> = up.iter().map(|which| self.machine(*which).digest()).collect();
        for which in &up {
            let view = self.view(*which);
            let alive = view.iter().filter(|member| member.state == State::Alive);
            let alive: BTreeSet<MemberId> = alive.map(|member| member.member.clone()).collect();
            if alive != names {
                let odd: Vec<_> = alive.symmetric_difference(&names).map(ToString::to_string).collect();
                return Some(format!("{} differs in {odd:?}", name(*which)));
            }
        }
        (digests.len() > 1).then(|| "digests differ".into())
    }

    /// Runs until all hold one view; how long that took. It must take no longer than that.
    pub fn settle(&mut self, within: Duration) -> Duration {
        let from = self.now;
        while let Some(why) = self.differs() {
            assert!(self.now.since(from) < within, "after {:?}: {why}", self.now.since(from));
            self.run(Duration::from_millis(250));
        }
        self.now.since(from)
    }
}

/// Runs under many seeds, on a few threads: the usual number, MEMBERS_TIMES as many if that is set. Prints the seed where a run
/// fails.
pub fn seeds(usual: u64, run: impl Fn(u64) + Sync) {
    let times: u64 = std::env::var("MEMBERS_TIMES").ok().and_then(|text| text.parse().ok()).unwrap_or(1);
    let count = usual * times;
    std::thread::scope(|scope| {
        for thread in 0..4 {
            let run = &run;
            scope.spawn(move || {
                for seed in (thread..count).step_by(4) {
                    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run(seed)));
                    if let Err(why) = result {
                        eprintln!("failed under seed {seed}");
                        std::panic::resume_unwind(why);
                    }
                }
            });
        }
    });
}
