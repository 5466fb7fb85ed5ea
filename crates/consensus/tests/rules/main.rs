//! Tests of the safety rules, each with the failure that the rule prevents.
#![allow(clippy::unwrap_used, clippy::panic)]
mod cluster;
mod incarnations;
mod random_messages;
mod storage;

use cluster::{member_id, Cluster};
use consensus::{
    Action, AppendOutcome, AppendRequest, AppendResponse, Event, LogPosition, Message, Payload, Rejection,
    VoteResponse,
};

/// A follower that confirmed a lease must withhold its vote after a restart. Otherwise it could help to elect a member that has
/// lost contact with the leader while the lease is still valid.
#[test]
fn restarted_follower_withholds_its_vote() {
    let mut cluster = Cluster::with_leader(3);
    cluster.disconnect(0, &[1]);
    cluster.run(599);
    assert_eq!(cluster.lease_holders(), [0]);
    cluster.disconnect(0, &[2]);
    cluster.restart(2, None);
    let mut steps_with_two_leases = 0;
    cluster.run_checked(2_000, |cluster| {
        steps_with_two_leases += usize::from(cluster.lease_holders().len() > 1)
    });
    assert!(
        steps_with_two_leases == 0 && cluster.lease_holders().len() == 1 && cluster.lease_holders() != [0]
    );
}

/// A follower in contact with the leader refuses its vote to a member that has lost contact, because the leader holds a lease.
#[test]
fn follower_of_live_leader_refuses_votes() {
    let mut cluster = Cluster::with_leader(3);
    cluster.disconnect(0, &[1]);
    cluster.run_checked(5_000, |cluster| assert_eq!(cluster.lease_holders(), [0]));
    assert!(cluster.node(2).counters().lease_active > 0);
}

/// A member that returns after a disconnection must not depose the leader with a higher term (pre-vote).
#[test]
fn returning_member_does_not_disrupt_the_leader() {
    let mut cluster = Cluster::with_leader(5);
    let term = cluster.node(0).term();
    cluster.disconnect(4, &[0, 1, 2, 3]);
    cluster.run(5_000);
    cluster.cut_links.clear();
    cluster.run_checked(2_000, |cluster| assert!(cluster.is_leader(0)));
    assert_eq!(cluster.node(4).term(), term);
}

/// A leader without a quorum loses its lease, steps down, and rejects pending proposals and read barriers.
#[test]
fn leader_without_quorum_steps_down() {
    let mut cluster = Cluster::with_leader(3);
    cluster.disconnect(0, &[1, 2]);
    cluster.propose(0, 7);
    cluster.handle(0, Event::ReadBarrier { ticket: 8 });
    // An answer to an earlier round does not confirm the read barrier.
    let stale_response = Message::AppendResponse(AppendResponse {
        term: 1,
        round: 1,
        counts_for_quorum: true,
        outcome: AppendOutcome::Matched(2),
    });
    cluster.deliver(1, 2, 0, stale_response);
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

/// Figure 8 of the Raft paper: an entry of an old term may still be overwritten although a quorum holds it.
#[test]
fn entries_of_old_terms_are_not_committed_by_counting() {
    let mut cluster = Cluster::with_leader(5);
    cluster.disconnect(0, &[1, 2, 3, 4]);
    cluster.propose(0, 1);
    let old_position = cluster.node(0).last_position();
    // Member 0 becomes leader again through messages made by this test; all other members are stopped.
    cluster.nodes[1..].fill(None);
    cluster.restart(0, None);
    cluster.run(700);
    let votes = |cluster: &mut Cluster, term, for_pre_vote| {
        for from in [2, 3] {
            let message = Message::VoteResponse(VoteResponse {
                term,
                is_pre_vote: for_pre_vote,
                is_granted: true,
                candidate_incarnation: 1,
            });
            cluster.deliver(from, from as u64 + 1, 0, message);
        }
    };
    votes(&mut cluster, old_position.term + 1, true);
    votes(&mut cluster, old_position.term + 1, false);
    assert!(cluster.is_leader(0));
    let acks = |cluster: &mut Cluster, matched_index| {
        for from in [2, 3] {
            let outcome = AppendOutcome::Matched(matched_index);
            let message = Message::AppendResponse(AppendResponse {
                term: old_position.term + 1,
                round: 0,
                counts_for_quorum: true,
                outcome,
            });
            cluster.deliver(from, from as u64 + 1, 0, message);
        }
    };
    acks(&mut cluster, old_position.index);
    assert!(cluster.node(0).commit_index().0 < old_position.index);
    acks(&mut cluster, old_position.index + 1);
    assert_eq!(cluster.node(0).commit_index().0, old_position.index + 1);
}

/// A read barrier is answered after a heartbeat round, with the commit index from the start of that round.
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
    let rejection = Rejection::NotLeader(Some(member_id(0)));
    assert!(cluster.actions.contains(&(1, Action::Rejected { ticket: 3, reason: rejection })));
}

