//! The baseline for slow start: the rate at which a shard's backend usually serves this gateway.
use super::constants::MICROS_PER_SECOND;
use super::Scheduler;
use crate::decaying_sum::DecayingSum;
use crate::interface::{Micros, ShardId};

impl Scheduler {
    /// Units per second that a backend of the shard served for this gateway outside slow start, as of `at`;
    /// zero if nothing was measured.
    pub(super) fn measured_baseline_rate(&self, shard: ShardId, at: Micros) -> f64 {
        let duration_us = self.settings.slow_start.duration.0 as f64;
        let served = self.shards.get(&shard).map(|shard| shard.served_units.value_at(at, duration_us));
        let served = served.filter(|_| duration_us > 0.0).unwrap_or(0.0);
        served / self.observed_us().max(1.0) * MICROS_PER_SECOND
    }

    /// How long the sums that decay over the duration of slow start have been collected, in microseconds,
    /// with the same decay applied.
    fn observed_us(&self) -> f64 {
        let duration_us = self.settings.slow_start.duration.0 as f64;
        let started_at = self.started_at.unwrap_or(self.now);
        let unobserved = DecayingSum { sum: duration_us, updated_at: started_at };
        duration_us - unobserved.value_at(self.now, duration_us)
    }

    /// Records first tries inside a reservation. They estimate the usual rate of a backend in slow start that
    /// has no measured baseline, since all reservations together are below its full capacity. Without the
    /// estimate, gateways that have just started would hardly use the backend.
    pub(super) fn record_reserved_demand(
        &mut self,
        session: usize,
        shard: ShardId,
        units: f64,
        is_first_try: bool,
    ) {
        let duration_us = (self.settings.slow_start.duration.0 as f64).max(1.0);
        let observed_us = self.observed_us();
        let demand_tokens = &mut self.sessions.all[session].demand_tokens;
        if !is_first_try || *demand_tokens < units {
            return;
        }
        let Some(shard) = self.shards.get_mut(&shard) else { return };
        *demand_tokens -= units;
        shard.reserved_demand.add(self.now, duration_us, units);
        let Some(index) = shard.active_backend else { return };
        let slow_start = &mut self.backends.all[index].slow_start;
        if slow_start.is_baseline_measured {
            return;
        }
        // Accrue the allowance up to now at the previous baseline.
        if let Some(allowance) = slow_start.allowance(&self.settings, self.now) {
            (slow_start.accrued_units, slow_start.accrued_at) = (allowance.accrued_units, self.now);
        }
        let window_us = self.settings.slow_start.window.0 as f64;
        slow_start.baseline_rate = shard.reserved_demand.sum / observed_us.max(window_us) * MICROS_PER_SECOND;
    }
}
