//! Commands that leaders and operators send to the log.
use super::cluster::SimulatedCluster;
use super::support::*;
use maintenance::{BackendOutcome, ClusterView, Command, MaintenanceRequest};
use rand::Rng;
use std::collections::BTreeSet;

impl SimulatedCluster {
    pub fn propose(&mut self, number: usize) {
        let (now, member) = (self.now, &mut self.members[number]);
        let steady_time = member.steady_time(now);
        member.stage_timer.update(steady_time, &member.state, &BTreeSet::new());
        let healthy_ms = member.stage_timer.healthy_ms(steady_time);
        let view = ClusterView { min_applied: member.state.applied(), healthy_ms, ..self.view.clone() };
        let commands = member.state.propose(member.unix_ms(now), &view);
        let issuer = member.name.clone();
        for command in commands {
            self.send(number, issuer.clone(), command);
        }
    }

    /// Operators repeat requests and returns of backends until these are in the log.
    pub fn call_as_operators(&mut self) {
        if !self.rng.random_bool(0.1) {
            return;
        }
        let number = self.rng.random_range(0..self.members.len());
        if !self.members[number].is_active(self.now) {
            return;
        }
        let unknown = self.submitted.iter().filter(|(name, _)| self.state.request(name).is_none());
        let mut calls: Vec<Command> = unknown.map(|(_, command)| command.clone()).collect();
        for (backend, open) in &self.open {
            let is_granted = |request: &MaintenanceRequest| {
                matches!(request.backends.get(backend), Some(BackendOutcome::Granted(_)))
            };
            if open.until <= self.now && self.state.request(&open.request).is_some_and(is_granted) {
                let name = open.request.clone();
                calls.push(Command::ReturnBackend { name, backend: backend.clone() });
            }
        }
        for command in calls {
            self.send(number, member("op"), command);
        }
    }
}
