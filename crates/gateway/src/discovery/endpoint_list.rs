//! The list's actor: one watch at discovery, resumed from the last version. When it calls is `backoff`'s to say.
use crate::backend::pool::BackendPool;
use crate::context::Context;
use crate::discovery::watch::{fault, Watch};
use crate::messages::{DiscoveryMessage, SchedulerMailbox, SchedulerMessage};
use crate::net::close_reason::CloseReason;
use async_channel::Receiver;
use async_io::Timer;
use backoff::{BackoffPolicy, Caller, Failure, IDLE_TIMEOUT_US};
use config::Config;
use futures_lite::{future, StreamExt};
use scheduler::interface::{DiscoveryMode, EndpointUpdate, Micros};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;

/// The list's mailbox.
type Asked = Pin<Box<Receiver<DiscoveryMessage>>>;
/// A call that has no answer yet.
type Call = Pin<Box<dyn Future<Output = Result<Box<Watch>, CloseReason>>>>;

/// The law for one of all fronts.
fn law(config: &Config) -> BackoffPolicy {
    BackoffPolicy::for_callers(config.settings.gateways)
}

/// Runs until the program ends, which closes the mailbox.
pub async fn run(
    context: Rc<Context>,
    scheduler: SchedulerMailbox,
    pool: Rc<BackendPool>,
    asked: Receiver<DiscoveryMessage>,
) {
    let mut asked = Box::pin(asked);
    let config = context.config();
    let now = context.clock.now().0;
    let mut caller = Caller::new(law(&config), config.seed, now);
    // Where lists are pushed, what the agent has counts from the first moment on. Else all fronts may start at once, and
    // discovery is one service for all.
    if config.settings.discovery_mode == DiscoveryMode::Subscribe {
        caller.delay_first_call(now);
    }
    let mut list = List { context, scheduler, pool, version: config.known.generation, caller };
    loop {
        // Read each time: a reload may have given another address, which is asked from the version that is held.
        let config = list.context.config();
        list.caller.set_policy(law(&config));
        let reason = match config.discovery {
            Some(discovery) => list.watch(discovery, &mut asked).await,
            None => asked.next().await.map_or(CloseReason::Stopped, |_| CloseReason::Replaced),
        };
        let now = list.context.clock.now().0;
        match reason {
            CloseReason::Stopped => return,
            CloseReason::Replaced => list.caller.service_replaced(now),
            CloseReason::Timeout => list.caller.watch_ended(now, Failure::Silent),
            _ => list.caller.watch_ended(now, Failure::Ended),
        }
        // What leaves from now on is not heard of: the module is to take care.
        let _ = list.scheduler.send(SchedulerMessage::News(EndpointUpdate::Failed)).await;
    }
}

/// What the watch goes on from.
struct List {
    context: Rc<Context>,
    scheduler: SchedulerMailbox,
    pool: Rc<BackendPool>,
    version: i64,
    caller: Caller,
}

enum Woken {
    Asked(Option<DiscoveryMessage>),
    Answered(u64, Result<Box<Watch>, CloseReason>),
    Moved(Result<(), CloseReason>),
    Due,
}

/// Whichever call has ended or is up, by its number; none ever where there is no call.
async fn answered(calls: &mut Vec<(u64, Call)>) -> (u64, Result<Box<Watch>, CloseReason>) {
    future::poll_fn(|cx| {
        for n in 0..calls.len() {
            if let Poll::Ready(answer) = calls[n].1.as_mut().poll(cx) {
                return Poll::Ready((calls.remove(n).0, answer));
            }
        }
        Poll::Pending
    })
    .await
}

/// What a call that failed tells of discovery. A reset may be one that waited too long, too.
fn failure(reason: CloseReason) -> Failure {
    match reason {
        CloseReason::ConnectFailed => Failure::Down,
        _ => Failure::Overloaded,
    }
}

/// Waits for a letter that ends what is done; the module's, that asks for a watch, is answered by what is done already.
async fn message(asked: &mut Asked) -> Woken {
    loop {
        match asked.next().await {
            Some(DiscoveryMessage::Watch) => {}
            other => return Woken::Asked(other),
        }
    }
}

