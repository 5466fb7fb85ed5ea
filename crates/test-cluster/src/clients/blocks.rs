//! A client that speaks iSCSI: an initiator with a session at each front.
use super::{fresh, Client, End, Request, Volume};
use crate::boxes::trimmed;
use iscsi::initiator::{Initiator, Response};
use iscsi::scsi::{self, status};
use iscsi::BLOCK_BYTES;
use rand::Rng;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const CONNECT: Duration = Duration::from_secs(1);

struct Session {
    stream: TcpStream,
    initiator: Initiator,
    came: Vec<u8>,
}

/// Works until it is told to stop.
pub(super) fn run(mut client: Client) {
    let mut open: BTreeMap<String, Session> = BTreeMap::new();
    while client.goes_on() {
        client.rest();
        let pick = client.rng.random_range(0..client.load.fronts.len());
        let (front, at) = client.load.fronts[pick].clone();
        let pick = client.rng.random_range(0..client.load.volumes.len());
        let volume = client.load.volumes[pick].clone();
        let mut request = client.next(&front, &volume);
        request.units = 1;
        let kept = open.remove(&front).filter(|s| fresh(&s.stream));
        let session = kept.or_else(|| Session::begin(&client, at));
        let Some(mut session) = session else {
            client.ended(request, End::Unsent);
            std::thread::sleep(Duration::from_millis(50));
            continue;
        };
        request.sent = (client.clock.now(), client.clock.order());
        let end = session.exchange(&client, &request, &volume);
        let keep = !matches!(end, End::Closed | End::Unanswered);
        client.ended(request, end);
        if keep {
            open.insert(front, session);
        }
    }
}

impl Session {
    fn begin(client: &Client, at: SocketAddr) -> Option<Session> {
        let stream = TcpStream::connect_timeout(&at, CONNECT).ok()?;
        stream.set_nodelay(true).ok()?;
        let mut session = Session { stream, initiator: Initiator::default(), came: Vec::new() };
        let name = format!("iqn.2026-12.lichenrudder:client-{}", client.number);
        let [a, b, ..] = (client.number as u16).to_be_bytes();
        let mut out = Vec::new();
        let target = client.load.target.as_deref();
        session.initiator.login(&name, target, [0x80, 0, 0, a, b, 0], &mut out);
        session.stream.write_all(&out).ok()?;
        let until = Instant::now() + CONNECT * 2;
        (session.next(until).ok()? == Response::LoggedIn).then_some(session)
    }

    /// What the target tells next.
    fn next(&mut self, until: Instant) -> Result<Response, End> {
        let mut piece = [0; 16 * 1024];
        loop {
            let mut out = Vec::new();
            let (used, told) = match self.initiator.read(&self.came, &mut out) {
                Ok(read) => read,
                Err(e) => return Err(End::Failed(format!("bytes that make no sense: {e}"))),
            };
            self.came.drain(..used);
            if !out.is_empty() && self.stream.write_all(&out).is_err() {
                return Err(End::Closed);
            }
            if used > 0 && told != Response::Pending {
                return Ok(told);
            }
            if used > 0 {
                continue;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(End::Unanswered);
            }
            if self.stream.set_read_timeout(Some(left)).is_err() {
                return Err(End::Closed);
            }
            match self.stream.read(&mut piece) {
                Ok(0) => return Err(End::Closed),
                Ok(count) => self.came.extend_from_slice(&piece[..count]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(End::Closed),
            }
        }
    }

    fn exchange(&mut self, client: &Client, request: &Request, volume: &Volume) -> End {
        let body = request.booked.as_ref().map(|value| {
            let mut block = value.clone();
            block.resize(BLOCK_BYTES, 0);
            block
        });
        let cdb = scsi::transfer_cdb(body.is_some(), request.key.1, 1);
        let mut out = Vec::new();
        let own = self.initiator.command(volume.lun, &cdb, body.as_deref(), BLOCK_BYTES, &mut out);
        if self.stream.write_all(&out).is_err() {
            return End::Closed;
        }
        let until = Instant::now() + client.patience(request);
        loop {
            match self.next(until) {
                Ok(Response::Completed { tag, status: code, data, sense, .. }) if tag == own => {
                    return match code {
                        status::GOOD => End::Served(trimmed(&data).to_vec()),
                        status::BUSY | status::TASK_SET_FULL => End::Busy(None),
                        _ => End::Failed(format!("status {code:#x} sense {sense:x?}")),
                    }
                }
                Ok(Response::Rejected(reason)) => return End::Failed(format!("rejected {reason:#x}")),
                Ok(Response::LoggedOut) => return End::Closed,
                Ok(_) => {}
                Err(end) => return end,
            }
        }
    }
}
