//! The scatter-gather actor: each shard request is a request of its own at the scheduler, with its own credits, limits and attempts.
use crate::backend::pool::BackendPool;
use crate::backend::value::Answer;
use crate::client::response::encode;
use crate::context::Context;
use crate::counters::AnswerKind;
use crate::messages::{SchedulerMailbox, SchedulerMessage, Ticket};
use crate::scatter_gather::handle::{Begin, GatherMessage, Gathering};
use crate::scatter_gather::response::{encode_answer, respond};
use crate::scatter_gather::shard_requests::{own_zone, shard_request, shard_response, InFlight, OpenGather};
use crate::scatter_gather::time::{micros, time};
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

/// The most gathers, including those that only wait for late responses.
const MAX_GATHERS: usize = 1024;
/// The most shard requests in flight: as many as the scheduler holds requests.
const MAX_SHARD_REQUESTS: usize = MAX_REQUESTS;
/// How long after its deadline the response to a shard request is still awaited, in microseconds.
const LATE_RESPONSE_US: i64 = 5_000_000;
/// When a client that is rejected for lack of room may retry.
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
    gathering: Gathering,
    inbox: Receiver<GatherMessage>,
) {
    // Room for every answer that is awaited, and for those that were under way when their requests were cancelled.
    let (answers, answered) = async_channel::bounded(2 * MAX_SHARD_REQUESTS);
    let mut actor = GatherActor::new(context, scheduler, pool, answers);
    let (mut inbox, mut answered) = (Box::pin(inbox), Box::pin(answered));
    loop {
        let next_wakeup = actor.gathers.next_wakeup().map(|at| actor.context.clock.instant(micros(at)));
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
            Wakeup::Message(Some(GatherMessage::Begin(begin))) => actor.begin(begin),
            Wakeup::Message(Some(GatherMessage::Left(id))) => actor.client_left(id),
            Wakeup::Answer(None) | Wakeup::Message(None) => return,
            Wakeup::Timer => {}
        }
        // After every event: no gather may be answered later than it is due.
        actor.tick();
        gathering.counters.replace(actor.gathers.shared.counters.clone());
        actor.cancel_requests().await;
        // Every turn is short, so that the other tasks have theirs.
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
        time(self.context.clock.now())
    }

    fn begin(&mut self, begin: Begin) {
        self.update_memory_budget();
        let client_deadline = begin.request.deadline;
        let deadline = self.context.answer_by().map_or(client_deadline, |by| by.min(client_deadline));
        let mut actions = Vec::new();
        match self.gathers.start(self.now(), begin.policy.clone(), time(deadline), &mut actions) {
            Ok(id) => {
                self.clients.insert(begin.id, id);
                let shard_requests = vec![None; begin.policy.requests.len()];
                self.open.insert(id, OpenGather { begin, shard_requests });
            }
            Err(TooManyGathers) => {
                self.context.counters.answer(begin.request.class, AnswerKind::Rejected);
                respond(&begin, encode(Answer::Rejected(Some(FULL_RETRY_AFTER))));
            }
        }
        self.carry_out(actions);
    }

    /// Adapts the budget to the memory limit, whenever nothing is reserved under the budget before.
    fn update_memory_budget(&mut self) {
        let limit = self.context.memory() as u64 / config::MEMORY_DIVISOR;
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
        // Answers that never arrive must not use up the limit.
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
                    if !self.submit(id, request, micros(deadline)) {
                        let rejected =
                            GatherEvent::Response { request, response: ShardResponse::Rejected(None) };
                        let mut actions = Vec::new();
                        self.gathers.handle(self.now(), id, rejected, &mut actions);
                        pending.extend(actions);
                    }
                }
                GatherAction::Answer(answer) => {
                    if let Some(open) = self.open.remove(&id) {
                        self.clients.remove(&open.begin.id);
                        respond(&open.begin, encode_answer(answer));
                    }
                }
                GatherAction::Abandon { request } => self.abandon(id, request),
            }
        }
    }

    /// Cancels a shard request whose client has left. After an answer shard requests run to their end instead, which tells whether their
    /// zones are healthy.
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
            drop(self.scheduler.send(SchedulerMessage::Left(id)).await);
        }
    }

    /// Submits a shard request. Returns false where that is not possible, and nothing ran.
    fn submit(&mut self, id: GatherId, index: usize, deadline: Micros) -> bool {
        let Some(open) = self.open.get_mut(&id) else { return false };
        let (number, submitted_at) = (self.context.number(), self.context.clock.now());
        let request = shard_request(&self.context.config(), &open.begin, index, number, deadline);
        let zone = open.begin.policy.requests.get(index).map(|request| request.zone.clone());
        let (Some(request), Some(zone)) = (request, zone) else { return false };
        let ticket = Ticket { slot: number.0, to: self.answers.clone(), class: request.class };
        // The mailbox of answers has room for so many.
        if self.in_flight.len() >= MAX_SHARD_REQUESTS
            || self.scheduler.try_send(SchedulerMessage::Take(number, request, ticket)).is_err()
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
