//! Disks that fail, and what is read from them at a start.
use crate::cluster::{config, name, Trio};
use cluster_types::{Index, Time};
use consensus::{Action, Entry, Event, Fault, Hard, Message, Node, Payload, Position, Snapshot, Stored, Why};

/// Nothing is promised before it is on disk.
#[test]
fn held_disk_promises_nothing() {
    let mut trio = Trio::led(3);
    trio.held = [1, 2].into();
    trio.propose(0, 1);
    trio.run(200);
    assert!(!trio.committed(1));
    assert!(trio.node(1).last().index == 3 && trio.stored[1].entries.len() == 2);
    trio.held.clear();
    trio.run(100);
    assert!(trio.committed(1));
}

/// A leader counts itself only once it has written.
#[test]
fn leader_counts_itself_once_written() {
    let mut trio = Trio::led(3);
    trio.part(2, &[0, 1]);
    trio.held = [0].into();
    trio.propose(0, 1);
    trio.run(100);
    assert!(!trio.committed(1));
    trio.held.clear();
    trio.run(100);
    assert!(trio.committed(1));
}

/// A vote is given once it is on disk, and not at all where the disk has failed.
#[test]
fn votes_wait_for_the_disk() {
    let mut trio = Trio::led(3);
    trio.part(0, &[1, 2]);
    trio.now += 1_000;
    trio.held = [2].into();
    let last = trio.node(2).last();
    let voted = |t: &Trio| {
        t.net.iter().any(|(from, .., m)| *from == 2 && matches!(m, Message::Voted { granted: true, .. }))
    };
    trio.say(1, 2, 2, Message::Vote { term: 5, last });
    assert!(!voted(&trio));
    let batch = trio.queues[2].pop_front().unwrap().id;
    trio.give(2, Event::PersistFailed { batch });
    trio.say(1, 2, 2, Message::Vote { term: 6, last });
    assert!(!voted(&trio) && trio.node(2).counts().disk > 0);
    trio.held.clear();
    trio.give(2, Event::Recovered);
    trio.say(1, 2, 2, Message::Vote { term: 7, last });
    assert!(
        voted(&trio) && trio.stored[2].hard == Hard { term: 7, vote: Some((name(1), 2)), commit: Index(2) }
    );
}

/// A follower whose disk fails follows and applies, but what it says does not count; once it can write again
/// it writes all and counts.
#[test]
fn failed_disk_follows() {
    let mut trio = Trio::led(3);
    trio.held = [1].into();
    trio.propose(0, 1);
    trio.run(20);
    let batch = trio.queues[1].front().unwrap().id;
    trio.queues[1].clear();
    trio.give(1, Event::PersistFailed { batch });
    trio.propose(0, 2);
    trio.run(200);
    let applied = |t: &Trio, who: usize| {
        t.told.iter().filter(|(n, a)| *n == who && matches!(a, Action::Apply { .. })).count()
    };
    assert_eq!((applied(&trio, 1), trio.stored[1].entries.len()), (2, 2));
    trio.part(2, &[0, 1]);
    trio.propose(0, 3);
    trio.run(100);
    assert!(!trio.committed(3));
    trio.held.clear();
    trio.give(1, Event::Recovered);
    trio.run(100);
    assert!(trio.committed(3) && trio.stored[1].entries.len() == 5);
}

/// A leader whose disk fails steps down at once.
#[test]
fn failed_leader_steps_down() {
    let mut trio = Trio::led(3);
    trio.held = [0].into();
    trio.propose(0, 1);
    let batch = trio.queues[0].front().unwrap().id;
    trio.give(0, Event::PersistFailed { batch });
    assert!(!trio.leads(0));
    assert!(trio.told.contains(&(0, Action::Refused { ticket: 1, why: Why::Lost })));
    trio.propose(0, 2);
    assert!(trio.told.contains(&(0, Action::Refused { ticket: 2, why: Why::Disk })));
    trio.run(2_000);
    assert!(trio.leads(1) || trio.leads(2));
}

