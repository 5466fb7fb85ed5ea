//! Invariants that are checked after every log entry, against an independent record of the events.
use super::*;
use std::collections::btree_map::Entry;

/// The application of one log entry.
pub struct Transition<'a> {
    pub before: &'a MaintenanceState,
    pub after: &'a MaintenanceState,
    pub issuer: &'a str,
    pub command: &'a Command,
    pub effects: &'a [Effect],
}

/// Records the events so far and checks the invariants. Zones, volumes' backends and rules do not change in these tests.
#[derive(Clone, Default)]
pub struct InvariantChecker {
    granted: BTreeMap<Index, BTreeSet<BackendId>>,
    reported: BTreeMap<Index, BTreeSet<MemberId>>,
    drained: BTreeSet<Index>,
    present: BTreeMap<MemberId, u64>,
    /// Backends that were granted and are not back in service.
    out: BTreeSet<BackendId>,
}

impl InvariantChecker {
    /// Records members as present from the start.
    pub fn set_present(&mut self, members: &[&str]) {
        self.present.extend(members.iter().map(|name| (member(name), 1)));
    }

    /// Checks all invariants after a log entry.
    pub fn check(&mut self, view: &ClusterView, rules: &Rules, transition: &Transition) {
        let Transition { before, after, .. } = *transition;
        if !is_rejected(transition.effects) {
            self.record(transition.issuer, transition.command);
        }
        for effect in transition.effects {
            match effect {
                Effect::Drain { grant, backends } => {
                    assert_eq!(*grant, after.applied(), "a grant is identified by its log index");
                    assert!(self.granted.insert(*grant, backends.clone()).is_none());
                    self.out.extend(backends.iter().cloned());
                    let (before, after) = (before.out_of_service(), after.out_of_service());
                    check_bounds(view, rules, &before, &after);
                    check_bounds(view, rules, &BTreeSet::new(), &self.out);
                    check_reservations(view, &before, &after);
                }
                Effect::Drained { grant, backends, .. } => self.check_drained(*grant, backends),
                Effect::InService { backend } => assert!(self.out.remove(backend)),
                _ => {}
            }
        }
        let counted = after.out_of_service();
        let orders = after.orders(&member("any"));
        let is_counted = |backend: &BackendId| counted.contains(backend) && orders.contains_key(backend);
        assert!(self.out.iter().all(is_counted), "out of service and not counted");
        for (_, recovery) in after.recoveries() {
            assert!(recovery.max_in_use() <= 1000, "beyond the cold budget");
        }
        assert!(after.applied() > before.applied());
    }

    fn check_drained(&mut self, grant: Index, backends: &BTreeSet<BackendId>) {
        assert!(self.drained.insert(grant), "reported twice");
        assert!(backends.is_subset(&self.granted[&grant]) && backends.is_subset(&self.out));
        let reported = self.reported.entry(grant).or_default();
        let missing = self.present.keys().find(|member| !reported.contains(*member));
        assert_eq!(missing, None, "reported as drained before all members had drained");
    }

    fn record(&mut self, issuer: &str, command: &Command) {
        let issuer = member(issuer);
        match command {
            Command::ReportDrained { grant, member }
                if *member == issuer && self.granted.contains_key(grant) =>
            {
                self.reported.entry(*grant).or_default().insert(member.clone());
            }
            Command::SetPresence { member, presence } if *member == issuer => {
                self.record_presence(member, *presence);
            }
            Command::DeclareDead { member } => {
                self.present.remove(member);
            }
            _ => {}
        }
    }

    fn record_presence(&mut self, member: &MemberId, presence: Presence) {
        match (presence, self.present.entry(member.clone())) {
            (Presence::Present { incarnation }, Entry::Vacant(entry)) => {
                entry.insert(incarnation);
            }
            (Presence::Present { incarnation }, Entry::Occupied(mut entry)) if *entry.get() < incarnation => {
                entry.insert(incarnation);
                for members in self.reported.values_mut() {
                    members.remove(member);
                }
            }
            (Presence::Left, Entry::Occupied(entry)) => {
                entry.remove();
            }
            _ => {}
        }
    }
}

/// Checks that the number of backends out has not grown beyond what the rules allow.
fn check_bounds(
    view: &ClusterView,
    rules: &Rules,
    before: &BTreeSet<BackendId>,
    after: &BTreeSet<BackendId>,
) {
    let check = |allowed: u32, is_under: &dyn Fn(&BackendId) -> bool| {
        let count = |out: &BTreeSet<BackendId>| out.iter().filter(|backend| is_under(backend)).count();
        let has_grown = count(after) > count(before);
        assert!(count(after) <= allowed as usize || !has_grown, "{before:?} to {after:?}");
    };
    check(rules.max_out, &|_| true);
    for facts in view.backends.values() {
        check(rules.max_out_per_zone, &|backend| view.backends[backend].zone == facts.zone);
    }
    for volume in view.volumes.values() {
        check(rules.max_out_per_volume, &|backend| volume.backends.contains_key(backend));
    }
}

/// Checks that each volume keeps its reserved capacity, unless the entry took none of its capacity out of service.
fn check_reservations(view: &ClusterView, before: &BTreeSet<BackendId>, after: &BTreeSet<BackendId>) {
    for volume in view.volumes.values() {
        let capacity = |backend: &BackendId| volume.backends.get(backend).copied().unwrap_or(0);
        let remaining = |out: &BTreeSet<BackendId>| {
            volume.backends.keys().filter(|backend| !out.contains(*backend)).map(capacity).sum::<u64>()
        };
        let is_kept = remaining(after) >= volume.reserved || remaining(after) == remaining(before);
        assert!(is_kept, "{before:?} to {after:?}");
    }
}
