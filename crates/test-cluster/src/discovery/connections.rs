//! Calls and watches on connections to discovery.
use super::{queue, Inner, Mode, Outcome};
use crate::runtime::reset_on_close;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// Interval between empty lines.
const HEARTBEAT: Duration = Duration::from_secs(2);

/// Serves one connection.
pub(super) async fn handle(inner: Arc<Inner>, gateway: String, stream: Async<TcpStream>) {
    let reset = async {
        inner.wait_for_mode(|m| m == Mode::Down).await;
        reset_on_close(stream.get_ref());
    };
    let served = async { drop(serve(&inner, &gateway, &stream).await) };
    future::or(reset, served).await;
}

async fn serve(inner: &Inner, gateway: &str, mut stream: &Async<TcpStream>) -> io::Result<()> {
    let mut received = Vec::new();
    let mut bytes = [0; 4096];
    let target = loop {
        match http::request_head(&received) {
            Ok(Some(head)) => break head.target.to_string(),
            Ok(None) => match stream.read(&mut bytes).await? {
                0 => return Ok(()),
                count => received.extend_from_slice(&bytes[..count]),
            },
            Err(_) => return stream.write_all(&http::response(400, "Bad Request", "")).await,
        }
    };
    let call = inner.register_call(gateway);
    // A caller that closes its connection gives up its place in the queue.
    let left = async {
        let (mut reader, mut bytes) = (stream, [0; 256]);
        while !matches!(reader.read(&mut bytes).await, Ok(0) | Err(_)) {}
        None
    };
    let turn = async {
        inner.wait_for_mode(|m| m != Mode::Silent).await;
        Some(inner.mode() == Mode::Unavailable || queue::wait_turn(inner).await)
    };
    let Some(answered) = future::or(turn, left).await else { return Ok(()) };
    let unavailable = inner.mode() == Mode::Unavailable;
    if unavailable || !answered {
        call.end(if unavailable { Outcome::Unavailable } else { Outcome::Rejected });
        return stream.write_all(&http::response(503, "Service Unavailable", "")).await;
    }
    call.end(Outcome::Answered);
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let value =
        |key: &str| query.split('&').filter_map(|p| p.split_once('=')).find(|(k, _)| *k == key).map(|p| p.1);
    match (path, value("watch")) {
        ("/api/targets", Some("1")) => {
            watch(inner, gateway, stream, value("from").and_then(|f| f.parse().ok())).await
        }
        ("/api/targets", _) => {
            if let Some((line, update)) = inner.update_since(gateway, None) {
                stream.write_all(&http::response(200, "OK", &line)).await?;
                inner.record_update(update);
            }
            Ok(())
        }
        _ => stream.write_all(&http::response(404, "Not Found", "")).await,
    }
}

async fn watch(
    inner: &Inner,
    gateway: &str,
    stream: &Async<TcpStream>,
    mut from: Option<u64>,
) -> io::Result<()> {
    let mut writer = stream;
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
    writer.write_all(head.as_bytes()).await?;
    let mut last_sent = None;
    // Notices at once that a gateway has closed its watch, and not only when there is an update to send.
    let ended = async {
        let (mut reader, mut bytes) = (stream, [0; 256]);
        while !matches!(reader.read(&mut bytes).await, Ok(0) | Err(_)) {}
        Ok(())
    };
    let send_updates = async {
        loop {
            let changed = inner.changed.listen();
            let now = inner.clock.now();
            match inner.mode() {
                Mode::Unavailable => return Ok(()),
                Mode::Silent => {}
                _ => {
                    let update = inner.update_since(gateway, from);
                    let due = last_sent.is_none_or(|s| now.saturating_sub(s) >= HEARTBEAT);
                    let line = update.as_ref().map(|(line, _)| line.as_str()).or(due.then_some(""));
                    if let Some(line) = line {
                        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
                        writer.write_all(chunk.as_bytes()).await?;
                        last_sent = Some(now);
                    }
                    if let Some((_, update)) = update {
                        from = Some(update.generation);
                        inner.record_update(update);
                    }
                }
            }
            // Nothing is due in silent mode: only a change of the mode ends that.
            let heartbeat = last_sent
                .filter(|_| inner.mode() != Mode::Silent)
                .map(|s| inner.clock.instant(s + HEARTBEAT));
            let heartbeat = async {
                match heartbeat {
                    Some(at) => drop(Timer::at(at).await),
                    None => future::pending().await,
                }
            };
            future::or(changed, heartbeat).await;
        }
    };
    future::or(ended, send_updates).await
}
