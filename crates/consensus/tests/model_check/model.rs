//! The model's possible steps, limited by a budget.
use crate::group::Group;
use consensus::Role;
use stateright::{Model, Property};

/// How often each kind of step may happen in total.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Budget {
    pub timeouts: u32,
    pub heartbeats: u32,
    pub crashes: u32,
    pub disk_losses: u32,
    pub proposals: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Deliver(usize),
    /// The message is handled and answered, but the member crashes before anything is written to disk.
    DeliverAndCrash(usize),
    Persist(usize),
    Timeout(usize),
    Heartbeat(usize),
    Propose(usize),
    Crash {
        member: usize,
        written: usize,
    },
    LoseDisk(usize),
}

pub struct Search {
    pub initial: Group,
    pub budget: Budget,
}

impl Model for Search {
    type State = Group;
    type Action = Step;

    fn init_states(&self) -> Vec<Group> {
        vec![self.initial.clone()]
    }

    fn actions(&self, state: &Group, actions: &mut Vec<Step>) {
        actions.extend((0..state.network.len()).map(Step::Deliver));
        if state.writes_immediately && state.used.crashes < self.budget.crashes {
            actions.extend((0..state.network.len()).map(Step::DeliverAndCrash));
        }
        for (member, node) in state.nodes.iter().enumerate() {
            let (budget, used) = (&self.budget, &state.used);
            if !state.write_queues[member].is_empty() {
                actions.push(Step::Persist(member));
            }
            if used.timeouts < budget.timeouts {
                actions.push(Step::Timeout(member));
            }
            if used.crashes < budget.crashes && !state.writes_immediately {
                actions.extend(
                    (0..=state.write_queues[member].len()).map(|written| Step::Crash { member, written }),
                );
            }
            if used.disk_losses < budget.disk_losses {
                actions.push(Step::LoseDisk(member));
            }
            if node.role() == Role::Leader && used.proposals < budget.proposals {
                actions.push(Step::Propose(member));
            }
            if node.role() == Role::Leader && used.heartbeats < budget.heartbeats {
                actions.push(Step::Heartbeat(member));
            }
        }
    }

    fn next_state(&self, last: &Group, step: Step) -> Option<Group> {
        let mut next = last.clone();
        match step {
            Step::Deliver(position) => next.deliver(position),
            Step::DeliverAndCrash(position) => {
                next.used.crashes += 1;
                next.deliver_and_crash(position);
            }
            Step::Persist(member) => next.persist(member),
            Step::Timeout(member) => {
                next.used.timeouts += 1;
                next.expire_timeouts(member);
            }
            Step::Heartbeat(member) => {
                next.used.heartbeats += 1;
                next.heartbeat(member);
            }
            Step::Propose(member) => {
                next.used.proposals += 1;
                next.propose(member);
            }
            Step::Crash { member, written } => {
                next.used.crashes += 1;
                next.crash(member, written, false);
            }
            Step::LoseDisk(member) => {
                next.used.disk_losses += 1;
                next.crash(member, 0, true);
            }
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always("safe", |_, state: &Group| state.violation.is_none())]
    }
}
