//! Letters between the actors. Types only: who sends and who takes them stands with the actors.
use crate::backend::value::{Answer, Ended};
use async_channel::Sender;
use dispatch::Request;
use scheduler::interface::{BackendId, EndpointUpdate, RequestId, Settings};
use std::rc::Rc;

/// Where an answer goes: a front's connection, and the place in it.
#[derive(Clone, Debug)]
pub struct Ticket {
    /// The place.
    pub slot: u64,
    /// The connection's mailbox.
    pub to: Sender<(u64, Answer)>,
    /// The request's class.
    pub class: usize,
}

/// The module's mail.
pub enum SchedulerMessage {
    /// A front has taken a request.
    Take(RequestId, Request, Ticket),
    /// Its client has gone.
    Left(RequestId),
    /// Its client has gone, and another may still ask what has become of it.
    Abandoned(RequestId),
    /// An attempt has ended.
    Ended(Ended),
    /// Units served for a volume through other fronts, told after a long value.
    Told(Rc<str>, f64),
    /// News of the list.
    News(EndpointUpdate),
    /// The file was read again: its settings, or none where it was faulty.
    Reload(Option<Box<Settings>>),
    /// Another process of this front has come or gone.
    Share,
    /// The program is to end.
    Stopping,
    /// Which disk boxes does the module keep from for now?
    Avoided(Sender<Vec<BackendId>>),
    /// Print the counters.
    Print,
}

/// The module's mailbox.
pub type SchedulerMailbox = Sender<SchedulerMessage>;

/// The most mail that may wait for the module.
pub const MAILBOX: usize = 8192;

/// The list's mail.
pub enum DiscoveryMessage {
    /// The module asks for the watch, perhaps anew.
    Watch,
    /// Discovery has another address, or there is none any more.
    Moved,
}
