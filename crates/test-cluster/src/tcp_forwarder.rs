//! Forwards the connections of a TCP link: a listener in place of the target, and one connection to the
//! target for each accepted one.
use crate::links::Pair;
use crate::runtime::{reset_on_close, sleep, with_timeout, Spawner};
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

const BACKLOG: i32 = 128;
const READ_BYTES: usize = 16 * 1024;
/// Limit on the reads that are queued in one direction of a connection.
const MAX_QUEUED_READS: usize = 64;
/// Interval of checks whether a cut direction passes data again.
const POLL_INTERVAL: Duration = Duration::from_millis(3);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// Accepts and forwards connections until the runtime ends.
pub(crate) async fn run(
    spawner: Spawner,
    pair: Arc<Pair>,
    direction: usize,
    listener: TcpListener,
    target: SocketAddr,
    woken: async_channel::Receiver<()>,
) {
    let Ok(at) = listener.local_addr() else { return };
    let mut listener = Async::new(listener).ok();
    loop {
        if *crate::runtime::lock(&pair.refused) {
            listener = None;
            let _ = woken.recv().await;
            continue;
        }
        let Some(open) = &listener else {
            listener = Async::<TcpListener>::bind(at).ok();
            if listener.is_none() {
                sleep(POLL_INTERVAL).await;
            }
            continue;
        };
        if !pair.is_open() {
            ignore_connections(open, &pair, &woken).await;
            continue;
        }
        let accepted = future::or(async { Some(open.accept().await) }, async {
            let _ = woken.recv().await;
            None
        });
        match accepted.await {
            Some(Ok((stream, _))) => {
                spawner.spawn(forward_connection(pair.clone(), direction, stream, target))
            }
            Some(Err(_)) => sleep(POLL_INTERVAL).await,
            None => {}
        }
    }
}

/// Prevents new connections until the pair is open again: a listener whose queue is full does not answer.
async fn ignore_connections(listener: &Async<TcpListener>, pair: &Pair, woken: &async_channel::Receiver<()>) {
    let _ = rustix::net::listen(listener, 0);
    let mut fillers = Vec::new();
    let mut queued = Vec::new();
    if let Ok(at) = listener.get_ref().local_addr() {
        for _ in 0..2 {
            if let Some(Ok(filler)) = with_timeout(POLL_INTERVAL, Async::<TcpStream>::connect(at)).await {
                queued.extend(filler.get_ref().local_addr());
                fillers.push(filler);
            }
        }
    }
    while !pair.is_open() && !*crate::runtime::lock(&pair.refused) {
        let _ = woken.recv().await;
    }
    // Connections that were established before come first in the queue and are kept; the fillers are
    // discarded.
    let mut pending_connections = Vec::new();
    while queued.len() > pending_connections.len() {
        match with_timeout(POLL_INTERVAL, listener.accept()).await {
            Some(Ok((stream, from))) if queued.contains(&from) => {
                reset_on_close(stream.get_ref());
                queued.retain(|q| *q != from);
            }
            Some(Ok((stream, _))) => pending_connections.push(stream),
            _ => break,
        }
    }
    // Resets these connections: they were made while the link was cut, and their clients may have given up
    // long ago.
    pending_connections.iter().for_each(|s| reset_on_close(s.get_ref()));
    let _ = rustix::net::listen(listener, BACKLOG);
}

async fn forward_connection(pair: Arc<Pair>, direction: usize, near: Async<TcpStream>, target: SocketAddr) {
    let reset = crate::runtime::lock(&pair.reset_channel).1.clone();
    // Established just when the link was cut: silent while that lasts, and then reset.
    if !pair.is_open() {
        while !pair.is_open() {
            sleep(POLL_INTERVAL).await;
        }
        return reset_on_close(near.get_ref());
    }
    let far = match with_timeout(CONNECT_TIMEOUT, Async::<TcpStream>::connect(target)).await {
        Some(Ok(far)) => far,
        _ => return reset_on_close(near.get_ref()),
    };
    let _ = (near.get_ref().set_nodelay(true), far.get_ref().set_nodelay(true));
    let both_directions = future::try_zip(
        forward_direction(&pair, direction, &near, &far),
        forward_direction(&pair, 1 - direction, &far, &near),
    );
    let ended = future::or(async { both_directions.await.map(drop) }, async {
        let _ = reset.recv().await;
        Err(io::ErrorKind::ConnectionReset.into())
    });
    if ended.await.is_err() {
        reset_on_close(near.get_ref());
        reset_on_close(far.get_ref());
    }
}

enum StreamEvent {
    Bytes(Vec<u8>),
    End,
    Reset,
}

/// Forwards one direction of a connection until it ends; an error ends both directions.
async fn forward_direction(
    pair: &Pair,
    direction: usize,
    from: &Async<TcpStream>,
    to: &Async<TcpStream>,
) -> io::Result<()> {
    let (queue, queued) = async_channel::bounded::<(Instant, StreamEvent)>(MAX_QUEUED_READS);
    let reader = async {
        let mut stream = from;
        let mut bytes = vec![0; READ_BYTES];
        loop {
            let event = match stream.read(&mut bytes).await {
                Ok(0) => StreamEvent::End,
                Ok(count) => StreamEvent::Bytes(bytes[..count].to_vec()),
                Err(_) => StreamEvent::Reset,
            };
            let last = !matches!(event, StreamEvent::Bytes(_));
            let due = Instant::now() + pair.directions[direction].condition().delay;
            if queue.send((due, event)).await.is_err() || last {
                queue.close();
                return Ok::<(), io::Error>(());
            }
        }
    };
    let writer = async {
        let mut stream = to;
        while let Ok((due, event)) = queued.recv().await {
            if due > Instant::now() {
                Timer::at(due).await;
            }
            wait_until_passable(pair, direction).await;
            let bytes = match event {
                StreamEvent::Bytes(bytes) => bytes,
                StreamEvent::End => return to.get_ref().shutdown(Shutdown::Write).or(Ok(())),
                StreamEvent::Reset => return Err(io::ErrorKind::ConnectionReset.into()),
            };
            let part_bytes = pair.directions[direction]
                .condition()
                .max_bytes_s
                .map_or(READ_BYTES, |r| (r as usize / 50).clamp(1, READ_BYTES));
            for part in bytes.chunks(part_bytes) {
                if let Err(e) = stream.write_all(part).await {
                    // The receiver has gone; its reset reaches the sender through the opposite direction.
                    wait_until_passable(pair, 1 - direction).await;
                    return Err(e);
                }
                pair.directions[direction].traffic.bytes.fetch_add(part.len() as u64, Ordering::Relaxed);
                if let Some(rate) = pair.directions[direction].condition().max_bytes_s {
                    sleep(Duration::from_secs_f64(part.len() as f64 / f64::from(rate.max(1)))).await;
                }
                wait_until_passable(pair, direction).await;
            }
        }
        Ok(())
    };
    future::try_zip(reader, writer).await.map(drop)
}

async fn wait_until_passable(pair: &Pair, direction: usize) {
    while pair.directions[direction].condition().is_cut {
        sleep(POLL_INTERVAL).await;
    }
}
