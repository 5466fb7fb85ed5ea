//! The core between fronts and peers. It runs the decision module, keeps the table of requests and their
//! attempts, and sees to it that each request gets exactly one final answer. It knows no wire and reads no
//! clock: time is an argument. `T` is whatever the front needs to find its client again, `V` what it calls a value.
use oxbowhill::interface::{
    Action, Ending, Event, ListNews, Micros, NodeId, Outcome, Settings, SettingsError,
};
use oxbowhill::interface::{KeyId, RequestId, ShardId, VolumeId};
use oxbowhill::Scheduler;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::rc::Rc;

/// Bytes that are passed on without being copied.
pub type Bytes = Rc<[u8]>;

/// How long after its client has stopped waiting a request that the module left unanswered is failed; the
/// rule allows 58 ms.
const OVERDUE: i64 = 4_000;

/// So many volumes may have figures that were told late.
const TOLD: usize = 1024;

/// Blocks of a volume.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Extent {
    /// The first.
    pub first: u64,
    /// How many.
    pub blocks: u32,
}

/// What a client asks for.
#[derive(Debug)]
pub struct Request {
    /// The client's name for it.
    pub name: Rc<str>,
    /// Index of the class.
    pub class: usize,
    /// Index of the plan.
    pub plan: usize,
    /// Whether it writes.
    pub write: bool,
    /// The piece of data.
    pub piece: Rc<str>,
    /// The volume.
    pub volume: Rc<str>,
    /// Its size.
    pub units: u32,
    /// The shard that holds the data; none for a new object.
    pub shard: Option<u32>,
    /// Through how many hosts the volume's requests come.
    pub hosts: u32,
    /// What else the client said, for the node only.
    pub extra: Rc<str>,
    /// What is to be written.
    pub body: Option<Bytes>,
    /// Whether its client takes a long value while it comes.
    pub piecemeal: bool,
    /// Which blocks of the volume, where the client named blocks.
    pub extent: Option<Extent>,
    /// Until when the client waits.
    pub until: Micros,
}

impl Request {
    /// The bytes that it holds in memory, near enough to bound them.
    pub fn weight(&self) -> usize {
        512 + self.body.as_ref().map_or(0, |b| b.len())
    }
}

/// A final answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer<V = Bytes> {
    /// What the node gave.
    Served(V),
    /// It did not run, or may be repeated: harmless to try again, best after that time.
    Refused(Option<Micros>),
    /// Nothing is promised; with the reason.
    Failed(&'static str),
}

/// An attempt to be made.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request's number here.
    pub id: RequestId,
    /// The attempt's number, from 0.
    pub number: u32,
    /// Where to.
    pub node: NodeId,
    /// What.
    pub request: Rc<Request>,
    /// When it was decided on.
    pub started: Micros,
    /// When to stop waiting.
    pub until: Micros,
}

impl Attempt {
    /// The end of this attempt, without a value.
    pub fn ended<V>(&self, ending: Ending) -> Ended<V> {
        let (id, number, node) = (self.id, self.number, self.node.clone());
        Ended { id, number, node, started: self.started, ending, elsewhere: 0.0, value: None }
    }
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct Ended<V = Bytes> {
    /// The request's number here.
    pub id: RequestId,
    /// The attempt's number.
    pub number: u32,
    /// The node.
    pub node: NodeId,
    /// When it was decided on.
    pub started: Micros,
    /// How it ended.
    pub ending: Ending,
    /// Units served for the volume through other hosts.
    pub elsewhere: f64,
    /// The value, of one that was served.
    pub value: Option<V>,
}

/// What the program has to do.
#[derive(Debug)]
pub enum Effect<T, V = Bytes> {
    /// Make an attempt.
    Start(Attempt),
    /// Give a client its final answer.
    Answer(T, Answer<V>),
    /// Ask discovery for changes.
    Watch,
}

/// Counts since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests taken.
    pub taken: u64,
    /// Requests answered as served.
    pub served: u64,
    /// Requests refused by the module.
    pub refused: u64,
    /// Requests refused because a bound was reached.
    pub bounded: u64,
    /// Requests failed.
    pub failed: u64,
    /// Requests under the id of one that was open.
    pub duplicates: u64,
    /// Requests whose client left before the answer.
    pub left: u64,
    /// Requests that the module had not answered in time.
    pub overdue: u64,
    /// Requests refused or failed past half their time, with no attempt written whole.
    pub late: u64,
    /// Attempts sent.
    pub sent: u64,
    /// Attempts sent beyond a request's first.
    pub further: u64,
    /// Attempts by ending: ok, error, full, timeout, connect failed, reset.
    pub endings: [u64; 6],
    /// Attempts that a bound of the front's own kept back.
    pub unsent: u64,
    /// News of the list.
    pub news: u64,
    /// Watches asked for.
    pub watches: u64,
    /// Settings that were put in force while it ran.
    pub reloads: u64,
    /// Files that were faulty when they were read again.
    pub reload_faults: u64,
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [ok, error, full, timeout, connect, reset] = self.endings;
        write!(
            f,
            "taken={} served={} refused={} bounded={} failed={} duplicates={} left={} overdue={} late={} sent={} further={} ok={ok} \
             error={error} full={full} timeout={timeout} connect_failed={connect} reset={reset} unsent={} news={} watches={} \
             reloads={} reload_faults={}",
            self.taken,
            self.served,
            self.refused,
            self.bounded,
            self.failed,
            self.duplicates,
            self.left,
            self.overdue,
            self.late,
            self.sent,
            self.further,
            self.unsent,
            self.news,
            self.watches,
            self.reloads,
            self.reload_faults
        )
    }
}

