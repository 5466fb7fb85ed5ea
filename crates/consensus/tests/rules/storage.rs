//! Tests of durability, disk failures, snapshots and the validation of the stored state.
use crate::cluster::{config, member_id, Cluster};
use cluster_types::{Index, Time};
use consensus::{
    Action, Entry, Event, HardState, Incarnations, LogPosition, Message, Node, Payload, Rejection, Snapshot,
    StartError, StoredState, Vote, VoteResponse,
};

#[test]
fn nothing_is_acknowledged_before_it_is_on_disk() {
    let mut cluster = Cluster::with_leader(3);
    cluster.stalled_disks = [1, 2].into();
    cluster.propose(0, 1);
    cluster.run(200);
    assert!(!cluster.is_committed(1));
    assert!(cluster.node(1).last_position().index == 3 && cluster.stored[1].entries.len() == 2);
    cluster.stalled_disks.clear();
    cluster.run(100);
    assert!(cluster.is_committed(1));
}

#[test]
fn leader_counts_itself_once_it_has_written() {
    let mut cluster = Cluster::with_leader(3);
    cluster.disconnect(2, &[0, 1]);
    cluster.stalled_disks = [0].into();
    cluster.propose(0, 1);
    cluster.run(100);
    assert!(!cluster.is_committed(1));
    cluster.stalled_disks.clear();
    cluster.run(100);
    assert!(cluster.is_committed(1));
}

/// A vote is sent only once it is on disk, and not at all while the disk has failed.
#[test]
fn vote_is_given_once_it_is_on_disk() {
    let mut cluster = Cluster::with_leader(3);
    cluster.disconnect(0, &[1, 2]);
    cluster.now_ms += 1_000;
    cluster.stalled_disks = [2].into();
    let last = cluster.node(2).last_position();
    let has_granted_vote = |cluster: &Cluster| {
        cluster.network.iter().any(|(from, .., m)| {
            *from == 2 && matches!(m, Message::VoteResponse(VoteResponse { is_granted: true, .. }))
        })
    };
    cluster.deliver(1, 2, 2, Message::VoteRequest { term: 5, last });
    assert!(!has_granted_vote(&cluster));
    let batch = cluster.write_queues[2].pop_front().unwrap().id;
    cluster.handle(2, Event::PersistFailed { batch_id: batch });
    cluster.deliver(1, 2, 2, Message::VoteRequest { term: 6, last });
    assert!(!has_granted_vote(&cluster) && cluster.node(2).counters().storage_failed > 0);
    cluster.stalled_disks.clear();
    cluster.handle(2, Event::StorageRecovered);
    cluster.deliver(1, 2, 2, Message::VoteRequest { term: 7, last });
    assert!(
        has_granted_vote(&cluster)
            && cluster.stored[2].hard_state
                == HardState {
                    term: 7,
                    vote: Some(Vote { candidate: member_id(1), incarnation: 2 }),
                    commit: Index(2)
                }
    );
}

/// A follower with a failed disk still applies entries, but its acknowledgements do not count. Once it can write again, it writes
/// its whole state and counts again.
#[test]
fn follower_with_failed_disk_does_not_count() {
    let mut cluster = Cluster::with_leader(3);
    cluster.stalled_disks = [1].into();
    cluster.propose(0, 1);
    cluster.run(20);
    let batch = cluster.write_queues[1].front().unwrap().id;
    cluster.write_queues[1].clear();
    cluster.handle(1, Event::PersistFailed { batch_id: batch });
    cluster.propose(0, 2);
    cluster.run(200);
    let apply_count = |cluster: &Cluster, member: usize| {
        cluster.actions.iter().filter(|(n, a)| *n == member && matches!(a, Action::Apply { .. })).count()
    };
    assert_eq!((apply_count(&cluster, 1), cluster.stored[1].entries.len()), (2, 2));
    cluster.disconnect(2, &[0, 1]);
    cluster.propose(0, 3);
    cluster.run(100);
    assert!(!cluster.is_committed(3));
    cluster.stalled_disks.clear();
    cluster.handle(1, Event::StorageRecovered);
    cluster.run(100);
    assert!(cluster.is_committed(3) && cluster.stored[1].entries.len() == 5);
}

/// A leader whose disk fails steps down immediately.
#[test]
fn leader_with_failed_disk_steps_down() {
    let mut cluster = Cluster::with_leader(3);
    cluster.stalled_disks = [0].into();
    cluster.propose(0, 1);
    let batch = cluster.write_queues[0].front().unwrap().id;
    cluster.handle(0, Event::PersistFailed { batch_id: batch });
    assert!(!cluster.is_leader(0));
    assert!(cluster
        .actions
        .contains(&(0, Action::Rejected { ticket: 1, reason: Rejection::LeadershipLost })));
    cluster.propose(0, 2);
    assert!(cluster.actions.contains(&(0, Action::Rejected { ticket: 2, reason: Rejection::StorageFailed })));
    cluster.run(2_000);
    assert!(cluster.is_leader(1) || cluster.is_leader(2));
}

