//! Randomly drawn fault schedules.
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub faults: usize,
    /// Faults start within this time.
    pub span_ms: u64,
    /// How many disks may be lost and not yet readmitted at a time; a minority by default.
    pub max_lost_disks: Option<usize>,
    /// The kinds of faults to draw from, by number; a repeated number is drawn more often.
    pub fault_kinds: &'static [u32],
}

/// Every kind of fault.
const ALL_FAULTS: &[u32] = &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11];
/// Partitions that cut a leader off from some members, and restarts of others: the faults that a lease must withstand.
pub const PARTITIONS: &[u32] = &[0, 0, 0, 0, 2, 3, 5, 5, 5, 6];

impl Limits {
    pub fn standard() -> Limits {
        Limits { faults: 25, span_ms: 8_000, max_lost_disks: None, fault_kinds: ALL_FAULTS }
    }
}

#[derive(Clone, Debug)]
pub enum FaultKind {
    /// Cuts one direction of a link.
    Cut { from: usize, to: usize, duration_ms: u64 },
    /// Cuts the links to and from all other members.
    Isolate { host: usize, duration_ms: u64 },
    /// The member receives but cannot send, or the reverse.
    OneWay { host: usize, is_receiving_cut: bool, duration_ms: u64 },
    /// The process is stopped and continued later; its clock keeps running.
    Pause { host: usize, duration_ms: u64 },
    /// The process is killed; `written` of its pending batches reach the disk.
    Kill { host: usize, down_ms: u64, loses_disk: bool, written: usize },
    /// The process is killed as soon as a batch is pending; messages sent by then are still delivered.
    KillOnNextWrite { host: usize, down_ms: u64, loses_disk: bool },
    /// Writes fail; the first batch may have been written all the same.
    DiskFailure { host: usize, duration_ms: u64, written: bool },
    /// Each write takes this long.
    SlowDisk { host: usize, duration_ms: u64, write_duration_ms: u64 },
    /// The network loses and duplicates these percentages of the messages and delays them by up to the given time.
    Network { loss_percent: u32, duplicate_percent: u32, max_delay_ms: u64, duration_ms: u64 },
}

#[derive(Clone, Debug)]
pub struct Fault {
    pub at_ms: u64,
    pub kind: FaultKind,
}

#[derive(Clone, Debug)]
pub struct Schedule {
    pub members: usize,
    pub seed: u64,
    pub faults: Vec<Fault>,
    pub limits: Limits,
}

impl Schedule {
    pub fn random(members: usize, seed: u64, limits: Limits) -> Schedule {
        let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed_0001);
        let rng = &mut rng;
        let faults = (0..rng.random_range(1..=limits.faults))
            .map(|_| {
                let host = rng.random_range(0..members);
                let duration_ms = *[20, 150, 400, 1_000, 2_500].get(rng.random_range(0..5)).unwrap();
                let kind = match limits.fault_kinds[rng.random_range(0..limits.fault_kinds.len())] {
                    0 => FaultKind::Cut { from: host, to: rng.random_range(0..members), duration_ms },
                    1 => FaultKind::Isolate { host, duration_ms },
                    2 => FaultKind::OneWay { host, is_receiving_cut: rng.random(), duration_ms },
                    3 | 4 => FaultKind::Pause { host, duration_ms },
                    5 => FaultKind::Kill {
                        host,
                        down_ms: duration_ms / 20,
                        loses_disk: false,
                        written: rng.random_range(0..4),
                    },
                    6 => FaultKind::KillOnNextWrite { host, down_ms: duration_ms / 20, loses_disk: false },
                    7 => FaultKind::Kill { host, down_ms: duration_ms / 5, loses_disk: true, written: 0 },
                    8 => FaultKind::KillOnNextWrite {
                        host,
                        down_ms: duration_ms / 20,
                        loses_disk: rng.random(),
                    },
                    9 => FaultKind::DiskFailure { host, duration_ms, written: rng.random() },
                    10 => FaultKind::SlowDisk {
                        host,
                        duration_ms,
                        write_duration_ms: rng.random_range(20..400),
                    },
                    _ => FaultKind::Network {
                        loss_percent: rng.random_range(0..60),
                        duplicate_percent: rng.random_range(0..40),
                        max_delay_ms: rng.random_range(1..600),
                        duration_ms,
                    },
                };
                Fault { at_ms: rng.random_range(0..limits.span_ms), kind }
            })
            .collect();
        Schedule { members, seed, faults, limits }
    }
}
