//! The state that all actors share: the executor, the clock, the effective configuration, the process's lifecycle, and gauges with their
//! limits. It knows none of the actors.
use crate::clock::Clock;
use crate::counters::ProcessCounters;
use crate::counts::Gauges;
use crate::lifecycle::shutdown_times;
use crate::lifecycle::write_claims::WriteClaims;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use config::Config;
use scheduler::interface::{Micros, RequestId};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The other process of this gateway, and the descriptors that it uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OtherProcess {
    /// No other process is alive.
    #[default]
    None,
    /// It started before this one and still serves.
    Predecessor(usize),
    /// It started after this one and takes over.
    Successor(usize),
}

/// The process's lifecycle.
pub struct Lifecycle {
    /// When the graceful shutdown began.
    pub stopping_since: Cell<Option<Micros>>,
    /// The time by which every request must be answered during the shutdown.
    pub answer_by: Cell<Option<Micros>>,
    /// Closed when the shutdown begins.
    pub stopped: (Sender<()>, Receiver<()>),
    /// Whether an endpoint list is known, so that requests can be served.
    pub is_serving: Cell<bool>,
    /// Whether the listener of clients is open.
    pub is_listening: Cell<bool>,
    /// Whether discovery has sent anything since the start.
    pub has_discovery_data: Cell<bool>,
    /// Whether a watch on discovery is established.
    pub is_watching: Cell<bool>,
    /// The other process of this gateway.
    pub other_process: Cell<OtherProcess>,
    /// The claims of writes, while another process is alive and for a while after.
    pub write_claims: RefCell<Option<WriteClaims>>,
}

/// The state shared by all actors.
pub struct Context {
    /// The main thread's executor.
    pub executor: LocalExecutor<'static>,
    /// The clock.
    pub clock: Clock,
    /// Gauges that limits apply to.
    pub gauges: Rc<Gauges>,
    /// The process's lifecycle.
    pub lifecycle: Lifecycle,
    /// Counters for operators and load balancers.
    pub counters: ProcessCounters,
    config: RefCell<Rc<Config>>,
    last_request_id: Cell<u64>,
}

impl Context {
    /// Creates the context of a process that starts.
    pub fn new(config: Config) -> Rc<Context> {
        let lifecycle = Lifecycle {
            stopping_since: Cell::new(None),
            answer_by: Cell::new(None),
            stopped: async_channel::bounded(1),
            is_serving: Cell::new(false),
            is_listening: Cell::new(false),
            has_discovery_data: Cell::new(false),
            is_watching: Cell::new(false),
            other_process: Cell::new(OtherProcess::None),
            write_claims: RefCell::default(),
        };
        Rc::new(Context {
            executor: LocalExecutor::new(),
            clock: Clock::start(),
            gauges: Rc::default(),
            lifecycle,
            counters: ProcessCounters::default(),
            config: RefCell::new(Rc::new(config)),
            last_request_id: Cell::new(0),
        })
    }

    /// The effective configuration.
    pub fn config(&self) -> Rc<Config> {
        self.config.borrow().clone()
    }

    /// Replaces the effective configuration.
    pub fn set_config(&self, config: Config) {
        self.config.replace(Rc::new(config));
    }

    /// Returns a new request id; ids are never reused.
    pub fn next_request_id(&self) -> RequestId {
        self.last_request_id.set(self.last_request_id.get() + 1);
        RequestId(self.last_request_id.get())
    }

    /// A number for an iSCSI session, not 0.
    pub fn next_session_number(&self) -> u16 {
        (self.next_request_id().0 % 0xffff) as u16 + 1
    }

    /// Begins the graceful shutdown, with the deadlines of the present configuration: a later reload does not change when SIGKILL comes.
    pub fn begin_stopping(&self) {
        let (since, config) = (self.clock.now(), self.config());
        let longest_deadline = config.classes.iter().map(|c| c.deadline.0).max().unwrap_or(0);
        self.lifecycle.stopping_since.set(Some(since));
        self.lifecycle.answer_by.set(Some(shutdown_times::answer_deadline(since, longest_deadline)));
        self.lifecycle.stopped.0.close();
    }

    /// Whether client connections are to be closed between requests: late in the shutdown, or at once where a successor serves their
    /// clients.
    pub fn closes_between_requests(&self) -> bool {
        let closes =
            if self.has_successor() { self.lifecycle.stopping_since.get() } else { self.answer_by() };
        closes.is_some_and(|at| self.clock.now() >= at)
    }

    /// Whether a successor process is alive.
    pub fn has_successor(&self) -> bool {
        matches!(self.lifecycle.other_process.get(), OtherProcess::Successor(_))
    }

    /// The time by which every request must be answered, once the shutdown has begun.
    pub fn answer_by(&self) -> Option<Micros> {
        self.lifecycle.answer_by.get()
    }
}
