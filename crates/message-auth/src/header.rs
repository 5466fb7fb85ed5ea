//! What stands before a message's body. On the wire: magic, version, header, body, signature.
use crate::{CHANNELS, NAME};
use serde::{Deserialize, Serialize};

/// The first bytes of each message.
pub const MAGIC: [u8; 2] = *b"LR";

/// The version of this layout.
pub const VERSION: u8 = 1;

/// Magic and version.
pub const LEAD: usize = 3;

/// The signature's length.
pub const MAC: usize = 32;

/// The addressee, and its life as far as the sender knows it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct To<'a> {
    pub member: &'a str,
    pub life: Option<u64>,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub struct Header<'a> {
    pub channel: u8,
    pub from: &'a str,
    pub life: u64,
    pub number: u64,
    #[serde(borrow)]
    pub to: Option<To<'a>>,
}

fn name(text: &str) -> bool {
    !text.is_empty() && text.len() <= NAME
}

impl<'a> Header<'a> {
    /// Whether all is within its bounds.
    pub fn sound(&self) -> bool {
        self.channel < CHANNELS
            && name(self.from)
            && self.number > 0
            && self.to.as_ref().is_none_or(|to| name(to.member))
    }

    /// Reads a header from a message whose signature was found good; gives the body too.
    pub fn read(bytes: &'a [u8]) -> Option<(Header<'a>, &'a [u8])> {
        let (header, body) = postcard::take_from_bytes::<Header<'a>>(bytes.get(LEAD..)?).ok()?;
        header.sound().then_some((header, body))
    }
}
