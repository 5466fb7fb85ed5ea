//! Signing of outgoing messages.
use crate::header::{Header, HeaderError, Recipient, MAGIC, PREFIX_BYTES, VERSION};
use crate::{Keys, MAX_DATAGRAM_BYTES, MAX_NAME_BYTES, MAX_SENDERS, SIGNATURE_BYTES};
use cluster_types::MemberId;
use std::collections::BTreeMap;

/// The header's numbers at their longest: 1 byte of channel, 10 each of incarnation and sequence number, 1 each of the
/// length of the sender's name and of the mark whether there is a recipient.
const MAX_HEADER_NUMBERS_BYTES: usize = 23;

/// A recipient besides its name at its longest: 1 byte of the name's length, 11 of the optional incarnation.
const MAX_RECIPIENT_NUMBERS_BYTES: usize = 12;

/// Why a message can't be signed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SealError {
    /// A field of the header is out of bounds.
    #[error(transparent)]
    Header(#[from] HeaderError),
    /// The message is larger than the sealer's bound.
    #[error("a message of {bytes} bytes is larger than {max_bytes}")]
    Oversized {
        /// Its size with header and signature, in bytes.
        bytes: usize,
        /// The bound, in bytes.
        max_bytes: usize,
    },
    /// This incarnation has used up its sequence numbers.
    #[error("no sequence number is left")]
    SequenceExhausted,
}

/// Signs the messages of one incarnation on one channel.
///
/// The sequence numbers are counted here: a member has one sealer for each of its channels.
#[derive(Clone, Debug)]
pub struct Sealer {
    keys: Keys,
    me: MemberId,
    incarnation: u64,
    channel: u8,
    max_bytes: usize,
    sequence: u64,
    /// The incarnations of other members, as far as they are known.
    incarnations: BTreeMap<MemberId, u64>,
}

impl Sealer {
    /// A sealer for datagrams on channel 0.
    pub fn new(keys: Keys, me: MemberId, incarnation: u64) -> Sealer {
        let (channel, max_bytes, sequence) = (0, MAX_DATAGRAM_BYTES, 0);
        Sealer { keys, me, incarnation, channel, max_bytes, sequence, incarnations: BTreeMap::new() }
    }

    /// Signs for another channel.
    pub fn on_channel(mut self, channel: u8) -> Sealer {
        self.channel = channel;
        self
    }

    /// Sets the bound of a message with header and signature, in bytes.
    pub fn with_max_bytes(mut self, max_bytes: usize) -> Sealer {
        self.max_bytes = max_bytes;
        self
    }

    /// Signs with other keys from now on.
    pub fn set_keys(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// Addresses messages to `member` to this incarnation of it only, from now on.
    ///
    /// The caller takes the incarnation from a message that was addressed to its own one ([`Opened::fresh`]): any other may
    /// be a recorded message of an earlier incarnation. Beyond [`MAX_SENDERS`] members nothing is recorded.
    ///
    /// [`Opened::fresh`]: crate::Opened::fresh
    pub fn learn_incarnation(&mut self, member: &MemberId, incarnation: u64) {
        if self.incarnations.len() < MAX_SENDERS || self.incarnations.contains_key(member) {
            self.incarnations.insert(member.clone(), incarnation);
        }
    }

    /// The incarnation that messages to `member` are addressed to, if one is known.
    pub fn incarnation_of(&self, member: &MemberId) -> Option<u64> {
        self.incarnations.get(member).copied()
    }

    /// Addresses messages to `member` to any incarnation of it again.
    pub fn forget(&mut self, member: &MemberId) {
        self.incarnations.remove(member);
    }

    /// The length of the longest body that fits in any case, in bytes.
    pub fn max_body_bytes(&self, to: Option<&MemberId>) -> usize {
        let recipient = to.map_or(0, |to| to.0.len() + MAX_RECIPIENT_NUMBERS_BYTES);
        let sender = self.me.0.len() + MAX_HEADER_NUMBERS_BYTES;
        self.max_bytes.saturating_sub(PREFIX_BYTES + SIGNATURE_BYTES + sender + recipient)
    }

    /// Signs a message to every member, or to one member in the incarnation that is known of it.
    ///
    /// # Errors
    /// When the message is too large, a name or the channel is out of bounds, or no sequence number is left.
    pub fn seal(&mut self, to: Option<&MemberId>, body: &[u8]) -> Result<Vec<u8>, SealError> {
        let incarnation = to.and_then(|to| self.incarnation_of(to));
        self.sign(to, incarnation, body)
    }

    /// Signs a message to one member in that incarnation, or in any.
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
            from: &self.me.0,
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

    /// Enough for the message, so that its buffer needn't grow.
    fn capacity_for(&self, body: &[u8]) -> usize {
        let numbers = MAX_HEADER_NUMBERS_BYTES + MAX_RECIPIENT_NUMBERS_BYTES;
        PREFIX_BYTES + SIGNATURE_BYTES + 2 * MAX_NAME_BYTES + numbers + body.len().min(self.max_bytes)
    }
}
