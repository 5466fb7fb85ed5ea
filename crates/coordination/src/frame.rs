//! The messages between members over TCP: each is sent in its own sealed frame and carries a version.
use crate::measurements::Measurements;
use crate::state_machine::Command;
use cluster_types::Index;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The version of the messages. A member rejects messages of any other version and logs the rejection.
pub const VERSION: u16 = 1;

/// A message from one member to another. The order of the variants is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// The first frame on a link: it proves that the sender holds the key, after which larger frames are accepted.
    Hello,
    /// A message of the replicated log.
    Log {
        /// The incarnation of the sender's store.
        incarnation: u64,
        /// The message.
        message: consensus::Message,
    },
    /// To the leader: a command to propose.
    Forward {
        /// The sender's id of the command.
        ticket: u64,
        /// The command.
        command: Command,
    },
    /// To the leader: the sender's measurements, and a request for a lease.
    Measured {
        /// When the lease was requested, by the sender's clock; returned unchanged.
        requested_at: u64,
        /// The index up to which the sender had applied the log when it measured.
        applied_index: Index,
        /// The measurements.
        measurements: Box<Measurements>,
    },
    /// From the leader: a lease, which starts at the time of the request.
    Lease {
        /// When the lease was requested, by the receiver's clock.
        requested_at: u64,
        /// The duration of the lease, in microseconds.
        span_us: u64,
    },
    /// From a control member: how far configuration changes have been rolled out.
    Reports(Vec<config_distribution::Report>),
}

/// Why a message cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The message has a version that this program cannot interpret.
    #[error("message version {found} is not supported; this program uses version {VERSION}")]
    UnknownVersion {
        /// The version of the message.
        found: u16,
    },
    /// The bytes are not a message.
    #[error("{0}")]
    Malformed(#[from] postcard::Error),
}

/// Encodes a message, prefixed with the version.
///
/// # Errors
///
/// Returns the encoder's error; none is known for the messages of this program.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(&(VERSION, message))
}

/// Decodes a message.
///
/// # Errors
///
/// Returns an error for a message of another version and for bytes that are not a message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    let (version, rest) = postcard::take_from_bytes::<u16>(bytes)?;
    if version != VERSION {
        return Err(DecodeError::UnknownVersion { found: version });
    }
    Ok(postcard::from_bytes(rest)?)
}
