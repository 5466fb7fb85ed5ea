//! Making messages.
use crate::header::{Header, To, LEAD, MAC, MAGIC, VERSION};
use crate::{Keys, Refusal, DATAGRAM, SENDERS};
use cluster_types::MemberId;
use std::collections::BTreeMap;

/// Signs messages of one life on one channel. Each channel of a sender has one sealer, since the numbers are counted here.
#[derive(Clone, Debug)]
pub struct Sealer {
    keys: Keys,
    me: MemberId,
    life: u64,
    channel: u8,
    bound: usize,
    number: u64,
    lives: BTreeMap<MemberId, u64>,
}

impl Sealer {
    /// For datagrams on channel 0.
    pub fn new(keys: Keys, me: MemberId, life: u64) -> Sealer {
        Sealer { keys, me, life, channel: 0, bound: DATAGRAM, number: 0, lives: BTreeMap::new() }
    }

    /// On another channel.
    pub fn channel(mut self, channel: u8) -> Sealer {
        self.channel = channel;
        self
    }

    /// With another bound of a whole message.
    pub fn bound(mut self, bound: usize) -> Sealer {
        self.bound = bound;
        self
    }

    /// Signs with other keys from now on.
    pub fn rekey(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// Messages to that member are meant for that life of it from now on, and for none that came before or comes after. To
    /// be told only what came in a message for our own life (`Opened::fresh`).
    pub fn learn(&mut self, member: &MemberId, life: u64) {
        if self.lives.len() < SENDERS || self.lives.contains_key(member) {
            self.lives.insert(member.clone(), life);
        }
    }

    /// The life of that member, as far as learnt.
    pub fn life_of(&self, member: &MemberId) -> Option<u64> {
        self.lives.get(member).copied()
    }

    /// Messages to that member are for any life of it again.
    pub fn forget(&mut self, member: &MemberId) {
        self.lives.remove(member);
    }

    /// The longest body that surely fits, whoever it is for.
    pub fn room(&self, to: Option<&MemberId>) -> usize {
        // At the most: channel 1, lives and number 10 each, names' lengths 1 each, marks 1 each.
        let to = to.map_or(0, |to| to.0.len() + 12);
        self.bound.saturating_sub(LEAD + MAC + self.me.0.len() + 23 + to)
    }

    /// Signs a message: for everybody, or for that member in the life that was learnt.
    pub fn seal(&mut self, to: Option<&MemberId>, body: &[u8]) -> Result<Vec<u8>, Refusal> {
        self.write(to, to.and_then(|to| self.life_of(to)), body)
    }

    /// Signs a message for that member in that life (none: in any).
    pub fn seal_to(&mut self, to: &MemberId, life: Option<u64>, body: &[u8]) -> Result<Vec<u8>, Refusal> {
        self.write(Some(to), life, body)
    }

    fn write(&mut self, to: Option<&MemberId>, life: Option<u64>, body: &[u8]) -> Result<Vec<u8>, Refusal> {
        let number = self.number.checked_add(1).ok_or(Refusal::Malformed)?;
        let to = to.map(|to| To { member: &to.0, life });
        let header = Header { channel: self.channel, from: &self.me.0, life: self.life, number, to };
        if !header.sound() {
            return Err(Refusal::Malformed);
        }
        let mut bytes = Vec::with_capacity(LEAD + MAC + 2 * crate::NAME + 48 + body.len().min(self.bound));
        bytes.extend_from_slice(&MAGIC);
        bytes.push(VERSION);
        let mut bytes = postcard::to_extend(&header, bytes).map_err(|_| Refusal::Malformed)?;
        if bytes.len() + body.len() + MAC > self.bound {
            return Err(Refusal::Oversized);
        }
        bytes.extend_from_slice(body);
        let mac = self.keys.sign(&bytes);
        bytes.extend_from_slice(&mac);
        self.number = number;
        Ok(bytes)
    }
}
