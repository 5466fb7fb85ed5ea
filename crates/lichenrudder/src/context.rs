//! What the actors share: the executor, the clock, mailboxes, and counts of what is open.
use crate::clock::Clock;
use crate::handover::{self, Other};
use crate::module::Mail;
use crate::peer::Peer;
use crate::seats;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use config::Config;

use crate::value::Answer;
use oxbowhill::interface::{Micros, NodeId, RequestId};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// The program's own descriptors: standard streams, polling, signals, listeners with their checks, discovery.
const OWN: usize = 32;

/// Shared by all actors of the program.
pub struct Context {
    /// The one thread's executor.
    pub executor: LocalExecutor<'static>,
    /// The clock.
    pub clock: Clock,
    config: RefCell<Rc<Config>>,
    /// The module's mailbox.
    pub module: Sender<Mail>,
    /// The peers, by node.
    pub peers: RefCell<BTreeMap<NodeId, Peer>>,
    /// Since when the program is to end.
    pub stopping: Cell<Option<Micros>>,
    /// Closed once the program is to end.
    pub stopped: (Sender<()>, Receiver<()>),
    /// What the connections of clients do.
    pub seats: RefCell<BTreeMap<u64, Rc<seats::Entry>>>,
    /// Connections of clients.
    pub clients: Cell<usize>,
    /// Connections to disk boxes, with those that are coming up.
    pub upstream: Cell<usize>,
    /// Bytes of answers that their clients have not taken yet.
    pub unsent: Cell<usize>,
    /// Memory of the rings of clients' connections, beyond what each has in any case.
    pub rings: Cell<usize>,
    /// Memory of replies that are coming from disk boxes.
    pub arriving: Cell<usize>,
    /// Whether requests can be taken on.
    pub serving: Cell<bool>,
    /// Requests in the core's table.
    pub open: Cell<usize>,
    /// Long values that are being passed on.
    pub passing: Cell<usize>,
    /// Requests that have no answer yet.
    pub unanswered: Cell<usize>,
    /// Answers by class: served, refused, failed.
    pub answers: RefCell<Vec<[u64; 3]>>,
    /// Attempts that were written whole.
    pub relayed: Cell<u64>,
    /// Files that were taken and turned down since the start.
    pub reloads: Cell<(u64, u64)>,
    /// Disk boxes that operators have taken out.
    pub bans: RefCell<BTreeSet<NodeId>>,
    /// As of when.
    pub banned_at: Cell<i64>,
    /// Disk boxes that were listed lately, the oldest first.
    pub listed: RefCell<(BTreeSet<NodeId>, VecDeque<NodeId>)>,
    /// The other process of this front, while one lives.
    pub other: Cell<Other>,
    /// Whether clients are listened to.
    pub listening: Cell<bool>,
    /// Whether discovery was heard since the start.
    pub heard: Cell<bool>,
    /// The share of the last second's requests that were refused, in percent.
    pub refusing: Cell<u64>,
    next: Cell<u64>,
}

