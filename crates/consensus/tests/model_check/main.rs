//! Model checking: explores the orders of steps of three members within small budgets, from a few initial states.
//! `CONSENSUS_DEPTH` switches to a depth-first search of at most that many steps, `CONSENSUS_STATES` sets the target number of
//! states.
#![allow(clippy::unwrap_used, clippy::panic)]
mod group;
mod model;

use cluster_types::Index;
use consensus::{AppendRequest, Message, Role};
use group::Group;
use model::{Budget, Search};
use stateright::{Checker, Model};

fn env_number(name: &str) -> Option<usize> {
    std::env::var(name).ok()?.parse().ok()
}

fn explore(initial: Group, budget: Budget) {
    let search = Search { initial, budget };
    let states = env_number("CONSENSUS_STATES").unwrap_or(16_000);
    let checker = search.checker().threads(4).target_state_count(states);
    // Deep searches run depth-first, which takes less memory; the default search is breadth-first.
    let (count, depth, result) = match env_number("CONSENSUS_DEPTH") {
        Some(depth) => {
            let result = checker.target_max_depth(depth).spawn_dfs().join();
            (result.unique_state_count(), result.max_depth(), result.discoveries())
        }
        None => {
            let result = checker.spawn_bfs().join();
            (result.unique_state_count(), result.max_depth(), result.discoveries())
        }
    };
    println!("{count} states, depth {depth}");
    if let Some((_, path)) = result.into_iter().next() {
        let violation = path.last_state().violation.clone();
        panic!("{violation:?} after {:#?}", path.into_actions());
    }
    assert!(count > 1_000);
}

/// A group in which all members have reported to the bootstrapping member, which has started its election.
fn before_bootstrap(writes_immediately: bool) -> Group {
    let mut group = Group::started(3);
    group.run_among(&[0, 1, 2], |g| g.nodes[0].role() != Role::Follower);
    group.writes_immediately = writes_immediately;
    group
}

/// A group led by the bootstrapping member, with its whole log committed on all members.
fn after_bootstrap(writes_immediately: bool) -> Group {
    let mut group = Group::started(3);
    group.run_among(&[0, 1, 2], |_| false);
    assert_eq!(group.nodes[2].commit_index(), Index(2));
    group.writes_immediately = writes_immediately;
    group
}

/// Members lose their disks during bootstrap.
#[test]
fn bootstrap_with_lost_disks() {
    explore(before_bootstrap(true), Budget { timeouts: 1, disk_losses: 2, ..Budget::default() });
}

/// Bootstrap with a crash and a lost disk, where each write is a separate step.
#[test]
fn bootstrap_with_separate_writes() {
    explore(before_bootstrap(false), Budget { crashes: 1, disk_losses: 1, ..Budget::default() });
}

/// Members lose their disks when only one member knows that the bootstrap is committed.
#[test]
fn bootstrap_committed_at_one_member() {
    let mut group = Group::started(3);
    group.run_among(&[0, 1, 2], |g| g.nodes[0].commit_index() == Index(1));
    group.writes_immediately = true;
    explore(group, Budget { timeouts: 2, disk_losses: 2, proposals: 1, ..Budget::default() });
}

/// Members campaign while a leader replicates proposals.
#[test]
fn elections_with_proposals() {
    explore(after_bootstrap(true), Budget { timeouts: 2, proposals: 2, ..Budget::default() });
}

/// A member crashes before the entries it received are on disk.
#[test]
fn crash_before_write() {
    explore(after_bootstrap(true), Budget { timeouts: 1, crashes: 1, proposals: 1, ..Budget::default() });
}

/// Elections with a crash, where each write is a separate step.
#[test]
fn elections_with_separate_writes() {
    explore(after_bootstrap(false), Budget { timeouts: 1, crashes: 1, proposals: 1, ..Budget::default() });
}

/// A member loses its disk and is readmitted.
#[test]
fn readmission_after_disk_loss() {
    explore(
        after_bootstrap(true),
        Budget { disk_losses: 1, proposals: 1, heartbeats: 2, timeouts: 1, ..Budget::default() },
    );
}

/// A member votes and loses its disk before the vote is counted. The earlier leader, unaware of the election, continues.
#[test]
fn votes_counted_after_voter_lost_its_disk() {
    let mut group = after_bootstrap(true);
    group.campaign(1, 2);
    group.crash(2, 0, true);
    group.heartbeat(0);
    group.run_among(&[0, 2], |g| matches!(g.nodes[0].last_position().index, 3));
    explore(group, Budget { proposals: 1, heartbeats: 1, timeouts: 1, ..Budget::default() });
}

/// A leader's entry is only on its own disk when another member is elected without it.
#[test]
fn entry_of_old_term_on_one_disk() {
    let mut group = after_bootstrap(true);
    group.propose(0);
    group.network.clear();
    group.expire_timeouts(1);
    group.run_among(&[1, 2], |g| g.nodes[1].role() == Role::Leader);
    group.network.clear();
    group.expire_timeouts(1);
    while group.nodes[0].term() < 3 {
        group.expire_timeouts(0);
    }
    group.run_among(&[0, 2], |g| g.nodes[0].role() == Role::Leader);
    assert_eq!(group.nodes[0].term(), 3);
    // Member 2 is about to receive the old entry. It does not know yet that member 0 was elected in term 3.
    group.run_among(&[0, 2], |g| g.network.iter().any(|p| matches!(&p.message, Message::AppendRequest(AppendRequest { entries, .. }) if !entries.is_empty() && entries[0].index == Index(3))));
    group.network.retain(|p| p.to == 2);
    assert_eq!(group.network.len(), 1);
    explore(group, Budget { timeouts: 2, ..Budget::default() });
}
