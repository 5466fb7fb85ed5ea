//! A RESP2 backend.
use super::execution::Command;
use super::{Answer, Inner};
use crate::runtime::lock;
use async_io::Async;
use futures_lite::AsyncReadExt;
use std::collections::BTreeMap;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// Limit on the size of a command.
const MAX_COMMAND_BYTES: usize = resp::MAX_VALUE_BYTES + 64 * 1024;

/// Serves one connection until it ends.
pub(super) async fn serve(inner: &Inner, gateway: &str, mut stream: &Async<TcpStream>) {
    let mut received: Vec<u8> = Vec::new();
    let mut first_byte_at = Duration::ZERO;
    let mut bytes = vec![0; 16 * 1024];
    loop {
        let words = match resp::command(&received) {
            Ok(None) if received.len() < MAX_COMMAND_BYTES => match stream.read(&mut bytes).await {
                Ok(0) | Err(_) => return,
                Ok(count) => {
                    if received.is_empty() {
                        first_byte_at = inner.clock.now();
                    }
                    received.extend_from_slice(&bytes[..count]);
                    continue;
                }
            },
            Ok(Some((words, used))) => Some((words.iter().map(|w| w.to_vec()).collect::<Vec<_>>(), used)),
            _ => None,
        };
        let Some((words, used)) = words else {
            inner.record_malformed(gateway, first_byte_at, "bytes that are no command");
            let _ = inner.write(stream, b"-SYNTAX\r\n").await;
            return;
        };
        received.drain(..used);
        let Some(reply) = reply_to(inner, gateway, first_byte_at, words).await else {
            // The command is never answered: the gateway closes the connection, or the backend stops.
            while !matches!(stream.read(&mut bytes).await, Ok(0) | Err(_)) {}
            return;
        };
        if inner.write(stream, &reply).await.is_err() {
            return;
        }
        first_byte_at = inner.clock.now();
    }
}

async fn reply_to(
    inner: &Inner,
    gateway: &str,
    first_byte_at: Duration,
    words: Vec<Vec<u8>>,
) -> Option<Vec<u8>> {
    let verb = words[0].to_ascii_uppercase();
    match verb.as_slice() {
        b"PING" => return Some(b"+PONG\r\n".to_vec()),
        b"CLIENT" | b"SELECT" => return Some(b"+OK\r\n".to_vec()),
        b"PREAD" | b"PWRITE" => {}
        _ => return Some(b"-ERR unknown command\r\n".to_vec()),
    }
    let Some(command) = parse_command(gateway, first_byte_at, &words) else {
        inner.record_malformed(gateway, first_byte_at, &String::from_utf8_lossy(&words.concat()));
        return Some(b"-SYNTAX\r\n".to_vec());
    };
    let (volume, write, units) = (command.volume.clone(), command.body.is_ok(), command.units);
    let error_reply = |line: &str, cost: u64| match cost {
        0 => format!("-{line}\r\n").into_bytes(),
        cost => format!("-{line} cost={cost}\r\n").into_bytes(),
    };
    let ended = inner.execute(command).await?;
    let cost = lock(&inner.state).take_cost_of_other_gateways(&volume, gateway);
    Some(match ended {
        Err(Answer::Busy) => error_reply("BUSY", cost),
        Err(_) => error_reply("ERR failed", cost),
        Ok(values) => {
            let mut out = b"*3\r\n".to_vec();
            let value = if write { b"booked".to_vec() } else { values.concat() };
            resp::write_bulk(&mut out, &value);
            let cost = if cost == 0 { String::new() } else { format!(",cost={cost}") };
            resp::write_bulk(&mut out, format!("used={units}{cost}").as_bytes());
            out.extend_from_slice(b"$-1\r\n");
            out
        }
    })
}

/// Parses a command; none if it is not in the form that gateways use.
fn parse_command(gateway: &str, first_byte_at: Duration, words: &[Vec<u8>]) -> Option<Command> {
    let write = words[0].eq_ignore_ascii_case(b"PWRITE");
    if words.len() != if write { 5 } else { 4 } {
        return None;
    }
    let text = |i: usize| std::str::from_utf8(&words[i]).ok();
    let parameters: BTreeMap<&str, &str> =
        text(3)?.split(',').map(|p| p.split_once('=')).collect::<Option<_>>()?;
    let piece = text(1).filter(|p| p.len() == 16)?;
    let volume =
        parameters.get("volume").filter(|v| v.len() == 16 && v.bytes().all(|b| b.is_ascii_hexdigit()))?;
    parameters.get("c")?;
    parameters.get("t")?;
    parameters.get("hosts")?.parse::<u32>().ok()?;
    Some(Command {
        first_byte_at,
        gateway: gateway.into(),
        id: text(2)?.into(),
        volume: volume.to_string(),
        number: u64::from_str_radix(piece, 16).ok()?,
        shard: parameters.get("shard")?.parse().ok()?,
        units: parameters.get("units")?.parse().ok()?,
        wait_ms: parameters.get("d")?.parse().ok()?,
        body: if write { Ok(vec![Arc::from(words[4].as_slice())]) } else { Err(1) },
    })
}
