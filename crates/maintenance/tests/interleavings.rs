//! Explores all interleavings of a small cluster: two requests for three backends, two proposers that have applied the
//! log up to different indices, and two members. A proposed command may reach the log at any later time.
#![allow(clippy::unwrap_used, clippy::panic)]
mod support;

use cluster_types::Index;
use maintenance::{ClusterView, Command, Effect, MaintenanceState, Rules};
use std::collections::BTreeSet;
use std::rc::Rc;
use support::invariants::{InvariantChecker, Transition};
use support::*;

/// The number of steps to explore; `EXPLORE_DEPTH=9` visits 100 000 states.
const DEPTH: usize = 7;
const NOW_MS: u64 = 1000;

#[derive(Clone)]
struct Node {
    state: Rc<MaintenanceState>,
    checker: InvariantChecker,
    /// The state that each proposer knows, and its proposed command that is not in the log yet.
    proposers: [(Rc<MaintenanceState>, Option<Command>); 2],
}

struct Explorer {
    view: ClusterView,
    rules: Rules,
    visited: BTreeSet<Vec<u8>>,
    drained_count: usize,
    ended_count: usize,
}

impl Explorer {
    /// The node after a command. A rejected command only changes a counter, so that it leads to no new node.
    fn apply(&mut self, node: &Node, issuer: &str, command: &Command) -> Option<Node> {
        let (mut state, mut checker) = (MaintenanceState::clone(&node.state), node.checker.clone());
        let index = Index(node.state.applied().0 + 1);
        let effects = state.apply(index, NOW_MS, &member(issuer), command);
        let transition =
            Transition { before: &node.state, after: &state, issuer, command, effects: &effects };
        checker.check(&self.view, &self.rules, &transition);
        self.drained_count +=
            effects.iter().filter(|effect| matches!(effect, Effect::Drained { .. })).count();
        self.ended_count += effects.iter().filter(|effect| matches!(effect, Effect::RequestEnded(_))).count();
        if is_rejected(&effects) {
            return None;
        }
        Some(Node { state: Rc::new(state), checker, proposers: node.proposers.clone() })
    }

    fn successors(&mut self, node: &Node) -> Vec<Node> {
        let mut successors = Vec::new();
        for proposer in 0..2 {
            let (known, proposed) = &node.proposers[proposer];
            if known.applied() != node.state.applied() {
                let mut next = node.clone();
                next.proposers[proposer].0 = node.state.clone();
                successors.push(next);
            }
            if let Some(command) = proposed {
                let next = self.apply(node, "leader", command);
                successors.extend(next.map(|mut next| {
                    next.proposers[proposer].1 = None;
                    next
                }));
                continue;
            }
            let view = ClusterView { min_applied: known.applied(), ..self.view.clone() };
            successors.extend(known.propose(NOW_MS, &view).into_iter().map(|command| {
                let mut next = node.clone();
                next.proposers[proposer].1 = Some(command);
                next
            }));
        }
        let mut commands = vec![("f1", withdraw("w1")), ("f2", finish("w1")), ("f1", finish("w2"))];
        for (grant, _) in node.state.grants() {
            commands.extend(["f1", "f2"].map(|name| {
                let member = member(name);
                (name, Command::ReportDrained { grant, member })
            }));
        }
        commands.push(("f1", set_presence("f1", present(2))));
        successors.extend(commands.iter().filter_map(|(issuer, command)| self.apply(node, issuer, command)));
        successors
    }
}

#[test]
fn invariants_hold_in_all_interleavings() {
    let rules = rules(2, 1, 2);
    let view = view("a1 a2 b1", &[("v", 100, "a1 b1")]);
    let mut harness = Harness::new(rules.clone(), view.clone(), "f1 f2");
    harness.run("f1", &request("w1", "a1 b1"));
    harness.run("f2", &request("w2", "a2 b1"));
    let mut checker = InvariantChecker::default();
    checker.set_present(&["f1", "f2"]);
    let state = Rc::new(harness.state);
    let proposer = (state.clone(), None);
    let initial_node = Node { state, checker, proposers: [proposer.clone(), proposer] };
    let mut explorer = Explorer { view, rules, visited: BTreeSet::new(), drained_count: 0, ended_count: 0 };
    let mut layer = vec![initial_node];
    let depth = std::env::var("EXPLORE_DEPTH").ok().and_then(|depth| depth.parse().ok());
    for _ in 0..depth.unwrap_or(DEPTH) {
        let mut next_layer = Vec::new();
        for node in &layer {
            for next in explorer.successors(node) {
                let identity = (&next.state, &next.proposers);
                if explorer.visited.insert(postcard::to_stdvec(&identity).unwrap()) {
                    next_layer.push(next);
                }
            }
        }
        layer = next_layer;
    }
    let Explorer { visited, drained_count, ended_count, .. } = explorer;
    println!("{} states, {drained_count} drained, {ended_count} ended", visited.len());
    assert!(visited.len() > 1000 && drained_count > 0 && ended_count > 0);
}
