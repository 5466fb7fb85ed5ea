//! Attempts and their ends, and what else the program has to do.
use crate::{Answer, Bytes, Request};
use scheduler::interface::{Ending, Micros, NodeId, RequestId};
use std::cell::Cell;
use std::rc::Rc;

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
    /// By when it has to begin: the end of the time in which a repeat is known as one.
    pub begin_by: Micros,
    /// Whether its request still waits for its final answer.
    pub(crate) wanted: Rc<Cell<bool>>,
}

impl Attempt {
    /// Whether it may begin now. Guards what is decided against the time that a connection takes to come up: by then the
    /// client may have gone, or the time for it may have passed.
    pub fn may_begin(&self, now: Micros) -> bool {
        self.wanted.get() && now < self.until && now < self.begin_by
    }

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
