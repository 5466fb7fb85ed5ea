//! Calls and watches of discovery.
use super::{queue, Inner, Manner, Outcome};
use crate::engine::reset_at_end;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// How often an empty line comes.
const HEARTBEAT: Duration = Duration::from_secs(2);

/// Serves one connection.
pub(super) async fn call(inner: Arc<Inner>, front: String, stream: Async<TcpStream>) {
    let gone = async {
        inner.manner_that(|m| m == Manner::Down).await;
        reset_at_end(stream.get_ref());
    };
    let served = async { drop(serve(&inner, &front, &stream).await) };
    future::or(gone, served).await;
}

async fn serve(inner: &Inner, front: &str, mut stream: &Async<TcpStream>) -> io::Result<()> {
    let mut came = Vec::new();
    let mut bytes = [0; 4096];
    let target = loop {
        match http::request_head(&came) {
            Ok(Some(head)) => break head.target.to_string(),
            Ok(None) => match stream.read(&mut bytes).await? {
                0 => return Ok(()),
                count => came.extend_from_slice(&bytes[..count]),
            },
            Err(_) => return stream.write_all(&http::response(400, "Bad Request", "")).await,
        }
    };
    let call = inner.came(front);
    // A caller that has gone gives its turn up.
    let left = async {
        let (mut reader, mut bytes) = (stream, [0; 256]);
        while !matches!(reader.read(&mut bytes).await, Ok(0) | Err(_)) {}
        None
    };
    let turn = async {
        inner.manner_that(|m| m != Manner::Silent).await;
        Some(inner.manner() == Manner::Unavailable || queue::turn(inner).await)
    };
    let Some(answered) = future::or(turn, left).await else { return Ok(()) };
    let unavailable = inner.manner() == Manner::Unavailable;
    if unavailable || !answered {
        call.end(if unavailable { Outcome::Unavailable } else { Outcome::TurnedAway });
        return stream.write_all(&http::response(503, "Service Unavailable", "")).await;
    }
    call.end(Outcome::Answered);
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let value =
        |key: &str| query.split('&').filter_map(|p| p.split_once('=')).find(|(k, _)| *k == key).map(|p| p.1);
    match (path, value("watch")) {
        ("/api/targets", Some("1")) => {
            watch(inner, front, stream, value("from").and_then(|f| f.parse().ok())).await
        }
        ("/api/targets", _) => {
            if let Some((line, told)) = inner.news(front, None) {
                stream.write_all(&http::response(200, "OK", &line)).await?;
                inner.record(told);
            }
            Ok(())
        }
        _ => stream.write_all(&http::response(404, "Not Found", "")).await,
    }
}

async fn watch(
    inner: &Inner,
    front: &str,
    stream: &Async<TcpStream>,
    mut from: Option<u64>,
) -> io::Result<()> {
    let mut writer = stream;
    let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
    writer.write_all(head.as_bytes()).await?;
    let mut said = None;
    // A front that has ended its watch is noticed at once, and not only when there is something to tell.
    let ended = async {
        let (mut reader, mut bytes) = (stream, [0; 256]);
        while !matches!(reader.read(&mut bytes).await, Ok(0) | Err(_)) {}
        Ok(())
    };
    let tell = async {
        loop {
            let changed = inner.changed.listen();
            let now = inner.clock.now();
            match inner.manner() {
                Manner::Unavailable => return Ok(()),
                Manner::Silent => {}
                _ => {
                    let news = inner.news(front, from);
                    let due = said.is_none_or(|s| now.saturating_sub(s) >= HEARTBEAT);
                    let line = news.as_ref().map(|(line, _)| line.as_str()).or(due.then_some(""));
                    if let Some(line) = line {
                        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
                        writer.write_all(chunk.as_bytes()).await?;
                        said = Some(now);
                    }
                    if let Some((_, told)) = news {
                        from = Some(told.generation);
                        inner.record(told);
                    }
                }
            }
            // Nothing is due while it is silent: only a change of its manner ends that.
            let beat =
                said.filter(|_| inner.manner() != Manner::Silent).map(|s| inner.clock.instant(s + HEARTBEAT));
            let beat = async {
                match beat {
                    Some(at) => drop(Timer::at(at).await),
                    None => future::pending().await,
                }
            };
            future::or(changed, beat).await;
        }
    };
    future::or(ended, tell).await
}
