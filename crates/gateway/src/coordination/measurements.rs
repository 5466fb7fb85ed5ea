//! Measures this gateway's backends for the coordination group.
use crate::backend::endpoint::Endpoint;
use crate::backend::pool::BackendPool;
use crate::context::Context;
use crate::messages::{SchedulerMailbox, SchedulerMessage};
use async_io::Timer;
use cluster_types::{BackendId, Volume};
use config::Config;
use coordination::{BackendMeasurement, CoordinationMessage, Handle, Measurements};
use futures_lite::future;
use scheduler::interface::{BackendState, Micros};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// The interval between measurements. A drain is complete at the first measurement with nothing in flight.
const INTERVAL: Duration = Duration::from_millis(100);
/// The timeout of the query for ejected backends; without an answer no backend counts as ejected.
const SCHEDULER_TIMEOUT: Duration = Duration::from_millis(50);
/// The time without an answer after which an ejected backend counts as dead, in microseconds.
const DEAD_AFTER_US: i64 = 2_000_000;

/// Measures until the process ends.
pub async fn run(context: Rc<Context>, scheduler: SchedulerMailbox, pool: Rc<BackendPool>, handle: Handle) {
    loop {
        Timer::after(INTERVAL).await;
        let ejected = query_ejected_backends(&scheduler).await;
        // If the mailbox is full the measurement is dropped; the next one replaces it.
        handle.send(CoordinationMessage::Measured(measure(&context, &pool, &ejected)));
    }
}

async fn query_ejected_backends(scheduler: &SchedulerMailbox) -> BTreeSet<BackendId> {
    let (to, from) = async_channel::bounded(1);
    if scheduler.try_send(SchedulerMessage::GetEjected(to)).is_err() {
        return BTreeSet::new();
    }
    let timed_out = async {
        Timer::after(SCHEDULER_TIMEOUT).await;
        vec![]
    };
    let ejected = async { from.recv().await.unwrap_or_default() };
    future::or(ejected, timed_out).await.into_iter().collect()
}

fn measure(context: &Context, pool: &BackendPool, ejected: &BTreeSet<BackendId>) -> Measurements {
    let (config, now) = (context.config(), context.clock.now());
    let mut measurements =
        Measurements { is_complete: context.lifecycle.is_serving.get(), ..Measurements::default() };
    let endpoints = pool.endpoints();
    for endpoint in &endpoints {
        endpoint.statistics.is_enabled.set(true);
        let backend = endpoint.entry.borrow().backend.clone();
        let rates = endpoint.statistics.rates(now);
        let units = rates.values().sum();
        for (volume, rate) in rates {
            let measured = measurements.volumes.entry(Volume::from(&*volume)).or_default();
            measured.used += rate;
            for backend in replicas(&endpoints, endpoint) {
                *measured.servable_by.entry(backend).or_default() += rate;
            }
        }
        let measured = measure_backend(&config, endpoint, now, ejected, units);
        measurements.backends.insert(backend, measured);
    }
    let reservations = config.settings.plans.iter().map(|plan| (1000.0 * plan.reservation) as u64);
    measurements.max_reservation = reservations.max().unwrap_or(0);
    measurements
}

fn measure_backend(
    config: &Config,
    endpoint: &Endpoint,
    now: Micros,
    ejected: &BTreeSet<BackendId>,
    units: u64,
) -> BackendMeasurement {
    let (entry, statistics) = (endpoint.entry.borrow(), &endpoint.statistics);
    let is_silent = statistics.last_answered().is_none_or(|at| now.0 - at.0 > DEAD_AFTER_US);
    let recovery_us =
        config.coordination.as_ref().map_or(0, |section| (section.maintenance.warm_up_s * 1e6) as i64);
    let slow_start_us = config.settings.slow_start.duration.0;
    let has_returned = statistics.returned_at().is_some_and(|at| now.0 - at.0 < recovery_us);
    let has_started = entry.started_at.is_some_and(|at| now.0 - at.0 < slow_start_us);
    BackendMeasurement {
        zone: config.zones.get(entry.zone as usize).map_or("", String::as_str).into(),
        is_listed: entry.state != BackendState::Gone,
        is_dead: entry.state == BackendState::Ready && is_silent && ejected.contains(&entry.backend),
        is_warming_up: has_returned || has_started,
        in_flight: statistics.in_flight(),
        since_last_send_us: statistics.last_sent().map(|at| u64::try_from(now.0 - at.0).unwrap_or(0)),
        units,
        has_failed: statistics.take_failed(),
    }
}

/// The backends that could serve what `endpoint` serves: itself, and others that hold the same shard. If there is no other
/// backend, only this one has the data.
fn replicas(endpoints: &[Rc<Endpoint>], endpoint: &Endpoint) -> Vec<BackendId> {
    let entry = endpoint.entry.borrow();
    let others = endpoints.iter().filter_map(|other| {
        let other = other.entry.borrow();
        let is_replica = other.shard == entry.shard
            && other.state == BackendState::Ready
            && other.backend != entry.backend;
        is_replica.then(|| other.backend.clone())
    });
    others.chain([entry.backend.clone()]).collect()
}
