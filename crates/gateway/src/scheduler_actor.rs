//! The scheduler's actor: takes messages from sessions, backends and discovery, and carries out what the dispatcher decides.
use crate::backend::pool::BackendPool;
use crate::backend::value::{Answer, Value};
use crate::context::{Context, OtherProcess};
use crate::counters::AnswerKind;
use crate::diagnostics::request_lines::RequestLines;
use crate::messages::{DiscoveryMessage, SchedulerMessage, Ticket};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use dispatch::{Capacity, Counters, Dispatcher, Effect, Request};
use futures_lite::{future, StreamExt};
use scheduler::interface::{AttemptOutcome, Micros, RequestId, Settings, SettingsError};
use std::rc::Rc;

/// The maximum number of open requests.
pub const MAX_REQUESTS: usize = 4096;
/// How often the rejection rate is computed, in microseconds.
const RATE_INTERVAL_US: i64 = 1_000_000;

/// Runs until the process ends, which closes the mailbox.
///
/// # Errors
/// The settings' fault, where the scheduler does not accept them.
pub async fn run(
    context: Rc<Context>,
    pool: Rc<BackendPool>,
    inbox: Receiver<SchedulerMessage>,
    discovery: Sender<DiscoveryMessage>,
) -> Result<(), SettingsError> {
    let mut actor = SchedulerActor::new(context, pool, discovery)?;
    let mut inbox = Box::pin(inbox);
    loop {
        let next_timer = actor.dispatcher.next_timer().map(|at| actor.context.clock.instant(at));
        let timer = async {
            match next_timer {
                Some(at) => drop(Timer::at(at).await),
                None => future::pending().await,
            }
            None
        };
        let mut next = future::or(async { Some(inbox.next().await) }, timer).await;
        if matches!(next, Some(None)) {
            return Ok(());
        }
        let now = actor.context.clock.now();
        actor.dispatcher.fire_timers(now);
        while let Some(Some(message)) = next {
            actor.handle(message);
            actor.carry_out_effects();
            next = inbox.try_recv().ok().map(Some);
        }
        actor.carry_out_effects();
        actor.request_lines.write(now, &mut actor.dispatcher.request_log);
        actor.publish_counters(now);
    }
}

struct SchedulerActor {
    context: Rc<Context>,
    pool: Rc<BackendPool>,
    discovery: Sender<DiscoveryMessage>,
    dispatcher: Dispatcher<Ticket, Value>,
    /// When the rejection rate was last computed, and the counters then.
    rate_base: (Micros, Counters),
    request_lines: RequestLines,
}

impl SchedulerActor {
    fn new(
        context: Rc<Context>,
        pool: Rc<BackendPool>,
        discovery: Sender<DiscoveryMessage>,
    ) -> Result<SchedulerActor, SettingsError> {
        let config = context.config();
        let settings = shared_settings(&context, &config.settings);
        let dispatcher = Dispatcher::new(settings, config.seed, capacity(&context))?;
        let rate_base = (context.clock.now(), Counters::default());
        Ok(SchedulerActor {
            context,
            pool,
            discovery,
            dispatcher,
            rate_base,
            request_lines: RequestLines::default(),
        })
    }

    fn handle(&mut self, message: SchedulerMessage) {
        let now = self.context.clock.now();
        match message {
            SchedulerMessage::Submit(id, request, ticket) => self.submit(now, id, request, ticket),
            SchedulerMessage::ClientLeft(id) => self.dispatcher.client_left(now, id),
            SchedulerMessage::Abandoned(id) => self.dispatcher.abandon(now, id),
            SchedulerMessage::AttemptEnded(end) => self.dispatcher.attempt_ended(now, end),
            SchedulerMessage::RemoteUnits(volume, units) => self.dispatcher.add_remote_units(volume, units),
            SchedulerMessage::Endpoints(update) => self.dispatcher.update_endpoints(now, update),
            SchedulerMessage::Reload(None) => self.dispatcher.counters.reload_errors += 1,
            SchedulerMessage::Reload(Some(settings)) => {
                self.dispatcher.counters.reloads += 1;
                self.apply_settings(&settings);
            }
            SchedulerMessage::ShareChanged => self.apply_settings(&self.context.config().settings),
            SchedulerMessage::Stopping => {
                if let Some(deadline) = self.context.answer_by() {
                    self.dispatcher.respond_by(deadline);
                }
            }
            // An operator's call that timed out has closed its channel.
            SchedulerMessage::GetEjected(to) => drop(to.try_send(self.dispatcher.ejected_backends(now))),
            SchedulerMessage::GetUnrepeatable(to) => {
                let names = self.dispatcher.unrepeatable_names();
                // The handover waits for the answer, unless the process ends.
                drop(to.try_send(names.iter().map(ToString::to_string).collect()));
            }
            SchedulerMessage::LogCounters => self.log_counters(),
        }
    }

