//! The scatter-gather actor: each shard request is a request of its own at the scheduler, with its own credits, limits and attempts.
use crate::backend::pool::BackendPool;
use crate::backend::value::Answer;
use crate::client::response::encode;
use crate::context::Context;
use crate::counters::AnswerKind;
use crate::messages::{SchedulerMailbox, SchedulerMessage, Ticket};
use crate::scatter_gather::handle::{GatherHandle, GatherMessage, GatherRequest};
use crate::scatter_gather::response::{encode_answer, respond};
use crate::scatter_gather::shard_requests::{own_zone, shard_request, shard_response, InFlight, OpenGather};
use crate::scatter_gather::time::{to_micros, to_time};
use crate::scheduler_actor::MAX_REQUESTS;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use cluster_types::Time;
use dispatch::Bytes;
use futures_lite::{future, StreamExt};
use scatter_gather::{
    GatherAction, GatherEvent, GatherId, Gathers, HealthRules, MemoryBudget, ShardResponse, TooManyGathers,
    ZoneTracker,
};
use scheduler::interface::{Micros, RequestId};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// The maximum number of gathers, including those that only wait for late responses.
const MAX_GATHERS: usize = 1024;
/// The maximum number of shard requests in flight: the scheduler's maximum of open requests.
const MAX_SHARD_REQUESTS: usize = MAX_REQUESTS;
/// How long after its deadline the response to a shard request is still awaited, in microseconds.
const LATE_RESPONSE_US: i64 = 5_000_000;
/// The time after which a client may retry that was rejected because there are too many gathers.
const FULL_RETRY_AFTER: Micros = Micros(100_000);

struct GatherActor {
    context: Rc<Context>,
    scheduler: SchedulerMailbox,
    pool: Rc<BackendPool>,
    gathers: Gathers<Bytes>,
    open: BTreeMap<GatherId, OpenGather>,
    clients: BTreeMap<RequestId, GatherId>,
    in_flight: BTreeMap<RequestId, InFlight>,
    answers: Sender<(u64, Answer)>,
    /// Shard requests that are to be cancelled.
    cancelled: Vec<RequestId>,
}

/// What ended the actor's wait.
enum Wakeup {
    Answer(Option<(u64, Answer)>),
    Message(Option<GatherMessage>),
    Timer,
}

/// Runs until the process ends, which closes the mailbox.
pub async fn run(
    context: Rc<Context>,
    scheduler: SchedulerMailbox,
    pool: Rc<BackendPool>,
    gathering: GatherHandle,
    inbox: Receiver<GatherMessage>,
) {
    // Room for every answer that is awaited, and for those that were under way when their requests were cancelled.
    let (answers, answered) = async_channel::bounded(2 * MAX_SHARD_REQUESTS);
    let mut actor = GatherActor::new(context, scheduler, pool, answers);
    let (mut inbox, mut answered) = (Box::pin(inbox), Box::pin(answered));
    loop {
        let next_wakeup = actor.gathers.next_wakeup().map(|at| actor.context.clock.instant(to_micros(at)));
        let timer = async {
            match next_wakeup {
                Some(at) => drop(Timer::at(at).await),
                None => future::pending().await,
            }
            Wakeup::Timer
        };
        let answer = async { Wakeup::Answer(answered.next().await) };
        let message = async { Wakeup::Message(inbox.next().await) };
        match future::or(future::or(answer, message), timer).await {
            Wakeup::Answer(Some((number, answer))) => actor.take_answer(RequestId(number), answer),
            Wakeup::Message(Some(GatherMessage::Begin(gather_request))) => actor.begin(gather_request),
            Wakeup::Message(Some(GatherMessage::ClientLeft(id))) => actor.client_left(id),
            Wakeup::Answer(None) | Wakeup::Message(None) => return,
            Wakeup::Timer => {}
        }
        // After every event, so that no gather is answered late.
        actor.tick();
        gathering.counters.replace(actor.gathers.shared.counters.clone());
        actor.cancel_requests().await;
        // Yields after each event, so that other tasks can run.
        future::yield_now().await;
    }
}

impl GatherActor {
    fn new(
        context: Rc<Context>,
        scheduler: SchedulerMailbox,
        pool: Rc<BackendPool>,
        answers: Sender<(u64, Answer)>,
    ) -> GatherActor {
        let zones = ZoneTracker::new(own_zone(&context), HealthRules::default());
        GatherActor {
            gathers: Gathers::new(MAX_GATHERS, zones, MemoryBudget::new(0)),
            context,
            scheduler,
            pool,
            open: BTreeMap::new(),
            clients: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            answers,
            cancelled: Vec::new(),
        }
    }

    fn now(&self) -> Time {
        to_time(self.context.clock.now())
    }

