//! The cost of a single request with a long backend list, which shows the cost of code that visits every shard.
use super::{request, SchedulerHarness, ATTEMPT_TIME};
use crate::quantiles::Quantiles;
use crate::{Error, Run};
use scheduler::interface::*;

/// Number of requests of each kind in a run.
const REQUESTS_PER_KIND: u64 = 100;
/// The first id of these requests, above the ids of the traffic.
const FIRST_ID: u64 = 1 << 32;
/// Units of the largest request; sixteen of them are the most that a volume may have outstanding.
const LARGEST_UNITS: f64 = 6.0;
/// Number of a volume's largest requests that wait beyond the outstanding ones.
const WAITING_REQUESTS: u64 = 40;

/// Measures a read of a known shard, a new object that is placed, and a completion that frees credits of a volume.
pub(super) fn measure(harness: &mut SchedulerHarness, size: u64, run: &mut Run) -> Result<(), Error> {
    let (mut arrivals, mut ends, mut placements) = (Quantiles::new()?, Quantiles::new()?, Quantiles::new()?);
    for n in 0..REQUESTS_PER_KIND {
        let shard = Some(ShardId((n * size / REQUESTS_PER_KIND) as u32));
        let (arrival_us, end_us) = send_one(harness, Request { shard, ..short_lived(FIRST_ID + n, n) });
        arrivals.record(arrival_us);
        end_us.into_iter().for_each(|took| ends.record(took));
    }
    for n in REQUESTS_PER_KIND..2 * REQUESTS_PER_KIND {
        let (placement_us, _) = send_one(harness, Request { shard: None, ..short_lived(FIRST_ID + n, n) });
        placements.record(placement_us);
    }
    arrivals.record_in("read_arrival", "us", run);
    ends.record_in("read_end", "us", run);
    run.record("reads_sent", ends.count() as f64);
    placements.record_in("new_object_arrival", "us", run);
    measure_credits(harness, size, run)
}

/// A request of a volume of its own, in the class with usual deadlines.
fn short_lived(id: u64, volume: u64) -> Request {
    let timeout = Micros(1_200_000);
    Request { class: 1, timeout, ..request(id, 1 << 40 | volume, ShardId(0)) }
}

/// Sends one request, which is served at once or cancelled if the scheduler does not send it.
/// Returns the processor time of both events.
fn send_one(harness: &mut SchedulerHarness, request: Request) -> (f64, Option<f64>) {
    let id = request.id;
    harness.sent.clear();
    let arrival_us = harness.handle(Event::RequestArrived(request));
    let sent = harness.sent.iter().find(|(sent, _)| *sent == id).cloned();
    let end_us = match sent {
        Some((id, backend)) => Some(harness.end_request(id, backend)),
        None => {
            harness.handle(Event::ClientLeft(id));
            None
        }
    };
    (arrival_us, end_us)
}

/// Measures completions of a volume that has used all its credits while more of its requests wait at
/// other shards: each completion lets one of them go.
fn measure_credits(harness: &mut SchedulerHarness, size: u64, run: &mut Run) -> Result<(), Error> {
    let (mut ends, volume) = (Quantiles::new()?, 1 << 41);
    harness.sent.clear();
    for n in 0..16 + WAITING_REQUESTS {
        let shard = ShardId((n * size / (16 + WAITING_REQUESTS)) as u32);
        let request = request(FIRST_ID + 2 * REQUESTS_PER_KIND + n, volume, shard);
        harness.handle(Event::RequestArrived(Request { units: LARGEST_UNITS, ..request }));
    }
    let mut outstanding = std::mem::take(&mut harness.sent);
    run.record(
        "credits_out",
        outstanding.iter().filter(|(id, _)| id.0 >= FIRST_ID + 2 * REQUESTS_PER_KIND).count() as f64,
    );
    while let Some((id, backend)) = outstanding.pop().filter(|_| ends.count() < WAITING_REQUESTS) {
        let took = harness.end_request(id, backend);
        // The volume lacked credits only if this completion let another request go.
        if !harness.sent.is_empty() {
            ends.record(took);
        }
        outstanding.append(&mut harness.sent);
    }
    run.record("credit_ends", ends.count() as f64);
    ends.record_in("credit_end", "us", run);
    Ok(())
}

impl SchedulerHarness {
    /// Reports an outstanding request as served; returns the processor time taken.
    pub(super) fn end_request(&mut self, id: RequestId, backend: BackendId) -> f64 {
        let outcome = AttemptOutcome::Ok;
        self.handle(Event::AttemptEnded(AttemptReport {
            id,
            attempt: 0,
            backend,
            outcome,
            elapsed: ATTEMPT_TIME,
            request_finished: true,
            remote_units: 0.0,
        }))
    }
}
