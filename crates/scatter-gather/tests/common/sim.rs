//! Many fronts that gather over four halls, one of which fails for a while. Seeded; time is simulated.
#![allow(dead_code, clippy::unwrap_used)]
use cluster_types::{Time, Zone};
use rand::{rngs::SmallRng, Rng, SeedableRng};
use scatter_gather::*;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// How the last hall fails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    CutOff,
    Slow,
    Flapping,
    /// It is well, and others lie about it.
    Lies,
}

/// What fronts go by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Knows {
    Nothing,
    Own,
    Shared,
}

pub const FROM: u64 = 5_000_000;
pub const HEALED: u64 = 15_000_000;
const END: u64 = 36_000_000;
const FRONTS: usize = 8;
const AIM: u64 = 250_000;

enum Ev {
    Begin(usize),
    Ended(usize, GatherId, usize),
    Wake(usize),
    Gossip,
}

#[derive(Debug, Default)]
pub struct Figures {
    /// Waits of gathers that began while the hall failed, in microseconds.
    pub waits: Vec<u64>,
    pub on_time: usize,
    pub failed: usize,
    pub whole: usize,
    /// From the healing until the last front judged the hall well for good.
    pub found_well: Duration,
    pub late: u64,
}

impl Figures {
    pub fn share(&self) -> f64 {
        self.on_time as f64 / self.waits.len().max(1) as f64
    }

    pub fn median_ms(&self) -> f64 {
        let mut waits = self.waits.clone();
        waits.sort();
        waits.get(waits.len() / 2).map_or(0.0, |w| *w as f64 / 1000.0)
    }
}

fn tier(suffices: &str) -> Arc<Policy> {
    let mut text = format!(
        "name = \"stock\"\nvolume = \"00000000000000aa\"\npiece = \"00000000000000bb\"\nclass = \"read\"\n\
         suffices = {suffices}\n"
    );
    for hall in ["a", "b", "c", "d"] {
        text += &format!(
            "[[part]]\nname = \"{hall}\"\nhall = \"{hall}\"\npiece = \"00000000000000cc\"\nshard = 1\n"
        );
    }
    Arc::new(toml::from_str(&text).unwrap())
}

/// How long the last hall takes for what is asked now; none where nothing comes.
fn takes(trouble: Trouble, now: u64, usual: u64) -> Option<u64> {
    if !(FROM..HEALED).contains(&now) {
        return Some(usual);
    }
    match trouble {
        Trouble::CutOff => None,
        Trouble::Slow => Some(usual * 30),
        Trouble::Flapping => (now / 700_000).is_multiple_of(2).then_some(usual),
        Trouble::Lies => Some(usual),
    }
}