    fn begin(&mut self, gather_request: GatherRequest) {
        self.update_memory_budget();
        let client_deadline = gather_request.request.deadline;
        let deadline = self.context.answer_by().map_or(client_deadline, |by| by.min(client_deadline));
        let mut actions = Vec::new();
        match self.gathers.start(self.now(), gather_request.policy.clone(), to_time(deadline), &mut actions) {
            Ok(id) => {
                self.clients.insert(gather_request.id, id);
                let shard_requests = vec![None; gather_request.policy.requests.len()];
                self.open.insert(id, OpenGather { gather_request, shard_requests });
            }
            Err(TooManyGathers) => {
                self.context.counters.count_answer(gather_request.request.class, AnswerKind::Rejected);
                respond(&gather_request, encode(Answer::Rejected(Some(FULL_RETRY_AFTER))));
            }
        }
        self.carry_out(actions);
    }

    /// Adapts the budget to the memory limit, if nothing is reserved from the previous budget.
    fn update_memory_budget(&mut self) {
        let limit = self.context.memory_limit() as u64 / config::MEMORY_DIVISOR;
        let budget = &mut self.gathers.shared.budget;
        if budget.capacity() != limit && budget.reserved() == 0 {
            *budget = MemoryBudget::new(limit);
        }
    }

    fn client_left(&mut self, id: RequestId) {
        // The response may have been sent already.
        let Some(id) = self.clients.remove(&id) else { return };
        self.handle(id, GatherEvent::ClientLeft);
        self.open.remove(&id);
    }

    /// Takes the final answer to a shard request.
    fn take_answer(&mut self, id: RequestId, answer: Answer) {
        // One that was cancelled may have been answered already.
        let Some(in_flight) = self.in_flight.remove(&id) else { return };
        let response = shard_response(&self.context, &self.pool, &in_flight, answer);
        self.handle(in_flight.gather, GatherEvent::Response { request: in_flight.index, response });
    }

    fn tick(&mut self) {
        let now = self.now();
        if self.gathers.next_wakeup().is_some_and(|at| at <= now) {
            let mut actions = Vec::new();
            self.gathers.tick(now, &mut actions);
            self.carry_out(actions);
        }
        // Shard requests whose answers never arrive must not exhaust the limit.
        let oldest_deadline = self.context.clock.now().0 - LATE_RESPONSE_US;
        while self.in_flight.first_key_value().is_some_and(|(_, oldest)| oldest.deadline.0 < oldest_deadline)
        {
            self.in_flight.pop_first();
        }
    }

    fn handle(&mut self, id: GatherId, event: GatherEvent<Bytes>) {
        let mut actions = Vec::new();
        self.gathers.handle(self.now(), id, event, &mut actions);
        self.carry_out(actions);
    }

    /// Carries out actions. A shard request that can't be submitted is rejected at once, which may lead to more actions.
    fn carry_out(&mut self, actions: Vec<(GatherId, GatherAction<Bytes>)>) {
        let mut pending = VecDeque::from(actions);
        while let Some((id, action)) = pending.pop_front() {
            match action {
                GatherAction::Send { request, deadline } => {
                    if !self.submit(id, request, to_micros(deadline)) {
                        let rejected =
                            GatherEvent::Response { request, response: ShardResponse::Rejected(None) };
                        let mut actions = Vec::new();
                        self.gathers.handle(self.now(), id, rejected, &mut actions);
                        pending.extend(actions);
                    }
                }
                GatherAction::Answer(answer) => {
                    if let Some(open) = self.open.remove(&id) {
                        self.clients.remove(&open.gather_request.id);
                        respond(&open.gather_request, encode_answer(answer));
                    }
                }
                GatherAction::Abandon { request } => self.abandon(id, request),
            }
        }
    }

    /// Cancels a shard request whose client has disconnected. After an answer, shard requests run to their end instead, which shows
    /// whether their zones are healthy.
    fn abandon(&mut self, id: GatherId, index: usize) {
        let shard_request = self.open.get_mut(&id).and_then(|open| open.shard_requests.get_mut(index));
        if let Some(number) = shard_request.and_then(Option::take) {
            self.in_flight.remove(&number);
            self.cancelled.push(number);
        }
    }

    async fn cancel_requests(&mut self) {
        for id in std::mem::take(&mut self.cancelled) {
            // The mailbox is closed only at the end of the process.
            drop(self.scheduler.send(SchedulerMessage::ClientLeft(id)).await);
        }
    }

    /// Submits a shard request. Returns false where that is not possible, and nothing ran.
    fn submit(&mut self, id: GatherId, index: usize, deadline: Micros) -> bool {
        let Some(open) = self.open.get_mut(&id) else { return false };
        let (number, submitted_at) = (self.context.next_request_id(), self.context.clock.now());
        let request = shard_request(&self.context.config(), &open.gather_request, index, number, deadline);
        let zone = open.gather_request.policy.requests.get(index).map(|request| request.zone.clone());
        let (Some(request), Some(zone)) = (request, zone) else { return false };
        let ticket = Ticket { slot: number.0, to: self.answers.clone(), class: request.class };
        // The mailbox of answers has room for so many.
        if self.in_flight.len() >= MAX_SHARD_REQUESTS
            || self.scheduler.try_send(SchedulerMessage::Submit(number, request, ticket)).is_err()
        {
            return false;
        }
        self.in_flight.insert(number, InFlight { gather: id, index, zone, submitted_at, deadline });
        if let Some(shard_request) = open.shard_requests.get_mut(index) {
            *shard_request = Some(number);
        }
        true
    }
}
