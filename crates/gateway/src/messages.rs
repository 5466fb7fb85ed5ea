//! Messages between the gateway's actors.
use crate::backend::value::{Answer, AttemptEnd};
use async_channel::Sender;
use dispatch::Request;
use scheduler::interface::{BackendId, EndpointUpdate, RequestId, Settings};
use std::rc::Rc;

/// Where the final answer to a request goes.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// The number of its slot in the session.
    pub slot: u64,
    /// The session's mailbox, which has room for all answers that it awaits.
    pub to: Sender<(u64, Answer)>,
    /// The request's class.
    pub class: usize,
}

/// A message to the scheduler's actor.
pub enum SchedulerMessage {
    /// A request to be scheduled.
    Submit(RequestId, Request, Ticket),
    /// The client of a request has disconnected.
    ClientLeft(RequestId),
    /// The client of a request has disconnected, and another may still ask for its result.
    Abandoned(RequestId),
    /// An attempt has ended.
    AttemptEnded(AttemptEnd),
    /// Units that were served for a volume through other gateways, reported after a streamed value.
    RemoteUnits(Rc<str>, f64),
    /// The endpoint list has changed.
    Endpoints(EndpointUpdate),
    /// The configuration was reloaded: its settings, or `None` where the file was faulty.
    Reload(Option<Box<Settings>>),
    /// Another process of this gateway has started or ended, which changes this one's share of the limits.
    ShareChanged,
    /// The process is shutting down.
    Stopping,
    /// Asks which backends are ejected.
    GetEjected(Sender<Vec<BackendId>>),
    /// Asks for the ids of writes that must not be executed again.
    GetUnrepeatable(Sender<Vec<String>>),
    /// Logs the counters.
    LogCounters,
}

/// The mailbox of the scheduler's actor.
pub type SchedulerMailbox = Sender<SchedulerMessage>;

/// The capacity of the scheduler's mailbox.
pub const SCHEDULER_MAILBOX_CAPACITY: usize = 8192;

/// A message to discovery's actor.
pub enum DiscoveryMessage {
    /// The scheduler asks for the watch, perhaps a new one.
    Watch,
    /// The address of discovery has changed, or was removed.
    AddressChanged,
}
