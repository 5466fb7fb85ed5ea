//! The header of a message. The wire format is: magic, version, header, body, signature.
//!
//! The header is encoded with postcard, so the order of its fields is part of the wire format.
use crate::{MAX_CHANNELS, MAX_NAME_BYTES};
use serde::{Deserialize, Serialize};

/// The first bytes of each message.
pub const MAGIC: [u8; 2] = *b"LR";

/// The version of the wire format.
pub const VERSION: u8 = 1;

/// The length of magic and version, in bytes.
pub const PREFIX_BYTES: usize = 3;

/// Why a header can't be sent or accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HeaderError {
    /// The bytes are not a valid header, or the header can't be encoded.
    #[error("the header can't be encoded or decoded: {0}")]
    Encoding(#[from] postcard::Error),
    /// The channel number is out of bounds.
    #[error("channel {0} is not below {MAX_CHANNELS}")]
    Channel(u8),
    /// The sender's name is empty or too long.
    #[error("the sender's name has {0} bytes, not 1 to {MAX_NAME_BYTES}")]
    SenderName(usize),
    /// The recipient's name is empty or too long.
    #[error("the recipient's name has {0} bytes, not 1 to {MAX_NAME_BYTES}")]
    RecipientName(usize),
    /// The sequence number is 0; valid ones begin at 1.
    #[error("the sequence number is 0")]
    ZeroSequence,
}

/// The member that a message is addressed to.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Recipient<'a> {
    /// Its name.
    pub member: &'a str,
    /// Its incarnation, or `None` if the sender doesn't know it.
    pub incarnation: Option<u64>,
}

/// The metadata that is signed together with the body.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Header<'a> {
    /// The sender's channel.
    pub channel: u8,
    /// The sender's name.
    pub from: &'a str,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// The sequence number of the message within the sender's incarnation and channel.
    pub sequence: u64,
    /// The recipient; `None` for a broadcast to every member.
    #[serde(borrow)]
    pub to: Option<Recipient<'a>>,
}

fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}

impl<'a> Header<'a> {
    /// Checks that each field is within its bounds.
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

    /// Decodes the header of a message whose signature was cut off, and returns the header and the body.
    pub fn decode(signed: &'a [u8]) -> Result<(Header<'a>, &'a [u8]), HeaderError> {
        let encoded = signed.get(PREFIX_BYTES..).unwrap_or_default();
        let (header, body) = postcard::take_from_bytes::<Header<'a>>(encoded)?;
        header.validate()?;
        Ok((header, body))
    }
}