/// A member that needs compacted entries is sent the snapshot in chunks.
#[test]
fn snapshot_is_sent_in_chunks() {
    let mut cluster = Cluster::with_leader(3);
    cluster.disconnect(2, &[0, 1]);
    for ticket in 1..=20 {
        cluster.propose(0, ticket);
        cluster.run(4);
        if let Some(request) =
            cluster.actions.iter().position(|(n, a)| *n == 0 && matches!(a, Action::SnapshotRequested { .. }))
        {
            cluster.actions.remove(request);
            let last = cluster.node(0).commit_index();
            cluster.handle(0, Event::SnapshotTaken { last_index: last, data: vec![5; 100].into() });
        }
    }
    assert!(cluster.is_committed(20) && cluster.stored[0].snapshot.is_some());
    cluster.cut_links.clear();
    cluster.run(100);
    let is_complete_restore = |a: &Action| matches!(a, Action::Restore { data, .. } if **data == [5; 100]);
    assert!(cluster.actions.iter().any(|(n, a)| *n == 2 && is_complete_restore(a)));
    assert_eq!(cluster.node(2).commit_index(), cluster.node(0).commit_index());
    assert_eq!(cluster.stored[2].snapshot, cluster.stored[0].snapshot);
}

fn incarnations() -> Incarnations {
    [(member_id(0), 1), (member_id(1), 2), (member_id(2), 3)].into()
}

fn noop(index: u64, term: u64) -> Entry {
    Entry { index: Index(index), term, payload: Payload::Noop }
}

fn bootstrap(index: u64) -> Entry {
    Entry { index: Index(index), term: 1, payload: Payload::Bootstrap(incarnations()) }
}

fn consistent_state() -> StoredState {
    StoredState {
        incarnation: 1,
        hard_state: HardState { term: 3, vote: None, commit: Index(2) },
        snapshot: None,
        entries: vec![bootstrap(1), noop(2, 1), noop(3, 2)],
    }
}

/// Each kind of inconsistency in the stored state prevents the start, with its own error.
#[test]
fn rejects_inconsistent_stored_state() {
    let consistent = consistent_state();
    let snapshot_at = |term, index| {
        Some(Snapshot {
            last: LogPosition { term, index },
            incarnations: incarnations(),
            data: vec![].into(),
        })
    };
    let start = |stored: StoredState| Node::new(config(0, 3), stored, Time(0), 0).map(|n| n.last_position());
    assert_eq!(start(consistent.clone()), Ok(LogPosition { term: 2, index: 3 }));
    let error_after = |change: &dyn Fn(&mut StoredState)| {
        let mut stored = consistent.clone();
        change(&mut stored);
        start(stored).unwrap_err()
    };
    assert_eq!(
        error_after(&|s| drop(s.entries.remove(1))),
        StartError::Gap { expected: Index(2), found: Index(3) }
    );
    assert_eq!(error_after(&|s| s.entries[2].term = 0), StartError::TermDecreases(Index(3)));
    assert_eq!(error_after(&|s| s.hard_state.term = 1), StartError::TermAhead);
    assert_eq!(
        error_after(&|s| s.hard_state.commit = Index(9)),
        StartError::CommitAhead { commit: Index(9), last: Index(3) }
    );
    assert_eq!(error_after(&|s| s.entries[0] = noop(1, 1)), StartError::Bootstrap(Index(1)));
    assert_eq!(error_after(&|s| s.entries[2] = bootstrap(3)), StartError::Bootstrap(Index(3)));
    assert_eq!(
        error_after(&|s| s.hard_state.vote = Some(Vote { candidate: "x".into(), incarnation: 1 })),
        StartError::Vote("x".into())
    );
    assert_eq!(
        error_after(&|s| s.snapshot = snapshot_at(1, 2)),
        StartError::Overlap { snapshot: Index(2), first: Index(1) }
    );
    let gap_after_snapshot = |s: &mut StoredState| {
        s.snapshot = snapshot_at(1, 2);
        s.entries = vec![noop(4, 2)];
    };
    assert_eq!(error_after(&gap_after_snapshot), StartError::Gap { expected: Index(3), found: Index(4) });
    assert_eq!(error_after(&|s| s.snapshot = snapshot_at(0, 2)), StartError::Snapshot);
    let mut config_without_member = config(0, 3);
    config_without_member.members.pop();
    assert_eq!(
        Node::new(config_without_member, consistent.clone(), Time(0), 0).map(|n| n.last_position()),
        Err(StartError::OtherMembers)
    );
    assert!(error_after(&|s| s.hard_state.term = 1).to_string().contains("later term"));
}