struct Entry<T> {
    request: Rc<Request>,
    ticket: Option<T>,
    attempts: u32,
    out: bool,
    /// When it came, and whether an attempt was written whole.
    came: Micros,
    written: bool,
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
            self.effects.push_back(Effect::Answer(ticket, Answer::Refused(Some(Micros(100_000)))));
            return;
        }
        // Guards the request that has the name: disk boxes know requests by it, and would take one for the other.
        if !self.names.insert(request.name.clone()) {
            self.counters.duplicates += 1;
            let fault = Answer::Failed("the id is that of an open request");
            self.effects.push_back(Effect::Answer(ticket, fault));
            return;
        }
        let event = Event::Arrived(oxbowhill::interface::Request {
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
            Entry { request, ticket: Some(ticket), attempts: 0, out: false, came: now, written: false },
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

    /// Lets the timers that have come due fire.
    pub fn wake(&mut self, now: Micros) {
        while let Some((_, token)) = self.timers.first().copied().filter(|t| t.0 <= now) {
            self.timers.pop_first();
            self.tell(now, Event::Timer(token));
        }
        while let Some((at, id)) = self.overdue.first().copied().filter(|o| o.0 <= now) {
            self.overdue.remove(&(at, id));
            // Guards the rule that every request is answered: whatever the module holds, its client waits no more.
            if let Some(ticket) = self.finish(id) {
                self.counters.overdue += 1;
                self.counters.failed += 1;
                self.count_late(now, id);
                self.effects.push_back(Effect::Answer(ticket, Answer::Failed("no answer in time")));
                self.drop_if_done(id);
                self.tell(now, Event::Left(id));
            }
        }
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

    /// Takes the ticket of a request that has had no final answer yet.
    fn finish(&mut self, id: RequestId) -> Option<T> {
        let entry = self.table.get_mut(&id)?;
        let ticket = entry.ticket.take()?;
        self.names.remove(&entry.request.name);
        Some(ticket)
    }

    /// Nodes and volumes that the module knows.
    pub fn known(&self) -> (usize, usize) {
        self.scheduler.known()
    }

    fn drop_if_done(&mut self, id: RequestId) {
        if self.table.get(&id).is_some_and(|e| e.ticket.is_none() && !e.out) {
            if let Some(entry) = self.table.remove(&id) {
                self.held -= entry.request.weight();
                self.overdue.remove(&(Micros(entry.request.until.0 + OVERDUE), id));
            }
        }
    }

    /// Counts an answer that came too late for its client to try again well, with nothing to show for the time.
    fn count_late(&mut self, now: Micros, id: RequestId) {
        let late = |e: &Entry<T>| !e.written && now.0 - e.came.0 > (e.request.until.0 - e.came.0) / 2;
        self.counters.late += u64::from(self.table.get(&id).is_some_and(late));
    }

    fn answer(&mut self, now: Micros, id: RequestId, answer: Answer<V>) {
        self.count_late(now, id);
        if let Some(ticket) = self.finish(id) {
            match answer {
                Answer::Refused(_) => self.counters.refused += 1,
                _ => self.counters.failed += 1,
            }
            self.effects.push_back(Effect::Answer(ticket, answer));
        }
        self.drop_if_done(id);
    }

    fn tell(&mut self, now: Micros, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.scheduler.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { id, node, timeout } => {
                    let Some(entry) = self.table.get_mut(&id).filter(|e| e.ticket.is_some() && !e.out) else {
                        continue;
                    };
                    let number = entry.attempts;
                    entry.attempts += 1;
                    entry.out = true;
                    self.counters.sent += 1;
                    self.counters.further += u64::from(number > 0);
                    let request = entry.request.clone();
                    let until = timeout.map_or(request.until, |t| Micros(now.0 + t.0).min(request.until));
                    let attempt = Attempt { id, number, node, request, started: now, until };
                    self.effects.push_back(Effect::Start(attempt));
                }
                Action::Refuse { id, wait } => self.answer(now, id, Answer::Refused(wait)),
                Action::Fail { id } => self.answer(now, id, Answer::Failed("failed")),
                Action::SetTimer { after, token } => {
                    self.timers.insert((Micros(now.0 + after.0), token));
                }
                Action::Watch => {
                    self.counters.watches += 1;
                    self.effects.push_back(Effect::Watch);
                }
            }
        }
        self.actions = actions;
    }
}

fn position(ending: Ending) -> Option<usize> {
    match ending {
        Ending::Ok => Some(0),
        Ending::Error => Some(1),
        Ending::Full => Some(2),
        Ending::Timeout => Some(3),
        Ending::ConnectFailed => Some(4),
        Ending::Reset => Some(5),
        Ending::Cancelled | Ending::Moot => None,
    }
}
