//! Tests of bootstrap, lost disks and readmission.
use crate::cluster::{config, member_id, Cluster};
use cluster_types::Index;
use consensus::{AppendResponse, Message, Node, Payload, Role, VoteResponse};

/// A member that lost its store must not count towards any quorum until its new incarnation is admitted; after that it does.
#[test]
fn member_with_lost_disk_is_readmitted() {
    let mut cluster = Cluster::with_leader(3);
    cluster.propose(0, 1);
    cluster.run(20);
    cluster.disconnect(1, &[0, 2]);
    cluster.restart(2, Some(30));
    cluster.propose(0, 2);
    cluster.run(2_000);
    // The leader and the new incarnation are two of three members but no quorum: nothing commits, and the leader steps down.
    assert!(cluster.is_committed(1) && !cluster.is_committed(2) && !cluster.is_leader(0));
    cluster.cut_links.clear();
    // It sends no vote and no counted acknowledgement before its disk holds the committed readmission.
    cluster.run_checked(3_000, |cluster| {
        let is_counted = |m: &Message| {
            matches!(
                m,
                Message::AppendResponse(AppendResponse { counts_for_quorum: true, .. })
                    | Message::VoteResponse(_)
            )
        };
        if cluster.network.iter().any(|(from, .., m)| *from == 2 && is_counted(m)) {
            let node = Node::new(config(2, 3), cluster.stored[2].clone(), cluster.time(), 0).unwrap();
            assert_eq!(node.incarnations().get(&member_id(2)), Some(&30));
        }
    });
    let leader = (0..3).find(|n| cluster.is_leader(*n)).unwrap();
    assert_eq!(cluster.node(leader).incarnations().get(&member_id(2)), Some(&30));
    // It counts again, so the third member is no longer needed for a quorum.
    let disconnected = 1 - usize::from(leader != 0);
    let disconnected = if leader == 2 { 1 } else { disconnected };
    cluster.disconnect(disconnected, &[0, 1, 2]);
    cluster.run(2_000);
    let leader = (0..3).find(|n| *n != disconnected && cluster.is_leader(*n)).unwrap();
    cluster.propose(leader, 3);
    cluster.run(20);
    assert!(cluster.is_committed(3));
}

/// If two of five disks are lost at once, the remaining quorum readmits both members.
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
    assert_eq!((incarnations.get(&member_id(3)), incarnations.get(&member_id(4))), (Some(&40), Some(&50)));
    cluster.disconnect(0, &[1, 2, 3, 4]);
    cluster.disconnect(1, &[2, 3, 4]);
    cluster.run(3_000);
    assert!((2..5).any(|n| cluster.is_leader(n)));
}

/// A group that has lost a majority of its disks must not bootstrap again: its committed entries would be lost.
#[test]
fn losing_a_majority_of_disks_does_not_repeat_bootstrap() {
    let mut cluster = Cluster::with_leader(3);
    cluster.restart(0, Some(10));
    cluster.restart(1, Some(20));
    cluster.run_checked(10_000, |cluster| assert!((0..3).all(|n| cluster.node(n).role() != Role::Leader)));
    assert_eq!(cluster.node(2).commit_index(), Index(2));
}

/// The group bootstraps only after all members have reported an empty store, and only once.
#[test]
fn bootstrap_needs_all_members() {
    let mut cluster = Cluster::new(5);
    cluster.disconnect(4, &[0, 1, 2, 3]);
    cluster.run(3_000);
    assert!((0..5).all(|n| cluster.node(n).last_position().index == 0));
    cluster.cut_links.clear();
    cluster.run(1_000);
    assert!((0..5).all(|n| cluster.node(n).commit_index() == Index(2)));
    let bootstrap_payload = |n: usize| cluster.stored[n].entries[0].payload.clone();
    assert!(
        matches!(bootstrap_payload(0), Payload::Bootstrap(_))
            && (1..5).all(|n| bootstrap_payload(n) == bootstrap_payload(0))
    );
}

/// The bootstrap commits only once all members hold it. Otherwise a member without it could take part in a second bootstrap, with
/// new incarnations of the others.
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

/// If the bootstrapping member loses its disk while some members hold its uncommitted bootstrap entry, the bootstrap is repeated
/// with its new incarnation.
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
    assert!((0..3).all(|n| cluster.node(n).incarnations().get(&member_id(0)) == Some(&10)));
}

/// One member knows that the bootstrap is committed, and commits another entry with a second member. If both lose their disks, the
/// third member, which does not know of the commit, must not let them bootstrap again.
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
    cluster.run_checked(10_000, |cluster| assert!((0..3).all(|n| !cluster.is_leader(n))));
}

/// Votes under an incarnation that the log has not admitted do not count.
#[test]
fn unadmitted_incarnations_do_not_count() {
    let mut cluster = Cluster::with_leader(3);
    cluster.restart(2, Some(30));
    cluster.network.clear();
    // A member under an unadmitted incarnation does not vote.
    let last = cluster.node(1).last_position();
    cluster.now_ms += 10_000;
    cluster.deliver(1, 2, 2, Message::VoteRequest { term: 9, last });
    assert!(
        cluster.network.iter().all(|(from, ..)| *from != 2)
            && cluster.node(2).counters().unadmitted_incarnation > 0
    );
    // A vote under an unadmitted incarnation is not counted.
    cluster.disconnect(0, &[1, 2]);
    cluster.run(700);
    cluster.network.clear();
    let term = cluster.node(1).term();
    // A vote that was granted to another incarnation of the candidate is not counted either.
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
