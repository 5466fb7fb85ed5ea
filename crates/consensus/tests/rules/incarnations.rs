//! Lost disks, readmission and the bootstrap.
use crate::cluster::{config, name, Cluster};
use cluster_types::Index;
use consensus::{AppendResponse, Message, Node, Payload, Role, VoteResponse};

/// A member whose store was lost counts for nothing until the others have admitted its new incarnation, then as before.
#[test]
fn member_with_lost_disk_is_readmitted() {
    let mut cluster = Cluster::with_leader(3);
    cluster.propose(0, 1);
    cluster.run(20);
    cluster.disconnect(1, &[0, 2]);
    cluster.restart(2, Some(30));
    cluster.propose(0, 2);
    cluster.run(2_000);
    // The leader and the new incarnation are two of three, and commit nothing; without a quorum the leader steps down.
    assert!(cluster.is_committed(1) && !cluster.is_committed(2) && !cluster.is_leader(0));
    cluster.cut_links.clear();
    // It never promises anything that its disk does not entitle it to.
    cluster.run_checked(3_000, |t| {
        let promised = |m: &Message| {
            matches!(
                m,
                Message::AppendResponse(AppendResponse { counts_for_quorum: true, .. })
                    | Message::VoteResponse(_)
            )
        };
        if t.network.iter().any(|(from, .., m)| *from == 2 && promised(m)) {
            let node = Node::new(config(2, 3), t.stored[2].clone(), t.time(), 0).unwrap();
            assert_eq!(node.incarnations().get(&name(2)), Some(&30));
        }
    });
    let leader = (0..3).find(|n| cluster.is_leader(*n)).unwrap();
    assert_eq!(cluster.node(leader).incarnations().get(&name(2)), Some(&30));
    // Now it counts: the third member is not needed any more.
    let away = 1 - usize::from(leader != 0);
    let away = if leader == 2 { 1 } else { away };
    cluster.disconnect(away, &[0, 1, 2]);
    cluster.run(2_000);
    let leader = (0..3).find(|n| *n != away && cluster.is_leader(*n)).unwrap();
    cluster.propose(leader, 3);
    cluster.run(20);
    assert!(cluster.is_committed(3));
}

/// Two of five lost at once leave a quorum, and both are readmitted.
#[test]
fn two_of_five_lost_disks_are_readmitted() {
    let mut cluster = Cluster::with_leader(5);
    cluster.restart(3, Some(40));
    cluster.restart(4, Some(50));
    cluster.run(1_000);
    cluster.propose(0, 1);
    cluster.run(20);
    assert!(cluster.is_committed(1));
    let incarnations = cluster.node(1).incarnations();
    assert_eq!((incarnations.get(&name(3)), incarnations.get(&name(4))), (Some(&40), Some(&50)));
    cluster.disconnect(0, &[1, 2, 3, 4]);
    cluster.disconnect(1, &[2, 3, 4]);
    cluster.run(3_000);
    assert!((2..5).any(|n| cluster.is_leader(n)));
}

/// A majority of lost disks is not replaced by another bootstrap.
#[test]
fn majority_of_lost_disks_is_not_bootstrapped_again() {
    let mut cluster = Cluster::with_leader(3);
    cluster.restart(0, Some(10));
    cluster.restart(1, Some(20));
    cluster.run_checked(10_000, |t| assert!((0..3).all(|n| t.node(n).role() != Role::Leader)));
    assert_eq!(cluster.node(2).commit_index(), Index(2));
}

/// The group is not bootstrapped before all members have reported, and then once.
#[test]
fn bootstrap_needs_all_members() {
    let mut cluster = Cluster::new(5);
    cluster.disconnect(4, &[0, 1, 2, 3]);
    cluster.run(3_000);
    assert!((0..5).all(|n| cluster.node(n).last_position().index == 0));
    cluster.cut_links.clear();
    cluster.run(1_000);
    assert!((0..5).all(|n| cluster.node(n).commit_index() == Index(2)));
    let first_payload = |n: usize| cluster.stored[n].entries[0].payload.clone();
    assert!(
        matches!(first_payload(0), Payload::Bootstrap(_))
            && (1..5).all(|n| first_payload(n) == first_payload(0))
    );
}

