//! The world of the exploration: two fronts, a prompt leader, two boxes.
use cluster_types::{BackendId, BlockRange, Index, MemberId, Time, Volume};
use resharding::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

pub const ALL: BlockRange = BlockRange { first: 0, end: 1 };

pub fn rules() -> Rules {
    let ms = Duration::from_millis;
    let (lease, drift, longest, hand_over, report) = (ms(100), ms(5), ms(20), ms(50), ms(50));
    Rules { lease, drift, longest, hand_over, report, small: 1, chunk: 1, window: 1, verify: false }
}

#[derive(Clone, Hash, PartialEq, Debug)]
pub enum Stage {
    /// Let through; the front stalls before it sends.
    Held,
    Sent,
    Executed,
}

#[derive(Clone, Hash, Debug)]
pub struct Booking {
    pub front: usize,
    pub value: u8,
    pub ticket: u64,
    pub part: Part,
    pub stage: Stage,
}

#[derive(Clone, Hash, Debug)]
pub struct Copying {
    pub front: usize,
    pub order: Order,
    pub stage: Stage,
}

#[derive(Clone, Hash)]
pub struct World {
    pub now: u64,
    pub log: Vec<(u8, Command)>,
    pub fronts: Vec<(Moves, Front, u64)>,
    pub head: Moves,
    pub lead: Leader,
    pub boxes: BTreeMap<BackendId, u8>,
    pub bookings: Vec<Booking>,
    pub copies: Vec<Copying>,
    pub kept: BTreeMap<(usize, Index, u64), u8>,
    pub began: u8,
    /// Answered bookings, each with those that were answered before it began.
    pub before: [u8; 3],
    pub answered: u8,
    pub passes: u8,
    pub kills: u8,
    pub most: u8,
    pub stalls: u8,
}

pub fn name(i: usize) -> MemberId {
    MemberId::from(["f0", "f1", "leader"][i])
}

pub fn volume() -> Volume {
    Volume::from("v")
}

impl World {
    pub fn start(bookings: u8, passes: u8, kills: u8, stalls: u8) -> World {
        let now = 1_000_000;
        let front =
            |i| (Moves::new(), Front::new(name(i), 1, rules(), Controlled::All, Arc::default(), Time(0)), 1);
        let mut world = World {
            now,
            log: vec![],
            fronts: vec![front(0), front(1)],
            head: Moves::new(),
            lead: Leader::new(rules()),
            boxes: [(BackendId::from("old"), 0), (BackendId::from("new"), 9)].into(),
            bookings: vec![],
            copies: vec![],
            kept: BTreeMap::new(),
            began: 0,
            before: [0; 3],
            answered: 0,
            passes,
            kills,
            most: bookings,
            stalls,
        };
        world.lead.lead(Time(now));
        (0..2).for_each(|i| world.append(i, Command::Present { life: 1 }));
        world.append(0, Command::Adopt { volume: volume(), ranges: vec![(ALL, "old".into())] });
        let (from, to) = ("old".into(), "new".into());
        let step = Step { id: 1, volume: volume(), blocks: ALL, from, to, after: vec![], why: String::new() };
        let bounds = Bounds { share_milli: 1000, ..Bounds::default() };
        world.append(0, Command::Replace { plan: "p".into(), steps: vec![step], bounds });
        for i in 0..2 {
            (0..4).for_each(|_| world.apply_one(i));
            world.ask(i);
        }
        world
    }

    pub fn append(&mut self, by: usize, command: Command) {
        let index = Index(self.log.len() as u64 + 1);
        self.head.apply(index, 0, &name(by), &command);
        self.log.push((by as u8, command));
    }

    /// The leader is prompt.
    pub fn prompt(&mut self) {
        loop {
            let commands = self.lead.propose(Time(self.now), &self.head, &View::default());
            if commands.is_empty() {
                return;
            }
            commands.into_iter().for_each(|c| self.append(2, c));
        }
    }

    /// Fronts are prompt as well, but for one that stalls.
    pub fn settle(&mut self) {
        self.fronts.iter_mut().for_each(|f| f.1.gate.counts = [0; 4]);
        for i in (0..2).filter(|i| !self.stalled(*i)).collect::<Vec<_>>() {
            let (commands, orders) = self.fronts[i].1.step(Time(self.now), &|_| 1_000_000);
            commands.into_iter().for_each(|c| self.append(i, c));
            self.copies.extend(orders.into_iter().map(|order| Copying {
                front: i,
                order,
                stage: Stage::Sent,
            }));
        }
        self.prompt();
    }

