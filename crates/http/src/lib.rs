//! Encoding and decoding of HTTP/1.1 (RFC 9112) without I/O, as far as this program needs it: heads of requests and
//! responses, short bodies of a stated length, and chunked bodies as they arrive.
mod chunked;
mod error;
mod head;
mod percent;
mod request;
mod response;

pub use chunked::ChunkDecoder;
pub use error::ParseError;
pub use percent::percent_decode;
pub use request::{request_body, request_head, RequestHead, MAX_BODY_BYTES};
pub use response::{response, response_head, BodyLength, ResponseHead};
