//! An exchange with an iSCSI backend: each connection is a session that carries one command at a time.
use crate::backend::endpoint::BackendContext;
use crate::backend::exchange::Exchanged;
use crate::backend::reply_timeout::{ReplyProgress, ReplyTimeout};
use crate::backend::value::{AttemptEnd, Value};
use crate::context::Context;
use crate::net::close_reason::CloseReason;
use crate::net::connection::{Connection, SocketEvent};
use async_io::Timer;
use dispatch::{Attempt, Bytes, Extent};
use futures_lite::{future, StreamExt};
use iscsi::initiator::{Initiator, Response};
use iscsi::scsi::{self, status};
use iscsi::BLOCK_BYTES;
use scheduler::interface::AttemptOutcome;

/// The LUN and the blocks of a request; `None` where its volume has no LUN.
fn extent(context: &Context, attempt: &Attempt) -> Option<(u8, Extent)> {
    let request = &attempt.request;
    let config = context.config();
    let luns = &config.iscsi.as_ref()?.luns;
    let lun = luns.iter().find(|lun| *lun.volume == *request.volume)?;
    let extent = request.extent.unwrap_or_else(|| {
        // RESP2 clients address data by key: maps the key to a piece of the volume.
        let pieces = u64::from(lun.blocks / lun.piece_blocks).max(1);
        let piece = u64::from_str_radix(&request.key, 16).unwrap_or(0) % pieces;
        let blocks = match &request.body {
            Some(body) => body.len().div_ceil(BLOCK_BYTES) as u32,
            None => request.units.saturating_mul(lun.unit_blocks),
        };
        let max_blocks = (iscsi::MAX_DATA_BYTES / BLOCK_BYTES) as u32;
        Extent {
            first: piece * u64::from(lun.piece_blocks),
            blocks: blocks.clamp(1, max_blocks.min(lun.blocks)),
        }
    });
    Some((lun.lun, extent))
}

/// The SCSI command of an attempt.
struct Command {
    lun: u8,
    cdb: [u8; 16],
    /// The data of a write, padded to whole blocks.
    data: Option<Vec<u8>>,
    /// The bytes that are transferred.
    expected: usize,
}

impl Command {
    /// `None` where the attempt's volume has no LUN.
    fn new(context: &Context, attempt: &Attempt) -> Option<Command> {
        let (lun, extent) = extent(context, attempt)?;
        let expected = extent.blocks as usize * BLOCK_BYTES;
        let body = attempt.request.body.as_ref().filter(|_| attempt.request.is_write);
        let data = body.map(|body| {
            let mut padded = body.to_vec();
            padded.resize(expected, 0);
            padded
        });
        let cdb = scsi::transfer_cdb(attempt.request.is_write, extent.first, extent.blocks);
        Some(Command { lun, cdb, data, expected })
    }

    fn encode(&self, session: &mut Initiator, out: &mut Vec<u8>) {
        session.command(self.lun, &self.cdb, self.data.as_deref(), self.expected, out);
    }
}

/// Logs in where the connection is new, sends the command and reads its outcome. Also returns whether the connection can be reused;
/// its close reason is set.
///
/// Dropping the future leaves the connection in the middle of the exchange: it has to be closed.
pub async fn exchange(
    backend: &BackendContext,
    attempt: &Attempt,
    stream: &mut Connection,
    session: &mut Option<Initiator>,
    target: &str,
) -> (Exchanged, bool) {
    let context = &backend.context;
    let Some(command) = Command::new(context, attempt) else {
        return (Exchanged::Ended(attempt.ended(AttemptOutcome::NotSent)), true);
    };
    let mut out = Vec::new();
    let is_logged_in = session.is_some();
    let session = session.get_or_insert_with(Initiator::default);
    if is_logged_in {
        command.encode(session, &mut out);
    } else {
        log_in(context, session, target, &mut out);
    }
    let mut exchange =
        Exchange { backend, attempt, stream, session, command, out, is_logged_in, is_sent: false };
    let (end, is_reusable) = exchange.run().await;
    (Exchanged::Ended(end), is_reusable)
}

fn log_in(context: &Context, session: &mut Initiator, target: &str, out: &mut Vec<u8>) {
    let name = format!("iqn.2026-12.lichenrudder:front-{}", context.config().name);
    // Each connection is a session of its own, with an ISID that this process never uses again.
    let [.., high, upper, lower, low] = context.next_request_id().0.to_be_bytes();
    session.login(&name, Some(target), [0x80, high, upper, lower, low, 0], out);
}

