//! The core itself: its table of requests, and what happens to them.
use crate::counters::position;
use crate::{Answer, Attempt, Bytes, Counters, Effect, Ended, Request};
use scheduler::interface::{
    Action, Ending, Event, KeyId, ListNews, Micros, NodeId, Outcome, RequestId, Settings, SettingsError,
    ShardId, VolumeId,
};
use scheduler::Scheduler;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

mod answers;

/// How long after its client has stopped waiting a request that the module left unanswered is failed; the
/// rule allows 58 ms.
const OVERDUE: i64 = 4_000;

/// When a client may come again that was refused for a reason of the core's own.
const COME_AGAIN: Micros = Micros(100_000);
/// So many volumes may have figures that were told late.
const TOLD: usize = 1024;

struct Entry<T> {
    request: Rc<Request>,
    ticket: Option<T>,
    attempts: u32,
    out: bool,
    /// When it came, and whether an attempt was written whole.
    came: Micros,
    written: bool,
    /// Whether an attempt may have run.
    ran: bool,
    /// Whether no further attempt may begin, though the outcome is still asked for.
    abandoned: bool,
    /// Whether it still waits for its final answer, as its attempts see it.
    wanted: Rc<Cell<bool>>,
}

/// The core.
pub struct Core<T, V = Bytes> {
    scheduler: Scheduler,
    table: BTreeMap<RequestId, Entry<T>>,
    /// The clients' names of requests that have no answer yet.
    names: BTreeSet<Rc<str>>,
    timers: BTreeSet<(Micros, u64)>,
    overdue: BTreeSet<(Micros, RequestId)>,
    actions: Vec<Action>,
    /// Units served elsewhere for volumes, told after their outcome was.
    told: BTreeMap<Rc<str>, f64>,
    held: usize,
    bound: Bound,
    /// What is to be done, in order.
    pub effects: VecDeque<Effect<T, V>>,
    /// What happened so far.
    pub counters: Counters,
}

/// How much the table may hold.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    /// Requests.
    pub requests: usize,
    /// Bytes of them.
    pub bytes: usize,
}

impl<T, V: Default> Core<T, V> {
    /// A core that knows no node yet; an error names the setting.
    pub fn new(settings: Settings, seed: u64, bound: Bound) -> Result<Self, SettingsError> {
        Ok(Core {
            scheduler: Scheduler::new(settings, seed)?,
            table: BTreeMap::new(),
            names: BTreeSet::new(),
            timers: BTreeSet::new(),
            overdue: BTreeSet::new(),
            actions: Vec::new(),
            told: BTreeMap::new(),
            held: 0,
            bound,
            effects: VecDeque::new(),
            counters: Counters::default(),
        })
    }

    /// Takes a request on; its answer comes as an effect, perhaps at once.
    pub fn take(&mut self, now: Micros, id: RequestId, request: Request, ticket: T) {
        self.counters.taken += 1;
        let weight = request.weight();
        // Guards against memory: what is held is bounded, and what comes beyond is refused unseen.
        if self.table.len() >= self.bound.requests || self.held + weight > self.bound.bytes {
            self.counters.bounded += 1;
            self.effects.push_back(Effect::Answer(ticket, Answer::Refused(Some(COME_AGAIN))));
            return;
        }
        // Guards the request that has the name: disk boxes know requests by it, and would take one for the other.
        if !self.names.insert(request.name.clone()) {
            self.counters.duplicates += 1;
            let fault = Answer::Failed("the id is that of an open request");
            self.effects.push_back(Effect::Answer(ticket, fault));
            return;
        }
        let event = Event::Arrived(scheduler::interface::Request {
            id,
            class: request.class,
            plan: request.plan,
            volume: VolumeId(request.volume.as_ref().into()),
            key: (!request.piece.is_empty()).then(|| KeyId(request.piece.as_ref().into())),
            shard: request.shard.map(ShardId),
            units: f64::from(request.units),
            volume_hosts: request.hosts,
            grace: Micros(request.until.0 - now.0),
        });
        self.held += weight;
        self.overdue.insert((Micros(request.until.0 + OVERDUE), id));
        let request = Rc::new(request);
        self.table.insert(
            id,
            Entry {
                request,
                ticket: Some(ticket),
                attempts: 0,
                out: false,
                came: now,
                written: false,
                ran: false,
                abandoned: false,
                wanted: Rc::new(Cell::new(true)),
            },
        );
        self.tell(now, event);
    }

