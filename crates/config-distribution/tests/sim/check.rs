//! What has to hold after each step, and at the end.
use super::{Broken, Node, World};
use cluster_types::Index;
use config_distribution::{Change, Scope};
use std::collections::BTreeSet;
use std::time::Duration;

impl World {
    fn fault(&mut self, fault: String) {
        let now = self.now.0 as f64 / 1e6;
        if self.faults.len() < 2_000 {
            self.faults.push(format!("{now:.3} s: {fault}"));
        }
    }

    /// Before a front puts changes in force: none is older than what is, and each is as the log has it.
    pub fn check_changes(&mut self, n: usize, changes: &[Change]) {
        let mut faults = vec![];
        let front = &self.fronts[n];
        for change in changes {
            let (key, version) = (&change.key, change.version);
            if front.seen.get(key).is_some_and(|seen| *seen > version) {
                faults.push(format!("front {n}: {key} goes back to {version:?}"));
            }
            if self.log.values.get(&(key.clone(), version)) != Some(&change.value) {
                faults.push(format!("front {n}: {key} at {version:?} is not what the log has"));
            }
            if !front.scope.holds(&key.topic) {
                faults.push(format!("front {n}: {key} is not in its scope"));
            }
        }
        let held = front.subscriber.held().len();
        if self.checks && held > self.keys_of(&front.scope) {
            faults.push(format!("front {n} holds {held} keys, more than its scope has"));
        }
        faults.into_iter().for_each(|f| self.fault(f));
    }

    /// After it: of each order that one value of is in force all are that concern the front, unless there is newer.
    pub fn check_orders(&mut self, n: usize, changes: &[Change]) {
        let versions: BTreeSet<Index> = changes.iter().map(|c| c.version).filter(|v| v.0 > 0).collect();
        let mut faults = vec![];
        let front = &self.fronts[n];
        for version in versions {
            for put in self.log.order(version).1.puts.iter().filter(|p| front.scope.holds(&p.key.topic)) {
                let there = front.force.get(&put.key).is_some_and(|(v, _)| *v >= version);
                let gone = put.value.is_none() && !front.force.contains_key(&put.key)
                    || self.log.withdrawn_after(&put.key, version) && !front.force.contains_key(&put.key);
                // The newer one fell, with its order; the old one was never sent.
                let story = self.log.story.get(&put.key);
                let refused = front.refuses
                    && story.is_some_and(|s| s.iter().any(|(v, _)| *v > version && self.falls(n, *v)));
                if !(there || gone || refused) {
                    faults.push(format!("front {n}: {version:?} is not whole, {} is missing", put.key));
                }
            }
        }
        faults.into_iter().for_each(|f| self.fault(f));
    }

    /// Now and then: nobody says `everywhere` while a front that has been connected for a while has not decided.
    pub fn look(&mut self) {
        if !self.checks {
            return;
        }
        let version = self.log.last();
        let late = |n: &usize| self.served_for(*n) > Some(Duration::from_secs(5));
        let missing: Vec<(usize, String)> =
            (0..self.fronts.len()).filter(late).filter_map(|n| Some((n, self.missing(n)?))).collect();
        if missing.is_empty() {
            return;
        }
        for m in 0..self.machines.len() {
            let answer = self.machines[m].relay.fleet().ask(self.now, version, Duration::from_secs(5));
            if !answer.everywhere || !self.machines[m].up {
                continue;
            }
            for (n, missing) in &missing {
                self.fault(format!("machine {m} says everywhere, front {n} has not {missing}"));
            }
        }
    }

    /// For how long a front has been served on the link that it has.
    fn served_for(&self, n: usize) -> Option<Duration> {
        let front = &self.fronts[n];
        let call = front.subscriber.follows().filter(|_| front.up)?;
        let link = self.links.get(self.calls.get(&(Node::Front(n), call))?)?;
        (!link.dead && link.open.1).then(|| self.now.since(link.born))
    }

    /// A key of which a front has not in force what is newest, and did not refuse it.
    pub fn missing(&self, n: usize) -> Option<String> {
        let front = &self.fronts[n];
        let held = |scope: &Scope| self.log.catalogue.piece(scope, None, usize::MAX).0;
        for change in held(&front.scope) {
            let force = front.force.get(&change.key);
            let same =
                force.is_some_and(|(v, value)| *v == change.version && Some(value) == change.value.as_ref());
            // A value that falls does so with all that was ordered with it.
            let fallen = front.refuses && self.falls(n, change.version);
            if !same && !fallen {
                return Some(format!("{} {:?}: {:?}", change.key, change.version, force.map(|f| f.0)));
            }
        }
        let held = |key| self.log.catalogue.get(key).is_some();
        let more = front.force.keys().find(|key| !held(key) && !self.withdrawal_falls(n, key));
        more.map(|key| format!("{key} withdrawn"))
    }

    fn withdrawal_falls(&self, n: usize, key: &config_distribution::Key) -> bool {
        let last = self.log.story.get(key).and_then(|s| s.last());
        self.fronts[n].refuses && last.is_some_and(|(v, gone)| *gone && self.falls(n, *v))
    }

    fn falls(&self, n: usize, version: Index) -> bool {
        let front = &self.fronts[n];
        let marked = |v: &Option<std::sync::Arc<[u8]>>| {
            v.as_ref().is_some_and(|v| v.first() == Some(&super::log::REFUSED))
        };
        let puts = &self.log.order(version).1.puts;
        puts.iter().any(|p| front.scope.holds(&p.key.topic) && marked(&p.value))
    }

    /// All is healed, and time has passed: everything is exact.
    pub fn check_end(&mut self) {
        let version = self.log.last();
        for n in 0..self.fronts.len() {
            if let Some(missing) = self.missing(n) {
                self.fault(format!("at the end front {n} lacks {missing}"));
            }
            if self.fronts[n].subscriber.held().upto() < version {
                self.fault(format!(
                    "at the end front {n} is at {:?}",
                    self.fronts[n].subscriber.held().upto()
                ));
            }
        }
        for m in 0..self.machines.len() {
            if self.machines[m].relay.catalogue().applied() != version {
                self.fault(format!("at the end machine {m} is not at {version:?}"));
            }
            let answer = self.machines[m].relay.fleet().ask(self.now, version, Duration::from_secs(5));
            if (!answer.everywhere || answer.fronts != self.fronts.len() as u32)
                && self.broken != Some(Broken::Early)
            {
                self.fault(format!("at the end machine {m} says {answer:?}"));
            }
        }
        if self.seen.flight > 256 * 1024 {
            self.fault(format!("{} bytes were on their way to one front", self.seen.flight));
        }
    }

    /// How many keys a scope may have.
    pub fn keys_of(&self, scope: &Scope) -> usize {
        self.log.story.keys().filter(|key| scope.holds(&key.topic)).count()
    }
}