fn ends(message: Option<DiscoveryMessage>) -> CloseReason {
    message.map_or(CloseReason::Stopped, |_| CloseReason::Replaced)
}

impl List {
    /// Calls until one is up, and follows that watch until it ends; tells why.
    async fn watch(&mut self, discovery: SocketAddr, asked: &mut Asked) -> CloseReason {
        match self.call(discovery, asked).await {
            Err(reason) => reason,
            Ok(mut watch) => {
                self.caller.watch_established(self.context.clock.now().0);
                self.context.lifecycle.watching.set(true);
                watch.stream.reason = self.follow(&mut watch, asked).await;
                self.context.lifecycle.watching.set(false);
                watch.stream.reason
            }
        }
    }

    async fn call(&mut self, discovery: SocketAddr, asked: &mut Asked) -> Result<Box<Watch>, CloseReason> {
        let context = self.context.clone();
        let mut calls: Vec<(u64, Call)> = Vec::new();
        loop {
            let due = self.caller.next_call_at().map(Micros);
            let next = async {
                match due {
                    Some(due) => drop(Timer::at(context.clock.instant(due)).await),
                    None => future::pending().await,
                }
                Woken::Due
            };
            let answer = async {
                let (number, answer) = answered(&mut calls).await;
                Woken::Answered(number, answer)
            };
            match future::or(future::or(message(asked), answer), next).await {
                Woken::Answered(_, Ok(watch)) => return Ok(watch),
                Woken::Answered(number, Err(reason)) => {
                    self.caller.call_failed(context.clock.now().0, number, failure(reason));
                }
                // Guards against a watch at an old address, which tells nothing any more.
                Woken::Asked(message) => return Err(ends(message)),
                Woken::Moved(_) => {}
                Woken::Due => {
                    let call = self.caller.start_call(context.clock.now().0);
                    calls.retain(|(number, _)| Some(*number) != call.replaces);
                    calls.push((call.number, Box::pin(Watch::call(discovery, self.version))));
                }
            }
        }
    }

    async fn follow(&mut self, watch: &mut Watch, asked: &mut Asked) -> CloseReason {
        let context = self.context.clone();
        let (mut heard, mut told, mut came) = (context.clock.now(), false, false);
        loop {
            match self.take(watch).await {
                Ok(count) => {
                    // Guards discovery: a watch with nothing to tell is up all the same, and not to be asked for again.
                    if !std::mem::replace(&mut told, true) && count == 0 {
                        let _ =
                            self.scheduler.send(SchedulerMessage::News(EndpointUpdate::Delta(vec![]))).await;
                    }
                    watch.stream.carried += count;
                }
                Err(reason) => return reason,
            }
            if watch.done {
                return CloseReason::Done;
            }
            if std::mem::take(&mut came) && watch.objects.alive() {
                heard = context.clock.now();
            }
            let moved = async { Woken::Moved(watch.more().await) };
            let silent = async {
                Timer::at(context.clock.instant(Micros(heard.0 + IDLE_TIMEOUT_US))).await;
                Woken::Due
            };
            match future::or(future::or(message(asked), moved), silent).await {
                Woken::Moved(Ok(())) => came = true,
                Woken::Answered(..) => {}
                Woken::Moved(Err(reason)) => return reason,
                Woken::Asked(message) => return ends(message),
                Woken::Due => return CloseReason::Timeout,
            }
        }
    }

    /// Takes in what has come on a watch; tells how many objects.
    async fn take(&mut self, watch: &mut Watch) -> Result<u64, CloseReason> {
        let mut count = 0;
        self.context.lifecycle.heard.set(true);
        loop {
            let endpoint = match watch.first.take() {
                Some(endpoint) => Some(endpoint),
                None => watch.objects.next().map_err(|_| fault(&"not a stream of objects"))?,
            };
            let Some(endpoint) = endpoint else { return Ok(count) };
            let news = config::targets(watch.objects.at(endpoint), &self.context.config().zones)
                .map_err(|e| fault(&e))?;
            count += 1;
            self.version = news.generation;
            let _ = self.scheduler.send(SchedulerMessage::News(self.pool.news(&news))).await;
            self.context.lifecycle.serving.set(true);
        }
    }
}
