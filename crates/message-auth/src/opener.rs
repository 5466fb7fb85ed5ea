//! Verification of incoming messages.
use crate::header::{Header, MAGIC, PREFIX_BYTES, VERSION};
use crate::sender_table::SenderTable;
use crate::{KeySlot, Keys, OpenCounters, Rejection, MAX_DATAGRAM_BYTES, MAX_SENDERS, SIGNATURE_BYTES};
use cluster_types::MemberId;

/// A message that was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Opened {
    /// The member that signed it.
    pub from: MemberId,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// Its number within the sender's incarnation and channel.
    pub sequence: u64,
    /// Whether it is addressed to the current incarnation of this member. One that isn't may have been recorded before this
    /// process started: it may be answered, so that its sender learns the incarnation, but should change nothing else.
    pub fresh: bool,
    /// The body.
    pub body: Vec<u8>,
}

/// Verifies the messages to one member, of all senders and on all of their channels.
#[derive(Clone, Debug)]
pub struct Opener {
    keys: Keys,
    me: MemberId,
    incarnation: Option<u64>,
    max_bytes: usize,
    senders: SenderTable,
    counters: OpenCounters,
}

impl Opener {
    /// An opener for datagrams that doesn't know the incarnation of its own member.
    pub fn new(keys: Keys, me: MemberId) -> Opener {
        Opener {
            keys,
            me,
            incarnation: None,
            max_bytes: MAX_DATAGRAM_BYTES,
            senders: SenderTable::new(MAX_SENDERS),
            counters: OpenCounters::default(),
        }
    }

    /// Sets the incarnation of this member: messages that are addressed to another one are rejected.
    pub fn with_incarnation(mut self, incarnation: u64) -> Opener {
        self.incarnation = Some(incarnation);
        self
    }

    /// Sets the bound of a message with header and signature, in bytes.
    pub fn with_max_bytes(mut self, max_bytes: usize) -> Opener {
        self.max_bytes = max_bytes;
        self
    }

    /// Sets the number of senders whose replay windows are kept.
    pub fn with_max_senders(mut self, max_senders: usize) -> Opener {
        self.senders = SenderTable::new(max_senders);
        self
    }

    /// Verifies with other keys from now on. The replay windows stay: no message is accepted twice.
    pub fn set_keys(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// Allows a sender that is gone to be forgotten in favour of a new one.
    ///
    /// None of its messages is accepted twice for that: unknown senders are rejected up to the highest incarnation that was
    /// forgotten, and a process that starts has a later one.
    pub fn release(&mut self, sender: &MemberId) {
        self.senders.release(sender);
    }

    /// How many messages were accepted and rejected.
    pub fn counters(&self) -> &OpenCounters {
        &self.counters
    }

    /// Verifies a message on channel 0.
    ///
    /// # Errors
    /// Why it is rejected; a rejected message changes the counters only.
    pub fn open(&mut self, message: &[u8]) -> Result<Opened, Rejection> {
        self.open_on(0, message)
    }

    /// Verifies a message that arrived on `channel`.
    ///
    /// # Errors
    /// Why it is rejected; a rejected message changes the counters only.
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
        // The counters don't tell which field is out of bounds.
        let Ok((header, body)) = Header::decode(signed) else { return Err(Rejection::Malformed) };
        let fresh = self.check_addressing(channel, &header)?;
        self.senders.accept(&header)?;
        self.counters.under_other_key += u64::from(key == KeySlot::Other);
        Ok(Opened {
            from: header.from.into(),
            incarnation: header.incarnation,
            sequence: header.sequence,
            fresh,
            body: body.to_vec(),
        })
    }

    /// Checks what can be checked before the signature.
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

    /// Checks that a message is meant for this member and channel, and returns whether it is addressed to its current
    /// incarnation.
    fn check_addressing(&self, channel: u8, header: &Header<'_>) -> Result<bool, Rejection> {
        // Messages that are reflected to their sender, or moved from one channel to another, carry a good signature.
        if header.channel != channel || header.from == &*self.me.0 {
            return Err(Rejection::Foreign);
        }
        let Some(to) = &header.to else { return Ok(false) };
        if to.member != &*self.me.0 {
            return Err(Rejection::Foreign);
        }
        match (to.incarnation, self.incarnation) {
            // Recorded before this process started: the replay windows of that time are lost.
            (Some(addressed), Some(own)) if addressed != own => Err(Rejection::Stale),
            (Some(_), Some(_)) => Ok(true),
            _ => Ok(false),
        }
    }
}
