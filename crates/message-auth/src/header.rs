//! The header of a message. On the wire: magic, version, header, body, signature.
//!
//! The header is encoded with postcard: the order of the fields is part of the form.
use crate::{MAX_CHANNELS, MAX_NAME_BYTES};
use serde::{Deserialize, Serialize};

/// The first bytes of each message.
pub const MAGIC: [u8; 2] = *b"LR";

/// The version of this layout.
pub const VERSION: u8 = 1;

/// Magic and version, in bytes.
pub const PREFIX_BYTES: usize = 3;

/// Why a header can't be sent or accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeaderError {
    /// The bytes are no header.
    #[error("the header can't be encoded or decoded: {0}")]
    Encoding(#[from] postcard::Error),
    /// The channel's number is out of bounds.
    #[error("channel {0} is not below {MAX_CHANNELS}")]
    Channel(u8),
    /// The sender's name is empty or too long.
    #[error("the sender's name has {0} bytes, not 1 to {MAX_NAME_BYTES}")]
    SenderName(usize),
    /// The recipient's name is empty or too long.
    #[error("the recipient's name has {0} bytes, not 1 to {MAX_NAME_BYTES}")]
    RecipientName(usize),
    /// Sequence numbers begin at 1.
    #[error("the sequence number is 0")]
    ZeroSequence,
}

/// The member that a message is addressed to.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Recipient<'a> {
    /// Its name.
    pub member: &'a str,
    /// Its incarnation, as far as the sender knows it.
    pub incarnation: Option<u64>,
}

/// What is signed along with the body.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Header<'a> {
    /// The channel of the sender.
    pub channel: u8,
    /// The sender's name.
    pub from: &'a str,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// The number of the message within the sender's incarnation and channel.
    pub sequence: u64,
    /// The addressee; none: every member.
    #[serde(borrow)]
    pub to: Option<Recipient<'a>>,
}

fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}

impl<'a> Header<'a> {
    /// Checks the bounds of each field.
    pub fn validate(&self) -> Result<(), HeaderError> {
        if self.channel >= MAX_CHANNELS {
            return Err(HeaderError::Channel(self.channel));
        }
        if !is_valid_name(self.from) {
            return Err(HeaderError::SenderName(self.from.len()));
        }
        if self.sequence == 0 {
            return Err(HeaderError::ZeroSequence);
        }
        match &self.to {
            Some(to) if !is_valid_name(to.member) => Err(HeaderError::RecipientName(to.member.len())),
            _ => Ok(()),
        }
    }

    /// Decodes the header of a message without its signature, and returns it with the body.
    pub fn decode(signed: &'a [u8]) -> Result<(Header<'a>, &'a [u8]), HeaderError> {
        let encoded = signed.get(PREFIX_BYTES..).unwrap_or_default();
        let (header, body) = postcard::take_from_bytes::<Header<'a>>(encoded)?;
        header.validate()?;
        Ok((header, body))
    }
}
