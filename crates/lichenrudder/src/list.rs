//! The list's actor: one watch at discovery, resumed from the last version. The module paces its calls.
use crate::boxes::Boxes;
use crate::context::Context;
use crate::mail::{Ask, Mail, Module};
use crate::wire::{Moved, Reason, Wire};
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::{future, StreamExt};
use http::{Chunks, Length};
use oxbowhill::interface::ListNews;
use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Heartbeats come every 2 s; a watch that is silent for longer has broken. What discovery tells counts as told
/// after 6 s, whether it arrived or not: there must be time left to ask anew, and to wait in discovery's turn.
const SILENCE: Duration = Duration::from_millis(3200);
/// How long a connection to discovery may take to come up.
const CONNECT: Duration = Duration::from_secs(1);
/// The longest line of a watch.
const LINE: usize = 1024 * 1024;
const BOUNDS: (usize, usize) = (64 * 1024, 4096);

/// Runs until the program ends, which closes the mailbox.
pub async fn run(context: Rc<Context>, module: Module, boxes: Rc<Boxes>, asked: Receiver<Ask>) {
    let mut asked = Box::pin(asked);
    let version = Cell::new(context.config().known.generation);
    while asked.next().await.is_some() {
        // Read each time: a reload may have given another address, which is asked from the version that is held.
        while let Some(discovery) = context.config().discovery {
            match watch(&context, &module, &boxes, discovery, &version, &mut asked).await {
                Reason::Replaced => {}
                Reason::Stopped => return,
                _ => break,
            }
        }
        let _ = module.send(Mail::News(ListNews::Failed)).await;
    }
}

enum Woken {
    Asked(Option<Ask>),
    Moved(Option<std::io::Result<Moved>>),
}

async fn within<T>(time: Duration, work: impl std::future::Future<Output = Option<T>>) -> Option<T> {
    future::or(work, async {
        Timer::after(time).await;
        None
    })
    .await
}

/// Follows one watch until it ends; what it told counts.
async fn watch(
    context: &Rc<Context>,
    module: &Module,
    boxes: &Boxes,
    discovery: SocketAddr,
    version: &Cell<i64>,
    asked: &mut Pin<Box<Receiver<Ask>>>,
) -> Reason {
    let up = within(CONNECT, async { Wire::connect("discovery", discovery, BOUNDS).await.ok() }).await;
    let Some(mut wire) = up else {
        crate::log::line(format_args!(
            "conn kind=discovery peer={discovery} carried=0 reason={}",
            Reason::ConnectFailed
        ));
        return Reason::ConnectFailed;
    };
    let ask = format!(
        "GET /api/targets?watch=1&from={} HTTP/1.1\r\nHost: {discovery}\r\nAccept: application/json\r\n\r\n",
        version.get()
    );
    wire.output.push(ask.as_bytes());
    let mut heard = Instant::now();
    // Whether the module has heard that the watch is up: it asks until it has.
    let mut told = false;
    let (mut length, mut chunks, mut body) = (None, Chunks::default(), Vec::new());
    wire.reason = loop {
        let again = async { Woken::Asked(asked.next().await) };
        let moved = async { Woken::Moved(wire.next().await) };
        let silent = async {
            Timer::at(heard + SILENCE).await;
            Woken::Moved(None)
        };
        match future::or(future::or(again, moved), silent).await {
            // Guards discovery, which takes calls in turn: one that still waits for its answer is not given up
            // for another, which would have to wait behind it.
            Woken::Asked(Some(Ask::Watch)) if !told => continue,
            // Guards against a watch that goes on at an old address: it tells nothing any more, and ends.
            Woken::Asked(Some(Ask::Moved | Ask::Watch)) => break Reason::Replaced,
            Woken::Asked(None) => break Reason::Stopped,
            Woken::Moved(Some(Ok(Moved::Wrote))) => continue,
            Woken::Moved(Some(Ok(Moved::Read))) => heard = Instant::now(),
            Woken::Moved(Some(Ok(Moved::End))) => break Reason::PeerClosed,
            Woken::Moved(Some(Err(_))) => break Reason::Reset,
            Woken::Moved(None) => break Reason::Timeout,
        }
        if length.is_none() {
            match http::answer_head(wire.input.contiguous()) {
                Ok(None) => continue,
                Ok(Some((200, form, used))) => {
                    wire.input.consume(used);
                    length = Some(form);
                }
                Ok(Some(_)) => break Reason::PeerClosed,
                Err(_) => break Reason::Protocol,
            }
        }
        let used = match length {
            Some(Length::Chunked) => chunks.read(wire.input.contiguous(), &mut body),
            _ => {
                let bytes = wire.input.contiguous();
                body.extend_from_slice(bytes);
                Ok(bytes.len())
            }
        };
        match used {
            Ok(used) => wire.input.consume(used),
            Err(_) => break Reason::Protocol,
        }
        let mut start = 0;
        let mut faulty = false;
        while let Some(end) = body[start..].iter().position(|b| *b == b'\n') {
            let line = &body[start..start + end];
            start += end + 1;
            if line.iter().all(u8::is_ascii_whitespace) {
                // Guards discovery: a watch with nothing to tell is up all the same, and not to be asked for again.
                context.life.heard.set(true);
                if !std::mem::replace(&mut told, true) {
                    let _ = module.send(Mail::News(ListNews::Delta(vec![]))).await;
                }
                continue;
            }
            match config::targets(line, &context.config().zones) {
                Ok(news) => {
                    wire.carried += 1;
                    told = true;
                    version.set(news.generation);
                    let _ = module.send(Mail::News(boxes.news(&news))).await;
                    context.life.serving.set(true);
                    context.life.heard.set(true);
                }
                Err(e) => {
                    crate::log::line(format_args!("list error={e}"));
                    faulty = true;
                }
            }
        }
        body.drain(..start);
        if faulty || body.len() > LINE {
            break Reason::Protocol;
        }
        if chunks == Chunks::Done {
            break Reason::Done;
        }
    };
    wire.reason
}
