//! A front in the simulation: its place in the log, its own side, and a module that sends to boxes.
use super::kit::*;
use cluster_types::{BackendId, Index, MemberId, Time};
use maintenance::{Action, Command, Desk, Event, FrontSide, Kept, Presence, Report, Watch};
use rand::rngs::SmallRng;
use rand::Rng;
use std::collections::BTreeMap;
use std::time::Duration;

pub const RULE: u64 = 250;

pub struct Member {
    pub name: MemberId,
    pub life: u64,
    pub up: bool,
    pub stalled: u64,
    pub group: u8,
    /// How far its Unix time is off, and its steady clock's origin.
    pub offset: i64,
    origin: u64,
    pub desk: Desk,
    pub watch: Watch,
    side: Option<FrontSide>,
    kept: Option<Kept>,
    saving: Vec<(u64, u64, Kept)>,
    /// From when on the module sends nothing new to a box; and when its side told so first.
    stops: BTreeMap<BackendId, u64>,
    told: BTreeMap<BackendId, u64>,
    last: BTreeMap<BackendId, u64>,
    /// What is out, and when it ends.
    pub open: Vec<(BackendId, u64)>,
    /// Words that the log is to have.
    pub words: Vec<Command>,
}

impl Member {
    pub fn new(n: u64, rng: &mut SmallRng, desk: &Desk) -> Member {
        let (name, desk) = (front(&format!("f{n}")), desk.clone());
        let mut member = Member {
            name,
            life: 0,
            up: false,
            stalled: 0,
            group: 0,
            offset: rng.random_range(-300_000..300_000),
            origin: rng.random_range(0..1 << 40),
            desk,
            watch: Watch::new(),
            side: None,
            kept: None,
            saving: Vec::new(),
            stops: BTreeMap::new(),
            told: BTreeMap::new(),
            last: BTreeMap::new(),
            open: Vec::new(),
            words: Vec::new(),
        };
        member.start(0, rng);
        member
    }

    pub fn steady(&self, now: u64) -> Time {
        Time(self.origin + now * 1000)
    }

    pub fn unix(&self, now: u64) -> u64 {
        (now as i64 + 1_000_000 + self.offset).max(0) as u64
    }

    pub fn runs(&self, now: u64) -> bool {
        self.up && now >= self.stalled
    }

    /// What was not saved is lost.
    pub fn crash(&mut self) {
        self.up = false;
        self.side = None;
        [&mut self.stops, &mut self.told, &mut self.last].into_iter().for_each(BTreeMap::clear);
        self.open.clear();
        self.saving.clear();
        self.words.clear();
    }

    pub fn start(&mut self, now: u64, rng: &mut SmallRng) {
        let mut out = Vec::new();
        self.up = true;
        self.life += 1;
        self.watch = Watch::new();
        let rule = Duration::from_millis(RULE);
        self.side = Some(FrontSide::new(rule, self.kept.clone(), self.steady(now), &mut out));
        self.take(now, out, rng);
        // What was kept holds from the first moment on.
        self.stops.values_mut().for_each(|at| *at = now);
        self.words.push(Command::Roster {
            member: self.name.clone(),
            presence: Presence::Present { life: self.life },
        });
    }

    pub fn tell(&mut self, now: u64, event: Event, rng: &mut SmallRng) {
        let (at, mut out) = (self.steady(now), Vec::new());
        if let Some(side) = &mut self.side {
            side.handle(at, event, &mut out);
        }
        self.take(now, out, rng);
    }

    fn take(&mut self, now: u64, actions: Vec<Action>, rng: &mut SmallRng) {
        for action in actions {
            match action {
                Action::Drain { id, .. } => {
                    self.told.entry(id.clone()).or_insert(now);
                    let stop = now + rng.random_range(0..RULE);
                    self.stops.entry(id).and_modify(|at| *at = (*at).min(stop)).or_insert(stop);
                }
                Action::Undrain { id, .. } => {
                    self.stops.remove(&id);
                    self.told.remove(&id);
                }
                Action::Keep { serial, kept } => {
                    self.saving.push((now + rng.random_range(0..60), serial, kept))
                }
                Action::Report(Report::Drained { grant }) => {
                    self.words.push(Command::Drained { grant, member: self.name.clone() });
                }
                Action::Report(Report::Staged { id, number }) => {
                    self.words.push(Command::Staged { id, number, member: self.name.clone() });
                }
            }
        }
    }

    /// Whether nothing goes to a box any more, and nothing is out there.
    pub fn quiet(&self, now: u64, id: &BackendId) -> bool {
        !self.up
            || (self.stops.get(id).is_some_and(|at| *at <= now) && !self.open.iter().any(|(b, _)| b == id))
    }

    /// A turn of the process: disk, module, figures, orders. Tells what it sent.
    pub fn turn(&mut self, now: u64, boxes: &[BackendId], rng: &mut SmallRng) -> Vec<BackendId> {
        let saving = std::mem::take(&mut self.saving);
        for (due, serial, kept) in saving {
            if due <= now {
                self.kept = Some(kept);
                self.tell(now, Event::Saved { serial }, rng);
            } else {
                self.saving.push((due, serial, kept));
            }
        }
        self.open.retain(|(_, ends)| *ends > now);
        let mut sent = Vec::new();
        for id in boxes {
            if self.stops.get(id).is_none_or(|at| now < *at) && rng.random_bool(0.2) {
                assert!(self.told.get(id).is_none_or(|told| now <= told + RULE), "later than the drain rule");
                self.open.push((id.clone(), now + rng.random_range(0..400)));
                self.last.insert(id.clone(), now);
                sent.push(id.clone());
            }
        }
        if rng.random_bool(0.1) {
            for id in boxes {
                let out = self.open.iter().filter(|(b, _)| b == id).count() as u32;
                let last_send = self.last.get(id).map(|at| self.steady(*at));
                let figures = Event::Figures { id: id.clone(), out, last_send, at: self.steady(now) };
                self.tell(now, figures, rng);
            }
        }
        self.tell(now, Event::Tick, rng);
        sent
    }

    /// Applies an entry and follows it.
    pub fn apply(&mut self, now: u64, entry: &(Index, u64, MemberId, Command), rng: &mut SmallRng) {
        self.desk.apply(entry.0, entry.1, &entry.2, &entry.3);
        let orders = self.desk.orders(&self.name);
        self.tell(now, Event::Orders { index: entry.0, orders }, rng);
    }
}
