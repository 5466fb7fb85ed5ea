//! A box that speaks iSCSI: the front is the initiator, each connection a session on a thread of its own, for what
//! `iscsi` keeps of a session can't change threads.
use super::work::Order;
use super::{Answer, Inner};
use crate::engine::reset_at_end;
use async_io::Async;
use futures_lite::{future, AsyncReadExt};
use iscsi::scsi::{Disk, Sense};
use iscsi::target::{Event, Outcome, Target, TargetDescription};
use iscsi::BLOCK_BYTES;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// How long a command may wait for a slot: the wire does not tell how long the front waits.
const WAIT_MS: u64 = 3000;

/// The name of a box's target.
pub fn target_name(place: &str) -> String {
    format!("iqn.2026-12.lichenrudder:{place}")
}

/// Serves one connection until it ends.
pub(super) fn start(
    inner: Arc<Inner>,
    front: String,
    stream: Async<TcpStream>,
    alive: async_channel::Receiver<()>,
) {
    let session = move || {
        let ended = async {
            let _ = alive.recv().await;
            reset_at_end(stream.get_ref());
        };
        async_io::block_on(future::or(ended, serve(&inner, &front, &stream)));
    };
    // A thread that can't be had is a connection that ends.
    drop(std::thread::Builder::new().name("session".into()).spawn(session));
}

fn shown(inner: &Inner) -> Rc<TargetDescription> {
    let disk = |(lun, volume, blocks): &(u8, String, u64)| Disk {
        lun: *lun,
        blocks: *blocks,
        serial: volume.clone(),
    };
    Rc::new(TargetDescription {
        name: target_name(&inner.make.name),
        address: inner.make.doors.values().next().map(ToString::to_string).unwrap_or_default(),
        disks: inner.make.units.iter().map(disk).collect(),
    })
}

async fn serve(inner: &Inner, front: &str, mut stream: &Async<TcpStream>) {
    let mut session = Target::new(shown(inner), 1);
    let (mut came, mut out, mut events) = (Vec::new(), Vec::new(), Vec::new());
    let (mut bytes, mut first) = (vec![0; 16 * 1024], Duration::ZERO);
    loop {
        let read = session.read(&came, &mut out, &mut events);
        let closing = read.is_err() || events.contains(&Event::Close);
        let used = read.unwrap_or(0);
        came.drain(..used);
        for event in std::mem::take(&mut events) {
            let Some((tag, order)) = order(inner, front, first, event) else { continue };
            let Some(ended) = inner.work(order).await else {
                while !matches!(stream.read(&mut bytes).await, Ok(0) | Err(_)) {}
                return;
            };
            // The front tells by its own kind of request what a failure means.
            let data = ended.as_ref().map(|values| blocks(values)).unwrap_or_default();
            let outcome = match &ended {
                Ok(_) => Outcome::Good(&data),
                Err(Answer::Busy) => Outcome::Busy(None),
                Err(_) => Outcome::Failed(Sense::READ_FAILED),
            };
            session.complete(tag, outcome, &mut out);
        }
        if !out.is_empty() && inner.write(stream, &std::mem::take(&mut out)).await.is_err() || closing {
            return;
        }
        if used == 0 {
            match stream.read(&mut bytes).await {
                Ok(0) | Err(_) => return,
                Ok(count) => {
                    if came.is_empty() {
                        first = inner.clock.now();
                    }
                    came.extend_from_slice(&bytes[..count]);
                }
            }
        }
    }
}

/// Blocks as they go over the wire.
fn blocks(values: &[Arc<[u8]>]) -> Vec<u8> {
    let mut all = Vec::with_capacity(values.len() * BLOCK_BYTES);
    for value in values {
        all.extend_from_slice(&value[..value.len().min(BLOCK_BYTES)]);
        let end = (all.len() / BLOCK_BYTES + usize::from(all.len() % BLOCK_BYTES > 0 || value.is_empty()))
            * BLOCK_BYTES;
        all.resize(end, 0);
    }
    all
}

/// A block without the zeros that fill it up.
pub fn trimmed(block: &[u8]) -> &[u8] {
    let end = block.iter().rposition(|b| *b != 0).map_or(0, |i| i + 1);
    &block[..end]
}

/// The id of a booking that its first block begins with, as clients of the rig write it.
fn booking(body: &[u8]) -> Option<String> {
    let text = body.strip_prefix(crate::clients::BOOKING.as_bytes())?;
    let id = text.iter().take_while(|b| b.is_ascii_alphanumeric() || **b == b'-').copied().collect();
    String::from_utf8(id).ok().filter(|id| !id.is_empty())
}

/// What an event asks for, and the tag that is waiting for it.
fn order(inner: &Inner, front: &str, first: Duration, event: Event) -> Option<(u32, Order)> {
    let (tag, lun, number, count, body) = match event {
        Event::Read { tag, lun, lba, blocks } => (tag, lun, lba, u64::from(blocks), None),
        Event::Write { tag, lun, lba, data } => {
            (tag, lun, lba, (data.len() / BLOCK_BYTES) as u64, Some(data))
        }
        _ => return None,
    };
    let id = body.as_deref().and_then(booking).unwrap_or_else(|| format!("task-{tag}"));
    Some((
        tag,
        Order {
            first,
            front: front.into(),
            id,
            volume: inner.make.units.iter().find(|u| u.0 == lun)?.1.clone(),
            number,
            shard: inner.make.cell,
            units: u32::try_from(count).unwrap_or(u32::MAX),
            wait_ms: WAIT_MS,
            body: body.map(|data| data.chunks(BLOCK_BYTES).map(|b| trimmed(b).into()).collect()).ok_or(count),
        },
    ))
}
