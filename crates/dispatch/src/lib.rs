//! The layer between a gateway's listeners and its backends.
//!
//! [`Dispatcher`] runs the [`scheduler`], keeps the table of open requests and their attempts, and ensures
//! that each request gets exactly one final response. It is sans-I/O: it implements no protocol and reads no
//! clock, and it returns [`Effect`]s for its caller to carry out. The type parameter `T`, the ticket, lets a
//! listener find the client of a request; `V` is the listener's type of values.
mod attempt;
mod counters;
mod dispatcher;
mod request;
mod request_log;

pub use attempt::{Attempt, AttemptEnd, Effect};
pub use counters::{AttemptCounters, Counters};
pub use dispatcher::{Capacity, Dispatcher, EARLIER_ID};
pub use request::{Bytes, Extent, Request, Response};
pub use request_log::{RequestEvent, RequestLog, RequestLogEntry};
