//! The actor that keeps the endpoint list up to date: one watch on discovery, resumed from the last version. The `backoff` crate schedules
//! its calls.
use crate::backend::pool::BackendPool;
use crate::context::Context;
use crate::discovery::watch::{protocol_error, Watch};
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

/// The actor's mailbox.
type Inbox = Pin<Box<Receiver<DiscoveryMessage>>>;
/// A call that is not established yet.
type PendingCall = Pin<Box<dyn Future<Output = Result<Box<Watch>, CloseReason>>>>;

/// The call rate of one gateway, derived from the number of gateways.
fn backoff_policy(config: &Config) -> BackoffPolicy {
    BackoffPolicy::for_callers(config.settings.gateways)
}

/// Runs until the process ends, which closes the mailbox.
pub async fn run(
    context: Rc<Context>,
    scheduler: SchedulerMailbox,
    pool: Rc<BackendPool>,
    inbox: Receiver<DiscoveryMessage>,
) {
    let mut inbox = Box::pin(inbox);
    let config = context.config();
    let now = context.clock.now().0;
    let mut caller = Caller::new(backoff_policy(&config), config.seed, now);
    // All gateways may start at once and share one discovery service: spread their first calls where discovery pushes lists.
    if config.settings.discovery_mode == DiscoveryMode::Subscribe {
        caller.delay_first_call(now);
    }
    let mut list = EndpointList { context, scheduler, pool, version: config.known.generation, caller };
    loop {
        // Read for each watch: a reload may have changed the address. The new one is asked for the changes after the known version.
        let config = list.context.config();
        list.caller.set_policy(backoff_policy(&config));
        let reason = match config.discovery {
            Some(discovery) => list.watch(discovery, &mut inbox).await,
            None => inbox.next().await.map_or(CloseReason::Stopped, |_| CloseReason::Replaced),
        };
        let now = list.context.clock.now().0;
        match reason {
            CloseReason::Stopped => return,
            CloseReason::Replaced => list.caller.service_replaced(now),
            CloseReason::Timeout => list.caller.watch_ended(now, Failure::Silent),
            _ => list.caller.watch_ended(now, Failure::Ended),
        }
        // Until the next watch, backends that are removed go unnoticed: the scheduler must know that its list may be stale.
        drop(list.scheduler.send(SchedulerMessage::Endpoints(EndpointUpdate::Failed)).await);
    }
}

/// The state that the next watch resumes from.
struct EndpointList {
    context: Rc<Context>,
    scheduler: SchedulerMailbox,
    pool: Rc<BackendPool>,
    version: i64,
    caller: Caller,
}

/// What ended a wait.
enum Wakeup {
    /// A message; `None` at the end of the process.
    Message(Option<DiscoveryMessage>),
    /// A call was established, or failed.
    CallCompleted(u64, Result<Box<Watch>, CloseReason>),
    /// The watch has received bytes, or was closed.
    Received(Result<(), CloseReason>),
    /// The time of the next call, or of the watch's timeout.
    Due,
}

/// Waits for the first call that is established or has failed; forever where there is no call.
async fn first_completed_call(calls: &mut Vec<(u64, PendingCall)>) -> (u64, Result<Box<Watch>, CloseReason>) {
    future::poll_fn(|cx| {
        for index in 0..calls.len() {
            if let Poll::Ready(result) = calls[index].1.as_mut().poll(cx) {
                return Poll::Ready((calls.remove(index).0, result));
            }
        }
        Poll::Pending
    })
    .await
}

/// Classifies the failure of a call. A reset may mean that the call waited too long at an overloaded service.
fn classify_failure(reason: CloseReason) -> Failure {
    match reason {
        CloseReason::ConnectFailed => Failure::Down,
        _ => Failure::Overloaded,
    }
}

/// Waits for a message that ends the present call or watch. The scheduler's request for a watch is skipped: one is under way.
async fn next_message(inbox: &mut Inbox) -> Wakeup {
    loop {
        match inbox.next().await {
            Some(DiscoveryMessage::Watch) => {}
            other => return Wakeup::Message(other),
        }
    }
}

fn close_reason(message: Option<DiscoveryMessage>) -> CloseReason {
    message.map_or(CloseReason::Stopped, |_| CloseReason::Replaced)
}

