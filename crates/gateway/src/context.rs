//! What every actor stands on: the executor, the clock, the configuration in force, how far the program's life has come,
//! and counts with their bounds. It knows none of the actors: what else one needs is handed to it.
use crate::clock::Clock;
use crate::counts::Gauges;
use crate::lifecycle::shutdown_times;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use config::Config;
use scheduler::interface::{Micros, RequestId};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The program's own descriptors: standard streams, polling, signals, listeners with their checks, discovery.
const OWN: usize = 32;
/// Descriptors that neither of two processes counts on, for those that both open between two looks.
const MARGIN: usize = 16;

/// The other process of this front.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OtherProcess {
    /// There is none.
    #[default]
    None,
    /// It came before this one and still serves.
    Predecessor(usize),
    /// It came after this one; the number of descriptors that it holds.
    Successor(usize),
}

/// How far the program's life has come.
pub struct Lifecycle {
    /// Since when the program is to end.
    pub stopping: Cell<Option<Micros>>,
    /// By when all must be answered then.
    pub answer_by: Cell<Option<Micros>>,
    /// Closed once the program is to end.
    pub stopped: (Sender<()>, Receiver<()>),
    /// Whether requests can be taken on.
    pub serving: Cell<bool>,
    /// Whether clients are listened to.
    pub listening: Cell<bool>,
    /// Whether discovery was heard since the start.
    pub heard: Cell<bool>,
    /// Whether a watch of discovery is up.
    pub watching: Cell<bool>,
    /// The other process of this front, while one lives.
    pub other: Cell<OtherProcess>,
}

/// What happened so far, for operators and balancers.
#[derive(Default)]
pub struct ProcessCounters {
    /// Answers by class: served, refused, failed.
    pub answers: RefCell<Vec<[u64; 3]>>,
    /// Attempts that were written whole.
    pub relayed: Cell<u64>,
    /// Files that were taken and turned down since the start.
    pub reloads: Cell<(u64, u64)>,
    /// Requests in the core's table.
    pub open: Cell<usize>,
    /// Requests that have no answer yet.
    pub unanswered: Cell<usize>,
    /// The share of the last second's requests that were refused, in percent.
    pub refusing: Cell<u64>,
}

impl ProcessCounters {
    /// Counts a final answer of a class: served, refused or failed.
    pub fn answer(&self, class: usize, which: usize) {
        let mut answers = self.answers.borrow_mut();
        if answers.len() <= class {
            answers.resize(class + 1, [0; 3]);
        }
        answers[class][which] += 1;
    }

    /// Counts an attempt that was written whole.
    pub fn relayed(&self) {
        self.relayed.set(self.relayed.get() + 1);
    }
}

/// Shared by all actors of the program.
pub struct Context {
    /// The one thread's executor.
    pub executor: LocalExecutor<'static>,
    /// The clock.
    pub clock: Clock,
    /// What is open.
    pub gauges: Rc<Gauges>,
    /// How far the program's life has come.
    pub lifecycle: Lifecycle,
    /// What happened so far.
    pub counters: ProcessCounters,
    config: RefCell<Rc<Config>>,
    next: Cell<u64>,
}

impl Context {
    /// A context in which nothing has begun.
    pub fn new(config: Config) -> Rc<Context> {
        let lifecycle = Lifecycle {
            stopping: Cell::new(None),
            answer_by: Cell::new(None),
            stopped: async_channel::bounded(1),
            serving: Cell::new(false),
            listening: Cell::new(false),
            heard: Cell::new(false),
            watching: Cell::new(false),
            other: Cell::new(OtherProcess::None),
        };
        Rc::new(Context {
            executor: LocalExecutor::new(),
            clock: Clock::start(),
            gauges: Rc::default(),
            lifecycle,
            counters: ProcessCounters::default(),
            config: RefCell::new(Rc::new(config)),
            next: Cell::new(0),
        })
    }

    /// The configuration in force; a reload puts another in its place.
    pub fn config(&self) -> Rc<Config> {
        self.config.borrow().clone()
    }

    /// Puts a configuration in force.
    pub fn configure(&self, config: Config) {
        self.config.replace(Rc::new(config));
    }

