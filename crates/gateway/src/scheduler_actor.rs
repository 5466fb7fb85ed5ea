//! The module's actor: takes mail from fronts, peers and the list, and carries out what the core says.
use crate::backend::pool::BackendPool;
use crate::backend::value::{Answer, Value};
use crate::context::{Context, OtherProcess};
use crate::messages::{DiscoveryMessage, SchedulerMessage, Ticket};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use dispatch::{Capacity, Counters, Dispatcher, Effect};
use futures_lite::{future, StreamExt};
use scheduler::interface::{AttemptOutcome, Settings, SettingsError};
use std::rc::Rc;

/// The most requests that the core holds.
pub const REQUESTS: usize = 4096;

/// Runs until the program ends.
pub async fn run(
    context: Rc<Context>,
    pool: Rc<BackendPool>,
    mail: Receiver<SchedulerMessage>,
    watch: Sender<DiscoveryMessage>,
) -> Result<(), SettingsError> {
    let config = context.config();
    let mut core: Dispatcher<Ticket, Value> =
        Dispatcher::new(part(&context, &config.settings), config.seed, bound(&context))?;
    let mut mail = Box::pin(mail);
    let (mut second, mut before) = (context.clock.now(), Counters::default());
    loop {
        let wake = core.next_timer().map(|at| context.clock.instant(at));
        let timer = async {
            match wake {
                Some(at) => drop(Timer::at(at).await),
                None => future::pending().await,
            }
            None
        };
        let mut next = future::or(async { Some(mail.next().await) }, timer).await;
        if matches!(next, Some(None)) {
            return Ok(());
        }
        let now = context.clock.now();
        core.fire_timers(now);
        while let Some(Some(message)) = next {
            let now = context.clock.now();
            match message {
                SchedulerMessage::Take(id, mut request, ticket) => {
                    // Guards against a kill that finds something unanswered.
                    // One that is passed on while it comes may still be coming then: it is taken whole, in time.
                    request.accepts_stream &= context.lifecycle.stopping.get().is_none();
                    request.deadline =
                        context.answer_by().map_or(request.deadline, |by| by.min(request.deadline));
                    core.submit(now, id, request, ticket);
                }
                SchedulerMessage::Left(id) => core.client_left(now, id),
                SchedulerMessage::Abandoned(id) => core.abandon(now, id),
                SchedulerMessage::Ended(ended) => core.attempt_ended(now, ended),
                SchedulerMessage::Told(volume, units) => core.add_remote_units(volume, units),
                SchedulerMessage::News(news) => core.update_endpoints(now, news),
                SchedulerMessage::Reload(None) => core.counters.reload_errors += 1,
                SchedulerMessage::Avoided(to) => drop(to.try_send(core.ejected_backends(now))),
                SchedulerMessage::Reload(Some(settings)) => {
                    core.counters.reloads += 1;
                    put_in_force(&context, &mut core, &settings);
                }
                SchedulerMessage::Stopping => {
                    context.answer_by().into_iter().for_each(|by| core.respond_by(by))
                }
                SchedulerMessage::Share => put_in_force(&context, &mut core, &context.config().settings),
                SchedulerMessage::Print => {
                    let known = core.known();
                    let (open, pool) = (core.open_requests(), pool.len());
                    crate::log::line(format_args!(
                        "counters {} open={open} boxes={pool} nodes={} volumes={}",
                        core.counters, known.backends, known.volumes
                    ))
                }
            }
            carry_out(&context, &pool, &mut core, &watch);
            next = mail.try_recv().ok().map(Some);
        }
        carry_out(&context, &pool, &mut core, &watch);
        context.counters.open.set(core.open_requests());
        context.counters.unanswered.set(core.unanswered());
        if now.0 - second.0 >= 1_000_000 {
            let taken = core.counters.received - before.received;
            let refused =
                core.counters.rejected + core.counters.over_capacity - before.rejected - before.over_capacity;
            context.counters.refusing.set((100 * refused).checked_div(taken).unwrap_or(0));
            (second, before) = (now, core.counters.clone());
        }
    }
}

/// An eighth of the memory for what is held here; rings and answers that wait have theirs.
fn bound(context: &Context) -> Capacity {
    Capacity { requests: REQUESTS, bytes: context.memory() / 8 }
}

/// Settings as they count for this process, and bounds.
fn put_in_force(context: &Context, core: &mut Dispatcher<Ticket, Value>, settings: &Settings) {
    if let Err(e) = core.reload(context.clock.now(), part(context, settings), bound(context)) {
        crate::log::line(format_args!("reload error={e}"));
    }
}

fn carry_out(
    context: &Context,
    pool: &BackendPool,
    core: &mut Dispatcher<Ticket, Value>,
    watch: &Sender<DiscoveryMessage>,
) {
    while let Some(effect) = core.effects.pop_front() {
        match effect {
            Effect::StartAttempt(attempt) => {
                // Guards against an attempt that is lost at a full mailbox: it was not sent, and ends so. That says
                // nothing about the box.
                if !pool.start(attempt.clone()) {
                    let now = context.clock.now();
                    core.attempt_ended(now, attempt.ended(AttemptOutcome::NotSent));
                }
            }
            // The connection's mailbox has room for every answer that it is owed; a closed one has gone.
            Effect::Respond(ticket, answer) => {
                let which = match answer {
                    Answer::Served(_) => 0,
                    Answer::Rejected(_) => 1,
                    Answer::Failed(_) => 2,
                };
                context.counters.answer(ticket.class, which);
                drop(ticket.to.try_send((ticket.slot, answer)));
            }
            Effect::Watch => drop(watch.try_send(DiscoveryMessage::Watch)),
        }
    }
}

/// The settings as they count for this process.
pub fn part(context: &Context, settings: &Settings) -> Settings {
    let mut settings = settings.clone();
    // Guards the rules on limits and on cold boxes, which hold for both together.
    if context.lifecycle.other.get() != OtherProcess::None {
        settings.plans.iter_mut().for_each(|plan| plan.limit_rate /= 2.0);
        settings.slow_start.safe_units /= 2.0;
    }
    settings
}