/// The bootstrap is committed only once all hold it: else a member without it could join another one with the new incarnations
/// of the others.
#[test]
fn bootstrap_is_committed_once_all_hold_it() {
    let mut cluster = Cluster::new(3);
    for _ in 0..3_000 {
        cluster.run(1);
        cluster.network.retain(|(_, _, to, m)| !(*to == 2 && matches!(m, Message::AppendRequest(_))));
        cluster.propose(0, 1);
    }
    assert!(
        cluster.stored[1].entries.len() == 1 && (0..3).all(|n| cluster.node(n).commit_index() == Index(0))
    );
    cluster.run(3_000);
    assert!((0..3).all(|n| cluster.node(n).commit_index() >= Index(2)));
}

/// The disk of the bootstrapping member is lost while some hold its entry: the bootstrap is repeated with its new incarnation.
#[test]
fn uncommitted_bootstrap_is_repeated_after_a_lost_disk() {
    let mut cluster = Cluster::new(3);
    while cluster.stored[1].entries.is_empty() {
        cluster.run(1);
        cluster.network.retain(|(_, _, to, m)| !(*to == 2 && matches!(m, Message::AppendRequest(_))));
    }
    cluster.network.clear();
    cluster.restart(0, Some(10));
    cluster.run(2_000);
    assert!((0..3).all(|n| cluster.node(n).incarnations().get(&name(0)) == Some(&10)));
}

/// The bootstrap is known to be committed at one member alone, and more is committed with one other: if both lose their disks,
/// the uncommitted bootstrap of the third must not let them bootstrap again.
#[test]
fn committed_bootstrap_is_not_repeated() {
    let mut cluster = Cluster::new(3);
    while cluster.node(0).commit_index() != Index(1) {
        cluster.run(1);
    }
    cluster.disconnect(2, &[0, 1]);
    cluster.propose(0, 1);
    cluster.run(5);
    assert!(cluster.is_committed(1) && cluster.node(2).commit_index() == Index(0));
    cluster.restart(0, Some(10));
    cluster.restart(1, Some(20));
    cluster.cut_links.clear();
    cluster.run_checked(10_000, |t| assert!((0..3).all(|n| !t.is_leader(n))));
}

/// Votes and acknowledgements under incarnations that the log has not admitted do not count.
#[test]
fn unadmitted_incarnations_do_not_count() {
    let mut cluster = Cluster::with_leader(3);
    cluster.restart(2, Some(30));
    cluster.network.clear();
    // It does not vote.
    let last = cluster.node(1).last_position();
    cluster.now_ms += 10_000;
    cluster.deliver(1, 2, 2, Message::VoteRequest { term: 9, last });
    assert!(
        cluster.network.iter().all(|(from, ..)| *from != 2)
            && cluster.node(2).counters().unadmitted_incarnation > 0
    );
    // Its vote would not be counted either.
    cluster.disconnect(0, &[1, 2]);
    cluster.run(700);
    cluster.network.clear();
    let term = cluster.node(1).term();
    // Nor does a vote count that was given to another incarnation of the same member.
    cluster.deliver(
        2,
        3,
        1,
        Message::VoteResponse(VoteResponse {
            term: term + 1,
            is_pre_vote: true,
            is_granted: true,
            candidate_incarnation: 20,
        }),
    );
    cluster.deliver(
        2,
        30,
        1,
        Message::VoteResponse(VoteResponse {
            term: term + 1,
            is_pre_vote: true,
            is_granted: true,
            candidate_incarnation: 2,
        }),
    );
    assert_eq!(cluster.node(1).term(), term);
    assert!(cluster.node(1).counters().unadmitted_incarnation > 0);
}
