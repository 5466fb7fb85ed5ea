//! Clients: threads that read and book in a seeded way, and write down what became of each request.
mod blocks;
mod commands;

use crate::engine::{lock, Clock};
use hdrhistogram::Histogram;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// What the value of each booking begins with; its id follows.
pub const BOOKING: &str = "booking-";

/// A volume, as clients know it.
#[derive(Clone, Debug)]
pub struct Volume {
    /// 16 hex digits.
    pub name: String,
    /// Its plan.
    pub plan: String,
    /// The shard that holds it.
    pub shard: i64,
    /// Its LUN, for clients that speak iSCSI.
    pub lun: u8,
}

/// What clients do.
#[derive(Clone, Debug)]
pub struct Load {
    /// The fronts and where they are reached.
    pub fronts: Vec<(String, SocketAddr)>,
    /// The volumes.
    pub volumes: Vec<Volume>,
    /// Pieces (or places for blocks) of a volume that are used.
    pub pieces: u64,
    /// The share of bookings.
    pub writes: f64,
    /// The class of reads, and how long one waits.
    pub read: (String, Duration),
    /// The class of bookings, and how long one waits.
    pub write: (String, Duration),
    /// The most units of a request.
    pub units: u32,
    /// The most requests that a client sends at once on a connection.
    pub depth: usize,
    /// How long a client rests between requests, at most.
    pub rest: Duration,
    /// The name of the target; clients speak iSCSI where there is one.
    pub target: Option<String>,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// Served, with the value.
    Served(Vec<u8>),
    /// Refused, with the hint.
    Busy(Option<u64>),
    /// Failed, with the words.
    Failed(String),
    /// The connection ended before an answer.
    Closed,
    /// No connection came up: it was never sent.
    Unsent,
    /// No answer within twice its time and more; the client left.
    Unanswered,
}

/// A request and its end.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: String,
    /// The front.
    pub front: String,
    /// The volume, and the piece or block.
    pub key: (String, u64),
    /// The value that is booked; none for a read.
    pub booked: Option<Vec<u8>>,
    /// Its units.
    pub units: u32,
    /// When it was sent, and its place in the order then.
    pub sent: (Duration, u64),
    /// When it ended, and its place in the order then.
    pub ended: (Duration, u64),
    /// How it ended.
    pub end: End,
    /// What came on its connection that nobody had asked for.
    pub extra: usize,
}

/// Everything that clients have seen.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// In the order of their ends.
    pub requests: Vec<Request>,
}

impl History {
    /// How many ended how.
    pub fn counts(&self) -> BTreeMap<&'static str, usize> {
        let mut counts = BTreeMap::new();
        for request in &self.requests {
            let name = match request.end {
                End::Served(_) => "served",
                End::Busy(_) => "busy",
                End::Failed(_) => "failed",
                End::Closed => "closed",
                End::Unsent => "unsent",
                End::Unanswered => "unanswered",
            };
            *counts.entry(name).or_default() += 1;
        }
        counts
    }

    /// Microseconds from sending to the answer, of those that were served.
    pub fn latency(&self) -> Option<Histogram<u64>> {
        let mut all = Histogram::new(3).ok()?;
        for r in self.requests.iter().filter(|r| matches!(r.end, End::Served(_))) {
            let span = (r.ended.0 - r.sent.0).as_micros();
            all.record(u64::try_from(span).unwrap_or(u64::MAX).max(1)).ok()?;
        }
        Some(all)
    }
}

/// Clients at work; they stop when dropped.
pub struct Clients {
    stop: Arc<AtomicBool>,
    history: Arc<Mutex<History>>,
    threads: Vec<JoinHandle<()>>,
}

/// What one client holds.
struct Client {
    number: usize,
    load: Load,
    clock: Clock,
    rng: SmallRng,
    made: u64,
    seed: u64,
    history: Arc<Mutex<History>>,
    stop: Arc<AtomicBool>,
}

impl Clients {
    /// Starts so many.
    pub fn start(load: &Load, count: usize, seed: u64, clock: &Clock) -> std::io::Result<Clients> {
        let mut all = Clients { stop: Arc::default(), history: Arc::default(), threads: vec![] };
        for number in 0..count {
            let client = Client {
                number,
                load: load.clone(),
                clock: clock.clone(),
                rng: SmallRng::seed_from_u64(seed ^ (number as u64) << 32),
                made: 0,
                seed,
                history: all.history.clone(),
                stop: all.stop.clone(),
            };
            let work = move || match client.load.target.is_some() {
                true => blocks::run(client),
                false => commands::run(client),
            };
            all.threads.push(std::thread::Builder::new().name(format!("client-{number}")).spawn(work)?);
        }
        Ok(all)
    }

    /// What they have seen so far.
    pub fn history(&self) -> History {
        lock(&self.history).clone()
    }

    /// Lets them end what they have begun; gives everything that they have seen.
    pub fn finish(mut self) -> History {
        self.end();
        self.history()
    }

    fn end(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|t| drop(t.join()));
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.end();
    }
}

impl Client {
    fn goes_on(&self) -> bool {
        !self.stop.load(Ordering::Relaxed)
    }

    /// Picks what is asked next, of a volume at a front.
    fn next(&mut self, front: &str, volume: &Volume) -> Request {
        self.made += 1;
        // Ids are unique in a run, and tell the client apart from others with the same seed.
        let id = format!("{:08x}{:03x}{:05x}", self.seed as u32, self.number & 0xfff, self.made & 0xf_ffff);
        let booked = self.rng.random_bool(self.load.writes.clamp(0.0, 1.0));
        Request {
            booked: booked.then(|| format!("{BOOKING}{id}").into_bytes()),
            id,
            front: front.into(),
            key: (volume.name.clone(), self.rng.random_range(0..self.load.pieces.max(1))),
            units: self.rng.random_range(1..=self.load.units.max(1)),
            sent: (self.clock.now(), self.clock.order()),
            ended: Default::default(),
            end: End::Unsent,
            extra: 0,
        }
    }

    fn ended(&self, mut request: Request, end: End) {
        request.end = end;
        request.ended = (self.clock.now(), self.clock.order());
        lock(&self.history).requests.push(request);
    }

    /// How long the client of a request waits before it leaves; the front must have answered long before.
    fn patience(&self, request: &Request) -> Duration {
        let wait = if request.booked.is_some() { self.load.write.1 } else { self.load.read.1 };
        wait * 2 + Duration::from_secs(1)
    }

    fn rest(&mut self) {
        let most = self.load.rest.as_micros() as u64;
        std::thread::sleep(Duration::from_micros(self.rng.random_range(0..=most)));
    }
}

/// Whether a kept connection has not ended meanwhile.
fn fresh(stream: &TcpStream) -> bool {
    let quiet = stream.set_nonblocking(true).is_ok()
        && stream.peek(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
    stream.set_nonblocking(false).is_ok() && quiet
}
