//! All interleavings at small size: two wishes over three boxes, two proposers that know the log up to different places, two
//! fronts. What one proposes may reach the log any time later.
#![allow(clippy::unwrap_used, clippy::panic)]
mod kit;

use cluster_types::Index;
use kit::law::Law;
use kit::*;
use maintenance::{Command, Desk, Effect, Rules, View};
use std::collections::BTreeSet;
use std::rc::Rc;

/// `EXPLORE_DEPTH=9` is 100 000 states.
const DEPTH: usize = 7;

#[derive(Clone)]
struct State {
    desk: Rc<Desk>,
    law: Law,
    /// What each proposer knows, and what it has proposed that has not reached the log yet.
    proposers: [(Rc<Desk>, Option<Command>); 2],
}

struct Explorer {
    view: View,
    rules: Rules,
    seen: BTreeSet<Vec<u8>>,
    free: usize,
    ended: usize,
}

impl Explorer {
    fn apply(&mut self, state: &State, by: &str, command: &Command) -> Option<State> {
        let (mut desk, mut law) = (Desk::clone(&state.desk), state.law.clone());
        let index = Index(state.desk.applied().0 + 1);
        let effects = desk.apply(index, 1000, &front(by), command);
        law.check(&self.view, &self.rules, (&state.desk, &desk), (by, command), &effects);
        self.free += effects.iter().filter(|e| matches!(e, Effect::Free { .. })).count();
        self.ended += effects.iter().filter(|e| matches!(e, Effect::Ended(_))).count();
        // What is refused changes nothing but counts: there is nothing new behind it.
        let refused = effects.iter().any(|e| matches!(e, Effect::Refused { .. }));
        (!refused).then(|| State { desk: Rc::new(desk), law, proposers: state.proposers.clone() })
    }

    fn next(&mut self, state: &State) -> Vec<State> {
        let mut out = Vec::new();
        for n in 0..2 {
            let (known, proposed) = &state.proposers[n];
            if known.applied() != state.desk.applied() {
                let mut next = state.clone();
                next.proposers[n].0 = state.desk.clone();
                out.push(next);
            }
            if let Some(command) = proposed {
                let reached = self.apply(state, "leader", command);
                out.extend(reached.map(|mut next| {
                    next.proposers[n].1 = None;
                    next
                }));
                continue;
            }
            let view = View { seen: known.applied(), ..self.view.clone() };
            out.extend(known.propose(1000, &view).into_iter().map(|command| {
                let mut next = state.clone();
                next.proposers[n].1 = Some(command);
                next
            }));
        }
        let mut commands = vec![("f1", withdraw("w1")), ("f2", done("w1")), ("f1", done("w2"))];
        for (grant, _) in state.desk.grants() {
            commands.extend(["f1", "f2"].map(|m| (m, Command::Drained { grant, member: front(m) })));
        }
        commands.push(("f1", Command::Roster { member: front("f1"), presence: present(2) }));
        out.extend(commands.iter().filter_map(|(by, c)| self.apply(state, by, c)));
        out
    }
}

#[test]
fn all_interleavings() {
    let rules = rules(2, 1, 2);
    let view = view("a1 a2 b1", &[("v", 100, "a1 b1")]);
    let mut bench = Bench::new(rules.clone(), view.clone(), "f1 f2");
    bench.run("f1", &wish("w1", "a1 b1"));
    bench.run("f2", &wish("w2", "a2 b1"));
    let mut law = Law::default();
    law.presence(&["f1", "f2"]);
    let desk = Rc::new(bench.desk);
    let known = (desk.clone(), None);
    let first = State { desk, law, proposers: [known.clone(), known] };
    let mut explorer = Explorer { view, rules, seen: BTreeSet::new(), free: 0, ended: 0 };
    let mut layer = vec![first];
    let depth = std::env::var("EXPLORE_DEPTH").ok().and_then(|d| d.parse().ok());
    for _ in 0..depth.unwrap_or(DEPTH) {
        let mut next = Vec::new();
        for state in &layer {
            for state in explorer.next(state) {
                let parts = (&state.desk, &state.proposers);
                if explorer.seen.insert(postcard::to_stdvec(&parts).unwrap()) {
                    next.push(state);
                }
            }
        }
        layer = next;
    }
    println!("{} states, {} told to open, {} ended", explorer.seen.len(), explorer.free, explorer.ended);
    assert!(explorer.seen.len() > 1000 && explorer.free > 0 && explorer.ended > 0);
}
