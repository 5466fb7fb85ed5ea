//! Fault schedules: drawn from a seed, printed, bounded, replayed with `RIG_SEED`, and reduced by leaving out
//! one fault after another (`RIG_DROP=1,4` leaves out the faults of these numbers).
use rand::{rngs::SmallRng, Rng, SeedableRng};
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

/// Limit on the number of faults in a schedule.
pub const MAX_FAULTS: usize = 64;

/// A failure that lasts for a time.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub enum Fault {
    /// Cuts one direction.
    Cut { from: String, to: String },
    /// Cuts both directions.
    CutBoth { a: String, b: String },
    /// Cuts two zones off from each other: the links between their gateways, and those to backends of the
    /// other zone.
    ZonePartition { one: String, other: String },
    /// Delays both directions.
    Delay { a: String, b: String, by: Duration },
    /// Limits the throughput of one direction.
    Slow { from: String, to: String, rate: u32 },
    /// Loses a share of the datagrams in both directions.
    Loss { a: String, b: String, share: f64 },
    /// Resets the established connections once.
    Reset { a: String, b: String },
    /// Stalls a gateway's process.
    Stall { gateway: String },
    /// Kills a gateway's process; restarts it at the end of the fault.
    Kill { gateway: String, keep: bool },
    /// Discovery lists a backend as leaving, and as active at the end of the fault.
    Drain { backend: String },
    /// Stops a backend; it restarts cold at the end of the fault.
    Down { backend: String, keep: bool },
    /// A backend rejects, fails or leaves unanswered these shares of commands.
    Unreliable { backend: String, busy: f64, fail: f64, silent: f64 },
    /// A backend takes longer for each command.
    SlowBackend { backend: String, service: Duration },
    /// Discovery sends nothing.
    DiscoverySilent,
    /// Discovery answers 503.
    DiscoveryUnavailable,
    /// Discovery resets its connections.
    DiscoveryDown,
}

impl Fault {
    /// The components that it affects: two faults with a common one never overlap in a drawn schedule.
    fn targets(&self) -> BTreeSet<&str> {
        use Fault::*;
        match self {
            Cut { from: a, to: b } | Slow { from: a, to: b, .. } => [a.as_str(), b].into(),
            CutBoth { a, b } | Delay { a, b, .. } | Loss { a, b, .. } | Reset { a, b } => {
                [a.as_str(), b].into()
            }
            ZonePartition { .. } => ["zones"].into(),
            Stall { gateway } | Kill { gateway, .. } => [gateway.as_str()].into(),
            Drain { backend }
            | Down { backend, .. }
            | Unreliable { backend, .. }
            | SlowBackend { backend, .. } => [backend.as_str()].into(),
            DiscoverySilent | DiscoveryUnavailable | DiscoveryDown => ["discovery"].into(),
        }
    }
}

/// A fault with its start and duration.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Start, relative to the start of the schedule.
    pub start: Duration,
    /// Time until the fault is repaired.
    pub duration: Duration,
    /// The fault.
    pub fault: Fault,
}

/// Faults over a period. At its end all are repaired.
#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    /// The seed that it was drawn from.
    pub seed: u64,
    /// Length of the period.
    pub span: Duration,
    /// The faults. Each keeps its number when others are left out.
    pub faults: Vec<(usize, ScheduledFault)>,
}

/// The components that faults can affect.
#[derive(Clone, Debug, Default)]
pub struct FaultTargets {
    /// Names of gateways.
    pub gateways: Vec<String>,
    /// Names of backends.
    pub backends: Vec<String>,
    /// Names of zones.
    pub zones: Vec<String>,
}

/// Constructs a fault of one kind, with targets that it picks at random.
pub type FaultKind = fn(&FaultTargets, &mut SmallRng) -> Fault;

fn pick_name(names: &[String], rng: &mut SmallRng) -> String {
    names.get(rng.random_range(0..names.len().max(1))).cloned().unwrap_or_default()
}

/// The kinds that a smoke test has to cover, each at least once.
pub const COMMON_FAULTS: [FaultKind; 5] = [
    |p, r| Fault::CutBoth { a: pick_name(&p.gateways, r), b: pick_name(&p.backends, r) },
    |p, r| Fault::Stall { gateway: pick_name(&p.gateways, r) },
    |p, r| Fault::Kill { gateway: pick_name(&p.gateways, r), keep: r.random_bool(0.5) },
    |p, r| Fault::Drain { backend: pick_name(&p.backends, r) },
    |p, r| Fault::Cut { from: pick_name(&p.backends, r), to: pick_name(&p.gateways, r) },
];

