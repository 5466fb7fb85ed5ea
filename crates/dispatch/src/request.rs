//! Requests of clients, and their final responses.
use scheduler::interface::Micros;
use std::rc::Rc;

/// Memory that a request occupies besides its body, in bytes, roughly.
const REQUEST_OVERHEAD_BYTES: usize = 512;

/// Bytes that are passed on without being copied.
pub type Bytes = Rc<[u8]>;

/// A range of a volume's blocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Extent {
    /// The first block.
    pub first: u64,
    /// Number of blocks.
    pub blocks: u32,
}

/// What a client asks for.
#[derive(Debug)]
pub struct Request {
    /// The client's name for it, unique among open requests.
    pub name: Rc<str>,
    /// Index of the class.
    pub class: usize,
    /// Index of the plan.
    pub plan: usize,
    /// Whether it writes.
    pub is_write: bool,
    /// The piece of data; empty for none.
    pub key: Rc<str>,
    /// The volume.
    pub volume: Rc<str>,
    /// Its size, in units.
    pub units: u32,
    /// The shard that holds the data; none for a new object.
    pub shard: Option<u32>,
    /// Number of gateways through which the volume's requests arrive.
    pub volume_gateways: u32,
    /// What else the client said, for the backend only.
    pub extra: Rc<str>,
    /// What is to be written.
    pub body: Option<Bytes>,
    /// Whether its client accepts a long value in parts, as it arrives.
    pub accepts_stream: bool,
    /// The blocks of the volume, where the client named blocks.
    pub extent: Option<Extent>,
    /// How long the client waits.
    pub deadline: Micros,
}

impl Request {
    /// The memory that it occupies, in bytes, roughly.
    pub fn memory_bytes(&self) -> usize {
        REQUEST_OVERHEAD_BYTES + self.body.as_ref().map_or(0, |body| body.len())
    }
}

/// The final response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response<V = Bytes> {
    /// What the backend returned.
    Served(V),
    /// It was not executed, or may be repeated: safe to try again, best after that time.
    Rejected(Option<Micros>),
    /// It may or may not have been executed; with the reason, as text for the client.
    Failed(&'static str),
}
