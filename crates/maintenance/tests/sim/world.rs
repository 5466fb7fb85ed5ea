//! The simulated world: an idealised log that splits and delays, boxes that die and warm up, operators that insist.
use super::kit::law::Law;
use super::kit::*;
use super::member::Member;
use cluster_types::{BackendId, Index, MemberId};
use maintenance::{Command, Desk, Effect, Event, Fate, Presence, Rules, View};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub const BOXES: &str = "a1 a2 a3 b1 b2 b3 c1 c2 c3";
const STEP: u64 = 10;
const LEASE: u64 = 800;

pub struct World {
    pub rng: SmallRng,
    pub now: u64,
    pub members: Vec<Member>,
    pub desk: Desk,
    log: Vec<(Index, u64, MemberId, Command)>,
    flying: Vec<(u64, usize, u64, MemberId, Command)>,
    law: Law,
    rules: Rules,
    pub view: View,
    /// When a box that came back is warm.
    warm: BTreeMap<BackendId, u64>,
    /// Boxes of which operators were told "open it", and when they will have put them back.
    pub opened: BTreeMap<BackendId, (String, u64)>,
    pub wished: BTreeMap<String, Command>,
    pub most: usize,
    pub trouble: bool,
    pub told: usize,
}

impl World {
    pub fn new(seed: u64) -> World {
        let mut rng = SmallRng::seed_from_u64(seed);
        let rules = Rules { stage_ms: 500, ..rules(3, 2, 2) };
        let view = view(BOXES, &[("v", 100, "a1 b1 c1"), ("w", 100, "a2 b2 c2"), ("x", 200, "a3 b3 c3")]);
        let desk = Desk::new(Rules::default());
        let members = (1..=5).map(|n| Member::new(n, &mut rng, &desk)).collect();
        let mut world = World {
            rng,
            now: 0,
            members,
            desk,
            log: Vec::new(),
            flying: Vec::new(),
            law: Law::default(),
            rules: rules.clone(),
            view,
            warm: BTreeMap::new(),
            opened: BTreeMap::new(),
            wished: BTreeMap::new(),
            most: 0,
            trouble: true,
            told: 0,
        };
        world.commit(1_000_000, front("op"), Command::Rules(rules));
        world
    }

    /// Whether a member is on the side that has the log's quorum.
    fn linked(&self, n: usize) -> bool {
        let side = self.members.iter().filter(|m| m.group == self.members[n].group).count();
        side * 2 > self.members.len()
    }

    fn commit(&mut self, at_ms: u64, by: MemberId, command: Command) {
        let index = Index(self.desk.applied().0 + 1);
        let before = self.desk.clone();
        let effects = self.desk.apply(index, at_ms, &by, &command);
        self.law.check(&self.view, &self.rules, (&before, &self.desk), (&by.0, &command), &effects);
        for effect in &effects {
            match effect {
                Effect::Free { boxes, name, .. } => {
                    let present: BTreeSet<&MemberId> = self.desk.present().collect();
                    for (id, member) in boxes.iter().flat_map(|b| self.members.iter().map(move |m| (b, m))) {
                        let quiet = !present.contains(&member.name) || member.quiet(self.now, id);
                        assert!(quiet, "{id} is told as free, and {} still sends", member.name);
                    }
                    let until = self.now + self.rng.random_range(100..3000);
                    self.opened.extend(boxes.iter().map(|b| (b.clone(), (name.clone(), until))));
                    self.told += 1;
                }
                Effect::Return { id, .. } => {
                    self.opened.remove(id);
                    self.view.boxes.entry(id.clone()).and_modify(|f| f.cold = true);
                    self.warm.insert(id.clone(), self.now + 1500);
                }
                _ => {}
            }
        }
        self.most = self.most.max(self.desk.grants().map(|(_, g)| g.boxes.len()).sum());
        self.log.push((index, at_ms, by, command));
    }

