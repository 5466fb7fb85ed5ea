//! Schedules of faults: drawn from a seed, printed, bounded, played again with `RIG_SEED`, and made smaller by leaving out
//! one fault after the other (`RIG_DROP=1,4` leaves out the same by hand).
use rand::{rngs::SmallRng, Rng, SeedableRng};
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

/// The most faults of a schedule.
pub const MOST: usize = 64;

/// Something that fails for a time.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub enum Fault {
    /// Nothing passes from one to the other.
    Cut { from: String, to: String },
    /// Nothing passes between the two.
    CutBoth { a: String, b: String },
    /// Nothing passes between two halls: fronts, and boxes with the fronts of the other.
    Halls { one: String, other: String },
    /// What passes between the two comes later.
    Delay { a: String, b: String, by: Duration },
    /// Few bytes in a second pass from one to the other.
    Slow { from: String, to: String, rate: u32 },
    /// A share of datagrams between the two is lost.
    Loss { a: String, b: String, share: f64 },
    /// Connections between the two are reset once.
    Reset { a: String, b: String },
    /// A front's process stands still.
    Stall { front: String },
    /// A front's process is killed, and started at the fault's end.
    Kill { front: String, keep: bool },
    /// Discovery lists a box as leaving, and as active at the fault's end.
    Drain { place: String },
    /// A box is gone, and starts cold at the fault's end.
    Down { place: String, keep: bool },
    /// A box turns away, fails or leaves unanswered such shares.
    Sick { place: String, busy: f64, fail: f64, silent: f64 },
    /// A box takes longer for each command.
    Lame { place: String, service: Duration },
    /// Discovery says nothing.
    Mute,
    /// Discovery answers 503.
    Unavailable,
    /// Discovery resets its connections.
    Undiscovered,
}

impl Fault {
    /// What it strikes: two faults with the same never overlap in a drawn schedule.
    fn subject(&self) -> BTreeSet<&str> {
        use Fault::*;
        match self {
            Cut { from: a, to: b } | Slow { from: a, to: b, .. } => [a.as_str(), b].into(),
            CutBoth { a, b } | Delay { a, b, .. } | Loss { a, b, .. } | Reset { a, b } => {
                [a.as_str(), b].into()
            }
            Halls { .. } => ["halls"].into(),
            Stall { front } | Kill { front, .. } => [front.as_str()].into(),
            Drain { place } | Down { place, .. } | Sick { place, .. } | Lame { place, .. } => {
                [place.as_str()].into()
            }
            Mute | Unavailable | Undiscovered => ["discovery"].into(),
        }
    }
}

/// A fault, when it begins and how long it lasts.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// From the schedule's start.
    pub at: Duration,
    /// Until it is made good.
    pub lasts: Duration,
    /// What fails.
    pub fault: Fault,
}

/// Faults over a time. At its end everything is well again.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// What it was drawn from.
    pub seed: u64,
    /// How long it is.
    pub span: Duration,
    /// The faults; what was left out keeps its number.
    pub items: Vec<(usize, Item)>,
}

/// Whom faults may strike.
#[derive(Clone, Debug, Default)]
pub struct Parties {
    /// Fronts.
    pub fronts: Vec<String>,
    /// Boxes.
    pub boxes: Vec<String>,
    /// Halls.
    pub halls: Vec<String>,
}

/// A kind of fault that may be drawn: it makes one for the parties.
pub type Kind = fn(&Parties, &mut SmallRng) -> Fault;

fn pick(names: &[String], rng: &mut SmallRng) -> String {
    names.get(rng.random_range(0..names.len().max(1))).cloned().unwrap_or_default()
}

/// Kinds that the schedules of a smoke test need, each at least once.
pub const USUAL: [Kind; 5] = [
    |p, r| Fault::CutBoth { a: pick(&p.fronts, r), b: pick(&p.boxes, r) },
    |p, r| Fault::Stall { front: pick(&p.fronts, r) },
    |p, r| Fault::Kill { front: pick(&p.fronts, r), keep: r.random_bool(0.5) },
    |p, r| Fault::Drain { place: pick(&p.boxes, r) },
    |p, r| Fault::Cut { from: pick(&p.boxes, r), to: pick(&p.fronts, r) },
];

