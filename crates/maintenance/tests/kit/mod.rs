//! A small fleet and a log of one, for tests.
#![allow(dead_code)]
use cluster_types::{BackendId, Index, MemberId};
use maintenance::{BoxFact, Command, Desk, Effect, Presence, Rules, View, VolumeFact};
use std::collections::{BTreeMap, BTreeSet};

pub mod law;

pub fn set(names: &str) -> BTreeSet<BackendId> {
    names.split_whitespace().map(BackendId::from).collect()
}

pub fn id(name: &str) -> BackendId {
    name.into()
}

pub fn front(name: &str) -> MemberId {
    name.into()
}

pub fn rules(out: u32, out_hall: u32, out_volume: u32) -> Rules {
    Rules { out, out_hall, out_volume, stages: vec![300, 1000], stage_ms: 1000, ..Rules::default() }
}

/// Boxes, each in the hall that its first letter names.
pub fn view(boxes: &str, volumes: &[(&str, u64, &str)]) -> View {
    let fact = |b: &BackendId| BoxFact { hall: b.0[..1].into(), listed: true, ..BoxFact::default() };
    let boxes = set(boxes).iter().map(|b| (b.clone(), fact(b))).collect();
    let carry = |names: &str| set(names).into_iter().map(|b| (b, 100)).collect();
    let volumes = volumes
        .iter()
        .map(|(v, reserved, names)| ((*v).into(), VolumeFact { reserved: *reserved, boxes: carry(names) }));
    View { whole: true, boxes, volumes: volumes.collect(), ..View::default() }
}

pub fn wish(name: &str, boxes: &str) -> Command {
    Command::Wish { name: name.into(), boxes: set(boxes), work_ms: 60_000, by_ms: None, together: false }
}

/// The wish, with another deadline.
pub fn by(mut wish: Command, at: u64) -> Command {
    if let Command::Wish { by_ms, .. } = &mut wish {
        *by_ms = Some(at);
    }
    wish
}

pub fn together(mut wish: Command) -> Command {
    if let Command::Wish { together, .. } = &mut wish {
        *together = true;
    }
    wish
}

pub fn done(name: &str) -> Command {
    Command::Done { name: name.into() }
}

pub fn withdraw(name: &str) -> Command {
    Command::Withdraw { name: name.into() }
}

pub fn present(life: u64) -> Presence {
    Presence::Present { life }
}

/// A desk, and a leader that proposes to it.
#[derive(Clone)]
pub struct Bench {
    pub desk: Desk,
    pub view: View,
    pub at_ms: u64,
    pub effects: Vec<Effect>,
}

impl Bench {
    pub fn new(rules: Rules, view: View, fronts: &str) -> Bench {
        let mut bench = Bench { desk: Desk::new(Rules::default()), view, at_ms: 1000, effects: Vec::new() };
        bench.run("op", &Command::Rules(rules));
        for name in fronts.split_whitespace() {
            bench.run(name, &Command::Roster { member: front(name), presence: present(1) });
        }
        bench.lead();
        bench
    }

    pub fn run(&mut self, by: &str, command: &Command) -> Vec<Effect> {
        let index = Index(self.desk.applied().0 + 1);
        let effects = self.desk.apply(index, self.at_ms, &front(by), command);
        self.effects.extend(effects.iter().cloned());
        effects
    }

    /// Applies what the leader proposes until it has nothing to propose.
    pub fn lead(&mut self) {
        for _ in 0..200 {
            self.view.seen = self.desk.applied();
            let commands = self.desk.propose(self.at_ms, &self.view);
            if commands.is_empty() {
                return;
            }
            // What it proposes goes, but a grant that what it observed just before speaks against.
            let changed = commands.iter().any(|c| matches!(c, Command::Observe { .. }));
            commands.iter().for_each(|c| {
                let effects = self.run("leader", c);
                let refused = effects.iter().any(|e| matches!(e, Effect::Refused { .. }));
                assert!(!refused || (changed && matches!(c, Command::Grant { .. })), "{c:?}: {effects:?}");
            });
        }
        panic!("the leader never comes to rest: {:?}", self.desk.propose(self.at_ms, &self.view));
    }

    /// All fronts drain all that is granted.
    pub fn drain(&mut self) {
        let grants: Vec<Index> = self.desk.grants().map(|(n, _)| n).collect();
        let fronts: Vec<MemberId> = self.desk.present().cloned().collect();
        for (grant, member) in grants.iter().flat_map(|g| fronts.iter().map(move |m| (*g, m.clone()))) {
            self.run(&member.0.clone(), &Command::Drained { grant, member });
        }
    }

    /// All that returns passes its stages, is heard of by all fronts and is warm.
    pub fn warm(&mut self) {
        for _ in 0..4 {
            self.lead();
            let returning: Vec<_> = self.desk.returning().map(|(b, r)| (b.clone(), r.clone())).collect();
            for (id, returning) in returning {
                for member in returning.parts().into_keys() {
                    let number = returning.number();
                    self.run(&member.0.clone(), &Command::Staged { id: id.clone(), number, member });
                }
                self.view.well_ms.insert(id, 1000);
            }
        }
        self.view.well_ms.clear();
    }

    pub fn out(&self) -> BTreeMap<BackendId, String> {
        let grants = self.desk.grants();
        grants.flat_map(|(_, g)| g.boxes.iter().map(|b| (b.clone(), g.name.clone()))).collect()
    }

    pub fn is_out(&self, boxes: &str) -> bool {
        self.out().into_keys().collect::<BTreeSet<_>>() == set(boxes)
    }

    pub fn freed(&self) -> usize {
        self.effects.iter().filter(|e| matches!(e, Effect::Free { .. })).count()
    }
}
