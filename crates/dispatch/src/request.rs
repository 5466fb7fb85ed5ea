//! What clients ask for, and what they are answered.
use scheduler::interface::Micros;
use std::rc::Rc;

/// Bytes that are passed on without being copied.
pub type Bytes = Rc<[u8]>;

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
