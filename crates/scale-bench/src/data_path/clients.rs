//! Closed-loop clients: each has its own connection and thread, and sends a request once the previous one was
//! answered.
use super::backends::STACK_BYTES;
use crate::Error;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::thread::{sleep, Builder, JoinHandle};
use std::time::{Duration, Instant};

/// Timeout that a client sends with each read, in milliseconds.
const REQUEST_TIMEOUT_MS: u32 = 1_000;
/// Time for which a client waits for a reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause of a client after an error reply.
const ERROR_PAUSE: Duration = Duration::from_millis(1);

/// Phases of a client: it sends unmeasured requests, sends measured requests, and stops.
const WARMING: u8 = 0;
const MEASURED: u8 = 1;
const STOPPED: u8 = 2;

/// Results of a client from the measured phase.
#[derive(Default)]
pub struct ClientResults {
    /// The latency of each served read, in microseconds.
    pub latencies_us: Vec<f32>,
    /// The number of reads with an error reply.
    pub errors: u64,
    /// The first error reply.
    pub first_error: Option<String>,
    /// Why its connection ended early.
    pub end_reason: Option<String>,
}

/// The clients of a run.
pub struct ClientPool {
    phase: Arc<AtomicU8>,
    threads: Vec<JoinHandle<ClientResults>>,
}

impl ClientPool {
    /// Starts the given number of clients, which read the given number of volumes and shards.
    pub fn start(
        gateway: SocketAddr,
        (count, seed): (u64, u64),
        volumes: u64,
        shards: u64,
    ) -> Result<ClientPool, Error> {
        let phase = Arc::new(AtomicU8::new(WARMING));
        let client = |index: u64| {
            let phase = phase.clone();
            let work = move || {
                let mut results = ClientResults::default();
                if let Err(e) =
                    send_requests(gateway, (index, count, seed), (volumes, shards), &phase, &mut results)
                {
                    results.end_reason = Some(e.to_string());
                }
                results
            };
            Builder::new().stack_size(STACK_BYTES).spawn(work)
        };
        let threads: io::Result<Vec<_>> = (0..count).map(client).collect();
        Ok(ClientPool { threads: threads.map_err(Error::io("a thread"))?, phase })
    }

    /// Starts the measured phase.
    pub fn start_measuring(&self) {
        self.phase.store(MEASURED, Ordering::Relaxed);
    }

    /// Stops all clients and returns their results.
    pub fn stop(self) -> Vec<ClientResults> {
        self.phase.store(STOPPED, Ordering::Relaxed);
        self.threads.into_iter().filter_map(|client| client.join().ok()).collect()
    }
}

/// Sends requests until the phase is `STOPPED`. Each client draws its own volumes and shards.
fn send_requests(
    gateway: SocketAddr,
    (index, count, seed): (u64, u64, u64),
    (volumes, shards): (u64, u64),
    phase: &AtomicU8,
    results: &mut ClientResults,
) -> io::Result<()> {
    let mut stream = TcpStream::connect(gateway)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(REPLY_TIMEOUT))?;
    let mut rng = SmallRng::seed_from_u64(seed << 32 | index);
    let (mut command, mut received) = (Vec::new(), Vec::new());
    for n in (index..).step_by(count as usize) {
        let is_measured = match phase.load(Ordering::Relaxed) {
            STOPPED => return Ok(()),
            phase => phase == MEASURED,
        };
        let (volume, shard) = (rng.random_range(0..volumes), rng.random_range(0..shards));
        let arguments =
            format!("c=stock-read,t=premium,d={REQUEST_TIMEOUT_MS},volume={volume:016x},units=1,shard={shard},hosts=1");
        command.clear();
        let (piece, id) = (format!("{n:016x}"), n.to_string());
        resp::write_command(&mut command, &[b"PREAD", piece.as_bytes(), id.as_bytes(), arguments.as_bytes()]);
        let started_at = Instant::now();
        stream.write_all(&command)?;
        let error_line = read_reply(&mut stream, &mut received)?;
        match error_line {
            None if is_measured => results.latencies_us.push(started_at.elapsed().as_secs_f32() * 1e6),
            None => {}
            Some(line) => {
                results.errors += u64::from(is_measured);
                results.first_error.get_or_insert(line);
                sleep(ERROR_PAUSE);
            }
        }
    }
    Ok(())
}

/// Reads the next reply; returns its line if it is an error.
fn read_reply(stream: &mut TcpStream, received: &mut Vec<u8>) -> io::Result<Option<String>> {
    let mut bytes = [0; 4096];
    loop {
        let parsed = resp::reply(received, resp::MAX_VALUE_BYTES).map_err(io::Error::other)?;
        if let Some((reply, consumed)) = parsed {
            let error_line = match reply {
                resp::Reply::Error(line) => Some(String::from_utf8_lossy(line).into_owned()),
                _ => None,
            };
            received.drain(..consumed);
            return Ok(error_line);
        }
        match stream.read(&mut bytes)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => received.extend_from_slice(&bytes[..count]),
        }
    }
}