    /// Sends words to the log; they may be lost, and come late.
    fn send(&mut self, n: usize, by: MemberId, command: Command) {
        let due = self.now + self.rng.random_range(0..if self.trouble { 400 } else { 30 });
        if !(self.trouble && self.rng.random_bool(0.1)) {
            let at_ms = self.members[n].unix(self.now);
            self.flying.push((due, n, at_ms, by, command));
        }
    }

    pub fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let warm = self.warm.iter().filter(|(_, at)| **at <= now).map(|(id, _)| id.clone());
        for id in warm.collect::<Vec<_>>() {
            self.warm.remove(&id);
            self.view.boxes.entry(id).and_modify(|f| f.cold = false);
        }
        let flying = std::mem::take(&mut self.flying);
        for (due, n, at_ms, by, command) in flying {
            if due > now {
                self.flying.push((due, n, at_ms, by, command));
            } else if self.linked(n) {
                self.commit(at_ms, by, command);
            }
        }
        let boxes: Vec<BackendId> = self.view.boxes.keys().cloned().collect();
        let leader = (0..5).find(|n| self.linked(*n) && self.members[*n].runs(now));
        for n in 0..self.members.len() {
            if !self.members[n].runs(now) {
                continue;
            }
            if self.linked(n) {
                while self.rng.random_bool(0.6) {
                    let at = self.members[n].desk.applied().0 as usize;
                    let Some(entry) = self.log.get(at).cloned() else { break };
                    self.members[n].apply(now, &entry, &mut self.rng);
                }
                if self.rng.random_bool(0.05) {
                    let until = self.members[n].steady(now) + Duration::from_millis(LEASE);
                    self.members[n].tell(now, Event::Lease { until }, &mut self.rng);
                }
            }
            for id in self.members[n].turn(now, &boxes, &mut self.rng) {
                assert!(
                    !self.opened.contains_key(&id),
                    "{} sends to {id}, which is open",
                    self.members[n].name
                );
            }
            for command in std::mem::take(&mut self.members[n].words) {
                // Its presence is said until it is known.
                if matches!(&command, Command::Roster { presence: Presence::Present { .. }, member }
                    if self.members[n].desk.seat_of(member) != Some(maintenance::Seat::Present { life: self.members[n].life }))
                {
                    self.members[n].words.push(command.clone());
                    if !self.rng.random_bool(0.05) {
                        continue;
                    }
                }
                let by = self.members[n].name.clone();
                self.send(n, by, command);
            }
            // Also one that was deposed, or never led, proposes.
            if self.rng.random_bool(if leader == Some(n) { 0.2 } else { 0.01 }) {
                self.propose(n);
            }
        }
        self.operators();
    }

    fn propose(&mut self, n: usize) {
        let (now, member) = (self.now, &mut self.members[n]);
        member.watch.look(member.steady(now), &member.desk, &BTreeSet::new());
        let well_ms = member.watch.well_ms(member.steady(now));
        let view = View { seen: member.desk.applied(), well_ms, ..self.view.clone() };
        let (commands, by) = (member.desk.propose(member.unix(now), &view), member.name.clone());
        commands.into_iter().for_each(|c| self.send(n, by.clone(), c));
    }

    /// Operators repeat a wish until it is known, and that a box is back until that is known.
    fn operators(&mut self) {
        if !self.rng.random_bool(0.1) {
            return;
        }
        let n = self.rng.random_range(0..self.members.len());
        if !self.members[n].runs(self.now) {
            return;
        }
        let mut calls: Vec<Command> = Vec::new();
        calls.extend(
            self.wished.iter().filter(|(n, _)| self.desk.wish_named(n).is_none()).map(|(_, c)| c.clone()),
        );
        for (id, (name, until)) in &self.opened {
            let out = |w: &maintenance::Wish| matches!(w.boxes.get(id), Some(Fate::Out(_)));
            if *until <= self.now && self.desk.wish_named(name).is_some_and(out) {
                calls.push(Command::Returned { name: name.clone(), id: id.clone() });
            }
        }
        calls.into_iter().for_each(|c| self.send(n, front("op"), c));
    }
}
