//! Encoding and decoding of HTTP/1.1 (RFC 9112) without I/O, limited to what this workspace needs: heads of requests and
//! responses, short bodies with a Content-Length, and incremental decoding of chunked bodies.
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
