//! Taking messages.
use crate::header::{Header, LEAD, MAC, MAGIC, VERSION};
use crate::window::Window;
use crate::{Counts, Keys, Refusal, DATAGRAM, SENDERS};
use cluster_types::MemberId;
use std::collections::BTreeMap;

/// A message that was found good.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Opened {
    /// Who signed it.
    pub from: MemberId,
    /// In which life.
    pub life: u64,
    /// Its number within that life and channel.
    pub number: u64,
    /// Whether it is meant for this very life of ours. One that is not may have been kept since before we started: it is good for
    /// an answer that states our life, and should change nothing else.
    pub fresh: bool,
    /// What it says.
    pub body: Vec<u8>,
}

/// What is remembered of a sender: its newest life, and the numbers accepted in it on each channel.
#[derive(Clone, Debug)]
struct Sender {
    life: u64,
    windows: BTreeMap<u8, Window>,
    /// Whether it is gone, as far as the host knows.
    released: bool,
}

impl Sender {
    fn new(life: u64) -> Sender {
        Sender { life, windows: BTreeMap::new(), released: false }
    }
}

/// Opens messages to one member, of all senders and on any of their channels.
#[derive(Clone, Debug)]
pub struct Opener {
    keys: Keys,
    me: MemberId,
    life: Option<u64>,
    bound: usize,
    most: usize,
    /// The highest life of a sender that was forgotten.
    floor: u64,
    senders: BTreeMap<MemberId, Sender>,
    counts: Counts,
}

impl Opener {
    /// For datagrams, not knowing of any life of ours.
    pub fn new(keys: Keys, me: MemberId) -> Opener {
        let (senders, counts) = (BTreeMap::new(), Counts::default());
        Opener { keys, me, life: None, bound: DATAGRAM, most: SENDERS, floor: 0, senders, counts }
    }

    /// Of that life: messages for another life of ours are refused.
    pub fn living(mut self, life: u64) -> Opener {
        self.life = Some(life);
        self
    }

    /// With another bound of a whole message.
    pub fn bound(mut self, bound: usize) -> Opener {
        self.bound = bound;
        self
    }

    /// Remembers at most so many senders.
    pub fn most(mut self, senders: usize) -> Opener {
        self.most = senders;
        self
    }

    /// Opens under other keys from now on. What was accepted stays accepted: no message passes twice.
    pub fn rekey(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// That sender is gone: it may be forgotten once there are too many. None of its messages passes twice though: senders that
    /// are not known are refused up to the highest life that was forgotten, and whoever starts anew has a later one.
    pub fn release(&mut self, sender: &MemberId) {
        if let Some(sender) = self.senders.get_mut(sender) {
            sender.released = true;
        }
    }

    /// How many were opened and refused.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Opens a message on channel 0.
    pub fn open(&mut self, bytes: &[u8]) -> Result<Opened, Refusal> {
        self.open_on(0, bytes)
    }

    /// Opens a message that came on that channel.
    pub fn open_on(&mut self, channel: u8, bytes: &[u8]) -> Result<Opened, Refusal> {
        let result = self.check(channel, bytes);
        match &result {
            Ok(_) => self.counts.opened += 1,
            Err(why) => self.counts.count(*why),
        }
        result
    }

    fn check(&mut self, channel: u8, bytes: &[u8]) -> Result<Opened, Refusal> {
        if bytes.len() > self.bound {
            return Err(Refusal::Oversized);
        }
        if bytes.len() < LEAD + MAC || bytes[..2] != MAGIC {
            return Err(Refusal::Malformed);
        }
        if bytes[2] != VERSION {
            return Err(Refusal::Version);
        }
        let (signed, mac) = bytes.split_at(bytes.len() - MAC);
        let current = self.keys.check(signed, mac).ok_or(Refusal::Forged)?;
        let (header, body) = Header::read(signed).ok_or(Refusal::Malformed)?;
        // Guards against a message sent back to who made it, and one led from a channel to another.
        if header.channel != channel || header.from == &*self.me.0 {
            return Err(Refusal::Foreign);
        }
        if header.to.as_ref().is_some_and(|to| to.member != &*self.me.0) {
            return Err(Refusal::Foreign);
        }
        let meant = header.to.as_ref().and_then(|to| to.life);
        let fresh = meant.is_some() && meant == self.life;
        // Guards against what was recorded before we started: our windows were lost with the life before.
        if meant.is_some() && self.life.is_some() && !fresh {
            return Err(Refusal::Stale);
        }
        self.pass(&header)?;
        self.counts.under_other += u64::from(!current);
        let (life, number) = (header.life, header.number);
        Ok(Opened { from: header.from.into(), life, number, fresh, body: body.to_vec() })
    }

    /// The only place that changes what is remembered; what it refuses changes nothing.
    fn pass(&mut self, header: &Header<'_>) -> Result<(), Refusal> {
        let from = MemberId::from(header.from);
        if !self.senders.contains_key(&from) {
            if header.life <= self.floor {
                return Err(Refusal::Stale);
            }
            self.room()?;
        }
        let sender = self.senders.entry(from).or_insert_with(|| Sender::new(header.life));
        if header.life < sender.life {
            return Err(Refusal::Stale);
        }
        if header.life > sender.life {
            *sender = Sender::new(header.life);
        }
        let window = sender.windows.entry(header.channel).or_default();
        window.accept(header.number).then_some(()).ok_or(Refusal::Replayed)?;
        sender.released = false;
        Ok(())
    }

    /// Makes room for one more sender: forgets the released one of the lowest life, so that few others are below the floor.
    fn room(&mut self) -> Result<(), Refusal> {
        if self.senders.len() < self.most {
            return Ok(());
        }
        let released = self.senders.iter().filter(|(_, sender)| sender.released);
        let lowest =
            released.min_by_key(|(_, sender)| sender.life).map(|(name, sender)| (name.clone(), sender.life));
        let (name, life) = lowest.ok_or(Refusal::Crowded)?;
        self.senders.remove(&name);
        self.floor = self.floor.max(life);
        Ok(())
    }
}