/// Kinds beyond the usual ones.
pub const MORE: [Kind; 11] = [
    |p, r| Fault::Cut { from: pick(&p.fronts, r), to: pick(&p.boxes, r) },
    |p, r| Fault::CutBoth { a: pick(&p.fronts, r), b: "discovery".into() },
    |p, r| Fault::Delay {
        a: pick(&p.fronts, r),
        b: pick(&p.boxes, r),
        by: Duration::from_millis(r.random_range(5..200)),
    },
    |p, r| Fault::Slow { from: pick(&p.boxes, r), to: pick(&p.fronts, r), rate: r.random_range(100..5000) },
    |p, r| Fault::Reset { a: pick(&p.fronts, r), b: pick(&p.boxes, r) },
    |p, r| Fault::Down { place: pick(&p.boxes, r), keep: true },
    |p, r| Fault::Sick { place: pick(&p.boxes, r), busy: 0.2, fail: 0.2, silent: r.random_range(0.0..0.3) },
    |p, r| Fault::Lame { place: pick(&p.boxes, r), service: Duration::from_millis(r.random_range(50..900)) },
    |_, _| Fault::Mute,
    |_, _| Fault::Unavailable,
    |_, _| Fault::Undiscovered,
];

impl Schedule {
    /// Draws `count` faults, the kinds in turn, so that each is there where there are enough. None strikes what another strikes at
    /// the same time; each ends before the span does.
    pub fn draw(seed: u64, span: Duration, parties: &Parties, kinds: &[Kind], count: usize) -> Schedule {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut items: Vec<Item> = Vec::new();
        let ms = u64::try_from(span.as_millis()).unwrap_or(u64::MAX).max(100);
        for n in 0..count.min(MOST) {
            let Some(kind) = kinds.get(n % kinds.len().max(1)) else { break };
            // Bounded: a schedule that is full draws fewer.
            for _ in 0..50 {
                let fault = kind(parties, &mut rng);
                let lasts = rng.random_range(ms / 20..ms / 4);
                let at = rng.random_range(ms / 50..ms - lasts - ms / 50);
                let (at, lasts) = (Duration::from_millis(at), Duration::from_millis(lasts));
                let item = Item { at, lasts, fault };
                let meets = |o: &Item| {
                    let apart = o.at + o.lasts <= item.at || item.at + item.lasts <= o.at;
                    !apart && !o.fault.subject().is_disjoint(&item.fault.subject())
                };
                if !items.iter().any(meets) {
                    items.push(item);
                    break;
                }
            }
        }
        items.sort_by_key(|i| i.at);
        Schedule { seed, span, items: items.into_iter().enumerate().collect() }
    }

    /// The same without the faults of these numbers.
    pub fn without(&self, numbers: &[usize]) -> Schedule {
        let items = self.items.iter().filter(|(n, _)| !numbers.contains(n)).cloned().collect();
        Schedule { items, ..self.clone() }
    }

    /// Begins and ends of faults, in time's order; an end comes before a begin of the same time.
    pub fn steps(&self) -> Vec<(Duration, bool, &Item)> {
        let both = |(_, item): &'_ (usize, Item)| [(item.at, true), (item.at + item.lasts, false)];
        let mut steps: Vec<_> =
            self.items.iter().flat_map(|i| both(i).map(|(at, begins)| (at, begins, &i.1))).collect();
        steps.sort_by_key(|(at, begins, _)| (*at, *begins));
        steps
    }

    /// The smallest part of it that still fails, found by leaving out one fault after the other.
    pub fn shrink(self, mut fails: impl FnMut(&Schedule) -> bool) -> Schedule {
        let mut small = self;
        let numbers: Vec<usize> = small.items.iter().map(|(n, _)| *n).collect();
        for number in numbers {
            let less = small.without(&[number]);
            if fails(&less) {
                small = less;
            }
        }
        small
    }
}

impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "RIG_SEED={} span {:?}, {} faults", self.seed, self.span, self.items.len())?;
        self.items.iter().try_for_each(|(n, i)| {
            write!(f, "\n  {n}: at {:.3} for {:.3} {:?}", i.at.as_secs_f64(), i.lasts.as_secs_f64(), i.fault)
        })
    }
}

/// The seed that `RIG_SEED` names, else these.
pub fn seeds(usual: &[u64]) -> Vec<u64> {
    let named = std::env::var("RIG_SEED").ok().and_then(|s| s.parse().ok());
    named.map_or_else(|| usual.to_vec(), |seed| vec![seed])
}

/// The numbers of faults that `RIG_DROP` leaves out.
pub fn dropped() -> Vec<usize> {
    let named = std::env::var("RIG_DROP").unwrap_or_default();
    named.split(',').filter_map(|n| n.trim().parse().ok()).collect()
}
