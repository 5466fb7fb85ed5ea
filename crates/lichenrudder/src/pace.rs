//! The pace of calls to discovery, and for how long a watch that says nothing counts as up. Knows neither clock nor wire.
//!
//! A change counts as told 6 s after discovery had it and could be reached, whatever became of earlier calls. Noticing that
//! a watch is silent, the pause, and a call that stays silent too take 4.5 s together at the most, and as long as nothing
//! is heard no two calls lie further apart than `BESIDE`: the next one is answered in time.

/// Empty lines come as often as this while nothing changes, and may be so late. What says nothing for longer is broken.
pub const LIVENESS: i64 = 2_000_000 + 600_000;
/// A call that has no answer yet gets another beside it after this time.
///
/// Guards discovery too, which takes calls in turn: the first is not given up for it, and keeps its place there.
pub const BESIDE: i64 = 1_700_000;
/// So many calls may be out at once; one more takes the place of the oldest.
pub const CALLS: usize = 2;
/// The longest first pause after a call that failed; it doubles with each further one in turn,
const PAUSE: i64 = 200_000;
/// so often.
const DOUBLED: u32 = 2;

/// Pauses between calls that fail.
pub struct Backoff {
    failures: u32,
    random: u64,
}

impl Backoff {
    /// Nothing has failed yet. The seed spreads the pauses, for many fronts may hear nothing at once.
    pub fn new(seed: u64) -> Backoff {
        Backoff { failures: 0, random: seed }
    }

    /// A call was answered.
    pub fn answered(&mut self) {
        self.failures = 0;
    }

    /// A call or a watch has failed: how long to wait before the next call.
    pub fn pause(&mut self) -> i64 {
        let most = PAUSE << self.failures.min(DOUBLED);
        self.failures = self.failures.saturating_add(1);
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        most / 2 + ((self.random >> 33) as i64) % (most / 2)
    }
}

#[cfg(test)]
mod tests;
