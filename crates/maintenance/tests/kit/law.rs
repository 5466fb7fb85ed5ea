//! What must hold after every entry of the log, kept by a record of its own.
use super::*;
use std::collections::btree_map::Entry;

/// What was heard so far.
#[derive(Clone, Default)]
pub struct Law {
    granted: BTreeMap<Index, BTreeSet<BackendId>>,
    reported: BTreeMap<Index, BTreeSet<MemberId>>,
    free: BTreeSet<Index>,
    present: BTreeMap<MemberId, u64>,
    /// Boxes that were taken out and are not back in.
    pub away: BTreeSet<BackendId>,
}

impl Law {
    /// These fronts were present before.
    pub fn presence(&mut self, fronts: &[&str]) {
        self.present.extend(fronts.iter().map(|m| (front(m), 1)));
    }

    /// Checks an entry. Where boxes and volumes lie does not change in these tests, nor do rules.
    pub fn check(
        &mut self,
        view: &View,
        rules: &Rules,
        desks: (&Desk, &Desk),
        entry: (&str, &Command),
        effects: &[Effect],
    ) {
        let (before, after) = desks;
        let index = after.applied();
        if !effects.iter().any(|e| matches!(e, Effect::Refused { .. })) {
            self.hear(entry.0, entry.1);
        }
        for effect in effects {
            match effect {
                Effect::Drain { grant, boxes } => {
                    assert_eq!(*grant, index, "a grant's number is its place in the log");
                    assert!(self.granted.insert(*grant, boxes.clone()).is_none());
                    self.away.extend(boxes.iter().cloned());
                    self.bounds(view, rules, &before.out(), &after.out());
                    self.bounds(view, rules, &BTreeSet::new(), &self.away);
                    self.reserves(view, &before.out(), &after.out());
                }
                Effect::Free { grant, boxes, .. } => {
                    assert!(self.free.insert(*grant), "told twice");
                    assert!(boxes.is_subset(&self.granted[grant]) && boxes.is_subset(&self.away));
                    let reported = self.reported.entry(*grant).or_default();
                    let missing = self.present.keys().find(|m| !reported.contains(*m));
                    assert_eq!(missing, None, "told to open before it has drained");
                }
                Effect::In { id } => {
                    assert!(self.away.remove(id));
                }
                _ => {}
            }
        }
        let out = after.out();
        let orders = after.orders(&front("any"));
        assert!(self.away.iter().all(|b| out.contains(b) && orders.contains_key(b)), "out and not counted");
        after.returning().for_each(|(_, r)| assert!(r.most() <= 1000, "beyond the cold budget"));
        assert!(after.applied() > before.applied());
    }

    fn hear(&mut self, by: &str, command: &Command) {
        match command {
            Command::Drained { grant, member }
                if *member == front(by) && self.granted.contains_key(grant) =>
            {
                self.reported.entry(*grant).or_default().insert(member.clone());
            }
            Command::Roster { member, presence } if *member == front(by) => {
                match (presence, self.present.entry(member.clone())) {
                    (Presence::Present { life }, Entry::Vacant(e)) => {
                        e.insert(*life);
                    }
                    (Presence::Present { life }, Entry::Occupied(mut e)) if *e.get() < *life => {
                        e.insert(*life);
                        self.reported.values_mut().for_each(|r| {
                            r.remove(member);
                        });
                    }
                    (Presence::Left, Entry::Occupied(e)) => {
                        e.remove();
                    }
                    _ => {}
                }
            }
            Command::Excuse { member } => {
                self.present.remove(member);
            }
            _ => {}
        }
    }

    /// No more out than stated, but for what counted before.
    fn bounds(&self, view: &View, rules: &Rules, before: &BTreeSet<BackendId>, after: &BTreeSet<BackendId>) {
        let within = |cap: u32, lies: &dyn Fn(&BackendId) -> bool| {
            let count = |s: &BTreeSet<BackendId>| s.iter().filter(|b| lies(b)).count();
            let more = count(after) > count(before);
            assert!(count(after) <= cap as usize || !more, "{before:?} to {after:?}");
        };
        within(rules.out, &|_| true);
        view.boxes.values().for_each(|f| within(rules.out_hall, &|b| view.boxes[b].hall == f.hall));
        for volume in view.volumes.values() {
            within(rules.out_volume, &|b| volume.boxes.contains_key(b));
        }
    }

    /// No volume is left without what is reserved, but for what was so before.
    fn reserves(&self, view: &View, before: &BTreeSet<BackendId>, after: &BTreeSet<BackendId>) {
        for volume in view.volumes.values() {
            let carries = |b: &BackendId| volume.boxes.get(b).copied().unwrap_or(0);
            let left = |s: &BTreeSet<BackendId>| {
                volume.boxes.keys().filter(|b| !s.contains(*b)).map(carries).sum::<u64>()
            };
            assert!(left(after) >= volume.reserved || left(after) == left(before), "{before:?} to {after:?}");
        }
    }
}
