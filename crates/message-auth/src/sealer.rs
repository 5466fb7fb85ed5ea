//! Signing of outgoing messages.
use crate::header::{Header, HeaderError, Recipient, MAGIC, PREFIX_BYTES, VERSION};
use crate::{Keys, MAX_DATAGRAM_BYTES, MAX_NAME_BYTES, MAX_SENDERS, SIGNATURE_BYTES};
use cluster_types::MemberId;
use std::collections::BTreeMap;

/// The maximum encoded size of the header without names and recipient: 1 byte for the channel, 10 each for incarnation and
/// sequence number, 1 each for the length of the sender's name and the tag of the optional recipient.
const MAX_HEADER_NUMBERS_BYTES: usize = 23;

/// The maximum encoded size of a recipient without its name: 1 byte for the name's length, 11 for the optional incarnation.
const MAX_RECIPIENT_NUMBERS_BYTES: usize = 12;

/// Why a message can't be signed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SealError {
    /// A field of the header is out of bounds.
    #[error(transparent)]
    Header(#[from] HeaderError),
    /// The message exceeds the sealer's maximum size.
    #[error("a message of {bytes} bytes is larger than {max_bytes}")]
    Oversized {
        /// Its size including header and signature, in bytes.
        bytes: usize,
        /// The maximum size, in bytes.
        max_bytes: usize,
    },
    /// All sequence numbers of this incarnation are used.
    #[error("no sequence number is left")]
    SequenceExhausted,
}

/// Signs the messages of one incarnation on one channel.
///
/// It counts the sequence numbers, so a member must have exactly one sealer for each of its channels.
#[derive(Clone, Debug)]
pub struct Sealer {
    keys: Keys,
    local_member: MemberId,
    incarnation: u64,
    channel: u8,
    max_bytes: usize,
    sequence: u64,
    /// The known incarnations of other members.
    incarnations: BTreeMap<MemberId, u64>,
}

impl Sealer {
    /// A sealer for datagrams on channel 0.
    pub fn new(keys: Keys, local_member: MemberId, incarnation: u64) -> Sealer {
        let (channel, max_bytes, sequence) = (0, MAX_DATAGRAM_BYTES, 0);
        Sealer {
            keys,
            local_member,
            incarnation,
            channel,
            max_bytes,
            sequence,
            incarnations: BTreeMap::new(),
        }
    }

    /// Sets the channel.
    pub fn on_channel(mut self, channel: u8) -> Sealer {
        self.channel = channel;
        self
    }

    /// Sets the maximum size of a message including header and signature, in bytes.
    pub fn with_max_bytes(mut self, max_bytes: usize) -> Sealer {
        self.max_bytes = max_bytes;
        self
    }

    /// Replaces the keys.
    pub fn set_keys(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// Records the incarnation of `member`: from now on, messages to it are addressed to that incarnation only.
    ///
    /// The incarnation must come from a message addressed to the caller's own incarnation ([`Opened::is_fresh`]): any other
    /// message may be a replay from an earlier incarnation. At most [`MAX_SENDERS`] members are recorded.
    ///
    /// [`Opened::is_fresh`]: crate::Opened::is_fresh
    pub fn learn_incarnation(&mut self, member: &MemberId, incarnation: u64) {
        if self.incarnations.len() < MAX_SENDERS || self.incarnations.contains_key(member) {
            self.incarnations.insert(member.clone(), incarnation);
        }
    }

    /// The known incarnation of `member`, to which messages to it are addressed.
    pub fn incarnation_of(&self, member: &MemberId) -> Option<u64> {
        self.incarnations.get(member).copied()
    }

    /// Removes the recorded incarnation of `member`: messages to it are addressed to any incarnation again.
    pub fn forget_incarnation(&mut self, member: &MemberId) {
        self.incarnations.remove(member);
    }

    /// The length of the longest body that is guaranteed to fit, in bytes.
    pub fn max_body_bytes(&self, to: Option<&MemberId>) -> usize {
        let recipient = to.map_or(0, |to| to.0.len() + MAX_RECIPIENT_NUMBERS_BYTES);
        let sender = self.local_member.0.len() + MAX_HEADER_NUMBERS_BYTES;
        self.max_bytes.saturating_sub(PREFIX_BYTES + SIGNATURE_BYTES + sender + recipient)
    }

    /// Signs a message to every member, or to one member at its known incarnation.
    ///
    /// # Errors
    /// When the message is too large, a name or the channel is out of bounds, or no sequence number is left.
    pub fn seal(&mut self, to: Option<&MemberId>, body: &[u8]) -> Result<Vec<u8>, SealError> {
        let incarnation = to.and_then(|to| self.incarnation_of(to));
        self.sign(to, incarnation, body)
    }

    /// Signs a message to one member at `incarnation`, or at any if `None`.
    ///
    /// # Errors
    /// As [`Sealer::seal`].
    pub fn seal_to(
        &mut self,
        to: &MemberId,
        incarnation: Option<u64>,
        body: &[u8],
    ) -> Result<Vec<u8>, SealError> {
        self.sign(Some(to), incarnation, body)
    }

    fn sign(
        &mut self,
        to: Option<&MemberId>,
        incarnation: Option<u64>,
        body: &[u8],
    ) -> Result<Vec<u8>, SealError> {
        let sequence = self.sequence.checked_add(1).ok_or(SealError::SequenceExhausted)?;
        let header = Header {
            channel: self.channel,
            from: &self.local_member.0,
            incarnation: self.incarnation,
            sequence,
            to: to.map(|to| Recipient { member: &to.0, incarnation }),
        };
        header.validate()?;
        let mut message = Vec::with_capacity(self.capacity_for(body));
        message.extend_from_slice(&MAGIC);
        message.push(VERSION);
        let mut message = postcard::to_extend(&header, message).map_err(HeaderError::Encoding)?;
        let bytes = message.len() + body.len() + SIGNATURE_BYTES;
        if bytes > self.max_bytes {
            return Err(SealError::Oversized { bytes, max_bytes: self.max_bytes });
        }
        message.extend_from_slice(body);
        let signature = self.keys.sign(&message);
        message.extend_from_slice(&signature);
        self.sequence = sequence;
        Ok(message)
    }

    /// An upper bound of the message's size, so that its buffer is allocated once.
    fn capacity_for(&self, body: &[u8]) -> usize {
        let numbers = MAX_HEADER_NUMBERS_BYTES + MAX_RECIPIENT_NUMBERS_BYTES;
        PREFIX_BYTES + SIGNATURE_BYTES + 2 * MAX_NAME_BYTES + numbers + body.len().min(self.max_bytes)
    }
}
