//! Clients in a closed loop: each asks again once it was answered, on one connection with a thread of its own.
use super::boxes::STACK;
use crate::Error;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::thread::{sleep, Builder, JoinHandle};
use std::time::{Duration, Instant};

/// How long a client's read waits at the front, in milliseconds.
const WAIT_MS: u32 = 1_000;
/// How long a client waits for any answer.
const PATIENCE: Duration = Duration::from_secs(5);
/// How long a client stays away that was refused.
const AWAY: Duration = Duration::from_millis(1);

/// What goes on: clients ask, what they see is measured, and they stop.
const WARMING: u8 = 0;
const MEASURED: u8 = 1;
const STOPPED: u8 = 2;

/// What a client saw while it was measured.
#[derive(Default)]
pub struct Seen {
    /// How long each served read took, in microseconds.
    pub served_us: Vec<f32>,
    /// Reads that were refused or failed, with the line that said so.
    pub errors: u64,
    /// The first line of them.
    pub line: Option<String>,
    /// Why its connection ended before its time.
    pub ended: Option<String>,
}

/// All clients.
pub struct Clients {
    phase: Arc<AtomicU8>,
    running: Vec<JoinHandle<Seen>>,
}

impl Clients {
    /// So many clients, of so many volumes and shards.
    pub fn start(
        front: SocketAddr,
        (count, seed): (u64, u64),
        volumes: u64,
        shards: u64,
    ) -> Result<Clients, Error> {
        let phase = Arc::new(AtomicU8::new(WARMING));
        let client = |nth: u64| {
            let phase = phase.clone();
            let work = move || {
                let mut seen = Seen::default();
                if let Err(e) = ask(front, (nth, count, seed), (volumes, shards), &phase, &mut seen) {
                    seen.ended = Some(e.to_string());
                }
                seen
            };
            Builder::new().stack_size(STACK).spawn(work)
        };
        let running: io::Result<Vec<_>> = (0..count).map(client).collect();
        Ok(Clients { running: running.map_err(Error::io("a thread"))?, phase })
    }

    /// What is seen from now on counts.
    pub fn measure(&self) {
        self.phase.store(MEASURED, Ordering::Relaxed);
    }

    /// No more is asked; what each client saw.
    pub fn stop(self) -> Vec<Seen> {
        self.phase.store(STOPPED, Ordering::Relaxed);
        self.running.into_iter().filter_map(|client| client.join().ok()).collect()
    }
}

/// Asks until it is to stop. Each client draws volumes and shards of its own.
fn ask(
    front: SocketAddr,
    (nth, count, seed): (u64, u64, u64),
    (volumes, shards): (u64, u64),
    phase: &AtomicU8,
    seen: &mut Seen,
) -> io::Result<()> {
    let mut stream = TcpStream::connect(front)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    let mut rng = SmallRng::seed_from_u64(seed << 32 | nth);
    let (mut command, mut came) = (Vec::new(), Vec::new());
    for n in (nth..).step_by(count as usize) {
        let measured = match phase.load(Ordering::Relaxed) {
            STOPPED => return Ok(()),
            phase => phase == MEASURED,
        };
        let (volume, shard) = (rng.random_range(0..volumes), rng.random_range(0..shards));
        let list =
            format!("c=stock-read,t=premium,d={WAIT_MS},volume={volume:016x},units=1,shard={shard},hosts=1");
        command.clear();
        let (piece, id) = (format!("{n:016x}"), n.to_string());
        resp::write_command(&mut command, &[b"PREAD", piece.as_bytes(), id.as_bytes(), list.as_bytes()]);
        let begun = Instant::now();
        stream.write_all(&command)?;
        let error = answer(&mut stream, &mut came)?;
        match error {
            None if measured => seen.served_us.push(begun.elapsed().as_secs_f32() * 1e6),
            None => {}
            Some(line) => {
                seen.errors += u64::from(measured);
                seen.line.get_or_insert(line);
                sleep(AWAY);
            }
        }
    }
    Ok(())
}

/// The next answer: the line where it is an error.
fn answer(stream: &mut TcpStream, came: &mut Vec<u8>) -> io::Result<Option<String>> {
    let mut bytes = [0; 4096];
    loop {
        let whole = resp::reply(came, resp::MAX_VALUE_BYTES).map_err(io::Error::other)?;
        if let Some((reply, used)) = whole {
            let error = match reply {
                resp::Reply::Error(line) => Some(String::from_utf8_lossy(line).into_owned()),
                _ => None,
            };
            came.drain(..used);
            return Ok(error);
        }
        match stream.read(&mut bytes)? {
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            count => came.extend_from_slice(&bytes[..count]),
        }
    }
}
