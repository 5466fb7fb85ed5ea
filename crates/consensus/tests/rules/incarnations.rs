//! Lost disks and the founding.
use crate::cluster::{config, name, Trio};
use cluster_types::Index;
use consensus::{Message, Node, Payload, Role};

/// A store that was lost counts for nothing until the others have admitted it, then as before.
#[test]
fn readmitted_by_the_others() {
    let mut trio = Trio::led(3);
    trio.propose(0, 1);
    trio.run(20);
    trio.part(1, &[0, 2]);
    trio.restart(2, Some(30));
    trio.propose(0, 2);
    trio.run(2_000);
    // The leader and the new life are two of three, and commit nothing; without a quorum the leader gives up.
    assert!(trio.committed(1) && !trio.committed(2) && !trio.leads(0));
    trio.cut.clear();
    // It never promises anything that its disk does not entitle it to.
    trio.watch(3_000, |t| {
        let promised =
            |m: &Message| matches!(m, Message::Appended { counts: true, .. } | Message::Voted { .. });
        if t.net.iter().any(|(from, .., m)| *from == 2 && promised(m)) {
            let node = Node::new(config(2, 3), t.stored[2].clone(), t.time(), 0).unwrap();
            assert_eq!(node.lives().get(&name(2)), Some(&30));
        }
    });
    let led = (0..3).find(|n| trio.leads(*n)).unwrap();
    assert_eq!(trio.node(led).lives().get(&name(2)), Some(&30));
    // Now it counts: the other one is not needed any more.
    let away = 1 - usize::from(led != 0);
    let away = if led == 2 { 1 } else { away };
    trio.part(away, &[0, 1, 2]);
    trio.run(2_000);
    let led = (0..3).find(|n| *n != away && trio.leads(*n)).unwrap();
    trio.propose(led, 3);
    trio.run(20);
    assert!(trio.committed(3));
}

/// Two of five at once leave a quorum, and both come back.
#[test]
fn two_of_five() {
    let mut trio = Trio::led(5);
    trio.restart(3, Some(40));
    trio.restart(4, Some(50));
    trio.run(1_000);
    trio.propose(0, 1);
    trio.run(20);
    assert!(trio.committed(1));
    let lives = trio.node(1).lives();
    assert_eq!((lives.get(&name(3)), lives.get(&name(4))), (Some(&40), Some(&50)));
    trio.part(0, &[1, 2, 3, 4]);
    trio.part(1, &[2, 3, 4]);
    trio.run(3_000);
    assert!((2..5).any(|n| trio.leads(n)));
}

/// A majority of lost disks is not replaced by a new founding.
#[test]
fn majority_lost_stays_stuck() {
    let mut trio = Trio::led(3);
    trio.restart(0, Some(10));
    trio.restart(1, Some(20));
    trio.watch(10_000, |t| assert!((0..3).all(|n| t.node(n).role().0 != Role::Leader)));
    assert_eq!(trio.node(2).commit(), Index(2));
}

/// Nothing is founded before all were heard, and then once.
#[test]
fn founding_needs_all() {
    let mut trio = Trio::new(5);
    trio.part(4, &[0, 1, 2, 3]);
    trio.run(3_000);
    assert!((0..5).all(|n| trio.node(n).last().index == 0));
    trio.cut.clear();
    trio.run(1_000);
    assert!((0..5).all(|n| trio.node(n).commit() == Index(2)));
    let founded = |n: usize| trio.stored[n].entries[0].payload.clone();
    assert!(matches!(founded(0), Payload::Founding(_)) && (1..5).all(|n| founded(n) == founded(0)));
}

/// The founding is committed only once all have it: else the one without it could be founded anew with the others' new lives.
#[test]
fn founding_reaches_all() {
    let mut trio = Trio::new(3);
    for _ in 0..3_000 {
        trio.run(1);
        trio.net.retain(|(_, _, to, m)| !(*to == 2 && matches!(m, Message::Append { .. })));
        trio.propose(0, 1);
    }
    assert!(trio.stored[1].entries.len() == 1 && (0..3).all(|n| trio.node(n).commit() == Index(0)));
    trio.run(3_000);
    assert!((0..3).all(|n| trio.node(n).commit() >= Index(2)));
}

/// The founder's disk is lost when some have its founding: it is done again with its new life.
#[test]
fn founding_again() {
    let mut trio = Trio::new(3);
    while trio.stored[1].entries.is_empty() {
        trio.run(1);
        trio.net.retain(|(_, _, to, m)| !(*to == 2 && matches!(m, Message::Append { .. })));
    }
    trio.net.clear();
    trio.restart(0, Some(10));
    trio.run(2_000);
    assert!((0..3).all(|n| trio.node(n).lives().get(&name(0)) == Some(&10)));
}

/// The founding is committed and known at the founder alone, and more is committed with one other: if both lose
/// their disks, the third's uncommitted founding must not let them found again.
#[test]
fn founding_not_again() {
    let mut trio = Trio::new(3);
    while trio.node(0).commit() != Index(1) {
        trio.run(1);
    }
    trio.part(2, &[0, 1]);
    trio.propose(0, 1);
    trio.run(5);
    assert!(trio.committed(1) && trio.node(2).commit() == Index(0));
    trio.restart(0, Some(10));
    trio.restart(1, Some(20));
    trio.cut.clear();
    trio.watch(10_000, |t| assert!((0..3).all(|n| !t.leads(n))));
}

/// Votes and acknowledgements under lives that the log has not admitted are counted as nothing.
#[test]
fn foreign_lives_are_ignored() {
    let mut trio = Trio::led(3);
    trio.restart(2, Some(30));
    trio.net.clear();
    // By itself it does not vote.
    let last = trio.node(1).last();
    trio.now += 10_000;
    trio.say(1, 2, 2, Message::Vote { term: 9, last });
    assert!(trio.net.iter().all(|(from, ..)| *from != 2) && trio.node(2).counts().unadmitted > 0);
    // And were it to, nobody would count it.
    trio.part(0, &[1, 2]);
    trio.run(700);
    trio.net.clear();
    let term = trio.node(1).role().1;
    // Nor does a vote count that was given to another life of the same member.
    trio.say(2, 3, 1, Message::Voted { term: term + 1, pre: true, granted: true, to: 20 });
    trio.say(2, 30, 1, Message::Voted { term: term + 1, pre: true, granted: true, to: 2 });
    assert_eq!(trio.node(1).role().1, term);
    assert!(trio.node(1).counts().unadmitted > 0);
}