/// Further kinds.
pub const ADDITIONAL_FAULTS: [FaultKind; 11] = [
    |p, r| Fault::Cut { from: pick_name(&p.gateways, r), to: pick_name(&p.backends, r) },
    |p, r| Fault::CutBoth { a: pick_name(&p.gateways, r), b: "discovery".into() },
    |p, r| Fault::Delay {
        a: pick_name(&p.gateways, r),
        b: pick_name(&p.backends, r),
        by: Duration::from_millis(r.random_range(5..200)),
    },
    |p, r| Fault::Slow {
        from: pick_name(&p.backends, r),
        to: pick_name(&p.gateways, r),
        rate: r.random_range(100..5000),
    },
    |p, r| Fault::Reset { a: pick_name(&p.gateways, r), b: pick_name(&p.backends, r) },
    |p, r| Fault::Down { backend: pick_name(&p.backends, r), keep: true },
    |p, r| Fault::Unreliable {
        backend: pick_name(&p.backends, r),
        busy: 0.2,
        fail: 0.2,
        silent: r.random_range(0.0..0.3),
    },
    |p, r| Fault::SlowBackend {
        backend: pick_name(&p.backends, r),
        service: Duration::from_millis(r.random_range(50..900)),
    },
    |_, _| Fault::DiscoverySilent,
    |_, _| Fault::DiscoveryUnavailable,
    |_, _| Fault::DiscoveryDown,
];

impl Schedule {
    /// Draws `count` faults of all kinds in turn, so that each kind occurs if there are enough. Faults with a
    /// common target do not overlap, and each fault ends before the period does.
    pub fn draw(
        seed: u64,
        span: Duration,
        fault_targets: &FaultTargets,
        kinds: &[FaultKind],
        count: usize,
    ) -> Schedule {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut faults: Vec<ScheduledFault> = Vec::new();
        let ms = u64::try_from(span.as_millis()).unwrap_or(u64::MAX).max(100);
        for n in 0..count.min(MAX_FAULTS) {
            let Some(kind) = kinds.get(n % kinds.len().max(1)) else { break };
            // The number of tries is bounded: a schedule without room for another fault gets fewer.
            for _ in 0..50 {
                let fault = kind(fault_targets, &mut rng);
                let duration = rng.random_range(ms / 20..ms / 4);
                let start = rng.random_range(ms / 50..ms - duration - ms / 50);
                let (start, duration) = (Duration::from_millis(start), Duration::from_millis(duration));
                let scheduled = ScheduledFault { start, duration, fault };
                let overlaps = |o: &ScheduledFault| {
                    let apart = o.start + o.duration <= scheduled.start
                        || scheduled.start + scheduled.duration <= o.start;
                    !apart && !o.fault.targets().is_disjoint(&scheduled.fault.targets())
                };
                if !faults.iter().any(overlaps) {
                    faults.push(scheduled);
                    break;
                }
            }
        }
        faults.sort_by_key(|i| i.start);
        Schedule { seed, span, faults: faults.into_iter().enumerate().collect() }
    }

    /// The schedule without the faults of these numbers.
    pub fn without(&self, numbers: &[usize]) -> Schedule {
        let faults = self.faults.iter().filter(|(n, _)| !numbers.contains(n)).cloned().collect();
        Schedule { faults, ..self.clone() }
    }

    /// Starts (true) and ends (false) of faults in order of time; at the same time ends come before starts.
    pub fn steps(&self) -> Vec<(Duration, bool, &ScheduledFault)> {
        let both = |(_, scheduled): &'_ (usize, ScheduledFault)| {
            [(scheduled.start, true), (scheduled.start + scheduled.duration, false)]
        };
        let mut steps: Vec<_> =
            self.faults.iter().flat_map(|i| both(i).map(|(at, begins)| (at, begins, &i.1))).collect();
        steps.sort_by_key(|(at, begins, _)| (*at, *begins));
        steps
    }

    /// A smaller schedule that still fails, found by leaving out one fault after another.
    pub fn shrink(self, mut fails: impl FnMut(&Schedule) -> bool) -> Schedule {
        let mut smallest = self;
        let numbers: Vec<usize> = smallest.faults.iter().map(|(n, _)| *n).collect();
        for number in numbers {
            let candidate = smallest.without(&[number]);
            if fails(&candidate) {
                smallest = candidate;
            }
        }
        smallest
    }
}

impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "RIG_SEED={} span {:?}, {} faults", self.seed, self.span, self.faults.len())?;
        self.faults.iter().try_for_each(|(n, i)| {
            write!(
                f,
                "\n  {n}: at {:.3} for {:.3} {:?}",
                i.start.as_secs_f64(),
                i.duration.as_secs_f64(),
                i.fault
            )
        })
    }
}

/// The seed in `RIG_SEED`, or these seeds where it is not set.
pub fn seeds(default_seeds: &[u64]) -> Vec<u64> {
    let from_env = std::env::var("RIG_SEED").ok().and_then(|s| s.parse().ok());
    from_env.map_or_else(|| default_seeds.to_vec(), |seed| vec![seed])
}

/// The numbers of the faults that `RIG_DROP` leaves out.
pub fn excluded_faults() -> Vec<usize> {
    let from_env = std::env::var("RIG_DROP").unwrap_or_default();
    from_env.split(',').filter_map(|n| n.trim().parse().ok()).collect()
}
