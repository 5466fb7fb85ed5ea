//! A TCP link: a listener in the place of the target, and for each connection one to the target.
use crate::engine::{pause, reset_at_end, within, Spawner};
use crate::links::Pair;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

const BACKLOG: i32 = 128;
const PIECE: usize = 16 * 1024;
/// Pieces that wait in one direction of one connection.
const HELD: usize = 64;
/// How often a cut direction is looked at.
const LOOK: Duration = Duration::from_millis(3);
const CONNECT: Duration = Duration::from_secs(3);

/// Listens until the engine ends.
pub(crate) async fn run(
    spawner: Spawner,
    pair: Arc<Pair>,
    way: usize,
    listener: TcpListener,
    target: SocketAddr,
    poked: async_channel::Receiver<()>,
) {
    let Ok(at) = listener.local_addr() else { return };
    let mut listener = Async::new(listener).ok();
    loop {
        if *crate::engine::lock(&pair.refused) {
            listener = None;
            let _ = poked.recv().await;
            continue;
        }
        let Some(open) = &listener else {
            listener = Async::<TcpListener>::bind(at).ok();
            if listener.is_none() {
                pause(LOOK).await;
            }
            continue;
        };
        if !pair.open() {
            deaf(open, &pair, &poked).await;
            continue;
        }
        let accepted = future::or(async { Some(open.accept().await) }, async {
            let _ = poked.recv().await;
            None
        });
        match accepted.await {
            Some(Ok((stream, _))) => spawner.spawn(carry(pair.clone(), way, stream, target)),
            Some(Err(_)) => pause(LOOK).await,
            None => {}
        }
    }
}

/// Lets no connection come up until the pair is open again: with its queue full, a listener does not answer.
async fn deaf(listener: &Async<TcpListener>, pair: &Pair, poked: &async_channel::Receiver<()>) {
    let _ = rustix::net::listen(listener, 0);
    let mut fillers = Vec::new();
    let mut queued = Vec::new();
    if let Ok(at) = listener.get_ref().local_addr() {
        for _ in 0..2 {
            if let Some(Ok(filler)) = within(LOOK, Async::<TcpStream>::connect(at)).await {
                queued.extend(filler.get_ref().local_addr());
                fillers.push(filler);
            }
        }
    }
    while !pair.open() && !*crate::engine::lock(&pair.refused) {
        let _ = poked.recv().await;
    }
    // What had come up before goes first, and is carried on; the fillers are thrown away.
    let mut real = Vec::new();
    while queued.len() > real.len() {
        match within(LOOK, listener.accept()).await {
            Some(Ok((stream, from))) if queued.contains(&from) => {
                reset_at_end(stream.get_ref());
                queued.retain(|q| *q != from);
            }
            Some(Ok((stream, _))) => real.push(stream),
            _ => break,
        }
    }
    // Guards against a connection whose maker has long given up: it made it while nothing got through.
    real.iter().for_each(|s| reset_at_end(s.get_ref()));
    let _ = rustix::net::listen(listener, BACKLOG);
}

async fn carry(pair: Arc<Pair>, way: usize, near: Async<TcpStream>, target: SocketAddr) {
    let life = crate::engine::lock(&pair.life).1.clone();
    // Came up in the moment of the cut: silent while that lasts, and reset then.
    if !pair.open() {
        while !pair.open() {
            pause(LOOK).await;
        }
        return reset_at_end(near.get_ref());
    }
    let far = match within(CONNECT, Async::<TcpStream>::connect(target)).await {
        Some(Ok(far)) => far,
        _ => return reset_at_end(near.get_ref()),
    };
    let _ = (near.get_ref().set_nodelay(true), far.get_ref().set_nodelay(true));
    let both = future::try_zip(pump(&pair, way, &near, &far), pump(&pair, 1 - way, &far, &near));
    let ended = future::or(async { both.await.map(drop) }, async {
        let _ = life.recv().await;
        Err(io::ErrorKind::ConnectionReset.into())
    });
    if ended.await.is_err() {
        reset_at_end(near.get_ref());
        reset_at_end(far.get_ref());
    }
}

enum Item {
    Bytes(Vec<u8>),
    End,
    Reset,
}

/// Carries one direction of a connection until it has ended; an error ends both.
async fn pump(pair: &Pair, way: usize, from: &Async<TcpStream>, to: &Async<TcpStream>) -> io::Result<()> {
    let (put, got) = async_channel::bounded::<(Instant, Item)>(HELD);
    let reader = async {
        let mut stream = from;
        let mut bytes = vec![0; PIECE];
        loop {
            let item = match stream.read(&mut bytes).await {
                Ok(0) => Item::End,
                Ok(count) => Item::Bytes(bytes[..count].to_vec()),
                Err(_) => Item::Reset,
            };
            let last = !matches!(item, Item::Bytes(_));
            let due = Instant::now() + pair.ways[way].condition().delay;
            if put.send((due, item)).await.is_err() || last {
                put.close();
                return Ok::<(), io::Error>(());
            }
        }
    };
    let writer = async {
        let mut stream = to;
        while let Ok((due, item)) = got.recv().await {
            if due > Instant::now() {
                Timer::at(due).await;
            }
            passable(pair, way).await;
            let bytes = match item {
                Item::Bytes(bytes) => bytes,
                Item::End => return to.get_ref().shutdown(Shutdown::Write).or(Ok(())),
                Item::Reset => return Err(io::ErrorKind::ConnectionReset.into()),
            };
            let step = pair.ways[way].condition().rate.map_or(PIECE, |r| (r as usize / 50).clamp(1, PIECE));
            for part in bytes.chunks(step) {
                if let Err(e) = stream.write_all(part).await {
                    // Whoever should have got it has gone, and says so over the way back.
                    passable(pair, 1 - way).await;
                    return Err(e);
                }
                pair.ways[way].carried.bytes.fetch_add(part.len() as u64, Ordering::Relaxed);
                if let Some(rate) = pair.ways[way].condition().rate {
                    pause(Duration::from_secs_f64(part.len() as f64 / f64::from(rate.max(1)))).await;
                }
                passable(pair, way).await;
            }
        }
        Ok(())
    };
    future::try_zip(reader, writer).await.map(drop)
}

async fn passable(pair: &Pair, way: usize) {
    while pair.ways[way].condition().cut {
        pause(LOOK).await;
    }
}
