//! Clients: threads that read and write as a seed determines, and record the outcome of each request.
mod iscsi_client;
mod resp_client;

use crate::runtime::{lock, Clock};
use hdrhistogram::Histogram;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// Prefix of each value that is written; the id of the request follows.
pub const WRITE_VALUE_PREFIX: &str = "booking-";

/// A volume, as clients know it.
#[derive(Clone, Debug)]
pub struct Volume {
    /// 16 hex digits.
    pub name: String,
    /// Its plan.
    pub plan: String,
    /// The shard that holds it.
    pub shard: i64,
    /// Its LUN, for iSCSI clients.
    pub lun: u8,
}

/// The load that clients generate.
#[derive(Clone, Debug)]
pub struct Load {
    /// Names and addresses of the gateways.
    pub gateways: Vec<(String, SocketAddr)>,
    /// The volumes.
    pub volumes: Vec<Volume>,
    /// Number of pieces (or blocks) of a volume that are used.
    pub pieces: u64,
    /// Share of writes.
    pub write_share: f64,
    /// Class of reads, and how long a client waits for one.
    pub read_class: (String, Duration),
    /// Class of writes, and how long a client waits for one.
    pub write_class: (String, Duration),
    /// Limit on the units of a request.
    pub max_units: u32,
    /// Limit on the requests that a client sends at once on a connection.
    pub max_pipelined: usize,
    /// Limit on the pause between requests.
    pub max_pause: Duration,
    /// Name of the iSCSI target; clients use RESP2 where there is none.
    pub target: Option<String>,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// Served, with the value.
    Served(Vec<u8>),
    /// Refused, with the retry hint.
    Busy(Option<u64>),
    /// Failed, with the error text.
    Failed(String),
    /// The connection ended before an answer.
    Closed,
    /// No connection was established: the request was never sent.
    Unsent,
    /// No answer within more than twice the waiting time; the client gave up.
    Unanswered,
}

/// A request and its outcome.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: String,
    /// The gateway.
    pub gateway: String,
    /// The volume, and the piece or block.
    pub key: (String, u64),
    /// The value to be written; none for a read.
    pub written: Option<Vec<u8>>,
    /// Its units.
    pub units: u32,
    /// Time and sequence number of its sending.
    pub sent: (Duration, u64),
    /// Time and sequence number of its end.
    pub ended: (Duration, u64),
    /// How it ended.
    pub end: RequestEnd,
    /// Bytes that were received on its connection beyond the answers.
    pub extra: usize,
}

/// All requests of the clients.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// In the order of their ends.
    pub requests: Vec<Request>,
}

impl History {
    /// Number of requests by how they ended.
    pub fn counts(&self) -> BTreeMap<&'static str, usize> {
        let mut counts = BTreeMap::new();
        for request in &self.requests {
            let name = match request.end {
                RequestEnd::Served(_) => "served",
                RequestEnd::Busy(_) => "busy",
                RequestEnd::Failed(_) => "failed",
                RequestEnd::Closed => "closed",
                RequestEnd::Unsent => "unsent",
                RequestEnd::Unanswered => "unanswered",
            };
            *counts.entry(name).or_default() += 1;
        }
        counts
    }

    /// Microseconds from sending to the answer, of requests that were served.
    pub fn latency(&self) -> Option<Histogram<u64>> {
        let mut all = Histogram::new(3).ok()?;
        for r in self.requests.iter().filter(|r| matches!(r.end, RequestEnd::Served(_))) {
            let span = (r.ended.0 - r.sent.0).as_micros();
            all.record(u64::try_from(span).unwrap_or(u64::MAX).max(1)).ok()?;
        }
        Some(all)
    }
}

/// Running clients; dropping them stops them.
pub struct Clients {
    stop: Arc<AtomicBool>,
    history: Arc<Mutex<History>>,
    threads: Vec<JoinHandle<()>>,
}

/// The state of one client.
struct Client {
    number: usize,
    load: Load,
    clock: Clock,
    rng: SmallRng,
    requested: u64,
    seed: u64,
    history: Arc<Mutex<History>>,
    stop: Arc<AtomicBool>,
}

impl Clients {
    /// Starts that many clients.
    pub fn start(load: &Load, count: usize, seed: u64, clock: &Clock) -> std::io::Result<Clients> {
        let mut all = Clients { stop: Arc::default(), history: Arc::default(), threads: vec![] };
        for number in 0..count {
            let client = Client {
                number,
                load: load.clone(),
                clock: clock.clone(),
                rng: SmallRng::seed_from_u64(seed ^ (number as u64) << 32),
                requested: 0,
                seed,
                history: all.history.clone(),
                stop: all.stop.clone(),
            };
            let work = move || match client.load.target.is_some() {
                true => iscsi_client::run(client),
                false => resp_client::run(client),
            };
            all.threads.push(std::thread::Builder::new().name(format!("client-{number}")).spawn(work)?);
        }
        Ok(all)
    }

    /// The requests that have ended so far.
    pub fn history(&self) -> History {
        lock(&self.history).clone()
    }

    /// Stops the clients once their requests have ended, and returns all requests.
    pub fn finish(mut self) -> History {
        self.stop();
        self.history()
    }

    fn stop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|t| drop(t.join()));
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Client {
    fn is_running(&self) -> bool {
        !self.stop.load(Ordering::Relaxed)
    }

    /// Draws the next request for a volume, to be sent to a gateway.
    fn next_request(&mut self, gateway: &str, volume: &Volume) -> Request {
        self.requested += 1;
        // Ids are unique in a run and distinguish clients that have the same seed.
        let id =
            format!("{:08x}{:03x}{:05x}", self.seed as u32, self.number & 0xfff, self.requested & 0xf_ffff);
        let is_write = self.rng.random_bool(self.load.write_share.clamp(0.0, 1.0));
        Request {
            written: is_write.then(|| format!("{WRITE_VALUE_PREFIX}{id}").into_bytes()),
            id,
            gateway: gateway.into(),
            key: (volume.name.clone(), self.rng.random_range(0..self.load.pieces.max(1))),
            units: self.rng.random_range(1..=self.load.max_units.max(1)),
            sent: (self.clock.now(), self.clock.next_sequence()),
            ended: Default::default(),
            end: RequestEnd::Unsent,
            extra: 0,
        }
    }

    fn record_end(&self, mut request: Request, end: RequestEnd) {
        request.end = end;
        request.ended = (self.clock.now(), self.clock.next_sequence());
        lock(&self.history).requests.push(request);
    }

    /// How long a client waits for an answer; the gateway must have answered long before.
    fn timeout(&self, request: &Request) -> Duration {
        let wait = if request.written.is_some() { self.load.write_class.1 } else { self.load.read_class.1 };
        wait * 2 + Duration::from_secs(1)
    }

    fn sleep(&mut self) {
        let most = self.load.max_pause.as_micros() as u64;
        std::thread::sleep(Duration::from_micros(self.rng.random_range(0..=most)));
    }
}

/// Whether a connection that was kept is still open and has nothing to read.
fn is_open(stream: &TcpStream) -> bool {
    let quiet = stream.set_nonblocking(true).is_ok()
        && stream.peek(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
    stream.set_nonblocking(false).is_ok() && quiet
}