    /// Puts other settings and bounds in force; what is open stays. The indexes of classes and plans mean what they
    /// did. An error names the setting, and nothing has changed.
    pub fn reload(&mut self, now: Micros, settings: Settings, bound: Bound) -> Result<(), SettingsError> {
        self.scheduler.reload(now, settings)?;
        self.bound = bound;
        Ok(())
    }

    /// The client has gone, whatever has become of the request.
    pub fn left(&mut self, now: Micros, id: RequestId) {
        if !self.table.contains_key(&id) {
            return;
        }
        if self.finish(id).is_some() {
            self.counters.left += 1;
        }
        self.drop_if_done(id);
        self.tell(now, Event::Left(id));
    }

    /// News of the list.
    pub fn news(&mut self, now: Micros, news: ListNews) {
        self.counters.news += 1;
        self.tell(now, Event::List(news));
    }

    /// An attempt has ended. The first that was served is the final answer.
    pub fn ended(&mut self, now: Micros, ended: Ended<V>) {
        let Some(entry) = self.table.get_mut(&ended.id) else { return };
        // Guards against an end that is told twice: a peer that is torn down may race its own answer.
        if !entry.out || ended.number + 1 != entry.attempts {
            return;
        }
        entry.out = false;
        entry.written |= !matches!(ended.ending, Ending::ConnectFailed | Ending::Moot);
        entry.ran |= !matches!(ended.ending, Ending::ConnectFailed | Ending::Moot | Ending::Full);
        match position(ended.ending) {
            Some(n) => self.counters.endings[n] += 1,
            None => self.counters.unsent += 1,
        }
        let served = ended.ending == Ending::Ok;
        let told = served.then(|| self.told.remove(&entry.request.volume)).flatten().unwrap_or(0.0);
        if let Some(ticket) = served.then(|| self.finish(ended.id)).flatten() {
            self.counters.served += 1;
            let value = ended.value.unwrap_or_default();
            self.effects.push_back(Effect::Answer(ticket, Answer::Served(value)));
        }
        if self.table.get(&ended.id).is_some_and(|e| e.abandoned) {
            self.answer_abandoned(now, ended.id);
        }
        let finished = self.table.get(&ended.id).is_none_or(|e| e.ticket.is_none());
        self.drop_if_done(ended.id);
        let outcome = Outcome {
            id: ended.id,
            attempt: ended.number,
            node: ended.node,
            ending: ended.ending,
            took: Micros(now.0 - ended.started.0),
            finished,
            elsewhere: ended.elsewhere + told,
        };
        self.tell(now, Event::Ended(outcome));
    }

    /// A node has told late, after its outcome, what was served for a volume through other hosts. It counts with the
    /// volume's next outcome.
    pub fn told_elsewhere(&mut self, volume: Rc<str>, units: f64) {
        // Guards memory where every volume is new.
        if units > 0.0 && (self.told.len() < TOLD || self.told.contains_key(&volume)) {
            *self.told.entry(volume).or_default() += units;
        }
    }

    /// When `wake` is to be called next.
    pub fn next_wake(&self) -> Option<Micros> {
        let timer = self.timers.first().map(|t| t.0);
        let overdue = self.overdue.first().map(|o| o.0);
        timer.into_iter().chain(overdue).min()
    }

    /// Requests that are not answered yet.
    pub fn unanswered(&self) -> usize {
        self.names.len()
    }

    /// Nodes that the module keeps from for now, though the list has them ready.
    pub fn avoided(&self, now: Micros) -> Vec<NodeId> {
        self.scheduler.avoided(now)
    }

    /// Requests that are not answered yet, or have an attempt out.
    pub fn open(&self) -> usize {
        self.table.len()
    }

    /// Nodes and volumes that the module knows.
    pub fn known(&self) -> (usize, usize) {
        self.scheduler.known()
    }
}
