//! The list's actor: one watch at discovery, resumed from the last version. The module paces its calls.
use crate::boxes::Boxes;
use crate::context::Context;
use crate::mail::{Ask, Mail, Module};
use crate::objects::Objects;
use crate::silence::Silence;
use crate::wire::{Moved, Reason, Wire};
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::{future, StreamExt};
use http::{Chunks, Length};
use oxbowhill::interface::ListNews;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

/// How long a connection to discovery may take to come up.
const CONNECT: Duration = Duration::from_secs(1);
const BOUNDS: (usize, usize) = (64 * 1024, 4096);

/// Runs until the program ends, which closes the mailbox.
pub async fn run(context: Rc<Context>, module: Module, boxes: Rc<Boxes>, asked: Receiver<Ask>) {
    let mut asked = Box::pin(asked);
    let config = context.config();
    let silence = Silence::new(config.seed);
    let mut list = List { context, module, boxes, version: config.known.generation, silence };
    while asked.next().await.is_some() {
        // Read each time: a reload may have given another address, which is asked from the version that is held.
        while let Some(discovery) = list.context.config().discovery {
            let reason = list.watch(discovery, &mut asked).await;
            if reason == Reason::Stopped {
                return;
            }
            if reason == Reason::Replaced {
                continue;
            }
            // Guards against what counts as told though it has not come: after silence there is no time for the
            // module's pauses.
            let now = list.context.clock.now();
            let Some(at) = list.silence.ended(now, reason == Reason::Timeout) else { break };
            let pause = async {
                Timer::at(list.context.clock.instant(at)).await;
                true
            };
            if !future::or(async { asked.next().await.is_some() }, pause).await {
                return;
            }
        }
        let _ = list.module.send(Mail::News(ListNews::Failed)).await;
    }
}

/// What the watch goes on from.
struct List {
    context: Rc<Context>,
    module: Module,
    boxes: Rc<Boxes>,
    version: i64,
    silence: Silence,
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

impl List {
    /// Follows one watch until it ends; what it told counts.
    async fn watch(&mut self, discovery: SocketAddr, asked: &mut Pin<Box<Receiver<Ask>>>) -> Reason {
        self.silence.opens(self.context.clock.now());
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
        self.version
    );
        wire.output.push(ask.as_bytes());
        let (mut length, mut chunks, mut objects) = (None, Chunks::default(), Objects::default());
        wire.reason = loop {
            let again = async { Woken::Asked(asked.next().await) };
            let moved = async { Woken::Moved(wire.next().await) };
            let silent = async {
                Timer::at(self.context.clock.instant(self.silence.until())).await;
                Woken::Moved(None)
            };
            match future::or(future::or(again, moved), silent).await {
                // Guards discovery, which takes calls in turn: one that still waits for its answer is not given up
                // for another, which would have to wait behind it.
                Woken::Asked(Some(Ask::Watch)) if !self.silence.up() => continue,
                // Guards against a watch that goes on at an old address: it tells nothing any more, and ends.
                Woken::Asked(Some(Ask::Moved | Ask::Watch)) => break Reason::Replaced,
                Woken::Asked(None) => break Reason::Stopped,
                Woken::Moved(Some(Ok(Moved::Wrote))) => continue,
                Woken::Moved(Some(Ok(Moved::Read))) => {}
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
                Some(Length::Chunked) => chunks.read(wire.input.contiguous(), objects.body()),
                _ => {
                    let bytes = wire.input.contiguous();
                    objects.body().extend_from_slice(bytes);
                    Ok(bytes.len())
                }
            };
            match used {
                Ok(used) => wire.input.consume(used),
                Err(_) => break Reason::Protocol,
            }
            match self.take(&mut objects).await {
                Ok(count) => wire.carried += count,
                Err(()) => break Reason::Protocol,
            }
            if chunks == Chunks::Done {
                break Reason::Done;
            }
        };
        wire.reason
    }

    /// Takes in what has come on a watch; tells how many objects.
    async fn take(&mut self, objects: &mut Objects) -> Result<u64, ()> {
        let fault = |e: &dyn std::fmt::Display| crate::log::line(format_args!("list error={e}"));
        let mut count = 0;
        while let Some(place) = objects.next().map_err(|_| fault(&"not a stream of objects"))? {
            let news =
                config::targets(objects.at(place), &self.context.config().zones).map_err(|e| fault(&e))?;
            count += 1;
            self.silence.told();
            self.version = news.generation;
            let _ = self.module.send(Mail::News(self.boxes.news(&news))).await;
            self.context.life.serving.set(true);
            self.context.life.heard.set(true);
        }
        if objects.line() {
            // Guards discovery: a watch with nothing to tell is up all the same, and not to be asked for again.
            self.context.life.heard.set(true);
            if !self.silence.up() {
                self.silence.told();
                let _ = self.module.send(Mail::News(ListNews::Delta(vec![]))).await;
            }
        }
        if objects.alive() {
            self.silence.heard(self.context.clock.now());
        }
        Ok(count)
    }
}