impl Context {
    /// A context without peers.
    pub fn new(config: Config, module: Sender<Mail>) -> Rc<Context> {
        Rc::new(Context {
            executor: LocalExecutor::new(),
            clock: Clock::start(),
            config: RefCell::new(Rc::new(config)),
            module,
            peers: RefCell::default(),
            stopping: Cell::new(None),
            stopped: async_channel::bounded(1),
            seats: RefCell::default(),
            clients: Cell::new(0),
            upstream: Cell::new(0),
            unsent: Cell::new(0),
            rings: Cell::new(0),
            arriving: Cell::new(0),
            serving: Cell::new(false),
            open: Cell::new(0),
            passing: Cell::new(0),
            unanswered: Cell::new(0),
            answers: RefCell::default(),
            relayed: Cell::new(0),
            reloads: Cell::new((0, 0)),
            bans: RefCell::default(),
            banned_at: Cell::new(0),
            listed: RefCell::default(),
            other: Cell::new(Other::None),
            listening: Cell::new(false),
            heard: Cell::new(false),
            refusing: Cell::new(0),
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

    /// Counts a final answer of a class.
    pub fn count_answer(&self, class: usize, answer: &Answer) {
        let mut answers = self.answers.borrow_mut();
        if answers.len() <= class {
            answers.resize(class + 1, [0; 3]);
        }
        let which = match answer {
            Answer::Served(_) => 0,
            Answer::Refused(_) => 1,
            Answer::Failed(_) => 2,
        };
        answers[class][which] += 1;
    }

    /// Counts an attempt that was written whole.
    pub fn count_relayed(&self) {
        self.relayed.set(self.relayed.get() + 1);
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

    /// For how long after SIGTERM clients go on using their connections. What kills the program comes no sooner than
    /// the longest deadline, counted as 3 s at most, and 0.7 s more; until then nobody else serves these clients.
    fn linger(&self) -> i64 {
        let config = self.config.borrow();
        let longest = config.classes.iter().map(|c| c.deadline.0).max().unwrap_or(0);
        (longest.min(3_000_000) - 600_000).max(500_000)
    }

    /// Whether the program ends and connections are to be closed between requests: at once where another process
    /// serves their clients.
    pub fn lingered(&self) -> bool {
        let linger = if self.followed() { 0 } else { self.linger() };
        self.stopping.get().is_some_and(|at| self.clock.now().0 >= at.0 + linger)
    }

    /// Whether another process has come that takes over.
    pub fn followed(&self) -> bool {
        matches!(self.other.get(), Other::After(_))
    }

    /// Descriptors that are held.
    pub fn held(&self) -> usize {
        OWN + self.clients.get() + self.upstream.get()
    }

    /// When the program ends: by when everything must be answered.
    pub fn answer_by(&self) -> Option<Micros> {
        self.stopping.get().map(|at| Micros(at.0 + self.linger() + 800_000))
    }

    /// Descriptors that may be held in all.
    fn descriptors(&self) -> usize {
        handover::descriptors(self.other.get(), self.config.borrow().limits.sockets.min(1024))
    }

    /// Memory that counts, in bytes; a half while there are two processes.
    pub fn memory(&self) -> usize {
        let all = self.config.borrow().limits.memory_mb.min(192) as usize * 1024 * 1024;
        if self.other.get() == Other::None {
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
        self.rings.get() > self.unsent_bound()
    }

    /// The longest value that a disk box may give: a thirty-second of the memory, and 64 KiB at least.
    pub fn longest_value(&self) -> usize {
        (self.unsent_bound() / 4).max(resp::LONGEST)
    }

    /// Whether replies that are coming take all that they may: a quarter of the memory.
    pub fn arriving_full(&self) -> bool {
        self.arriving.get() > 2 * self.unsent_bound()
    }

    /// Descriptors for disk boxes: what the others leave.
    pub fn upstream_bound(&self) -> usize {
        let all = self.descriptors();
        (all - OWN.min(all / 2)).saturating_sub(self.client_bound() + self.beyond_bound()).max(1)
    }
}

/// Memory that counts while this lives.
pub struct Weight {
    context: Rc<Context>,
    which: fn(&Context) -> &Cell<usize>,
    bytes: usize,
}

impl Weight {
    /// Nothing yet.
    pub fn new(context: &Rc<Context>, which: fn(&Context) -> &Cell<usize>) -> Weight {
        Weight { context: context.clone(), which, bytes: 0 }
    }

    /// So many bytes from now on.
    pub fn set(&mut self, bytes: usize) {
        let (sum, before) = ((self.which)(&self.context), std::mem::replace(&mut self.bytes, bytes));
        sum.set(sum.get() - before + bytes);
    }
}

impl Drop for Weight {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// Counts one thing while it lives.
pub struct Count {
    context: Rc<Context>,
    which: fn(&Context) -> &Cell<usize>,
}

impl Count {
    /// Counts one up.
    pub fn up(context: &Rc<Context>, which: fn(&Context) -> &Cell<usize>) -> Count {
        let count = which(context);
        count.set(count.get() + 1);
        Count { context: context.clone(), which }
    }
}

impl Drop for Count {
    fn drop(&mut self) {
        let count = (self.which)(&self.context);
        count.set(count.get() - 1);
    }
}
