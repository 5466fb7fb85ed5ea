//! Verification of incoming messages.
use crate::header::{Header, MAGIC, PREFIX_BYTES, VERSION};
use crate::sender_table::SenderTable;
use crate::{KeySlot, Keys, OpenCounters, Rejection, MAX_DATAGRAM_BYTES, MAX_SENDERS, SIGNATURE_BYTES};
use cluster_types::MemberId;

/// A message that was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Opened {
    /// The sender.
    pub from: MemberId,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// Its sequence number within the sender's incarnation and channel.
    pub sequence: u64,
    /// Whether it is addressed to the current incarnation of this member. Otherwise it may be a replay of a message recorded
    /// before this process started: it may be answered, so that the sender learns the current incarnation, but must not
    /// change any other state.
    pub is_fresh: bool,
    /// The body.
    pub body: Vec<u8>,
}

/// Verifies the messages that one member receives, from all senders and on all of their channels.
#[derive(Clone, Debug)]
pub struct Opener {
    keys: Keys,
    local_member: MemberId,
    incarnation: Option<u64>,
    max_bytes: usize,
    senders: SenderTable,
    counters: OpenCounters,
}

impl Opener {
    /// An opener for datagrams to `local_member`, whose incarnation is not set.
    pub fn new(keys: Keys, local_member: MemberId) -> Opener {
        Opener {
            keys,
            local_member,
            incarnation: None,
            max_bytes: MAX_DATAGRAM_BYTES,
            senders: SenderTable::new(MAX_SENDERS),
            counters: OpenCounters::default(),
        }
    }

    /// Sets the incarnation of this member: messages addressed to any other incarnation are rejected.
    pub fn with_incarnation(mut self, incarnation: u64) -> Opener {
        self.incarnation = Some(incarnation);
        self
    }

    /// Sets the maximum size of a message including header and signature, in bytes.
    pub fn with_max_bytes(mut self, max_bytes: usize) -> Opener {
        self.max_bytes = max_bytes;
        self
    }

    /// Sets the maximum number of senders whose replay windows are kept.
    pub fn with_max_senders(mut self, max_senders: usize) -> Opener {
        self.senders = SenderTable::new(max_senders);
        self
    }

    /// Replaces the keys. The replay windows are kept, so that no message is accepted twice.
    pub fn set_keys(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// Allows a sender that has left to be evicted when a new one needs its place.
    ///
    /// An eviction opens no way to replay the sender's messages: unknown senders are rejected up to the highest evicted
    /// incarnation, and a restarted process has a higher one.
    pub fn allow_eviction(&mut self, sender: &MemberId) {
        self.senders.allow_eviction(sender);
    }

    /// The numbers of accepted and rejected messages.
    pub fn counters(&self) -> &OpenCounters {
        &self.counters
    }

    /// Verifies a message on channel 0.
    ///
    /// # Errors
    /// The reason for a rejection; a rejected message only changes the counters.
    pub fn open(&mut self, message: &[u8]) -> Result<Opened, Rejection> {
        self.open_on(0, message)
    }

    /// Verifies a message received on `channel`.
    ///
    /// # Errors
    /// The reason for a rejection; a rejected message only changes the counters.
    pub fn open_on(&mut self, channel: u8, message: &[u8]) -> Result<Opened, Rejection> {
        let result = self.verify(channel, message);
        match &result {
            Ok(_) => self.counters.opened += 1,
            Err(reason) => self.counters.record_rejection(*reason),
        }
        result
    }

    fn verify(&mut self, channel: u8, message: &[u8]) -> Result<Opened, Rejection> {
        self.check_frame(message)?;
        let (signed, signature) = message.split_at(message.len() - SIGNATURE_BYTES);
        let key = self.keys.verify(signed, signature).ok_or(Rejection::Forged)?;
        // The counters don't distinguish which field is out of bounds.
        let Ok((header, body)) = Header::decode(signed) else { return Err(Rejection::Malformed) };
        let is_fresh = self.check_addressing(channel, &header)?;
        self.senders.accept(&header)?;
        self.counters.under_other_key += u64::from(key == KeySlot::Other);
        Ok(Opened {
            from: header.from.into(),
            incarnation: header.incarnation,
            sequence: header.sequence,
            is_fresh,
            body: body.to_vec(),
        })
    }

    /// Checks size, magic and version, before the signature is verified.
    fn check_frame(&self, message: &[u8]) -> Result<(), Rejection> {
        if message.len() > self.max_bytes {
            return Err(Rejection::Oversized);
        }
        if message.len() < PREFIX_BYTES + SIGNATURE_BYTES || message[..MAGIC.len()] != MAGIC {
            return Err(Rejection::Malformed);
        }
        if message[MAGIC.len()] != VERSION {
            return Err(Rejection::UnsupportedVersion);
        }
        Ok(())
    }

    /// Checks that a message is intended for this member and channel, and returns whether it is addressed to the member's
    /// current incarnation.
    fn check_addressing(&self, channel: u8, header: &Header<'_>) -> Result<bool, Rejection> {
        // Messages reflected to their sender, or replayed on another channel, carry a valid signature.
        if header.channel != channel || header.from == &*self.local_member.0 {
            return Err(Rejection::Foreign);
        }
        let Some(to) = &header.to else { return Ok(false) };
        if to.member != &*self.local_member.0 {
            return Err(Rejection::Foreign);
        }
        match (to.incarnation, self.incarnation) {
            // Addressed to an earlier incarnation of this member, whose replay windows are lost.
            (Some(addressed), Some(own)) if addressed != own => Err(Rejection::Stale),
            (Some(_), Some(_)) => Ok(true),
            _ => Ok(false),
        }
    }
}
