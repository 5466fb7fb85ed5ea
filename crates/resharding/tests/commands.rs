//! Words that come late or twice change nothing.
#![allow(clippy::unwrap_used)]
use cluster_types::{BlockRange, Index, MemberId, Volume};
use resharding::*;

struct Log(Moves, u64);

impl Log {
    fn say(&mut self, by: &str, command: Command) -> Index {
        self.1 += 1;
        self.0.apply(Index(self.1), 0, &MemberId::from(by), &command);
        Index(self.1)
    }

    /// Guards against a late word that is taken.
    fn ignores(&mut self, by: &str, command: Command) {
        let before =
            (self.0.active.clone(), self.0.placement.clone(), self.0.present.clone(), self.0.ignored);
        self.say(by, command.clone());
        let after =
            (self.0.active.clone(), self.0.placement.clone(), self.0.present.clone(), self.0.ignored - 1);
        assert_eq!(before, after, "{command:?}");
    }
}

#[test]
fn late_and_doubled_words_are_ignored() {
    let all = BlockRange { first: 0, end: 8 };
    let mut log = Log(Moves::new(), 0);
    log.say("a", Command::Present { life: 1 });
    log.say("b", Command::Present { life: 1 });
    log.say("a", Command::Adopt { volume: Volume::from("v"), ranges: vec![(all, "x".into())] });
    log.ignores("a", Command::Adopt { volume: Volume::from("v"), ranges: vec![(all, "y".into())] });
    let (volume, from, to) = (Volume::from("v"), "x".into(), "y".into());
    let steps = vec![Step { id: 1, volume, blocks: all, from, to, after: vec![], why: String::new() }];
    log.say("a", Command::Replace { plan: "p".into(), steps, bounds: Bounds::default() });
    let id = log.say("a", Command::Begin { step: 1 });
    log.ignores("a", Command::Begin { step: 1 });
    // A process that is gone said this; the one after it does not know that it did.
    log.say("b", Command::Present { life: 2 });
    log.ignores("b", Command::Ready { id, life: 1, after: Index(0) });
    log.ignores("b", Command::Present { life: 1 });
    log.ignores("b", Command::Left { life: 1 });
    log.say("a", Command::Ready { id, life: 1, after: Index(0) });
    log.say("b", Command::Ready { id, life: 2, after: Index(0) });
    let number = log.say("a", Command::Assign { id, mover: "a".into() });
    log.ignores("a", Command::Assign { id, mover: "b".into() });
    let parts = vec![(all, Index(99))];
    log.ignores("b", Command::Copied { id, number, parts: parts.clone() });
    log.ignores("a", Command::Copied { id, number: Index(1), parts: parts.clone() });
    let judged = log.say("a", Command::Away { member: "a".into(), life: 1 });
    // Doubled on its way: said before it was judged away.
    log.ignores("a", Command::Ready { id, life: 1, after: Index(0) });
    log.ignores("a", Command::Copied { id, number, parts: parts.clone() });
    log.ignores("a", Command::Dirty { id, life: 1, number: 1, marks: vec![all] });
    let again = log.say("a", Command::Assign { id, mover: "b".into() });
    log.say("b", Command::Copied { id, number: again, parts });
    log.ignores("x", Command::Freeze { id });
    assert!(log.0.tell()[0].waits[0].contains("a copied and was lost"));
    log.say("a", Command::Ready { id, life: 1, after: judged });
    assert_eq!(log.0.active[&id].todo.len(), 8, "a late copy may have run over it");
    log.ignores("a", Command::Moved { id, life: 1 });
    log.ignores("a", Command::Released { id });
    log.ignores("a", Command::Quiet { id, freeze: Index(3), life: 1, number: 9, marks: vec![] });
    assert!(log.0.apply(Index(3), 0, &"a".into(), &Command::Cancel { id }).is_empty());
}