impl EndpointList {
    /// Calls until a watch is established, and follows it until it ends. Returns why it ended.
    async fn watch(&mut self, discovery: SocketAddr, inbox: &mut Inbox) -> CloseReason {
        match self.call(discovery, inbox).await {
            Err(reason) => reason,
            Ok(mut watch) => {
                self.caller.watch_established(self.context.clock.now().0);
                self.context.lifecycle.is_watching.set(true);
                watch.stream.reason = self.follow(&mut watch, inbox).await;
                self.context.lifecycle.is_watching.set(false);
                watch.stream.reason
            }
        }
    }

    /// Calls, perhaps several times, until a watch is established.
    async fn call(&mut self, discovery: SocketAddr, inbox: &mut Inbox) -> Result<Box<Watch>, CloseReason> {
        let context = self.context.clone();
        let mut calls: Vec<(u64, PendingCall)> = Vec::new();
        loop {
            let due = self.caller.next_call_at().map(Micros);
            let call_due = async {
                match due {
                    Some(due) => drop(Timer::at(context.clock.instant(due)).await),
                    None => future::pending().await,
                }
                Wakeup::Due
            };
            let called = async {
                let (number, result) = first_completed_call(&mut calls).await;
                Wakeup::CallCompleted(number, result)
            };
            match future::or(future::or(next_message(inbox), called), call_due).await {
                Wakeup::CallCompleted(_, Ok(watch)) => return Ok(watch),
                Wakeup::CallCompleted(number, Err(reason)) => {
                    self.caller.call_failed(context.clock.now().0, number, classify_failure(reason));
                }
                // The address may have changed, which makes a watch at the old one useless.
                Wakeup::Message(message) => return Err(close_reason(message)),
                Wakeup::Received(_) => {}
                Wakeup::Due => {
                    let call = self.caller.start_call(context.clock.now().0);
                    calls.retain(|(number, _)| Some(*number) != call.replaces);
                    calls.push((call.number, Box::pin(Watch::call(discovery, self.version))));
                }
            }
        }
    }

    /// Follows a watch until it ends. Returns why it ended.
    async fn follow(&mut self, watch: &mut Watch, inbox: &mut Inbox) -> CloseReason {
        let context = self.context.clone();
        let (mut last_alive, mut has_reported, mut has_received) = (context.clock.now(), false, false);
        loop {
            match self.apply_objects(watch).await {
                Ok(count) => {
                    // A watch without changes is established all the same: the scheduler must not ask for another.
                    if !std::mem::replace(&mut has_reported, true) && count == 0 {
                        drop(
                            self.scheduler
                                .send(SchedulerMessage::Endpoints(EndpointUpdate::Delta(vec![])))
                                .await,
                        );
                    }
                    watch.stream.exchange_count += count;
                }
                Err(reason) => return reason,
            }
            if watch.is_done {
                return CloseReason::Done;
            }
            if std::mem::take(&mut has_received) && watch.objects.take_has_activity() {
                last_alive = context.clock.now();
            }
            let received = async { Wakeup::Received(watch.receive().await) };
            let timed_out = async {
                Timer::at(context.clock.instant(Micros(last_alive.0 + IDLE_TIMEOUT_US))).await;
                Wakeup::Due
            };
            match future::or(future::or(next_message(inbox), received), timed_out).await {
                Wakeup::Received(Ok(())) => has_received = true,
                Wakeup::CallCompleted(..) => {}
                Wakeup::Received(Err(reason)) => return reason,
                Wakeup::Message(message) => return close_reason(message),
                Wakeup::Due => return CloseReason::Timeout,
            }
        }
    }

    /// Applies the objects that have arrived on a watch. Returns their number.
    async fn apply_objects(&mut self, watch: &mut Watch) -> Result<u64, CloseReason> {
        let mut count = 0;
        self.context.lifecycle.has_discovery_data.set(true);
        loop {
            let object = match watch.first_object.take() {
                Some(object) => Some(object),
                None => watch.objects.next_object().map_err(|error| protocol_error(&error))?,
            };
            let Some(object) = object else { return Ok(count) };
            let targets = config::parse_targets(watch.objects.bytes(object), &self.context.config().zones)
                .map_err(|error| protocol_error(&error))?;
            count += 1;
            self.version = targets.generation;
            drop(
                self.scheduler
                    .send(SchedulerMessage::Endpoints(self.pool.update_from_discovery(&targets)))
                    .await,
            );
            self.context.lifecycle.is_serving.set(true);
        }
    }
}
