//! Each safety rule in the case that it guards against.
#![allow(clippy::unwrap_used, clippy::panic)]
mod cluster;
mod incarnations;
mod random_messages;
mod storage;

use cluster::{name, Cluster};
use consensus::{
    Action, AppendOutcome, AppendRequest, AppendResponse, Event, LogPosition, Message, Payload, Rejection,
    VoteResponse,
};

/// Guards a lease: the follower that confirmed it forgets it by a restart, while another has not heard the leader for long.
#[test]
fn restarted_follower_withholds_its_vote() {
    let mut cluster = Cluster::with_leader(3);
    cluster.disconnect(0, &[1]);
    cluster.run(599);
    assert_eq!(cluster.lease_holders(), [0]);
    cluster.disconnect(0, &[2]);
    cluster.restart(2, None);
    let mut both = 0;
    cluster.run_checked(2_000, |t| both += usize::from(t.lease_holders().len() > 1));
    assert!(both == 0 && cluster.lease_holders().len() == 1 && cluster.lease_holders() != [0]);
}

/// Guards a lease: a follower that hears the leader does not vote, though another member has reason to campaign.
#[test]
fn follower_of_live_leader_refuses_votes() {
    let mut cluster = Cluster::with_leader(3);
    cluster.disconnect(0, &[1]);
    cluster.run_checked(5_000, |t| assert_eq!(t.lease_holders(), [0]));
    assert!(cluster.node(2).counters().lease_active > 0);
}

/// Guards against a member that was disconnected and returns with a higher term (pre-vote).
#[test]
fn returning_member_does_not_disrupt_the_leader() {
    let mut cluster = Cluster::with_leader(5);
    let term = cluster.node(0).term();
    cluster.disconnect(4, &[0, 1, 2, 3]);
    cluster.run(5_000);
    cluster.cut_links.clear();
    cluster.run_checked(2_000, |t| assert!(t.is_leader(0)));
    assert_eq!(cluster.node(4).term(), term);
}

/// A leader without a quorum holds no lease, steps down, and rejects what is pending.
#[test]
fn leader_without_quorum_steps_down() {
    let mut cluster = Cluster::with_leader(3);
    cluster.disconnect(0, &[1, 2]);
    cluster.propose(0, 7);
    cluster.handle(0, Event::ReadBarrier { ticket: 8 });
    // An answer to an earlier round confirms nothing.
    let late = Message::AppendResponse(AppendResponse {
        term: 1,
        round: 1,
        counts_for_quorum: true,
        outcome: AppendOutcome::Matched(2),
    });
    cluster.deliver(1, 2, 0, late);
    assert!(!cluster.actions.iter().any(|(_, a)| matches!(a, Action::Readable { .. })));
    cluster.run(300);
    assert!(cluster.is_leader(0) && !cluster.lease_holders().contains(&0));
    cluster.run(500);
    assert!(!cluster.is_leader(0));
    for ticket in [7, 8] {
        assert!(cluster
            .actions
            .contains(&(0, Action::Rejected { ticket, reason: Rejection::LeadershipLost })));
    }
}

/// Guards against figure 8 of the Raft paper: an entry of an old term that a quorum holds may still be overwritten.
#[test]
fn entries_of_old_terms_are_not_committed_by_counting() {
    let mut cluster = Cluster::with_leader(5);
    cluster.disconnect(0, &[1, 2, 3, 4]);
    cluster.propose(0, 1);
    let old = cluster.node(0).last_position();
    // Only hand-made messages reach it; it becomes the leader again.
    cluster.nodes[1..].fill(None);
    cluster.restart(0, None);
    cluster.run(700);
    let votes = |t: &mut Cluster, term, pre| {
        for from in [2, 3] {
            let message = Message::VoteResponse(VoteResponse {
                term,
                is_pre_vote: pre,
                is_granted: true,
                candidate_incarnation: 1,
            });
            t.deliver(from, from as u64 + 1, 0, message);
        }
    };
    votes(&mut cluster, old.term + 1, true);
    votes(&mut cluster, old.term + 1, false);
    assert!(cluster.is_leader(0));
    let acks = |t: &mut Cluster, upto| {
        for from in [2, 3] {
            let outcome = AppendOutcome::Matched(upto);
            let message = Message::AppendResponse(AppendResponse {
                term: old.term + 1,
                round: 0,
                counts_for_quorum: true,
                outcome,
            });
            t.deliver(from, from as u64 + 1, 0, message);
        }
    };
    acks(&mut cluster, old.index);
    assert!(cluster.node(0).commit_index().0 < old.index);
    acks(&mut cluster, old.index + 1);
    assert_eq!(cluster.node(0).commit_index().0, old.index + 1);
}

