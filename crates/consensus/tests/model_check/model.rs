//! The steps that may happen next, within a budget.
use crate::group::Group;
use consensus::Role;
use stateright::{Model, Property};

/// How often each kind of step happens in all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Budget {
    pub timeouts: u32,
    pub heartbeats: u32,
    pub crashes: u32,
    pub losses: u32,
    pub proposals: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Deliver(usize),
    /// The message is handled and answered, and nothing of it reaches the disk.
    DeliverAndDie(usize),
    Persist(usize),
    Timeout(usize),
    Heartbeat(usize),
    Propose(usize),
    Crash {
        nth: usize,
        written: usize,
    },
    Lose(usize),
}

pub struct Search {
    pub from: Group,
    pub budget: Budget,
}

impl Model for Search {
    type State = Group;
    type Action = Step;

    fn init_states(&self) -> Vec<Group> {
        vec![self.from.clone()]
    }

    fn actions(&self, state: &Group, actions: &mut Vec<Step>) {
        actions.extend((0..state.network.len()).map(Step::Deliver));
        if state.writes_at_once && state.spent.crashes < self.budget.crashes {
            actions.extend((0..state.network.len()).map(Step::DeliverAndDie));
        }
        for (nth, node) in state.nodes.iter().enumerate() {
            let (most, spent) = (&self.budget, &state.spent);
            if !state.queues[nth].is_empty() {
                actions.push(Step::Persist(nth));
            }
            if spent.timeouts < most.timeouts {
                actions.push(Step::Timeout(nth));
            }
            if spent.crashes < most.crashes && !state.writes_at_once {
                actions.extend((0..=state.queues[nth].len()).map(|written| Step::Crash { nth, written }));
            }
            if spent.losses < most.losses {
                actions.push(Step::Lose(nth));
            }
            if node.role() == Role::Leader && spent.proposals < most.proposals {
                actions.push(Step::Propose(nth));
            }
            if node.role() == Role::Leader && spent.heartbeats < most.heartbeats {
                actions.push(Step::Heartbeat(nth));
            }
        }
    }

    fn next_state(&self, last: &Group, step: Step) -> Option<Group> {
        let mut next = last.clone();
        match step {
            Step::Deliver(place) => next.deliver(place),
            Step::DeliverAndDie(place) => {
                next.spent.crashes += 1;
                next.deliver_and_die(place);
            }
            Step::Persist(nth) => next.persist(nth),
            Step::Timeout(nth) => {
                next.spent.timeouts += 1;
                next.timeout(nth);
            }
            Step::Heartbeat(nth) => {
                next.spent.heartbeats += 1;
                next.heartbeat(nth);
            }
            Step::Propose(nth) => {
                next.spent.proposals += 1;
                next.propose(nth);
            }
            Step::Crash { nth, written } => {
                next.spent.crashes += 1;
                next.crash(nth, written, false);
            }
            Step::Lose(nth) => {
                next.spent.losses += 1;
                next.crash(nth, 0, true);
            }
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always("safe", |_, state: &Group| state.violation.is_none())]
    }
}
