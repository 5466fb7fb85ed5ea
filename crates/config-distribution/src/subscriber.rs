//! One that follows the changes in its scope: a front, or a relay without a vote, whose scope is everything.
mod calls;
mod decide;
mod event;
mod follow;
mod held;

pub use event::{Action, Event, Figures};
pub use held::Held;

use crate::message::FromRelay;
use crate::scope::Scope;
use crate::stored::{decode, StoredFault};
use backoff::{BackoffPolicy, Caller};
use cluster_types::{Index, Time};
use decide::Deciding;
use follow::Staging;
use std::collections::VecDeque;
use std::time::Duration;

/// What is held is written down so often at most: that costs by all that is held, and a change by its own size only.
const KEEP: Duration = Duration::from_secs(5);

/// The state of one that follows.
#[derive(Debug)]
pub struct Subscriber {
    scope: Scope,
    relays: usize,
    caller: Caller,
    /// Calls that failed since a relay was last up: each goes to the next in the order of preference.
    passed: usize,
    /// Calls whose connection is up or coming up, and which relay each goes to.
    calls: Vec<(u64, usize)>,
    /// The call whose relay is followed.
    follows: Option<u64>,
    heard: Time,
    /// Since when the relay hears nothing of the log, as it told last.
    relay_alone: Option<Time>,
    held: Held,
    /// From where it asked last: what is being decided may have gone on since.
    from: Index,
    /// The log of the relay that is followed.
    lineage: u64,
    staging: Option<Staging>,
    deciding: Option<Deciding>,
    /// What came while something was decided.
    waiting: VecDeque<(u64, FromRelay)>,
    /// It has asked anew on the connection that it follows: until that is answered nothing on it counts.
    asked: bool,
    /// Another scope has come while something was decided.
    rescoped: bool,
    keeps: bool,
    /// Something was decided that was not written down yet.
    unkept: bool,
    kept: Option<Time>,
    figures: Figures,
}

impl Subscriber {
    /// One of a fleet of so many that may call so many relays. What was kept is read; where it can't be, that is said, and
    /// nothing is held.
    pub fn new(
        scope: Scope,
        (relays, fleet): (usize, u32),
        (now, seed): (Time, u64),
        kept: Option<&[u8]>,
    ) -> (Subscriber, Option<StoredFault>) {
        let (held, fault) = match kept.map(decode) {
            Some(Ok(stored)) => (Held::kept(stored, &scope), None),
            Some(Err(fault)) => (Held::default(), Some(fault)),
            None => (Held::default(), None),
        };
        let mut caller = Caller::new(BackoffPolicy::for_callers(fleet), seed, now.0 as i64);
        caller.delay_first_call(now.0 as i64);
        let keeps = !matches!(scope, Scope::Everything);
        let subscriber = Subscriber {
            scope,
            relays: relays.max(1),
            caller,
            passed: 0,
            calls: vec![],
            follows: None,
            heard: now,
            relay_alone: None,
            from: Index(0),
            lineage: held.lineage(),
            held,
            staging: None,
            deciding: None,
            waiting: VecDeque::new(),
            asked: false,
            rescoped: false,
            keeps,
            unkept: false,
            kept: None,
            figures: Figures::default(),
        };
        (subscriber, fault)
    }

    /// When it wants to be told of the time.
    pub fn wake(&self) -> Option<Time> {
        let next = match self.follows {
            Some(_) => Some(Time(self.heard.0.saturating_add(backoff::IDLE_TIMEOUT_US as u64))),
            None => self.caller.next_call_at().map(|due| Time(due.max(0) as u64)),
        };
        let keep = self.unkept.then(|| self.kept.map_or(self.heard, |kept| kept + KEEP));
        [next, keep].into_iter().flatten().min()
    }

    /// Writes down what is held, where that is due.
    fn keep(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.unkept && self.kept.is_none_or(|kept| now.since(kept) >= KEEP) {
            (self.unkept, self.kept) = (false, Some(now));
            out.push(Action::Keep(self.held.store(&self.scope)));
        }
    }

    /// Takes in an event and appends what is to be done.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Tick => {}
            Event::Up { call } => self.up(call, out),
            Event::Down { call, failure } => self.down(now, call, failure),
            Event::Message { call, message } => self.message(now, call, message, out),
            Event::Decided { refused } => self.answered(now, refused, out),
        }
        self.time(now, out);
        self.keep(now, out);
    }

    /// What it holds.
    pub fn held(&self) -> &Held {
        &self.held
    }

    /// Since when nothing was heard of the log: no relay is followed, or it hears nothing itself. None while all is well.
    pub fn alone(&self) -> Option<Time> {
        let own = self.follows.is_none().then_some(self.heard);
        self.relay_alone.or(own)
    }

    /// The call whose relay is followed.
    pub fn follows(&self) -> Option<u64> {
        self.follows
    }

    /// What was done and turned down.
    pub fn figures(&self) -> &Figures {
        &self.figures
    }

    /// What is in force already when the program starts: all that was kept, to be decided on at once.
    pub fn begin(&mut self, out: &mut Vec<Action>) {
        let changes = self.held.changes();
        if !changes.is_empty() {
            let upto = self.held.upto();
            self.decide(Deciding::whole(self.held.lineage(), upto, changes), out);
        }
    }

    /// Another scope from now on: all of it is asked for anew.
    pub fn rescope(&mut self, scope: Scope, out: &mut Vec<Action>) {
        if scope != self.scope {
            self.scope = scope;
            self.held.rewind();
            self.rescoped = self.deciding.is_some();
            self.staging = None;
            if let Some(call) = self.follows {
                self.asked = true;
                self.subscribe(call, out);
            }
        }
    }

    fn place(&self) -> Index {
        self.held.upto()
    }
}