/// A proposal beyond a limit is rejected with exactly one answer.
#[test]
fn proposals_beyond_bounds_are_rejected_once() {
    let mut cluster = Cluster::with_leader(3);
    cluster.disconnect(0, &[1, 2]);
    (1..=6).for_each(|ticket| cluster.propose(0, ticket));
    let data = vec![0; cluster.config.max_message_bytes].into();
    cluster.handle(0, Event::Propose { ticket: 9, data });
    cluster.propose(1, 10);
    for (member, ticket, rejection) in [
        (0, 5, Rejection::AtCapacity),
        (0, 6, Rejection::AtCapacity),
        (0, 9, Rejection::TooLarge),
        (1, 10, Rejection::NotLeader(Some(member_id(0)))),
    ] {
        assert!(cluster.actions.contains(&(member, Action::Rejected { ticket, reason: rejection })));
    }
    cluster.cut_links.clear();
    cluster.run(100);
    assert!((1..=4).all(|ticket| cluster.is_committed(ticket)));
    assert_eq!(cluster.actions.iter().filter(|(_, a)| matches!(a, Action::Rejected { .. })).count(), 4);
}

/// Messages that no correct member sends are counted and change nothing.
#[test]
fn malformed_messages_change_nothing() {
    let mut cluster = Cluster::with_leader(3);
    let state_before =
        (cluster.node(1).last_position(), cluster.node(1).commit_index(), cluster.stored[1].clone());
    let last_position = cluster.node(1).last_position();
    let entry = |index, term, payload| consensus::Entry { index: cluster_types::Index(index), term, payload };
    let unknown_member = Payload::Readmit { member: "x".into(), incarnation: 9 };
    let malformed_entries = [
        vec![entry(9, 1, Payload::Noop)],
        vec![entry(3, 0, Payload::Noop)],
        vec![entry(3, 9, Payload::Noop)],
        vec![entry(3, 1, unknown_member)],
        vec![entry(3, 1, Payload::Bootstrap(Default::default()))],
    ];
    let count = malformed_entries.len() as u64;
    for entries in malformed_entries {
        cluster.deliver(
            0,
            1,
            1,
            Message::AppendRequest(AppendRequest {
                term: 1,
                previous: last_position,
                entries,
                commit_index: 99,
                round: 1,
            }),
        );
    }
    let conflicting = LogPosition { term: 7, index: 2 };
    cluster.deliver(
        0,
        1,
        1,
        Message::AppendRequest(AppendRequest {
            term: 8,
            previous: conflicting,
            entries: vec![],
            commit_index: 2,
            round: 1,
        }),
    );
    cluster.deliver(1, 2, 1, Message::VoteRequest { term: 99, last: conflicting });
    assert_eq!(cluster.node(1).counters().malformed, count + 1);
    assert_eq!(cluster.node(1).counters().unknown_sender, 1);
    assert_eq!(
        (cluster.node(1).last_position(), cluster.node(1).commit_index(), cluster.stored[1].clone()),
        state_before
    );
}