struct Exchange<'a> {
    backend: &'a BackendContext,
    attempt: &'a Attempt,
    stream: &'a mut Connection,
    session: &'a mut Initiator,
    command: Command,
    /// Bytes that are not in the connection's output yet.
    out: Vec<u8>,
    is_logged_in: bool,
    /// Whether the command's first PDU was sent. From then on the backend may execute it, whatever data it still asks for.
    is_sent: bool,
}

impl Exchange<'_> {
    async fn run(&mut self) -> (AttemptEnd, bool) {
        let context = &self.backend.context;
        let mut timeout = ReplyTimeout::new(context, self.attempt);
        loop {
            if !self.stream.output.push(&self.out) {
                self.stream.reason = CloseReason::Bound;
                return self.broken(AttemptOutcome::Reset);
            }
            self.out.clear();
            let ends_at = context.clock.instant(timeout.at(self.reply_progress()));
            let timed_out = async {
                Timer::at(ends_at).await;
                None
            };
            let event = future::or(async { self.stream.next().await }, timed_out).await;
            if self.is_logged_in && self.stream.output.is_empty() && !self.is_sent {
                self.is_sent = true;
                context.counters.count_sent_attempt();
            }
            if matches!(event, Some(Ok(SocketEvent::Read))) {
                timeout.record_arrival(context.clock.now());
            }
            let end = match event {
                Some(Ok(SocketEvent::Wrote)) => None,
                Some(Ok(SocketEvent::Read)) => self.read(),
                Some(Ok(SocketEvent::End)) | Some(Err(_)) => {
                    self.stream.reason = CloseReason::Reset;
                    Some(self.broken(AttemptOutcome::Reset))
                }
                None => {
                    self.stream.reason = CloseReason::Timeout;
                    Some(self.broken(AttemptOutcome::Timeout))
                }
            };
            if let Some(end) = end {
                return end;
            }
        }
    }

    /// How far the reply has arrived. A ping of the backend is none.
    fn reply_progress(&self) -> ReplyProgress {
        if self.is_sent && self.session.is_receiving_data() {
            ReplyProgress::Value
        } else {
            ReplyProgress::None
        }
    }

    /// The end of an attempt whose connection is broken; before the command was sent it counts as a failure to connect.
    fn broken(&self, outcome: AttemptOutcome) -> (AttemptEnd, bool) {
        let outcome = if self.is_sent { outcome } else { AttemptOutcome::ConnectFailed };
        (self.attempt.ended(outcome), false)
    }

    /// Reads the PDUs in the input buffer. Returns the attempt's end, once it has ended.
    fn read(&mut self) -> Option<(AttemptEnd, bool)> {
        loop {
            match self.session.read(self.stream.input.contiguous(), &mut self.out) {
                Ok((0, _)) => return None,
                Ok((used, response)) => {
                    self.stream.input.consume(used);
                    if let Some(end) = self.handle(response) {
                        return Some(end);
                    }
                }
                Err(_) => {
                    self.stream.reason = CloseReason::Protocol;
                    return Some(self.broken(AttemptOutcome::Reset));
                }
            }
        }
    }

    fn handle(&mut self, response: Response) -> Option<(AttemptEnd, bool)> {
        match response {
            // During the login the backend began to drain, or the client disconnected.
            Response::LoggedIn if !self.is_logged_in && !self.backend.may_begin(self.attempt) => {
                let is_reusable = !self.backend.endpoint.is_closed.get() && self.stream.input.is_empty();
                self.stream.reason = CloseReason::Drained;
                Some((self.attempt.ended(AttemptOutcome::NotSent), is_reusable))
            }
            Response::LoggedIn if !self.is_logged_in => {
                self.is_logged_in = true;
                self.command.encode(self.session, &mut self.out);
                None
            }
            Response::Completed { status, data, .. } => Some(self.done(status, data)),
            Response::Rejected(_) => {
                self.stream.reason = CloseReason::Protocol;
                Some(self.broken(AttemptOutcome::Error))
            }
            Response::LoggedOut => {
                self.stream.reason = CloseReason::PeerClosed;
                Some(self.broken(AttemptOutcome::Reset))
            }
            _ => None,
        }
    }

    fn done(&mut self, scsi_status: u8, data: Vec<u8>) -> (AttemptEnd, bool) {
        let outcome = match scsi_status {
            status::GOOD => AttemptOutcome::Ok,
            status::BUSY | status::TASK_SET_FULL => AttemptOutcome::Rejected,
            _ => AttemptOutcome::Error,
        };
        let value = (outcome == AttemptOutcome::Ok).then(|| Value::Complete(Bytes::from(data)));
        let is_clean = self.stream.output.is_empty() && self.stream.input.is_empty();
        self.stream.reason = if is_clean { CloseReason::PeerClosed } else { CloseReason::Protocol };
        (AttemptEnd { value, ..self.attempt.ended(outcome) }, is_clean)
    }
}
