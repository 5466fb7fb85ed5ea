//! One that follows the changes in its scope: a front, or a relay without a vote, whose scope is everything.
mod calls;
mod decide;
mod follow;
mod held;

pub use held::Held;

use crate::message::{FromRelay, ToRelay};
use crate::names::{Change, Key};
use crate::scope::Scope;
use crate::stored::{decode, StoredFault};
use backoff::{Caller, Failure, Law};
use decide::Deciding;
use fleet::{Index, Time};
use follow::Staging;

/// What comes in.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A connection that was asked for is up.
    Up {
        /// The call.
        call: u64,
    },
    /// A call has failed, or its connection has ended.
    Down {
        /// The call.
        call: u64,
        /// What that tells.
        failure: Failure,
    },
    /// A message has come on a connection.
    Message {
        /// The call.
        call: u64,
        /// What it says.
        message: FromRelay,
    },
    /// What was to be decided is in force whole, or nothing of it is: then these keys are at fault, and why.
    Decided {
        /// Empty where it is in force.
        refused: Vec<(Key, String)>,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Connect to a relay, by its place in the order of preference.
    Connect {
        /// The number of this call.
        call: u64,
        /// Which relay.
        relay: usize,
    },
    /// Close the connection of a call, or give it up.
    Close {
        /// The call.
        call: u64,
    },
    /// Send a message.
    Send {
        /// On which connection.
        call: u64,
        /// What.
        message: ToRelay,
    },
    /// Put these in force together or none of them, and tell [`Event::Decided`]. Nothing else is to be decided until then.
    Decide {
        /// Whether they are all that there is: what they leave out is withdrawn.
        whole: bool,
        /// Newer than what is held. A value of none is withdrawn.
        changes: Vec<Change>,
    },
    /// Write this to the disk in place of what was kept; the last one wins.
    Keep(Vec<u8>),
}

/// What was done and turned down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Changes put in force.
    pub taken: u64,
    /// Changes refused by the front.
    pub refused: u64,
    /// Snapshots put in force.
    pub snapshots: u64,
    /// Digests that found something missed.
    pub missed: u64,
    /// Messages that were malformed, out of turn, or older than what is held: they changed nothing.
    pub bad: u64,
    /// Relays that follow another log.
    pub foreign: u64,
    /// Calls for a relay.
    pub calls: u64,
}

/// The state of one that follows.
#[derive(Debug)]
pub struct Subscriber {
    scope: Scope,
    relays: usize,
    caller: Caller,
    /// Calls that failed since a relay was last up: each goes to the next in the order of preference.
    passed: usize,
    /// Calls whose connection is up or coming up.
    calls: Vec<u64>,
    /// The call whose relay is followed.
    follows: Option<u64>,
    heard: Time,
    held: Held,
    /// The log of the relay that is followed.
    lineage: u64,
    staging: Option<Staging>,
    deciding: Option<Deciding>,
    /// What came while something was decided.
    waiting: Option<(u64, FromRelay)>,
    keeps: bool,
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
            Some(Ok(stored)) => (Held::from(stored), None),
            Some(Err(fault)) => (Held::default(), Some(fault)),
            None => (Held::default(), None),
        };
        let mut caller = Caller::new(Law::fleet(fleet), seed, now.0 as i64);
        caller.spread(now.0 as i64);
        let keeps = !matches!(scope, Scope::Everything);
        let subscriber = Subscriber {
            scope,
            relays: relays.max(1),
            caller,
            passed: 0,
            calls: vec![],
            follows: None,
            heard: now,
            lineage: held.lineage(),
            held,
            staging: None,
            deciding: None,
            waiting: None,
            keeps,
            figures: Figures::default(),
        };
        (subscriber, fault)
    }

    /// When it wants to be told of the time.
    pub fn wake(&self) -> Option<Time> {
        match self.follows {
            Some(_) => Some(Time(self.heard.0.saturating_add(backoff::LIVENESS as u64))),
            None => self.caller.due().map(|due| Time(due.max(0) as u64)),
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
    }

    /// What it holds.
    pub fn held(&self) -> &Held {
        &self.held
    }

    /// Since when nothing was heard of a relay; none while one is followed.
    pub fn alone(&self) -> Option<Time> {
        self.follows.is_none().then_some(self.heard)
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
            self.staging = None;
            if let Some(call) = self.follows {
                self.subscribe(call, out);
            }
        }
    }

    fn place(&self) -> Index {
        self.held.upto()
    }
}
