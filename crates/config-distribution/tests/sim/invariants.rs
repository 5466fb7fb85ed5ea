//! Invariants that hold after each step, and at the end.
use super::defect::Defect;
use super::gateway::is_marked;
use super::{Node, World};
use cluster_types::Index;
use config_distribution::{Change, Key, Put, Scope};
use std::collections::BTreeSet;
use std::time::Duration;

/// The maximum number of recorded violations.
const MAX_VIOLATIONS: usize = 2_000;
/// How long a newly connected gateway may lag.
const CATCH_UP_TIME: Duration = Duration::from_secs(5);
/// How long a relay may be without a report before it counts as silent.
const SILENCE: Duration = Duration::from_secs(5);
/// The maximum number of bytes in flight to one gateway.
const MAX_BYTES_IN_FLIGHT: usize = 256 * 1024;

impl World {
    fn violation(&mut self, violation: String) {
        let now_s = self.now.0 as f64 / 1e6;
        if self.violations.len() < MAX_VIOLATIONS {
            self.violations.push(format!("{now_s:.3} s: {violation}"));
        }
    }

    /// Checks changes before a gateway applies them: none is older than the applied value, and each matches the log.
    pub fn check_changes(&mut self, number: usize, changes: &[Change]) {
        let mut violations = vec![];
        let gateway = &self.gateways[number];
        for Change { key, version, value, .. } in changes {
            if gateway.newest_applied.get(key).is_some_and(|newest| newest > version) {
                violations.push(format!("gateway {number}: {key} goes back to {version:?}"));
            }
            if self.log.values.get(&(key.clone(), *version)) != Some(value) {
                violations.push(format!("gateway {number}: {key} at {version:?} is not what the log has"));
            }
            if !gateway.scope.contains(&key.topic) {
                violations.push(format!("gateway {number}: {key} is not in its scope"));
            }
        }
        let held = gateway.subscriber.state().len();
        if self.checks_fleet_invariants && held > self.key_count(&gateway.scope) {
            violations.push(format!("gateway {number} holds {held} keys, more than its scope has"));
        }
        violations.into_iter().for_each(|violation| self.violation(violation));
    }

    /// Checks batches after changes are applied: of each batch with an applied value, all values in the gateway's scope, or
    /// newer ones, are applied.
    pub fn check_batches(&mut self, number: usize, changes: &[Change]) {
        let versions: BTreeSet<Index> =
            changes.iter().map(|change| change.version).filter(|version| version.0 > 0).collect();
        let mut violations = vec![];
        let scope = &self.gateways[number].scope;
        for version in versions {
            let puts = self.log.entry(version).batch.puts.iter();
            for put in puts.filter(|put| scope.contains(&put.key.topic)) {
                if !self.is_applied_or_superseded(number, version, put) {
                    violations
                        .push(format!("gateway {number}: {version:?} is incomplete, {} is missing", put.key));
                }
            }
        }
        violations.into_iter().for_each(|violation| self.violation(violation));
    }

    /// Whether a value of a batch is applied at a gateway, or there is a valid reason that it is not.
    fn is_applied_or_superseded(&self, number: usize, version: Index, put: &Put) -> bool {
        let gateway = &self.gateways[number];
        let applied = gateway.applied.get(&put.key);
        if applied.is_some_and(|(applied, _)| *applied >= version) {
            return true;
        }
        let is_deleted = put.value.is_none() || self.log.is_deleted_after(&put.key, version);
        if is_deleted && applied.is_none() {
            return true;
        }
        // A newer value was rejected with its batch, and the old one was never sent.
        let writes = self.log.history.get(&put.key);
        let is_newer_rejected = writes.is_some_and(|writes| {
            writes
                .iter()
                .any(|write| write.version > version && self.is_batch_rejected(number, write.version))
        });
        gateway.rejects_marked && is_newer_rejected
    }