pub fn run(seed: u64, trouble: Trouble, knows: Knows, suffices: &str) -> Figures {
    let mut rng = SmallRng::seed_from_u64(seed);
    let policy = tier(suffices);
    let mut rules = Rules::default();
    if knows == Knows::Nothing {
        (rules.doubt_misses, rules.cut_misses) = (u32::MAX, u32::MAX);
    }
    let front = |_| Gathers::<Vec<u8>>::new(256, Halls::new(None, rules.clone()), Budget::new(64 << 20));
    let mut fronts: Vec<_> = (0..FRONTS).map(front).collect();
    let mut queue: BTreeMap<(u64, u64), Ev> = BTreeMap::new();
    let mut number = 0;
    let mut add = |queue: &mut BTreeMap<(u64, u64), Ev>, at: u64, ev: Ev| {
        number += 1;
        queue.insert((at, number), ev);
    };
    (0..FRONTS).for_each(|f| add(&mut queue, rng.random_range(0..400_000), Ev::Begin(f)));
    add(&mut queue, 100_000, Ev::Gossip);
    let hall: Zone = "d".into();
    let mut begun: BTreeMap<(usize, GatherId), u64> = BTreeMap::new();
    let mut figures = Figures::default();
    let mut last_ill = HEALED;
    while let Some(((now, _), ev)) = queue.pop_first() {
        if now > END {
            break;
        }
        let time = Time(now);
        let mut out = Vec::new();
        let f = match ev {
            Ev::Begin(f) => {
                add(&mut queue, now + rng.random_range(200_000..600_000), Ev::Begin(f));
                let id = fronts[f]
                    .begin(time, policy.clone(), time + Duration::from_millis(1200), &mut out)
                    .unwrap();
                begun.insert((f, id), now);
                f
            }
            Ev::Ended(f, id, part) => {
                let event = Event::Ended { part, result: Ended::Served(vec![0; 100]) };
                fronts[f].handle(time, id, event, &mut out);
                f
            }
            Ev::Wake(f) => {
                fronts[f].tick(time, &mut out);
                f
            }
            Ev::Gossip => {
                add(&mut queue, now + 200_000, Ev::Gossip);
                if knows == Knows::Shared {
                    gossip(&mut fronts, time, trouble, &hall);
                }
                continue;
            }
        };
        for (id, action) in out {
            match action {
                Action::Ask { part, .. } => {
                    let usual = rng.random_range(20_000..60_000);
                    let took = if part == 3 { takes(trouble, now, usual) } else { Some(usual) };
                    if let Some(took) = took {
                        add(&mut queue, now + took, Ev::Ended(f, id, part));
                    }
                }
                Action::Drop { .. } => {}
                Action::Answer(answer) => {
                    let from = begun.remove(&(f, id)).unwrap_or(now);
                    let good = matches!(answer, Answer::Gathered(_));
                    if (FROM..HEALED).contains(&from) {
                        figures.waits.push(now - from);
                        figures.on_time += usize::from(good && now - from <= AIM);
                        figures.failed += usize::from(!good);
                        figures.whole += usize::from(answer.told() == Told::Whole);
                    }
                }
            }
        }
        if let Some(wake) = fronts[f].wake() {
            add(&mut queue, wake.0.max(now + 1), Ev::Wake(f));
        }
        if now > HEALED && fronts.iter().any(|g| g.shared.halls.stage(time, &hall) != Stage::Well) {
            last_ill = now;
        }
    }
    figures.found_well = Duration::from_micros(last_ill - HEALED);
    figures.late = fronts.iter().map(|f| f.shared.counts.late).sum();
    figures
}

/// What each front hears of the others, 150 ms old on top of its age.
fn gossip(fronts: &mut [Gathers<Vec<u8>>], now: Time, trouble: Trouble, hall: &Zone) {
    let told: Vec<Option<Observed>> =
        fronts.iter().map(|f| f.shared.halls.observed(now).into_iter().find(|o| o.hall == *hall)).collect();
    for (f, front) in fronts.iter_mut().enumerate() {
        let others = || told.iter().enumerate().filter(|(i, _)| *i != f).filter_map(|(_, o)| o.as_ref());
        let weight =
            |bad: bool| -> f32 { others().filter(|o| (o.kind != Kind::Well) == bad).map(|o| o.weight).sum() };
        let doubt = weight(true) / (weight(true) + weight(false)).max(0.001);
        let bad = doubt >= 0.5;
        let side = || others().filter(|o| (o.kind != Kind::Well) == bad);
        let Some(age) = side().map(|o| o.age).min() else { continue };
        let age = age + Duration::from_millis(150);
        let mut news = HallNews { hall: hall.clone(), doubt, sources: side().count() as u32, age };
        if trouble == Trouble::Lies && (FROM..HEALED).contains(&now.0) {
            (news.doubt, news.sources, news.age) = (1.0, 7, Duration::ZERO);
        }
        let mut out = Vec::new();
        front.heard(now, &news, &mut out);
        assert!(!out.iter().any(|(_, a)| matches!(a, Action::Ask { .. })), "news ask for nothing");
    }
}
