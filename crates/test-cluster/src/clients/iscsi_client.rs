//! An iSCSI client: an initiator with a session to each gateway.
use super::{is_open, Client, Request, RequestEnd, Volume};
use crate::backends::unpad;
use iscsi::initiator::{Initiator, Response};
use iscsi::scsi::{self, status};
use iscsi::BLOCK_BYTES;
use rand::Rng;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

struct Session {
    stream: TcpStream,
    initiator: Initiator,
    received: Vec<u8>,
}

/// Sends requests until the client is stopped.
pub(super) fn run(mut client: Client) {
    let mut sessions: BTreeMap<String, Session> = BTreeMap::new();
    while client.is_running() {
        client.sleep();
        let pick = client.rng.random_range(0..client.load.gateways.len());
        let (gateway, at) = client.load.gateways[pick].clone();
        let pick = client.rng.random_range(0..client.load.volumes.len());
        let volume = client.load.volumes[pick].clone();
        let mut request = client.next_request(&gateway, &volume);
        request.units = 1;
        let reusable = sessions.remove(&gateway).filter(|s| is_open(&s.stream));
        let session = reusable.or_else(|| Session::log_in(&client, at));
        let Some(mut session) = session else {
            client.record_end(request, RequestEnd::Unsent);
            std::thread::sleep(Duration::from_millis(50));
            continue;
        };
        request.sent = (client.clock.now(), client.clock.next_sequence());
        let end = session.exchange(&client, &request, &volume);
        let is_reusable = !matches!(end, RequestEnd::Closed | RequestEnd::Unanswered);
        client.record_end(request, end);
        if is_reusable {
            sessions.insert(gateway, session);
        }
    }
}

impl Session {
    fn log_in(client: &Client, at: SocketAddr) -> Option<Session> {
        let stream = TcpStream::connect_timeout(&at, CONNECT_TIMEOUT).ok()?;
        stream.set_nodelay(true).ok()?;
        let mut session = Session { stream, initiator: Initiator::default(), received: Vec::new() };
        let name = format!("iqn.2026-12.lichenrudder:client-{}", client.number);
        let [a, b, ..] = (client.number as u16).to_be_bytes();
        let mut out = Vec::new();
        let target = client.load.target.as_deref();
        session.initiator.login(&name, target, [0x80, 0, 0, a, b, 0], &mut out);
        session.stream.write_all(&out).ok()?;
        let deadline = Instant::now() + CONNECT_TIMEOUT * 2;
        (session.next(deadline).ok()? == Response::LoggedIn).then_some(session)
    }

    /// The next response of the target.
    fn next(&mut self, deadline: Instant) -> Result<Response, RequestEnd> {
        let mut piece = [0; 16 * 1024];
        loop {
            let mut out = Vec::new();
            let (used, response) = match self.initiator.read(&self.received, &mut out) {
                Ok(read) => read,
                Err(e) => return Err(RequestEnd::Failed(format!("bytes that are no response: {e}"))),
            };
            self.received.drain(..used);
            if !out.is_empty() && self.stream.write_all(&out).is_err() {
                return Err(RequestEnd::Closed);
            }
            if used > 0 && response != Response::Pending {
                return Ok(response);
            }
            if used > 0 {
                continue;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(RequestEnd::Unanswered);
            }
            if self.stream.set_read_timeout(Some(left)).is_err() {
                return Err(RequestEnd::Closed);
            }
            match self.stream.read(&mut piece) {
                Ok(0) => return Err(RequestEnd::Closed),
                Ok(count) => self.received.extend_from_slice(&piece[..count]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(RequestEnd::Closed),
            }
        }
    }

    fn exchange(&mut self, client: &Client, request: &Request, volume: &Volume) -> RequestEnd {
        let body = request.written.as_ref().map(|value| {
            let mut block = value.clone();
            block.resize(BLOCK_BYTES, 0);
            block
        });
        let cdb = scsi::transfer_cdb(body.is_some(), request.key.1, 1);
        let mut out = Vec::new();
        let task_tag = self.initiator.command(volume.lun, &cdb, body.as_deref(), BLOCK_BYTES, &mut out);
        if self.stream.write_all(&out).is_err() {
            return RequestEnd::Closed;
        }
        let deadline = Instant::now() + client.timeout(request);
        loop {
            match self.next(deadline) {
                Ok(Response::Completed { tag, status: code, data, sense, .. }) if tag == task_tag => {
                    return match code {
                        status::GOOD => RequestEnd::Served(unpad(&data).to_vec()),
                        status::BUSY | status::TASK_SET_FULL => RequestEnd::Busy(None),
                        _ => RequestEnd::Failed(format!("status {code:#x} sense {sense:x?}")),
                    }
                }
                Ok(Response::Rejected(reason)) => return RequestEnd::Failed(format!("rejected {reason:#x}")),
                Ok(Response::LoggedOut) => return RequestEnd::Closed,
                Ok(_) => {}
                Err(end) => return end,
            }
        }
    }
}
