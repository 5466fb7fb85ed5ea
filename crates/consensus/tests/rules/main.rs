//! Each rule by itself, in the case that it is there for.
#![allow(clippy::unwrap_used, clippy::panic)]
mod cluster;
mod incarnations;
mod random_messages;
mod storage;

use cluster::{name, Trio};
use consensus::{Action, Event, Message, Outcome, Payload, Position, Why};

/// Guards a lease: the one whose word it rests on forgets it by a restart, while another has not heard the leader for long.
#[test]
fn restarted_follower_waits() {
    let mut trio = Trio::led(3);
    trio.part(0, &[1]);
    trio.run(599);
    assert_eq!(trio.leased(), [0]);
    trio.part(0, &[2]);
    trio.restart(2, None);
    let mut both = 0;
    trio.watch(2_000, |t| both += usize::from(t.leased().len() > 1));
    assert!(both == 0 && trio.leased().len() == 1 && trio.leased() != [0]);
}

/// Guards a lease: who hears the leader does not vote, though another asks with good reason.
#[test]
fn follower_that_hears_refuses() {
    let mut trio = Trio::led(3);
    trio.part(0, &[1]);
    trio.watch(5_000, |t| assert_eq!(t.leased(), [0]));
    assert!(trio.node(2).counts().leased > 0);
}

/// Guards against a member that was away and comes back with a higher term.
#[test]
fn return_disturbs_nobody() {
    let mut trio = Trio::led(5);
    let term = trio.node(0).role().1;
    trio.part(4, &[0, 1, 2, 3]);
    trio.run(5_000);
    trio.cut.clear();
    trio.watch(2_000, |t| assert!(t.leads(0)));
    assert_eq!(trio.node(4).role().1, term);
}

/// A leader without a quorum steps down, says so to those who wait, and holds no lease.
#[test]
fn alone_it_steps_down() {
    let mut trio = Trio::led(3);
    trio.part(0, &[1, 2]);
    trio.propose(0, 7);
    trio.give(0, Event::Barrier { ticket: 8 });
    // An answer to an earlier round confirms nothing.
    let late = Message::Appended { term: 1, round: 1, counts: true, outcome: Outcome::Match(2) };
    trio.say(1, 2, 0, late);
    assert!(!trio.told.iter().any(|(_, a)| matches!(a, Action::Readable { .. })));
    trio.run(300);
    assert!(trio.leads(0) && !trio.leased().contains(&0));
    trio.run(500);
    assert!(!trio.leads(0));
    for ticket in [7, 8] {
        assert!(trio.told.contains(&(0, Action::Refused { ticket, why: Why::Lost })));
    }
}

/// Guards against figure 8 of the paper: an entry of an old term that a quorum has may still be overwritten.
#[test]
fn old_terms_are_not_counted() {
    let mut trio = Trio::led(5);
    trio.part(0, &[1, 2, 3, 4]);
    trio.propose(0, 1);
    let old = trio.node(0).last();
    // It is alone with what others say to it, and leads again.
    trio.nodes[1..].fill(None);
    trio.restart(0, None);
    trio.run(700);
    let votes = |t: &mut Trio, term, pre| {
        for from in [2, 3] {
            let message = Message::Voted { term, pre, granted: true, to: 1 };
            t.say(from, from as u64 + 1, 0, message);
        }
    };
    votes(&mut trio, old.term + 1, true);
    votes(&mut trio, old.term + 1, false);
    assert!(trio.leads(0));
    let acks = |t: &mut Trio, upto| {
        for from in [2, 3] {
            let outcome = Outcome::Match(upto);
            let message = Message::Appended { term: old.term + 1, round: 0, counts: true, outcome };
            t.say(from, from as u64 + 1, 0, message);
        }
    };
    acks(&mut trio, old.index);
    assert!(trio.node(0).commit().0 < old.index);
    acks(&mut trio, old.index + 1);
    assert_eq!(trio.node(0).commit().0, old.index + 1);
}

/// A barrier is answered after a round, with all that was committed before it.
#[test]
fn barrier_takes_a_round() {
    let mut trio = Trio::led(3);
    trio.propose(0, 1);
    trio.run(10);
    trio.give(0, Event::Barrier { ticket: 2 });
    trio.give(1, Event::Barrier { ticket: 3 });
    let readable = Action::Readable { ticket: 2, index: trio.node(0).commit() };
    assert!(!trio.told.contains(&(0, readable.clone())));
    trio.run(3);
    assert!(trio.told.contains(&(0, readable)));
    let why = Why::NotLeader(Some(name(0)));
    assert!(trio.told.contains(&(1, Action::Refused { ticket: 3, why })));
}

/// Bounds refuse, and answer each proposal once.
#[test]
fn bounds_refuse() {
    let mut trio = Trio::led(3);
    trio.part(0, &[1, 2]);
    (1..=6).for_each(|ticket| trio.propose(0, ticket));
    let data = vec![0; trio.config.batch_bytes].into();
    trio.give(0, Event::Propose { ticket: 9, data });
    trio.propose(1, 10);
    for (who, ticket, why) in
        [(0, 5, Why::Full), (0, 6, Why::Full), (0, 9, Why::Large), (1, 10, Why::NotLeader(Some(name(0))))]
    {
        assert!(trio.told.contains(&(who, Action::Refused { ticket, why })));
    }
    trio.cut.clear();
    trio.run(100);
    assert!((1..=4).all(|ticket| trio.committed(ticket)));
    assert_eq!(trio.told.iter().filter(|(_, a)| matches!(a, Action::Refused { .. })).count(), 4);
}

/// What no member would say changes nothing.
#[test]
fn nonsense_is_counted() {
    let mut trio = Trio::led(3);
    let before = (trio.node(1).last(), trio.node(1).commit(), trio.stored[1].clone());
    let prev = trio.node(1).last();
    let entry = |index, term, payload| consensus::Entry { index: cluster_types::Index(index), term, payload };
    let stranger = Payload::Readmit { member: "x".into(), life: 9 };
    let bad = [
        vec![entry(9, 1, Payload::Noop)],
        vec![entry(3, 0, Payload::Noop)],
        vec![entry(3, 9, Payload::Noop)],
        vec![entry(3, 1, stranger)],
        vec![entry(3, 1, Payload::Founding(Default::default()))],
    ];
    let count = bad.len() as u64;
    for entries in bad {
        trio.say(0, 1, 1, Message::Append { term: 1, prev, entries, commit: 99, round: 1 });
    }
    let rewritten = Position { term: 7, index: 2 };
    trio.say(0, 1, 1, Message::Append { term: 8, prev: rewritten, entries: vec![], commit: 2, round: 1 });
    trio.say(1, 2, 1, Message::Vote { term: 99, last: rewritten });
    assert_eq!(trio.node(1).counts().malformed, count + 1);
    assert_eq!(trio.node(1).counts().foreign, 1);
    assert_eq!((trio.node(1).last(), trio.node(1).commit(), trio.stored[1].clone()), before);
}
