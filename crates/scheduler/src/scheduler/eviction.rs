//! Bounds memory: evicts volumes, backends and unserved requests that are no longer needed.
use super::backend::Backend;
use super::session::Session;
use super::state::UnservedRequest;
use super::Scheduler;
use crate::interface::{BackendState, Micros, Request};
use crate::time::span_us;
use std::collections::BTreeSet;

/// Number of known volumes up to which none is evicted.
const VOLUMES_BEFORE_SWEEP: usize = 1024;
/// Maximum number of known volumes.
const MAX_VOLUMES: usize = 8192;

impl Scheduler {
    /// Removes unserved requests whose clients have timed out.
    pub(super) fn expire_unserved(&mut self) {
        self.unserved = self.unserved.split_off(&UnservedRequest::lower_bound(self.now, Micros(0)));
    }

    /// Evicts backends that have left the list, once nothing is in flight there and nothing that they were
    /// sent counts against an allowance of slow start.
    pub(super) fn evict_departed_backends(&mut self) {
        let window_us = self.settings.slow_start.window.0 as f64;
        for index in std::mem::take(&mut self.backends.departed) {
            let backend = &mut self.backends.all[index];
            if backend.entry.state != BackendState::Gone {
                continue;
            }
            let slow_start = &backend.slow_start;
            let has_recent_sends =
                !slow_start.sends.is_empty() && span_us(slow_start.accrued_at, self.now) <= window_us;
            if !backend.in_flight.is_empty() || has_recent_sends {
                self.backends.departed.insert(index);
            } else if self.backends.by_id.remove(&backend.entry.backend).is_some() {
                *backend = Backend::default();
                backend.entry.state = BackendState::Gone;
                self.backends.free.push(index);
            }
        }
    }

    /// Evicts volumes whose state equals that of an unknown one: nothing queued or in flight, and full token
    /// buckets. This refills no rate limit, since its bucket is already full.
    fn evict_idle_volumes(&mut self) {
        self.expire_unserved();
        for shard in self.shards.values_mut() {
            shard.queues.retain(|_, queue| !queue.requests.is_empty());
        }
        let unserved: BTreeSet<usize> = self.unserved.iter().map(|unserved| unserved.session).collect();
        let (settings, now, sessions) = (&self.settings, self.now, &mut self.sessions);
        sessions.by_volume.retain(|_, index| {
            let session = &mut sessions.all[*index];
            let is_full = session.refill(settings, now);
            let is_needed = !is_full || session.open_requests > 0 || unserved.contains(index);
            sessions.free.extend((!is_needed).then_some(*index));
            is_needed
        });
    }

    /// Returns the index of a volume's session, which is created if the volume isn't known. `None` if too
    /// many volumes are known.
    pub(super) fn find_or_create_session(&mut self, request: &Request, gateways: f64) -> Option<usize> {
        if let Some(index) = self.sessions.by_volume.get(&request.volume) {
            return Some(*index);
        }
        if self.sessions.by_volume.len() >= self.sessions.sweep_at.max(VOLUMES_BEFORE_SWEEP) {
            self.evict_idle_volumes();
            let known = self.sessions.by_volume.len();
            self.sessions.sweep_at = (2 * known).min(MAX_VOLUMES);
            if known >= MAX_VOLUMES {
                return None;
            }
        }
        // The rate limit's bucket starts empty when this gateway starts: the gateway doesn't know what it
        // sent before, and a full bucket after each start would exceed the limit.
        let limit_refilled_at = self.rate_limits_refill_from.or(self.started_at).unwrap_or(self.now);
        let session = Session {
            plan: request.plan,
            gateways,
            reservation_tokens: f64::INFINITY,
            demand_tokens: f64::INFINITY,
            reservation_refilled_at: self.now,
            limit_refilled_at,
            ..Session::default()
        };
        let sessions = &mut self.sessions;
        let index = sessions.free.pop().unwrap_or(sessions.all.len());
        sessions.all.resize_with(sessions.all.len().max(index + 1), Session::default);
        sessions.all[index] = session;
        sessions.by_volume.insert(request.volume.clone(), index);
        Some(index)
    }
}
