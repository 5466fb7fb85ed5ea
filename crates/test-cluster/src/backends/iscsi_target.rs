//! An iSCSI backend. The gateway is the initiator. Each connection is a session on a thread of its own, since
//! the session state of `iscsi` cannot move between threads.
use super::execution::Command;
use super::{Answer, Inner};
use crate::runtime::reset_on_close;
use async_io::Async;
use futures_lite::{future, AsyncReadExt};
use iscsi::scsi::{Disk, Sense};
use iscsi::target::{Event, Outcome, Target, TargetDescription};
use iscsi::BLOCK_BYTES;
use std::net::TcpStream;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// How long a command may wait for a slot: iSCSI does not carry the time that the gateway waits.
const MAX_WAIT_MS: u64 = 3000;

/// The name of a backend's target.
pub fn target_name(backend: &str) -> String {
    format!("iqn.2026-12.lichenrudder:{backend}")
}

/// Serves one connection until it ends.
pub(super) fn start(
    inner: Arc<Inner>,
    gateway: String,
    stream: Async<TcpStream>,
    shutdown: async_channel::Receiver<()>,
) {
    let session = move || {
        let ended = async {
            let _ = shutdown.recv().await;
            reset_on_close(stream.get_ref());
        };
        async_io::block_on(future::or(ended, serve(&inner, &gateway, &stream)));
    };
    // If no thread can be started, the connection is closed.
    drop(std::thread::Builder::new().name("session".into()).spawn(session));
}

fn describe_target(inner: &Inner) -> Rc<TargetDescription> {
    let disk = |(lun, volume, blocks): &(u8, String, u64)| Disk {
        lun: *lun,
        blocks: *blocks,
        serial: volume.clone(),
    };
    Rc::new(TargetDescription {
        name: target_name(&inner.config.name),
        address: inner.config.listen_addresses.values().next().map(ToString::to_string).unwrap_or_default(),
        disks: inner.config.luns.iter().map(disk).collect(),
    })
}

async fn serve(inner: &Inner, gateway: &str, mut stream: &Async<TcpStream>) {
    let mut session = Target::new(describe_target(inner), 1);
    let (mut received, mut out, mut events) = (Vec::new(), Vec::new(), Vec::new());
    let (mut bytes, mut first_byte_at) = (vec![0; 16 * 1024], Duration::ZERO);
    loop {
        let read = session.read(&received, &mut out, &mut events);
        let closing = read.is_err() || events.contains(&Event::Close);
        let used = read.unwrap_or(0);
        received.drain(..used);
        for event in std::mem::take(&mut events) {
            let Some((tag, command)) = parse_command(inner, gateway, first_byte_at, event) else { continue };
            let Some(ended) = inner.execute(command).await else {
                while !matches!(stream.read(&mut bytes).await, Ok(0) | Err(_)) {}
                return;
            };
            // The gateway interprets a failure by whether its request was a read or a write.
            let data = ended.as_ref().map(|values| encode_blocks(values)).unwrap_or_default();
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
                    if received.is_empty() {
                        first_byte_at = inner.clock.now();
                    }
                    received.extend_from_slice(&bytes[..count]);
                }
            }
        }
    }
}

/// Encodes values as blocks, padded with zeros.
fn encode_blocks(values: &[Arc<[u8]>]) -> Vec<u8> {
    let mut all = Vec::with_capacity(values.len() * BLOCK_BYTES);
    for value in values {
        all.extend_from_slice(&value[..value.len().min(BLOCK_BYTES)]);
        let end = (all.len() / BLOCK_BYTES + usize::from(all.len() % BLOCK_BYTES > 0 || value.is_empty()))
            * BLOCK_BYTES;
        all.resize(end, 0);
    }
    all
}

/// A block without its zero padding.
pub fn unpad(block: &[u8]) -> &[u8] {
    let end = block.iter().rposition(|b| *b != 0).map_or(0, |i| i + 1);
    &block[..end]
}

/// The id of a write, which the clients of the test cluster put at the start of its first block.
fn write_id(body: &[u8]) -> Option<String> {
    let text = body.strip_prefix(crate::clients::WRITE_VALUE_PREFIX.as_bytes())?;
    let id = text.iter().take_while(|b| b.is_ascii_alphanumeric() || **b == b'-').copied().collect();
    String::from_utf8(id).ok().filter(|id| !id.is_empty())
}

/// The command of an event, with the task tag under which it is answered.
fn parse_command(
    inner: &Inner,
    gateway: &str,
    first_byte_at: Duration,
    event: Event,
) -> Option<(u32, Command)> {
    let (tag, lun, number, count, body) = match event {
        Event::Read { tag, lun, lba, blocks } => (tag, lun, lba, u64::from(blocks), None),
        Event::Write { tag, lun, lba, data } => {
            (tag, lun, lba, (data.len() / BLOCK_BYTES) as u64, Some(data))
        }
        _ => return None,
    };
    let id = body.as_deref().and_then(write_id).unwrap_or_else(|| format!("task-{tag}"));
    Some((
        tag,
        Command {
            first_byte_at,
            gateway: gateway.into(),
            id,
            volume: inner.config.luns.iter().find(|u| u.0 == lun)?.1.clone(),
            number,
            shard: inner.config.shard,
            units: u32::try_from(count).unwrap_or(u32::MAX),
            wait_ms: MAX_WAIT_MS,
            body: body.map(|data| data.chunks(BLOCK_BYTES).map(|b| unpad(b).into()).collect()).ok_or(count),
        },
    ))
}
