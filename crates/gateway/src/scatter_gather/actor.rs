//! The actor that gathers: each part is a request of its own in the module, with its own credits, limits and attempts.
use crate::backend::pool::BackendPool;
use crate::backend::value::Answer;
use crate::client::response::{encode, EncodedResponse};
use crate::context::Context;
use crate::counters::AnswerKind;
use crate::messages::{SchedulerMailbox, SchedulerMessage, Ticket};
use crate::scatter_gather::handle::{Begin, Gathering, Letter};
use crate::scatter_gather::response::reply;
use crate::scatter_gather::shard_requests::{ended, part, Part};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use cluster_types::{Time, Zone};
use dispatch::Bytes;
use futures_lite::{future, StreamExt};
use scatter_gather::{Action, Budget, Ended, Event, GatherId, Gathers, Halls, Rules};
use scheduler::interface::{Micros, RequestId};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// The most gathers that are held, those included that only wait for late parts.
const GATHERS: usize = 1024;
/// The most parts that may be out; as many requests as the module holds in all.
const PARTS: usize = crate::scheduler_actor::MAX_REQUESTS;
/// A part whose answer has not come so long after its time is not awaited any more.
const LOST: i64 = 5_000_000;
/// What a client that is turned away at the bound is told.
const AGAIN: Micros = Micros(100_000);

/// A gather that has no answer yet.
struct Open {
    begin: Begin,
    /// For each part its request, once it was asked.
    parts: Vec<Option<RequestId>>,
}

struct Actor {
    context: Rc<Context>,
    scheduler: SchedulerMailbox,
    pool: Rc<BackendPool>,
    gathers: Gathers<Bytes>,
    open: BTreeMap<GatherId, Open>,
    clients: BTreeMap<RequestId, GatherId>,
    /// Parts that are out, by their requests.
    out: BTreeMap<RequestId, Part>,
    answers: Sender<(u64, Answer)>,
    /// Parts that nobody wants any more.
    left: Vec<RequestId>,
}

/// The hall in which this front stands, where that is known.
fn own_hall(context: &Context) -> Option<Zone> {
    context.config().coordination.as_ref().map(|coordination| Zone(coordination.zone.as_str().into()))
}

enum Woken {
    Part(Option<(u64, Answer)>),
    Letter(Option<Letter>),
    Tick,
}

/// Runs until the program ends.
pub async fn run(
    context: Rc<Context>,
    scheduler: SchedulerMailbox,
    pool: Rc<BackendPool>,
    gathering: Gathering,
    inbox: Receiver<Letter>,
) {
    // Room for each answer that is owed, and for those that were under way when their parts were given up.
    let (answers, parts) = async_channel::bounded(2 * PARTS);
    let halls = Halls::new(own_hall(&context), Rules::default());
    let mut actor = Actor {
        gathers: Gathers::new(GATHERS, halls, Budget::new(0)),
        context,
        scheduler,
        pool,
        open: BTreeMap::new(),
        clients: BTreeMap::new(),
        out: BTreeMap::new(),
        answers,
        left: Vec::new(),
    };
    let (mut inbox, mut parts) = (Box::pin(inbox), Box::pin(parts));
    loop {
        let wake = actor.gathers.wake().map(|at| actor.context.clock.instant(micros(at)));
        let timer = async {
            match wake {
                Some(at) => drop(Timer::at(at).await),
                None => future::pending().await,
            }
            Woken::Tick
        };
        let part = async { Woken::Part(parts.next().await) };
        let message = async { Woken::Letter(inbox.next().await) };
        let woken = future::or(future::or(part, message), timer).await;
        match woken {
            Woken::Part(Some((id, answer))) => actor.ended(RequestId(id), answer),
            Woken::Letter(Some(Letter::Begin(begin))) => actor.begin(begin),
            Woken::Letter(Some(Letter::Left(id))) => actor.client_left(id),
            Woken::Letter(Some(Letter::Heard(news))) => {
                let mut out = Vec::new();
                actor.gathers.heard(actor.now(), &news, &mut out);
                actor.carry_out(out);
            }
            Woken::Part(None) | Woken::Letter(None) => return,
            Woken::Tick => {}
        }
        // Whatever came, no gather is answered later than it is to be.
        actor.tick();
        gathering.counts.replace(actor.gathers.shared.counts.clone());
        for id in std::mem::take(&mut actor.left) {
            let _ = actor.scheduler.send(SchedulerMessage::Left(id)).await;
        }
        // Guards the others against a crowd of gathers.
        future::yield_now().await;
    }
}

fn micros(at: Time) -> Micros {
    Micros(i64::try_from(at.0).unwrap_or(i64::MAX))
}

fn time(at: Micros) -> Time {
    Time(u64::try_from(at.0).unwrap_or(0))
}

impl Actor {
    fn now(&self) -> Time {
        time(self.context.clock.now())
    }

