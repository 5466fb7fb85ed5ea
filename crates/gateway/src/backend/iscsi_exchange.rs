//! Attempts at a disk box that speaks iSCSI: each connection is a session that carries one command at a time.
use crate::backend::actor::BackendContext;
use crate::backend::resp_exchange::Exchanged;
use crate::backend::value::{Ended, Value};
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

/// The LUN and the blocks that a request is about; none where its volume has no LUN.
fn extent(context: &Context, attempt: &Attempt) -> Option<(u8, Extent)> {
    let request = &attempt.request;
    let config = context.config();
    let luns = &config.iscsi.as_ref()?.luns;
    let lun = luns.iter().find(|l| *l.volume == *request.volume)?;
    let extent = request.extent.unwrap_or_else(|| {
        // A client that names pieces: each has its place on the volume.
        let pieces = u64::from(lun.blocks / lun.piece_blocks).max(1);
        let piece = u64::from_str_radix(&request.key, 16).unwrap_or(0) % pieces;
        let blocks = match &request.body {
            Some(body) => body.len().div_ceil(BLOCK_BYTES) as u32,
            None => request.units.saturating_mul(lun.unit_blocks),
        };
        let most = (iscsi::MAX_DATA_BYTES / BLOCK_BYTES) as u32;
        Extent { first: piece * u64::from(lun.piece_blocks), blocks: blocks.clamp(1, most.min(lun.blocks)) }
    });
    Some((lun.lun, extent))
}

/// Logs in where the connection is new, sends the command and gathers its outcome; also tells whether the
/// connection may be used again.
pub async fn exchange(
    work: &BackendContext,
    attempt: &Attempt,
    stream: &mut Connection,
    session: &mut Option<Initiator>,
    target: &str,
) -> (Exchanged, bool) {
    let ended = |ended: Ended, keep: bool| (Exchanged::Ended(ended), keep);
    let context = &work.context;
    let Some((lun, extent)) = extent(context, attempt) else {
        return ended(attempt.ended(AttemptOutcome::NotSent), true);
    };
    let body = attempt.request.body.as_ref().filter(|_| attempt.request.is_write).map(|body| {
        let mut padded = body.to_vec();
        padded.resize(extent.blocks as usize * BLOCK_BYTES, 0);
        padded
    });
    let cdb = scsi::transfer_cdb(attempt.request.is_write, extent.first, extent.blocks);
    let expected = extent.blocks as usize * BLOCK_BYTES;
    let mut out = Vec::new();
    let mut begun = session.is_some();
    let session = session.get_or_insert_with(Initiator::default);
    if begun {
        session.command(lun, &cdb, body.as_deref(), expected, &mut out);
    } else {
        let name = format!("iqn.2026-12.lichenrudder:front-{}", context.config().name);
        // A session of its own for each connection: a random part that this front never uses again.
        let [.., a, b, c, d] = context.number().0.to_be_bytes();
        session.login(&name, Some(target), [0x80, a, b, c, d, 0], &mut out);
    }
    let mut late = Timer::at(context.clock.instant(attempt.deadline));
    let mut written = false;
    loop {
        if !stream.output.push(&out) {
            stream.reason = CloseReason::Bound;
            return ended(
                attempt.ended(if written { AttemptOutcome::Reset } else { AttemptOutcome::ConnectFailed }),
                false,
            );
        }
        out.clear();
        let moved = future::or(async { stream.next().await }, async {
            (&mut late).await;
            None
        });
        let moved = moved.await;
        // Guards bookings: the box has the command once its first PDU is written, whatever data it still asks
        // for, and may have begun to write. Only before that it is sure that nothing ran.
        let whole = begun && stream.output.is_empty();
        if whole && !std::mem::replace(&mut written, whole) {
            context.counters.relayed();
        }
        let maybe = |ending| if written { ending } else { AttemptOutcome::ConnectFailed };
        let ending = match moved {
            Some(Ok(SocketEvent::Wrote)) => continue,
            Some(Ok(SocketEvent::Read)) => loop {
                match session.read(stream.input.contiguous(), &mut out) {
                    Ok((0, _)) => break None,
                    Ok((used, told)) => {
                        stream.input.consume(used);
                        match told {
                            // Guards against what has become known while the session came up.
                            Response::LoggedIn if !begun && !work.may_begin(attempt) => {
                                let keep = !work.endpoint.closed.get() && stream.input.is_empty();
                                stream.reason = CloseReason::Drained;
                                return ended(attempt.ended(AttemptOutcome::NotSent), keep);
                            }
                            Response::LoggedIn if !begun => {
                                begun = true;
                                session.command(lun, &cdb, body.as_deref(), expected, &mut out);
                            }
                            Response::Completed { status: code, data, .. } => {
                                let ending = match code {
                                    status::GOOD => AttemptOutcome::Ok,
                                    status::BUSY | status::TASK_SET_FULL => AttemptOutcome::Rejected,
                                    _ => AttemptOutcome::Error,
                                };
                                let value = (ending == AttemptOutcome::Ok)
                                    .then(|| Value::Complete(Bytes::from(data)));
                                let keep = stream.output.is_empty() && stream.input.is_empty();
                                stream.reason = CloseReason::Protocol;
                                if keep {
                                    stream.reason = CloseReason::PeerClosed;
                                }
                                return ended(Ended { value, ..attempt.ended(ending) }, keep);
                            }
                            Response::Rejected(_) => {
                                stream.reason = CloseReason::Protocol;
                                break Some(maybe(AttemptOutcome::Error));
                            }
                            Response::LoggedOut => {
                                stream.reason = CloseReason::PeerClosed;
                                break Some(maybe(AttemptOutcome::Reset));
                            }
                            _ => {}
                        }
                    }
                    Err(_) => {
                        stream.reason = CloseReason::Protocol;
                        break Some(maybe(AttemptOutcome::Reset));
                    }
                }
            },
            Some(Ok(SocketEvent::End)) | Some(Err(_)) => {
                stream.reason = CloseReason::Reset;
                Some(maybe(AttemptOutcome::Reset))
            }
            None => {
                stream.reason = CloseReason::Timeout;
                Some(maybe(AttemptOutcome::Timeout))
            }
        };
        if let Some(ending) = ending {
            return ended(attempt.ended(ending), false);
        }
    }
}