    pub fn apply_one(&mut self, i: usize) {
        let (moves, front, _) = &mut self.fronts[i];
        let Some((by, command)) = self.log.get(moves.applied.0 as usize) else { return };
        moves.apply(Index(moves.applied.0 + 1), 0, &name(*by as usize), command);
        front.learn(Arc::new(moves.clone()));
    }

    /// What a front may do by what it knows.
    pub fn rights(&self, i: usize) -> Option<(&'static str, Option<Standing>, Option<Index>)> {
        let m = self.fronts[i].0.active.values().next()?;
        let phase =
            if m.phase.may_go_back() && m.phase.name() != "hand over" { "open" } else { m.phase.name() };
        let mover = m.mover.as_ref().filter(|(f, _)| *f == name(i)).map(|(_, n)| *n);
        Some((phase, m.fronts.get(&name(i)).copied(), mover))
    }

    pub fn apply(&mut self, i: usize) {
        let before = self.rights(i);
        while (self.fronts[i].0.applied.0 as usize) < self.log.len() && self.rights(i) == before {
            self.apply_one(i);
        }
    }

    pub fn ask(&mut self, i: usize) {
        let (moves, front, life) = &mut self.fronts[i];
        if let Some(g) = self.lead.ask(Time(self.now), &name(i), *life, moves.applied, &self.head) {
            front.granted(Time(self.now), g.upto);
        }
    }

    pub fn stalled(&self, i: usize) -> bool {
        self.bookings.iter().any(|b| b.front == i && b.stage == Stage::Held)
            || self.copies.iter().any(|c| c.front == i && c.stage == Stage::Held)
    }

    /// All states that may come next.
    pub fn next(&self, bad: &mut Vec<String>) -> Vec<World> {
        let mut out = vec![];
        let mut with = |f: &mut dyn FnMut(&mut World)| {
            let mut world = self.clone();
            f(&mut world);
            out.push(world);
        };
        let under_way = self.bookings.iter().any(|b| b.stage != Stage::Held)
            || self.copies.iter().any(|c| c.stage != Stage::Held);
        if self.passes > 0 && !under_way {
            with(&mut |w| {
                w.passes -= 1;
                w.now += 130_000;
                w.prompt();
            });
        }
        for i in (0..2).filter(|i| !self.stalled(*i)) {
            with(&mut |w| w.apply(i));
            if self.fronts[i].1.gate.lease() < Time(self.now + 50_000) {
                with(&mut |w| w.ask(i));
            }
            if (self.began as usize) == i && self.began < self.most {
                for stage in [Stage::Sent, Stage::Held] {
                    with(&mut |w| {
                        if stage == Stage::Held && w.stalls == 0 {
                            return;
                        }
                        if let May::Go { parts, ticket, .. } =
                            w.fronts[i].1.may(Time(w.now), &volume(), ALL, true)
                        {
                            w.stalls -= u8::from(stage == Stage::Held);
                            w.began += 1;
                            w.before[w.began as usize] = w.answered;
                            let part = parts[0].clone();
                            w.bookings.push(Booking {
                                front: i,
                                value: w.began,
                                ticket,
                                part,
                                stage: stage.clone(),
                            });
                        }
                    });
                }
            }
            if self.kills > 0 {
                with(&mut |w| {
                    w.kills -= 1;
                    w.bookings.retain(|b| b.front != i || b.stage == Stage::Sent);
                    w.copies.retain(|c| c.front != i || c.stage == Stage::Sent);
                    w.fronts[i].2 += 1;
                    let (moves, life) = (Moves::new(), w.fronts[i].2);
                    let front =
                        Front::new(name(i), life, rules(), Controlled::All, Arc::default(), Time(w.now));
                    w.fronts[i] = (moves, front, life);
                    w.append(i, Command::Present { life });
                });
            }
        }
        for at in 0..self.bookings.len() {
            with(&mut |w| bad.extend(w.booking(at).err()));
        }
        for at in 0..self.copies.len() {
            with(&mut |w| bad.extend(w.copying(at).err()));
            if self.stalls > 0
                && self.copies[at].stage == Stage::Sent
                && self.copies[at].order.work == Work::Write
            {
                with(&mut |w| {
                    w.stalls -= 1;
                    w.copies[at].stage = Stage::Held;
                });
            }
        }
        out
    }
}
