//! A client that speaks RESP2.
use super::{fresh, Client, End, Request, Volume};
use rand::Rng;
use std::collections::{BTreeMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const CONNECT: Duration = Duration::from_secs(1);
/// The longest value that a client takes.
const LONGEST: usize = 8 * 1024 * 1024;

/// Works until it is told to stop.
pub(super) fn run(mut client: Client) {
    let mut open: BTreeMap<String, TcpStream> = BTreeMap::new();
    while client.goes_on() {
        client.rest();
        let pick = client.rng.random_range(0..client.load.fronts.len());
        let (front, at) = client.load.fronts[pick].clone();
        let count = client.rng.random_range(1..=client.load.depth.max(1));
        let mut asked = VecDeque::new();
        for _ in 0..count {
            let pick = client.rng.random_range(0..client.load.volumes.len());
            let volume = client.load.volumes[pick].clone();
            asked.push_back((client.next(&front, &volume), volume));
        }
        let stream = open.remove(&front).filter(fresh).or_else(|| connect(at));
        let Some(mut stream) = stream else {
            asked.into_iter().for_each(|(r, _)| client.ended(r, End::Unsent));
            std::thread::sleep(Duration::from_millis(50));
            continue;
        };
        if exchange(&client, &mut stream, asked) {
            open.insert(front, stream);
        }
    }
}

fn connect(at: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&at, CONNECT).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

fn command(client: &Client, request: &Request, volume: &Volume) -> Vec<u8> {
    let load = &client.load;
    let (verb, class): (&[u8], _) = match request.booked {
        Some(_) => (b"PWRITE", &load.write),
        None => (b"PREAD", &load.read),
    };
    let (plan, hosts, wait) = (&volume.plan, load.fronts.len(), class.1.as_millis());
    let list = format!(
        "c={},t={plan},d={wait},volume={},units={},shard={},hosts={hosts}",
        class.0, volume.name, request.units, volume.shard
    );
    let piece = format!("{:016x}", request.key.1);
    let mut words = vec![verb, piece.as_bytes(), request.id.as_bytes(), list.as_bytes()];
    words.extend(request.booked.as_deref());
    let mut out = Vec::new();
    resp::write_command(&mut out, &words);
    out
}

/// Sends all at once and takes the answers in their order; tells whether the connection may be used again.
fn exchange(client: &Client, stream: &mut TcpStream, mut asked: VecDeque<(Request, Volume)>) -> bool {
    let mut out = Vec::new();
    for (request, volume) in &mut asked {
        request.sent = (client.clock.now(), client.clock.order());
        out.extend(command(client, request, volume));
    }
    let written = stream.write_all(&out).is_ok();
    let patience = asked.iter().map(|(r, _)| client.patience(r)).max().unwrap_or_default();
    let until = Instant::now() + patience;
    let mut came: Vec<u8> = Vec::new();
    let mut piece = [0; 16 * 1024];
    while let Some((mut request, _)) = asked.pop_front() {
        let end = loop {
            match resp::reply(&came, LONGEST) {
                Ok(Some((reply, used))) => {
                    let end = understood(&reply);
                    came.drain(..used);
                    break end;
                }
                Err(e) => break End::Failed(format!("bytes that are no reply: {e}")),
                Ok(None) => {}
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break End::Unanswered;
            }
            if !written || stream.set_read_timeout(Some(left)).is_err() {
                break End::Closed;
            }
            match stream.read(&mut piece) {
                Ok(0) => break End::Closed,
                Ok(count) => came.extend_from_slice(&piece[..count]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => break End::Closed,
            }
        };
        if asked.is_empty() {
            request.extra = came.len();
        }
        let broken = matches!(end, End::Closed | End::Unanswered);
        client.ended(request, end.clone());
        if broken {
            asked.into_iter().for_each(|(r, _)| client.ended(r, end.clone()));
            return false;
        }
    }
    came.is_empty()
}

fn understood(reply: &resp::Reply<'_>) -> End {
    match reply {
        resp::Reply::Bulk(Some(value)) => End::Served(value.to_vec()),
        resp::Reply::Array(parts) => match parts.first() {
            Some(resp::Reply::Bulk(Some(value))) => End::Served(value.to_vec()),
            _ => End::Failed("an array without a value".into()),
        },
        resp::Reply::Error(line) => {
            let line = String::from_utf8_lossy(line);
            match line.strip_prefix("BUSY") {
                Some("") => End::Busy(None),
                Some(hint) => match hint.trim().parse() {
                    Ok(ms) => End::Busy(Some(ms)),
                    Err(_) => End::Failed(line.into_owned()),
                },
                None => End::Failed(line.into_owned()),
            }
        }
        other => End::Failed(format!("{other:?}")),
    }
}
