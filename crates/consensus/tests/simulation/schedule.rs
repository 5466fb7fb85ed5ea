//! Schedules of faults.
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub faults: usize,
    /// Faults begin within this time.
    pub span_ms: u64,
    /// How many disks may be lost without being readmitted; a minority by default.
    pub disks: Option<usize>,
    /// Which kinds of faults are drawn.
    pub kinds: &'static [u32],
}

/// All of them.
const ALL: &[u32] = &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11];
/// Those that cut a leader off from some, and restart others: what a lease must withstand.
pub const PARTITIONS: &[u32] = &[0, 0, 0, 0, 2, 3, 5, 5, 5, 6];

impl Limits {
    pub fn standard() -> Limits {
        Limits { faults: 25, span_ms: 8_000, disks: None, kinds: ALL }
    }
}

#[derive(Clone, Debug)]
pub enum Kind {
    /// One way.
    Cut { from: usize, to: usize, for_ms: u64 },
    /// Both ways, from and to all.
    Isolate { host: usize, for_ms: u64 },
    /// Receives but cannot send, or the reverse.
    OneWay { host: usize, is_receiving_cut: bool, for_ms: u64 },
    /// The process is stopped and continued; its clock goes on.
    Pause { host: usize, for_ms: u64 },
    /// `written` of the pending batches reach the disk.
    Kill { host: usize, down_ms: u64, lose: bool, written: usize },
    /// Killed as soon as a batch is pending, with the messages sent by then on their way.
    KillWriting { host: usize, down_ms: u64, lose: bool },
    /// Batches fail; the first one may have been written all the same.
    DiskFail { host: usize, for_ms: u64, written: bool },
    /// Each batch takes this long.
    DiskSlow { host: usize, for_ms: u64, takes_ms: u64 },
    /// Percent of messages.
    Net { lose: u32, twice: u32, late_ms: u64, for_ms: u64 },
}

#[derive(Clone, Debug)]
pub struct Fault {
    pub at_ms: u64,
    pub kind: Kind,
}

#[derive(Clone, Debug)]
pub struct Schedule {
    pub members: usize,
    pub seed: u64,
    pub faults: Vec<Fault>,
    pub limits: Limits,
}

impl Schedule {
    pub fn draw(members: usize, seed: u64, limits: Limits) -> Schedule {
        let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed_0001);
        let rng = &mut rng;
        let faults = (0..rng.random_range(1..=limits.faults))
            .map(|_| {
                let host = rng.random_range(0..members);
                let for_ms = *[20, 150, 400, 1_000, 2_500].get(rng.random_range(0..5)).unwrap();
                let kind = match limits.kinds[rng.random_range(0..limits.kinds.len())] {
                    0 => Kind::Cut { from: host, to: rng.random_range(0..members), for_ms },
                    1 => Kind::Isolate { host, for_ms },
                    2 => Kind::OneWay { host, is_receiving_cut: rng.random(), for_ms },
                    3 | 4 => Kind::Pause { host, for_ms },
                    5 => Kind::Kill {
                        host,
                        down_ms: for_ms / 20,
                        lose: false,
                        written: rng.random_range(0..4),
                    },
                    6 => Kind::KillWriting { host, down_ms: for_ms / 20, lose: false },
                    7 => Kind::Kill { host, down_ms: for_ms / 5, lose: true, written: 0 },
                    8 => Kind::KillWriting { host, down_ms: for_ms / 20, lose: rng.random() },
                    9 => Kind::DiskFail { host, for_ms, written: rng.random() },
                    10 => Kind::DiskSlow { host, for_ms, takes_ms: rng.random_range(20..400) },
                    _ => Kind::Net {
                        lose: rng.random_range(0..60),
                        twice: rng.random_range(0..40),
                        late_ms: rng.random_range(1..600),
                        for_ms,
                    },
                };
                Fault { at_ms: rng.random_range(0..limits.span_ms), kind }
            })
            .collect();
        Schedule { members, seed, faults, limits }
    }
}
