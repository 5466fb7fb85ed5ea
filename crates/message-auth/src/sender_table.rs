//! The senders whose messages were accepted, with their replay windows.
use crate::header::Header;
use crate::replay_window::ReplayWindow;
use crate::Rejection;
use cluster_types::MemberId;
use std::collections::BTreeMap;

/// A sender's newest incarnation, and the sequence numbers accepted from it on each channel.
#[derive(Clone, Debug)]
struct Sender {
    incarnation: u64,
    windows: BTreeMap<u8, ReplayWindow>,
    /// Whether it may be evicted: it is gone, as far as the host knows.
    released: bool,
}

impl Sender {
    fn new(incarnation: u64) -> Sender {
        Sender { incarnation, windows: BTreeMap::new(), released: false }
    }
}

/// The senders that are known, at most a fixed number of them.
#[derive(Clone, Debug)]
pub struct SenderTable {
    max_senders: usize,
    /// The highest incarnation of an evicted sender.
    evicted_up_to: u64,
    senders: BTreeMap<MemberId, Sender>,
}

impl SenderTable {
    pub fn new(max_senders: usize) -> SenderTable {
        SenderTable { max_senders, evicted_up_to: 0, senders: BTreeMap::new() }
    }

    /// Allows a sender to be evicted in favour of a new one.
    pub fn release(&mut self, sender: &MemberId) {
        if let Some(sender) = self.senders.get_mut(sender) {
            sender.released = true;
        }
    }

    /// Accepts each sequence number of a sender's newest incarnation once. A rejected message changes nothing of its sender.
    pub fn accept(&mut self, header: &Header<'_>) -> Result<(), Rejection> {
        let from = MemberId::from(header.from);
        if !self.senders.contains_key(&from) {
            if header.incarnation <= self.evicted_up_to {
                return Err(Rejection::Stale);
            }
            self.ensure_capacity()?;
        }
        let sender = self.senders.entry(from).or_insert_with(|| Sender::new(header.incarnation));
        if header.incarnation < sender.incarnation {
            return Err(Rejection::Stale);
        }
        if header.incarnation > sender.incarnation {
            *sender = Sender::new(header.incarnation);
        }
        let window = sender.windows.entry(header.channel).or_default();
        if !window.accept(header.sequence) {
            return Err(Rejection::Replayed);
        }
        sender.released = false;
        Ok(())
    }

    /// Makes sure that one more sender fits. Evicts the released one of the lowest incarnation, so that `evicted_up_to` shuts out as few
    /// other senders as possible.
    fn ensure_capacity(&mut self) -> Result<(), Rejection> {
        if self.senders.len() < self.max_senders {
            return Ok(());
        }
        let released = self.senders.iter().filter(|(_, sender)| sender.released);
        let lowest = released.min_by_key(|(_, sender)| sender.incarnation);
        let (name, incarnation) = lowest
            .map(|(name, sender)| (name.clone(), sender.incarnation))
            .ok_or(Rejection::TooManySenders)?;
        self.senders.remove(&name);
        self.evicted_up_to = self.evicted_up_to.max(incarnation);
        Ok(())
    }
}
