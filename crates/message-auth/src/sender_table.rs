//! The known senders and their replay windows.
use crate::header::Header;
use crate::replay_window::ReplayWindow;
use crate::Rejection;
use cluster_types::MemberId;
use std::collections::BTreeMap;

/// A sender's newest incarnation, and its replay window on each channel.
#[derive(Clone, Debug)]
struct Sender {
    incarnation: u64,
    windows: BTreeMap<u8, ReplayWindow>,
    /// Whether the host reported that it has left, so that it may be evicted.
    is_evictable: bool,
}

impl Sender {
    fn new(incarnation: u64) -> Sender {
        Sender { incarnation, windows: BTreeMap::new(), is_evictable: false }
    }
}

/// A bounded table of the known senders.
#[derive(Clone, Debug)]
pub struct SenderTable {
    max_senders: usize,
    /// The highest incarnation among the evicted senders.
    max_evicted_incarnation: u64,
    senders: BTreeMap<MemberId, Sender>,
}

impl SenderTable {
    pub fn new(max_senders: usize) -> SenderTable {
        SenderTable { max_senders, max_evicted_incarnation: 0, senders: BTreeMap::new() }
    }

    /// Allows a sender to be evicted when a new one needs its place.
    pub fn allow_eviction(&mut self, sender: &MemberId) {
        if let Some(sender) = self.senders.get_mut(sender) {
            sender.is_evictable = true;
        }
    }

    /// Accepts each sequence number of a sender's newest incarnation once. A replayed or stale message doesn't change its
    /// sender's state.
    pub fn accept(&mut self, header: &Header<'_>) -> Result<(), Rejection> {
        let from = MemberId::from(header.from);
        if !self.senders.contains_key(&from) {
            if header.incarnation <= self.max_evicted_incarnation {
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
        sender.is_evictable = false;
        Ok(())
    }

    /// Ensures space for one more sender. If the table is full, evicts the evictable sender with the lowest incarnation, so
    /// that `max_evicted_incarnation` excludes as few other senders as possible.
    fn ensure_capacity(&mut self) -> Result<(), Rejection> {
        if self.senders.len() < self.max_senders {
            return Ok(());
        }
        let evictable = self.senders.iter().filter(|(_, sender)| sender.is_evictable);
        let lowest = evictable.min_by_key(|(_, sender)| sender.incarnation);
        let (name, incarnation) = lowest
            .map(|(name, sender)| (name.clone(), sender.incarnation))
            .ok_or(Rejection::TooManySenders)?;
        self.senders.remove(&name);
        self.max_evicted_incarnation = self.max_evicted_incarnation.max(incarnation);
        Ok(())
    }
}