/// A member that is far behind is sent the snapshot in pieces.
#[test]
fn snapshot_in_pieces() {
    let mut trio = Trio::led(3);
    trio.part(2, &[0, 1]);
    for ticket in 1..=20 {
        trio.propose(0, ticket);
        trio.run(4);
        if let Some(at) =
            trio.told.iter().position(|(n, a)| *n == 0 && matches!(a, Action::WantSnapshot { .. }))
        {
            trio.told.remove(at);
            let upto = trio.node(0).commit();
            trio.give(0, Event::Snapshot { upto, data: vec![5; 100].into() });
        }
    }
    assert!(trio.committed(20) && trio.stored[0].snapshot.is_some());
    trio.cut.clear();
    trio.run(100);
    let whole = |a: &Action| matches!(a, Action::Restore { data, .. } if **data == [5; 100]);
    assert!(trio.told.iter().any(|(n, a)| *n == 2 && whole(a)));
    assert_eq!(trio.node(2).commit(), trio.node(0).commit());
    assert_eq!(trio.stored[2].snapshot, trio.stored[0].snapshot);
}

/// A disk that does not make sense is refused in plain words.
#[test]
fn stored_is_checked() {
    let lives = [(name(0), 1), (name(1), 2), (name(2), 3)].into();
    let entry = |index, term| Entry { index: Index(index), term, payload: Payload::Noop };
    let first = Entry { index: Index(1), term: 1, payload: Payload::Founding(lives) };
    let good = Stored {
        life: 1,
        hard: Hard { term: 3, vote: None, commit: Index(2) },
        snapshot: None,
        entries: vec![first.clone(), entry(2, 1), entry(3, 2)],
    };
    let lives = match &first.payload {
        Payload::Founding(lives) => lives.clone(),
        _ => unreachable!(),
    };
    let at = |term, index| {
        Some(Snapshot { at: Position { term, index }, lives: lives.clone(), data: vec![].into() })
    };
    let start = |stored: Stored| Node::new(config(0, 3), stored, Time(0), 0).map(|n| n.last());
    assert_eq!(start(good.clone()), Ok(Position { term: 2, index: 3 }));
    let with = |change: &dyn Fn(&mut Stored)| {
        let mut stored = good.clone();
        change(&mut stored);
        start(stored).unwrap_err()
    };
    assert_eq!(with(&|s| drop(s.entries.remove(1))), Fault::Gap { due: Index(2), found: Index(3) });
    assert_eq!(with(&|s| s.entries[2].term = 0), Fault::TermBack(Index(3)));
    assert_eq!(with(&|s| s.hard.term = 1), Fault::TermAhead);
    assert_eq!(with(&|s| s.hard.commit = Index(9)), Fault::CommitAhead { commit: Index(9), last: Index(3) });
    assert_eq!(with(&|s| s.entries[0] = entry(1, 1)), Fault::Founding(Index(1)));
    assert_eq!(
        with(&|s| s.entries[2] = Entry { index: Index(3), ..first.clone() }),
        Fault::Founding(Index(3))
    );
    assert_eq!(with(&|s| s.hard.vote = Some(("x".into(), 1))), Fault::Vote("x".into()));
    assert_eq!(with(&|s| s.snapshot = at(1, 2)), Fault::Overlap { snapshot: Index(2), first: Index(1) });
    let newer = |s: &mut Stored| {
        s.snapshot = at(1, 2);
        s.entries = vec![entry(4, 2)];
    };
    assert_eq!(with(&newer), Fault::Gap { due: Index(3), found: Index(4) });
    assert_eq!(with(&|s| s.snapshot = at(0, 2)), Fault::Snapshot);
    let mut few = config(0, 3);
    few.members.pop();
    assert_eq!(Node::new(few, good.clone(), Time(0), 0).map(|n| n.last()), Err(Fault::Others));
    assert!(with(&|s| s.hard.term = 1).to_string().contains("later term"));
}