    /// A number for a request, never used again.
    pub fn number(&self) -> RequestId {
        self.next.set(self.next.get() + 1);
        RequestId(self.next.get())
    }

    /// A number for a session, not 0.
    pub fn session(&self) -> u16 {
        (self.number().0 % 0xffff) as u16 + 1
    }

    /// The program is to end, by the deadlines that are in force now: a later file does not move the kill.
    pub fn begin_stopping(&self) {
        let (since, config) = (self.clock.now(), self.config());
        let longest_deadline = config.classes.iter().map(|c| c.deadline.0).max().unwrap_or(0);
        self.lifecycle.stopping.set(Some(since));
        self.lifecycle.answer_by.set(Some(shutdown_times::over(since, longest_deadline)));
        self.lifecycle.stopped.0.close();
    }

    /// Whether the program ends and connections are to be closed between requests: at once where another process
    /// serves their clients.
    pub fn lingered(&self) -> bool {
        let closes = if self.followed() { self.lifecycle.stopping.get() } else { self.answer_by() };
        closes.is_some_and(|at| self.clock.now() >= at)
    }

    /// Whether another process has come that takes over.
    pub fn followed(&self) -> bool {
        matches!(self.lifecycle.other.get(), OtherProcess::Successor(_))
    }

    /// When the program ends: by when everything must be answered that is taken on from now on.
    pub fn answer_by(&self) -> Option<Micros> {
        self.lifecycle.answer_by.get()
    }

    /// Descriptors that are held.
    pub fn held(&self) -> usize {
        OWN + self.gauges.clients.get() + self.gauges.upstream.get()
    }

    /// Descriptors that may be held in all: what another process does not hold, and a quarter at least.
    fn descriptors(&self) -> usize {
        let all = self.config.borrow().limits.sockets.min(1024);
        match self.lifecycle.other.get() {
            OtherProcess::None => all,
            OtherProcess::Predecessor(held) | OtherProcess::Successor(held) => {
                all.saturating_sub(held + MARGIN).max(all / 4)
            }
        }
    }

    /// Memory that counts, in bytes; a half while there are two processes.
    pub fn memory(&self) -> usize {
        let all = self.config.borrow().limits.memory_mb.min(192) as usize * 1024 * 1024;
        if self.lifecycle.other.get() == OtherProcess::None {
            all
        } else {
            all / 2
        }
    }

    /// Descriptors for clients: three fifths of what is left beside the program's own. Guards usual clients, who share
    /// them with crowds and halves; boxes, where each connection is used again and again, need fewer.
    pub fn client_bound(&self) -> usize {
        let all = self.descriptors();
        (all - OWN.min(all / 2)) * 3 / 5
    }

    /// From how many on clients have hardly any connection left: they hold a third of the descriptors for requests.
    pub fn clients_full(&self) -> usize {
        (self.descriptors() / 4).min(self.client_bound())
    }

    /// Descriptors for clients beyond that bound, which are answered with a refusal and closed.
    pub fn beyond_bound(&self) -> usize {
        (self.descriptors() / 16).max(1)
    }

    /// The bytes of answers that may wait for their clients: an eighth of the memory.
    pub fn unsent_bound(&self) -> usize {
        self.memory() / 8
    }

    /// The memory that clients' rings may take together beyond what each has in any case: an eighth.
    ///
    /// With what the core holds, its bodies once more on the way to boxes, and what waits unsent that makes a half;
    /// replies that are coming may take a quarter.
    pub fn rings_full(&self) -> bool {
        self.gauges.rings.get() > self.unsent_bound()
    }

    /// The longest value that a disk box may give: a thirty-second of the memory, and 64 KiB at least.
    pub fn longest_value(&self) -> usize {
        (self.unsent_bound() / 4).max(resp::LONGEST)
    }

    /// Whether replies that are coming take all that they may: a quarter of the memory.
    pub fn arriving_full(&self) -> bool {
        self.gauges.arriving.get() > 2 * self.unsent_bound()
    }

    /// Descriptors for disk boxes: what the others leave.
    pub fn upstream_bound(&self) -> usize {
        let all = self.descriptors();
        (all - OWN.min(all / 2)).saturating_sub(self.client_bound() + self.beyond_bound()).max(1)
    }
}
