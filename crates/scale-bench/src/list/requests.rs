//! What one request costs where the list is long: the parts of the module that look at every shard show here.
use super::{request, Table, TOOK};
use crate::quantiles::Quantiles;
use crate::{Error, Play};
use scheduler::interface::*;

/// Requests of each kind in a play.
const EACH: u64 = 100;
/// The first number of these requests: above those of the traffic.
const FIRST: u64 = 1 << 32;
/// Units of the largest request; sixteen of them are all that a volume may have out.
const LARGEST: f64 = 6.0;
/// So many of a volume's largest requests wait beyond those that are out.
const WAITING: u64 = 40;

/// Measures a read of a known shard, a new object that is placed, and an end that sets a volume's credits free.
pub(super) fn measure(table: &mut Table, size: u64, play: &mut Play) -> Result<(), Error> {
    let (mut arrivals, mut ends, mut places) = (Quantiles::new()?, Quantiles::new()?, Quantiles::new()?);
    for n in 0..EACH {
        let shard = Some(ShardId((n * size / EACH) as u32));
        let (arrived, ended) = one(table, Request { shard, ..short_lived(FIRST + n, n) });
        arrivals.record(arrived);
        ended.into_iter().for_each(|took| ends.record(took));
    }
    for n in EACH..2 * EACH {
        let (placed, _) = one(table, Request { shard: None, ..short_lived(FIRST + n, n) });
        places.record(placed);
    }
    arrivals.put("read_arrival", "us", play);
    ends.put("read_end", "us", play);
    play.put("reads_sent", ends.count() as f64);
    places.put("new_object_arrival", "us", play);
    credits(table, size, play)
}

/// A request of a volume of its own, in the class of usual times.
fn short_lived(id: u64, volume: u64) -> Request {
    let timeout = Micros(1_200_000);
    Request { class: 1, timeout, ..request(id, 1 << 40 | volume, ShardId(0)) }
}

/// One request arrives and is served at once, or is taken back where it is not sent: what both took.
fn one(table: &mut Table, request: Request) -> (f64, Option<f64>) {
    let id = request.id;
    table.sent.clear();
    let arrived = table.tell(Event::RequestArrived(request));
    let sent = table.sent.iter().find(|(sent, _)| *sent == id).cloned();
    let ended = match sent {
        Some((id, node)) => Some(table.end(id, node)),
        None => {
            table.tell(Event::ClientLeft(id));
            None
        }
    };
    (arrived, ended)
}

/// A volume has all out that its credits allow, and more waiting at other shards: each end lets one of these go.
fn credits(table: &mut Table, size: u64, play: &mut Play) -> Result<(), Error> {
    let (mut ends, volume) = (Quantiles::new()?, 1 << 41);
    table.sent.clear();
    for n in 0..16 + WAITING {
        let shard = ShardId((n * size / (16 + WAITING)) as u32);
        let request = request(FIRST + 2 * EACH + n, volume, shard);
        table.tell(Event::RequestArrived(Request { units: LARGEST, ..request }));
    }
    let mut out = std::mem::take(&mut table.sent);
    play.put("credits_out", out.iter().filter(|(id, _)| id.0 >= FIRST + 2 * EACH).count() as f64);
    while let Some((id, node)) = out.pop().filter(|_| ends.count() < WAITING) {
        let took = table.end(id, node);
        // Only where another one went was the volume short of credits.
        if !table.sent.is_empty() {
            ends.record(took);
        }
        out.append(&mut table.sent);
    }
    play.put("credit_ends", ends.count() as f64);
    ends.put("credit_end", "us", play);
    Ok(())
}

impl Table {
    /// A request that is out was served: what the module took.
    pub(super) fn end(&mut self, id: RequestId, node: BackendId) -> f64 {
        let outcome = AttemptOutcome::Ok;
        self.tell(Event::AttemptEnded(AttemptReport {
            id,
            attempt: 0,
            backend: node,
            outcome,
            elapsed: TOOK,
            request_finished: true,
            remote_units: 0.0,
        }))
    }
}
