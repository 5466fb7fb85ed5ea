//! The list's actor: one watch at discovery, resumed from the last version. The pace of its calls is `pace.rs`'s.
use crate::boxes::Boxes;
use crate::context::Context;
use crate::mail::{Ask, Mail, Module};
use crate::pace::{Backoff, BESIDE, CALLS, LIVENESS};
use crate::watch::{fault, Watch};
use crate::wire::Reason;
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::{future, StreamExt};
use oxbowhill::interface::{ListMode, ListNews, Micros};
use std::collections::VecDeque;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;

/// The list's mailbox.
type Asked = Pin<Box<Receiver<Ask>>>;
/// A call that has no answer yet.
type Call = Pin<Box<dyn Future<Output = Result<Box<Watch>, Reason>>>>;

/// Runs until the program ends, which closes the mailbox.
pub async fn run(context: Rc<Context>, module: Module, boxes: Rc<Boxes>, asked: Receiver<Ask>) {
    let mut asked = Box::pin(asked);
    let config = context.config();
    let backoff = Backoff::new(config.seed);
    let mut list = List { context, module, boxes, version: config.known.generation, backoff };
    // Where lists are pushed, what the agent has counts from the first moment on. Else all fronts may start at once, and
    // discovery is one service for all.
    let mut pause = match config.settings.list_mode {
        ListMode::Push => 0,
        ListMode::Ask => list.backoff.pause(),
    };
    loop {
        // Read each time: a reload may have given another address, which is asked from the version that is held.
        let reason = match list.context.config().discovery {
            Some(discovery) => list.watch(discovery, pause, &mut asked).await,
            None => asked.next().await.map_or(Reason::Stopped, |_| Reason::Replaced),
        };
        pause = match reason {
            Reason::Stopped => return,
            Reason::Replaced => 0,
            _ => list.backoff.pause(),
        };
    }
}

/// What the watch goes on from.
struct List {
    context: Rc<Context>,
    module: Module,
    boxes: Rc<Boxes>,
    version: i64,
    backoff: Backoff,
}

enum Woken {
    Asked(Option<Ask>),
    Answered(Result<Box<Watch>, Reason>),
    Moved(Result<(), Reason>),
    Due,
}

/// Whichever call has ended or is up; none ever where there is no call.
async fn answered(calls: &mut VecDeque<Call>) -> Result<Box<Watch>, Reason> {
    future::poll_fn(|cx| {
        for n in 0..calls.len() {
            if let Poll::Ready(answer) = calls[n].as_mut().poll(cx) {
                drop(calls.remove(n));
                return Poll::Ready(answer);
            }
        }
        Poll::Pending
    })
    .await
}

/// Waits for a letter that ends what is done; the module's, that asks for a watch, is answered by what is done already.
async fn letter(asked: &mut Asked) -> Woken {
    loop {
        match asked.next().await {
            Some(Ask::Watch) => {}
            other => return Woken::Asked(other),
        }
    }
}

fn ends(letter: Option<Ask>) -> Reason {
    letter.map_or(Reason::Stopped, |_| Reason::Replaced)
}

impl List {
    /// Calls until one is up, and follows that watch until it ends; tells why.
    async fn watch(&mut self, discovery: SocketAddr, pause: i64, asked: &mut Asked) -> Reason {
        match self.call(discovery, pause, asked).await {
            Err(reason) => reason,
            Ok(mut watch) => {
                self.backoff.answered();
                watch.wire.reason = self.follow(&mut watch, asked).await;
                watch.wire.reason
            }
        }
    }

    async fn call(
        &mut self,
        discovery: SocketAddr,
        pause: i64,
        asked: &mut Asked,
    ) -> Result<Box<Watch>, Reason> {
        let context = self.context.clone();
        let mut due = Micros(context.clock.now().0 + pause);
        let mut calls: VecDeque<Call> = VecDeque::new();
        loop {
            let next = async {
                Timer::at(context.clock.instant(due)).await;
                Woken::Due
            };
            let answer = async { Woken::Answered(answered(&mut calls).await) };
            match future::or(future::or(letter(asked), answer), next).await {
                Woken::Answered(Ok(watch)) => return Ok(watch),
                Woken::Answered(Err(_)) => {
                    due = due.min(Micros(context.clock.now().0 + self.backoff.pause()));
                }
                // Guards against a watch at an old address, which tells nothing any more.
                Woken::Asked(letter) => return Err(ends(letter)),
                Woken::Moved(_) => {}
                Woken::Due => {
                    if calls.len() >= CALLS {
                        calls.pop_front();
                    }
                    calls.push_back(Box::pin(Watch::call(discovery, self.version)));
                    due = Micros(context.clock.now().0 + BESIDE);
                }
            }
        }
    }

    async fn follow(&mut self, watch: &mut Watch, asked: &mut Asked) -> Reason {
        let context = self.context.clone();
        let (mut heard, mut told, mut came) = (context.clock.now(), false, false);
        loop {
            match self.take(watch).await {
                Ok(count) => {
                    // Guards discovery: a watch with nothing to tell is up all the same, and not to be asked for again.
                    if !std::mem::replace(&mut told, true) && count == 0 {
                        let _ = self.module.send(Mail::News(ListNews::Delta(vec![]))).await;
                    }
                    watch.wire.carried += count;
                }
                Err(reason) => return reason,
            }
            if watch.done {
                return Reason::Done;
            }
            if std::mem::take(&mut came) && watch.objects.alive() {
                heard = context.clock.now();
            }
            let moved = async { Woken::Moved(watch.more().await) };
            let silent = async {
                Timer::at(context.clock.instant(Micros(heard.0 + LIVENESS))).await;
                Woken::Due
            };
            match future::or(future::or(letter(asked), moved), silent).await {
                Woken::Moved(Ok(())) => came = true,
                Woken::Answered(_) => {}
                Woken::Moved(Err(reason)) => return reason,
                Woken::Asked(letter) => return ends(letter),
                Woken::Due => return Reason::Timeout,
            }
        }
    }

    /// Takes in what has come on a watch; tells how many objects.
    async fn take(&mut self, watch: &mut Watch) -> Result<u64, Reason> {
        let mut count = 0;
        self.context.life.heard.set(true);
        loop {
            let place = match watch.first.take() {
                Some(place) => Some(place),
                None => watch.objects.next().map_err(|_| fault(&"not a stream of objects"))?,
            };
            let Some(place) = place else { return Ok(count) };
            let news = config::targets(watch.objects.at(place), &self.context.config().zones)
                .map_err(|e| fault(&e))?;
            count += 1;
            self.version = news.generation;
            let _ = self.module.send(Mail::News(self.boxes.news(&news))).await;
            self.context.life.serving.set(true);
        }
    }
}
