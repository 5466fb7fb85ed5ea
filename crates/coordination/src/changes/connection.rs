//! One connection between a relay and a subscriber: sealed frames in both directions, until either side ends it. The relay's first
//! frame is empty and tells its life; all others are for the very life of whom they are for. So nothing that was recorded is
//! good for anybody who has started again since.
use super::host::Came;
use crate::frames;
use crate::links::{self, within, Counts};
use async_channel::{Receiver, Sender};
use async_io::Async;
use cluster_types::MemberId;
use config_distribution::{RelayMessage, SubscriberMessage};
use futures_lite::{future, AsyncWriteExt};
use message_auth::{Opened, Opener, Sealer};
use serde::de::DeserializeOwned;
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// The channel of these frames; membership and the log have those before it.
pub const CHANNEL: u8 = 2;
/// The longest frame.
pub const LONGEST: usize = 2 << 20;
/// The longest frame of a subscriber.
const ASKED: usize = 64 * 1024;
/// Bytes that may wait to be written on a connection, beside one frame.
const WAITING: usize = 128 * 1024;
/// Frames that may wait there.
const FRAMES: usize = 256;

/// What connections share.
#[derive(Clone)]
pub struct Shared {
    /// Signs what goes out.
    pub sealer: Rc<RefCell<Sealer>>,
    /// Opens what comes.
    pub opener: Rc<RefCell<Opener>>,
    /// Where it goes.
    pub came: Sender<Came>,
    /// What was bad.
    pub counts: Arc<Counts>,
}

/// The end of a connection at which frames are handed in. Once it is dropped, what was handed in goes out and the connection ends.
pub struct Out {
    frames: Sender<Vec<u8>>,
    waiting: Rc<Cell<usize>>,
    /// Why this side ends it.
    pub why: Rc<Cell<&'static str>>,
}

/// The other end.
struct Written {
    frames: Receiver<Vec<u8>>,
    waiting: Rc<Cell<usize>>,
    why: Rc<Cell<&'static str>>,
}

impl Out {
    fn new() -> (Out, Written) {
        let (to, from) = async_channel::bounded(FRAMES);
        let (waiting, why) = (Rc::new(Cell::new(0)), Rc::new(Cell::new("closed")));
        let written = Written { frames: from, waiting: waiting.clone(), why: why.clone() };
        (Out { frames: to, waiting, why }, written)
    }

    /// Hands in a frame; false where too much waits already.
    pub fn send(&self, frame: Vec<u8>) -> bool {
        let waiting = self.waiting.get();
        if waiting > WAITING {
            return false;
        }
        self.waiting.set(waiting + frame.len());
        self.frames.try_send(frame).is_ok()
    }
}

/// Writes until there is nothing to come, or the other side takes nothing more; tells why.
async fn write(stream: &Async<TcpStream>, out: &Written) -> String {
    let mut stream = stream;
    while let Ok(frame) = out.frames.recv().await {
        if within(async { stream.write_all(&frame).await.ok() }).await.is_none() {
            return "stuck".into();
        }
        out.waiting.set(out.waiting.get().saturating_sub(frame.len()));
    }
    out.why.get().into()
}

/// One end of a connection.
struct End<'a> {
    stream: &'a Async<TcpStream>,
    on: &'a Shared,
    longest: usize,
    /// Who is at the other end.
    name: Option<MemberId>,
    carried: u64,
}

impl End<'_> {
    /// The next frame: all of one sender.
    async fn opened(&mut self) -> Result<Opened, String> {
        let (on, mut stream) = (self.on, self.stream);
        let bound = (self.carried, self.longest);
        let opened = links::next(&mut stream, CHANNEL, bound, &on.opener, &on.counts).await?;
        if *self.name.get_or_insert_with(|| opened.from.clone()) != opened.from {
            on.counts.refused.fetch_add(1, Ordering::Relaxed);
            return Err("foreign".into());
        }
        self.carried += 1;
        Ok(opened)
    }

    /// The life of the relay at the other end.
    async fn hello(&mut self) -> Result<(), String> {
        let opened = self.opened().await?;
        self.on.sealer.borrow_mut().learn_incarnation(&opened.from, opened.incarnation);
        self.carried = 0;
        Ok(())
    }

    /// The next message, for this very life.
    async fn next<T: DeserializeOwned>(&mut self) -> Result<T, String> {
        let opened = self.opened().await?;
        if !opened.fresh {
            self.carried -= 1;
            self.on.counts.refused.fetch_add(1, Ordering::Relaxed);
            return Err("stale".into());
        }
        if self.carried == 1 {
            self.on.sealer.borrow_mut().learn_incarnation(&opened.from, opened.incarnation);
        }
        frames::read(&opened.body).map_err(|why| {
            self.on.counts.unread.fetch_add(1, Ordering::Relaxed);
            format!("protocol ({why})")
        })
    }
}

/// Serves a subscriber's connection.
pub async fn serve(stream: Async<TcpStream>, link: u64, on: Shared) -> (u64, String) {
    let _ = stream.get_ref().set_nodelay(true);
    let (out, written) = Out::new();
    let mut hello = Vec::new();
    links::put(&mut hello, None, &[], &on.sealer);
    out.send(hello);
    let mut end = End { stream: &stream, on: &on, longest: ASKED, name: None, carried: 0 };
    let mut out = Some(out);
    let read = async {
        loop {
            let message = match end.next::<SubscriberMessage>().await {
                Ok(message) => message,
                Err(why) => return why,
            };
            if let (Some(out), Some(name)) = (out.take(), &end.name) {
                let _ = on.came.send(Came::Joined { link, name: name.clone(), out }).await;
            }
            let _ = on.came.send(Came::Asked { link, message }).await;
        }
    };
    let why = future::or(read, write(&stream, &written)).await;
    let (name, carried) = (end.name.take(), end.carried);
    let _ = on.came.send(Came::Left { link, name }).await;
    (carried, why)
}

/// Calls a relay and follows it; tells how many frames came and why it ended.
pub async fn call(call: u64, relay: (MemberId, SocketAddr), on: Shared) -> (u64, String) {
    let up = within(async { Async::<TcpStream>::connect(relay.1).await.ok() }).await;
    let Some(stream) = up else {
        let _ = on.came.send(Came::Down { call, carried: None }).await;
        return (0, "connect-failed".into());
    };
    let _ = stream.get_ref().set_nodelay(true);
    let (out, written) = Out::new();
    let name = Some(relay.0);
    let mut end = End { stream: &stream, on: &on, longest: LONGEST, name, carried: 0 };
    let read = async {
        if let Err(why) = end.hello().await {
            return why;
        }
        let _ = on.came.send(Came::Up { call, out }).await;
        loop {
            match end.next::<RelayMessage>().await {
                Ok(message) => drop(on.came.send(Came::Told { call, message }).await),
                Err(why) => return why,
            }
        }
    };
    let why = future::or(read, write(&stream, &written)).await;
    let carried = end.carried;
    let _ = on.came.send(Came::Down { call, carried: Some(carried) }).await;
    (carried, why)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_not_read_is_bounded_and_one_long_frame_passes() {
        let (out, _written) = Out::new();
        assert!(out.send(vec![0; LONGEST]), "any one frame");
        assert!(!out.send(vec![0; 1]), "and none beyond it");
        let (out, _written) = Out::new();
        let sent = (0..10_000).take_while(|_| out.send(vec![0; 2_048])).count();
        assert_eq!(sent, WAITING / 2_048 + 1);
        let (out, _written) = Out::new();
        assert_eq!((0..10_000).take_while(|_| out.send(vec![0; 8])).count(), FRAMES);
    }
}
