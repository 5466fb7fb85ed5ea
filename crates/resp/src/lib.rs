//! Encoding and decoding of RESP2, the Redis serialization protocol, without I/O: commands and replies are parsed from the
//! front of a buffer, which may end in the middle of one.
mod command;
mod error;
mod item;
mod reply;
mod write;

pub use command::command;
pub use error::ParseError;
pub use item::Parsed;
pub use reply::{long_value_head, replies, reply, LongValueHead, Reply};
pub use write::{write_bulk, write_command};

/// The longest value of a command.
pub const MAX_VALUE_BYTES: usize = 64 * 1024;
/// The most words of a command, and elements of an array in a reply.
const MAX_ELEMENTS: usize = 64;
