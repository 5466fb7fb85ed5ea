//! A box that speaks RESP2.
use super::work::Order;
use super::{Answer, Inner};
use crate::engine::lock;
use async_io::Async;
use futures_lite::AsyncReadExt;
use std::collections::BTreeMap;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// What may come before a command is whole.
const LONGEST: usize = resp::MAX_VALUE_BYTES + 64 * 1024;

/// Serves one connection until it ends.
pub(super) async fn serve(inner: &Inner, front: &str, mut stream: &Async<TcpStream>) {
    let mut came: Vec<u8> = Vec::new();
    let mut first = Duration::ZERO;
    let mut bytes = vec![0; 16 * 1024];
    loop {
        let words = match resp::command(&came) {
            Ok(None) if came.len() < LONGEST => match stream.read(&mut bytes).await {
                Ok(0) | Err(_) => return,
                Ok(count) => {
                    if came.is_empty() {
                        first = inner.clock.now();
                    }
                    came.extend_from_slice(&bytes[..count]);
                    continue;
                }
            },
            Ok(Some((words, used))) => Some((words.iter().map(|w| w.to_vec()).collect::<Vec<_>>(), used)),
            _ => None,
        };
        let Some((words, used)) = words else {
            inner.senseless(front, first, "bytes that are no command");
            let _ = inner.write(stream, b"-SYNTAX\r\n").await;
            return;
        };
        came.drain(..used);
        let Some(reply) = answer(inner, front, first, words).await else {
            // Never answered: the front ends the connection, or the box.
            while !matches!(stream.read(&mut bytes).await, Ok(0) | Err(_)) {}
            return;
        };
        if inner.write(stream, &reply).await.is_err() {
            return;
        }
        first = inner.clock.now();
    }
}

async fn answer(inner: &Inner, front: &str, first: Duration, words: Vec<Vec<u8>>) -> Option<Vec<u8>> {
    let verb = words[0].to_ascii_uppercase();
    match verb.as_slice() {
        b"PING" => return Some(b"+PONG\r\n".to_vec()),
        b"CLIENT" | b"SELECT" => return Some(b"+OK\r\n".to_vec()),
        b"PREAD" | b"PWRITE" => {}
        _ => return Some(b"-ERR unknown command\r\n".to_vec()),
    }
    let Some(order) = order(front, first, &words) else {
        inner.senseless(front, first, &String::from_utf8_lossy(&words.concat()));
        return Some(b"-SYNTAX\r\n".to_vec());
    };
    let (volume, write, units) = (order.volume.clone(), order.body.is_ok(), order.units);
    let line = |line: &str, more: u64| match more {
        0 => format!("-{line}\r\n").into_bytes(),
        cost => format!("-{line} cost={cost}\r\n").into_bytes(),
    };
    let ended = inner.work(order).await?;
    let cost = lock(&inner.state).elsewhere(&volume, front);
    Some(match ended {
        Err(Answer::Busy) => line("BUSY", cost),
        Err(_) => line("ERR failed", cost),
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

/// The command that the words make; none where they are not as a front writes them.
fn order(front: &str, first: Duration, words: &[Vec<u8>]) -> Option<Order> {
    let write = words[0].eq_ignore_ascii_case(b"PWRITE");
    if words.len() != if write { 5 } else { 4 } {
        return None;
    }
    let text = |i: usize| std::str::from_utf8(&words[i]).ok();
    let list: BTreeMap<&str, &str> = text(3)?.split(',').map(|p| p.split_once('=')).collect::<Option<_>>()?;
    let piece = text(1).filter(|p| p.len() == 16)?;
    let volume = list.get("volume").filter(|v| v.len() == 16 && v.bytes().all(|b| b.is_ascii_hexdigit()))?;
    list.get("c")?;
    list.get("t")?;
    list.get("hosts")?.parse::<u32>().ok()?;
    Some(Order {
        first,
        front: front.into(),
        id: text(2)?.into(),
        volume: volume.to_string(),
        number: u64::from_str_radix(piece, 16).ok()?,
        shard: list.get("shard")?.parse().ok()?,
        units: list.get("units")?.parse().ok()?,
        wait_ms: list.get("d")?.parse().ok()?,
        body: if write { Ok(vec![Arc::from(words[4].as_slice())]) } else { Err(1) },
    })
}