    /// Checks that no machine reports a complete rollout of the last version while a gateway that has been connected for
    /// longer than [`CATCH_UP_TIME`] lacks a value.
    pub fn check_rollout(&mut self) {
        if !self.checks_fleet_invariants {
            return;
        }
        let version = self.log.last_version();
        let is_expected = |number: &usize| self.served_duration(*number) > Some(CATCH_UP_TIME);
        let missing: Vec<(usize, String)> = (0..self.gateways.len())
            .filter(is_expected)
            .filter_map(|number| Some((number, self.missing_value(number)?)))
            .collect();
        if missing.is_empty() {
            return;
        }
        for machine in 0..self.machines.len() {
            let status = self.machines[machine].relay.fleet_status().rollout(self.now, version, SILENCE);
            if !status.is_complete || !self.machines[machine].is_up {
                continue;
            }
            for (number, missing) in &missing {
                self.violation(format!(
                    "machine {machine} reports a complete rollout, gateway {number} lacks {missing}"
                ));
            }
        }
    }

    /// How long a gateway has been served on its current link.
    fn served_duration(&self, number: usize) -> Option<Duration> {
        let gateway = &self.gateways[number];
        let connection = gateway.subscriber.followed_connection().filter(|_| gateway.is_up)?;
        let link = self.links.get(self.connections.get(&(Node::Gateway(number), connection))?)?;
        (!link.is_broken && link.is_open_at_server).then(|| self.now.since(link.opened_at))
    }

    /// A key whose newest value a gateway has neither applied nor rejected.
    pub fn missing_value(&self, number: usize) -> Option<String> {
        let gateway = &self.gateways[number];
        for newest in self.log.catalogue.chunk(&gateway.scope, None, usize::MAX).entries {
            let applied = gateway.applied.get(&newest.key);
            let is_applied = applied.is_some_and(|(version, value)| {
                *version == newest.version && Some(value) == newest.value.as_ref()
            });
            let is_rejected = gateway.rejects_marked && self.is_batch_rejected(number, newest.version);
            if !is_applied && !is_rejected {
                let applied = applied.map(|(version, _)| version);
                return Some(format!("{} {:?}: {applied:?}", newest.key, newest.version));
            }
        }
        let is_deleted =
            |key: &&Key| self.log.catalogue.get(key).is_none() && !self.is_deletion_rejected(number, key);
        gateway.applied.keys().find(is_deleted).map(|key| format!("the deletion of {key}"))
    }

    fn is_deletion_rejected(&self, number: usize, key: &Key) -> bool {
        let last = self.log.history.get(key).and_then(|writes| writes.last());
        self.gateways[number].rejects_marked
            && last.is_some_and(|write| write.is_deletion && self.is_batch_rejected(number, write.version))
    }

    /// Whether a gateway that rejects marked values rejects a batch.
    fn is_batch_rejected(&self, number: usize, version: Index) -> bool {
        let scope = &self.gateways[number].scope;
        let puts = &self.log.entry(version).batch.puts;
        puts.iter().any(|put| scope.contains(&put.key.topic) && is_marked(&put.value))
    }

    /// Checks that the state is exact at all nodes, after all faults have ended and time has passed.
    pub fn check_end(&mut self) {
        let version = self.log.last_version();
        for number in 0..self.gateways.len() {
            if let Some(missing) = self.missing_value(number) {
                self.violation(format!("at the end gateway {number} lacks {missing}"));
            }
            let up_to = self.gateways[number].subscriber.state().up_to();
            if up_to < version {
                self.violation(format!("at the end gateway {number} is at {up_to:?}"));
            }
        }
        for number in 0..self.machines.len() {
            let relay = &self.machines[number].relay;
            let status = relay.fleet_status().rollout(self.now, version, SILENCE);
            if relay.catalogue().applied() != version {
                self.violation(format!("at the end machine {number} is not at {version:?}"));
            }
            let is_complete_for_all = status.is_complete && status.gateways == self.gateways.len() as u32;
            if !is_complete_for_all && self.defect != Some(Defect::EarlyAcknowledgement) {
                self.violation(format!("at the end machine {number} reports {status:?}"));
            }
        }
        let in_flight = self.measurements.max_bytes_in_flight;
        if in_flight > MAX_BYTES_IN_FLIGHT {
            self.violation(format!("{in_flight} bytes were in flight to one gateway"));
        }
    }

    /// The number of keys ever written in a scope.
    fn key_count(&self, scope: &Scope) -> usize {
        self.log.history.keys().filter(|key| scope.contains(&key.topic)).count()
    }
}
