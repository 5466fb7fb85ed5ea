//! Client requests and their final responses.
use scheduler::interface::Micros;
use std::rc::Rc;

/// Approximate memory of a request besides its body, in bytes.
const REQUEST_OVERHEAD_BYTES: usize = 512;

/// Bytes that are shared rather than copied.
pub type Bytes = Rc<[u8]>;

/// A range of a volume's blocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Extent {
    /// The first block.
    pub first: u64,
    /// Number of blocks.
    pub blocks: u32,
}

/// A client request.
#[derive(Debug)]
pub struct Request {
    /// The name that the client gave the request, unique among open requests.
    pub name: Rc<str>,
    /// Index of the class.
    pub class: usize,
    /// Index of the plan.
    pub plan: usize,
    /// Whether the request is a write.
    pub is_write: bool,
    /// The key of the data; empty if there is none.
    pub key: Rc<str>,
    /// The volume.
    pub volume: Rc<str>,
    /// Size of the request, in units.
    pub units: u32,
    /// The shard that holds the data; `None` for a new object.
    pub shard: Option<u32>,
    /// Number of gateways through which the volume's requests arrive.
    pub volume_gateways: u32,
    /// Further arguments of the client, which are only passed on to the backend.
    pub extra: Rc<str>,
    /// The data to write.
    pub body: Option<Bytes>,
    /// Whether the client accepts a long value in parts as they arrive.
    pub accepts_stream: bool,
    /// The range of blocks, if the client addressed blocks.
    pub extent: Option<Extent>,
    /// The time until which the client waits.
    pub deadline: Micros,
}

impl Request {
    /// Returns the approximate memory of the request, in bytes.
    pub fn memory_bytes(&self) -> usize {
        REQUEST_OVERHEAD_BYTES + self.body.as_ref().map_or(0, |body| body.len())
    }
}

/// The final response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Response<V = Bytes> {
    /// The request was served, with this value from the backend.
    Served(V),
    /// The request was not executed or may safely be retried, ideally after this time.
    Rejected(Option<Micros>),
    /// The request may or may not have been executed; with the reason as text for the client.
    Failed(&'static str),
}