/// A read barrier is answered after a heartbeat round, with the index that was committed before it.
#[test]
fn read_barrier_waits_for_a_heartbeat_round() {
    let mut cluster = Cluster::with_leader(3);
    cluster.propose(0, 1);
    cluster.run(10);
    cluster.handle(0, Event::ReadBarrier { ticket: 2 });
    cluster.handle(1, Event::ReadBarrier { ticket: 3 });
    let readable = Action::Readable { ticket: 2, index: cluster.node(0).commit_index() };
    assert!(!cluster.actions.contains(&(0, readable.clone())));
    cluster.run(3);
    assert!(cluster.actions.contains(&(0, readable)));
    let why = Rejection::NotLeader(Some(name(0)));
    assert!(cluster.actions.contains(&(1, Action::Rejected { ticket: 3, reason: why })));
}

/// Proposals beyond a bound are rejected, each with one answer.
#[test]
fn proposals_beyond_bounds_are_rejected_once() {
    let mut cluster = Cluster::with_leader(3);
    cluster.disconnect(0, &[1, 2]);
    (1..=6).for_each(|ticket| cluster.propose(0, ticket));
    let data = vec![0; cluster.config.max_message_bytes].into();
    cluster.handle(0, Event::Propose { ticket: 9, data });
    cluster.propose(1, 10);
    for (who, ticket, why) in [
        (0, 5, Rejection::AtCapacity),
        (0, 6, Rejection::AtCapacity),
        (0, 9, Rejection::TooLarge),
        (1, 10, Rejection::NotLeader(Some(name(0)))),
    ] {
        assert!(cluster.actions.contains(&(who, Action::Rejected { ticket, reason: why })));
    }
    cluster.cut_links.clear();
    cluster.run(100);
    assert!((1..=4).all(|ticket| cluster.is_committed(ticket)));
    assert_eq!(cluster.actions.iter().filter(|(_, a)| matches!(a, Action::Rejected { .. })).count(), 4);
}

/// Messages that no correct member sends change nothing and are counted.
#[test]
fn malformed_messages_change_nothing() {
    let mut cluster = Cluster::with_leader(3);
    let before = (cluster.node(1).last_position(), cluster.node(1).commit_index(), cluster.stored[1].clone());
    let prev = cluster.node(1).last_position();
    let entry = |index, term, payload| consensus::Entry { index: cluster_types::Index(index), term, payload };
    let unknown_member = Payload::Readmit { member: "x".into(), incarnation: 9 };
    let bad = [
        vec![entry(9, 1, Payload::Noop)],
        vec![entry(3, 0, Payload::Noop)],
        vec![entry(3, 9, Payload::Noop)],
        vec![entry(3, 1, unknown_member)],
        vec![entry(3, 1, Payload::Bootstrap(Default::default()))],
    ];
    let count = bad.len() as u64;
    for entries in bad {
        cluster.deliver(
            0,
            1,
            1,
            Message::AppendRequest(AppendRequest {
                term: 1,
                previous: prev,
                entries,
                commit_index: 99,
                round: 1,
            }),
        );
    }
    let rewritten = LogPosition { term: 7, index: 2 };
    cluster.deliver(
        0,
        1,
        1,
        Message::AppendRequest(AppendRequest {
            term: 8,
            previous: rewritten,
            entries: vec![],
            commit_index: 2,
            round: 1,
        }),
    );
    cluster.deliver(1, 2, 1, Message::VoteRequest { term: 99, last: rewritten });
    assert_eq!(cluster.node(1).counters().malformed, count + 1);
    assert_eq!(cluster.node(1).counters().unknown_sender, 1);
    assert_eq!(
        (cluster.node(1).last_position(), cluster.node(1).commit_index(), cluster.stored[1].clone()),
        before
    );
}