    fn begin(&mut self, begin: Begin) {
        // The bound follows the memory that counts, whenever nothing is held under the one before.
        let most = self.context.memory() as u64 / config::MEMORY_DIVISOR;
        let budget = &mut self.gathers.shared.budget;
        if budget.most() != most && budget.held() == 0 {
            *budget = Budget::new(most);
        }
        let until =
            self.context.answer_by().map_or(begin.request.deadline, |by| by.min(begin.request.deadline));
        let mut out = Vec::new();
        match self.gathers.begin(self.now(), begin.policy.clone(), time(until), &mut out) {
            Ok(id) => {
                self.clients.insert(begin.id, id);
                let parts = vec![None; begin.policy.parts.len()];
                self.open.insert(id, Open { begin, parts });
            }
            Err(scatter_gather::Full) => {
                self.context.counters.answer(begin.request.class, AnswerKind::Rejected);
                put(&begin, encode(Answer::Rejected(Some(AGAIN))));
            }
        }
        self.carry_out(out);
    }

    fn client_left(&mut self, id: RequestId) {
        // Its answer may have been on its way: then nothing is open any more.
        let Some(id) = self.clients.remove(&id) else { return };
        self.handle(id, Event::ClientLeft);
        self.open.remove(&id);
    }

    /// The module's answer to a part.
    fn ended(&mut self, id: RequestId, answer: Answer) {
        // One that was given up may have been answered already.
        let Some(part) = self.out.remove(&id) else { return };
        let result = ended(&self.context, &self.pool, &part, answer);
        self.handle(part.gather, Event::Ended { part: part.endpoint, result });
    }

    fn tick(&mut self) {
        let now = self.now();
        if self.gathers.wake().is_some_and(|at| at <= now) {
            let mut out = Vec::new();
            self.gathers.tick(now, &mut out);
            self.carry_out(out);
        }
        // Guards the memory and the bound on parts against answers that never come.
        let lost = |p: &Part| p.until.0 + LOST < self.context.clock.now().0;
        while self.out.first_key_value().is_some_and(|(_, part)| lost(part)) {
            self.out.pop_first();
        }
    }

    fn handle(&mut self, id: GatherId, event: Event<Bytes>) {
        let mut out = Vec::new();
        self.gathers.handle(self.now(), id, event, &mut out);
        self.carry_out(out);
    }

    /// Does what the gathers say. A part that can't be asked ends at once, which may give more to do.
    fn carry_out(&mut self, out: Vec<(GatherId, Action<Bytes>)>) {
        let mut todo = VecDeque::from(out);
        while let Some((id, action)) = todo.pop_front() {
            match action {
                Action::Ask { part, until } => {
                    if !self.ask(id, part, micros(until)) {
                        let (mut out, result) = (Vec::new(), Ended::Refused(None));
                        self.gathers.handle(self.now(), id, Event::Ended { part, result }, &mut out);
                        todo.extend(out);
                    }
                }
                Action::Answer(answer) => {
                    if let Some(open) = self.open.remove(&id) {
                        self.clients.remove(&open.begin.id);
                        put(&open.begin, reply(answer));
                    }
                }
                // After the answer a part runs on to its end, which tells of its hall; without a client it is given up.
                Action::Drop { part } => {
                    let asked = self.open.get_mut(&id).and_then(|open| open.parts.get_mut(part));
                    if let Some(id) = asked.and_then(Option::take) {
                        self.out.remove(&id);
                        self.left.push(id);
                    }
                }
            }
        }
    }

    /// Asks for a part; false where that can't be done, and nothing ran. One whose gather has its answer is left out.
    fn ask(&mut self, id: GatherId, endpoint: usize, until: Micros) -> bool {
        let Some(open) = self.open.get_mut(&id) else { return false };
        let (number, asked) = (self.context.number(), self.context.clock.now());
        let request = part(&self.context.config(), &open.begin, endpoint, number, until);
        let hall = open.begin.policy.parts.get(endpoint).map(|p| p.hall.clone());
        let (Some(request), Some(hall)) = (request, hall) else { return false };
        let ticket = Ticket { slot: number.0, to: self.answers.clone(), class: request.class };
        // Guards answers: the mailbox has room for so many.
        if self.out.len() >= PARTS
            || self.scheduler.try_send(SchedulerMessage::Take(number, request, ticket)).is_err()
        {
            return false;
        }
        self.out.insert(number, Part { gather: id, endpoint, hall, asked, until });
        if let Some(part) = open.parts.get_mut(endpoint) {
            *part = Some(number);
        }
        true
    }
}

/// Puts the one answer in the client's mailbox, which has room for all that it is owed; a closed one has gone.
fn put(begin: &Begin, response: EncodedResponse) {
    let _ = begin.to.try_send((begin.slot, response));
}