    fn submit(&mut self, now: Micros, id: RequestId, mut request: Request, ticket: Ticket) {
        // During the shutdown everything has to be answered before SIGKILL. A streamed value may still be arriving then, so values are
        // held until they are complete.
        request.accepts_stream &= self.context.lifecycle.stopping_since.get().is_none();
        if let Some(deadline) = self.context.answer_by() {
            request.deadline = deadline.min(request.deadline);
        }
        self.dispatcher.submit(now, id, request, ticket);
    }

    fn apply_settings(&mut self, settings: &Settings) {
        let context = &self.context;
        let settings = shared_settings(context, settings);
        if let Err(error) = self.dispatcher.reload(context.clock.now(), settings, capacity(context)) {
            crate::log::line(format_args!("reload error={error}"));
        }
    }

    fn log_counters(&self) {
        let known = self.dispatcher.known_counts();
        let counters = &self.context.counters;
        crate::log::line(format_args!(
            "counters {} open={} listed_backends={} known_backends={} volumes={} stalls={} longest_stall_ms={} lost_log_lines={}",
            self.dispatcher.counters,
            self.dispatcher.open_requests(),
            self.pool.len(),
            known.backends,
            known.volumes,
            counters.stalls.get(),
            counters.longest_stall_us.get() / 1000,
            crate::log::lost_lines()
        ));
    }

    fn carry_out_effects(&mut self) {
        while let Some(effect) = self.dispatcher.effects.pop_front() {
            match effect {
                Effect::StartAttempt(attempt) => {
                    // A full mailbox is no failure of the backend: the attempt was not sent.
                    if !self.pool.start(attempt.clone()) {
                        let now = self.context.clock.now();
                        self.dispatcher.attempt_ended(now, attempt.ended(AttemptOutcome::NotSent));
                    }
                }
                Effect::Respond(ticket, answer) => self.respond(ticket, answer),
                // A full mailbox already contains the same request.
                Effect::Watch => drop(self.discovery.try_send(DiscoveryMessage::Watch)),
            }
        }
    }

    fn respond(&self, ticket: Ticket, answer: Answer) {
        let kind = match answer {
            Answer::Served(_) => AnswerKind::Served,
            Answer::Rejected(_) => AnswerKind::Rejected,
            Answer::Failed(_) => AnswerKind::Failed,
        };
        self.context.counters.count_answer(ticket.class, kind);
        // The mailbox has room for every answer that its session awaits; a closed one belongs to a client that has disconnected.
        drop(ticket.to.try_send((ticket.slot, answer)));
    }

    fn publish_counters(&mut self, now: Micros) {
        let published = &self.context.counters;
        published.open.set(self.dispatcher.open_requests());
        published.unanswered.set(self.dispatcher.unanswered());
        let (since, before) = &self.rate_base;
        if now.0 - since.0 >= RATE_INTERVAL_US {
            let counters = &self.dispatcher.counters;
            let received = counters.received - before.received;
            let rejected =
                counters.rejected + counters.over_capacity - before.rejected - before.over_capacity;
            published.rejection_percent.set((100 * rejected).checked_div(received).unwrap_or(0));
            self.rate_base = (now, counters.clone());
        }
    }
}

/// The capacity for open requests: an eighth of the memory. Ring buffers and unsent responses have an eighth each.
fn capacity(context: &Context) -> Capacity {
    Capacity { requests: MAX_REQUESTS, bytes: context.memory_limit() / 8 }
}

/// The settings for this process: while another process of the gateway is alive each has half of the limits and of the slow-start
/// budgets, which apply to both together.
pub fn shared_settings(context: &Context, settings: &Settings) -> Settings {
    let mut settings = settings.clone();
    if context.lifecycle.other_process.get() != OtherProcess::None {
        settings.plans.iter_mut().for_each(|plan| plan.limit_rate /= 2.0);
        settings.slow_start.safe_units /= 2.0;
    }
    settings
}
