//! The gateway's end of the mailboxes to the hosts.
use crate::gateway_message::CoordinationMessage;
use crate::log_thread::LogMessage;
use message_auth::Keys;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::SyncSender;
use std::sync::Arc;

/// The gateway's end of the mailboxes to the hosts. When the last handle is dropped, membership announces that this member
/// leaves.
#[derive(Clone)]
pub struct Handle {
    pub(crate) log_thread: SyncSender<LogMessage>,
    pub(crate) dropped: Arc<AtomicU64>,
    pub(crate) membership: async_channel::Sender<membership::Event>,
}

impl Handle {
    /// Sends a message to the hosts without waiting. Returns false if the mailbox is full; such messages are counted.
    pub fn send(&self, message: CoordinationMessage) -> bool {
        let is_sent = self.log_thread.try_send(LogMessage::FromGateway(message)).is_ok();
        self.dropped.fetch_add(u64::from(!is_sent), Ordering::Relaxed);
        is_sent
    }

    /// Reports an observation about a backend or a zone to the other members.
    pub fn observe(&self, observation: membership::Observation) {
        // If the mailbox is full, the observation is dropped, as on the network; the next one replaces it.
        drop(self.membership.try_send(membership::Event::Observed(observation)));
    }

    /// Changes the keys: messages are signed with the first one, and accepted with either.
    pub fn set_keys(&self, keys: ([u8; 32], Option<[u8; 32]>)) {
        // If the mailbox is full, the old keys stay in use until the next configuration change.
        drop(self.membership.try_send(membership::Event::KeysChanged(Keys::new(keys.0, keys.1))));
    }

    /// The number of messages dropped because the mailbox was full.
    pub fn dropped_messages(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}
