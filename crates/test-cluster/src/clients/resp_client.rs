//! A RESP2 client.
use super::{is_open, Client, Request, RequestEnd, Volume};
use rand::Rng;
use std::collections::{BTreeMap, VecDeque};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Limit on the size of a value.
const MAX_VALUE_BYTES: usize = 8 * 1024 * 1024;

/// Sends requests until the client is stopped.
pub(super) fn run(mut client: Client) {
    let mut connections: BTreeMap<String, TcpStream> = BTreeMap::new();
    while client.is_running() {
        client.sleep();
        let pick = client.rng.random_range(0..client.load.gateways.len());
        let (gateway, at) = client.load.gateways[pick].clone();
        let count = client.rng.random_range(1..=client.load.max_pipelined.max(1));
        let mut pending = VecDeque::new();
        for _ in 0..count {
            let pick = client.rng.random_range(0..client.load.volumes.len());
            let volume = client.load.volumes[pick].clone();
            pending.push_back((client.next_request(&gateway, &volume), volume));
        }
        let stream = connections.remove(&gateway).filter(is_open).or_else(|| connect(at));
        let Some(mut stream) = stream else {
            pending.into_iter().for_each(|(r, _)| client.record_end(r, RequestEnd::Unsent));
            std::thread::sleep(Duration::from_millis(50));
            continue;
        };
        if exchange(&client, &mut stream, pending) {
            connections.insert(gateway, stream);
        }
    }
}

fn connect(at: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&at, CONNECT_TIMEOUT).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

fn encode_command(client: &Client, request: &Request, volume: &Volume) -> Vec<u8> {
    let load = &client.load;
    let (verb, class): (&[u8], _) = match request.written {
        Some(_) => (b"PWRITE", &load.write_class),
        None => (b"PREAD", &load.read_class),
    };
    let (plan, hosts, wait) = (&volume.plan, load.gateways.len(), class.1.as_millis());
    let parameters = format!(
        "c={},t={plan},d={wait},volume={},units={},shard={},hosts={hosts}",
        class.0, volume.name, request.units, volume.shard
    );
    let piece = format!("{:016x}", request.key.1);
    let mut words = vec![verb, piece.as_bytes(), request.id.as_bytes(), parameters.as_bytes()];
    words.extend(request.written.as_deref());
    let mut out = Vec::new();
    resp::write_command(&mut out, &words);
    out
}

/// Sends all requests at once and reads their answers in order; returns whether the connection can be reused.
fn exchange(client: &Client, stream: &mut TcpStream, mut pending: VecDeque<(Request, Volume)>) -> bool {
    let mut out = Vec::new();
    for (request, volume) in &mut pending {
        request.sent = (client.clock.now(), client.clock.next_sequence());
        out.extend(encode_command(client, request, volume));
    }
    let written = stream.write_all(&out).is_ok();
    let timeout = pending.iter().map(|(r, _)| client.timeout(r)).max().unwrap_or_default();
    let deadline = Instant::now() + timeout;
    let mut received: Vec<u8> = Vec::new();
    let mut piece = [0; 16 * 1024];
    while let Some((mut request, _)) = pending.pop_front() {
        let end = loop {
            match resp::reply(&received, MAX_VALUE_BYTES) {
                Ok(Some((reply, used))) => {
                    let end = classify_reply(&reply);
                    received.drain(..used);
                    break end;
                }
                Err(e) => break RequestEnd::Failed(format!("bytes that are no reply: {e}")),
                Ok(None) => {}
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break RequestEnd::Unanswered;
            }
            if !written || stream.set_read_timeout(Some(left)).is_err() {
                break RequestEnd::Closed;
            }
            match stream.read(&mut piece) {
                Ok(0) => break RequestEnd::Closed,
                Ok(count) => received.extend_from_slice(&piece[..count]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => break RequestEnd::Closed,
            }
        };
        if pending.is_empty() {
            request.extra = received.len();
        }
        let is_broken = matches!(end, RequestEnd::Closed | RequestEnd::Unanswered);
        client.record_end(request, end.clone());
        if is_broken {
            pending.into_iter().for_each(|(r, _)| client.record_end(r, end.clone()));
            return false;
        }
    }
    received.is_empty()
}

fn classify_reply(reply: &resp::Reply<'_>) -> RequestEnd {
    match reply {
        resp::Reply::Bulk(Some(value)) => RequestEnd::Served(value.to_vec()),
        resp::Reply::Array(parts) => match parts.first() {
            Some(resp::Reply::Bulk(Some(value))) => RequestEnd::Served(value.to_vec()),
            _ => RequestEnd::Failed("an array without a value".into()),
        },
        resp::Reply::Error(line) => {
            let line = String::from_utf8_lossy(line);
            match line.strip_prefix("BUSY") {
                Some("") => RequestEnd::Busy(None),
                Some(hint) => match hint.trim().parse() {
                    Ok(ms) => RequestEnd::Busy(Some(ms)),
                    Err(_) => RequestEnd::Failed(line.into_owned()),
                },
                None => RequestEnd::Failed(line.into_owned()),
            }
        }
        other => RequestEnd::Failed(format!("{other:?}")),
    }
}
