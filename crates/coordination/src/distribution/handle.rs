//! The gateway's end of the host's mailbox.
use crate::distribution::mailbox::HostMessage;
use crate::distribution::query::{Query, QueryResponse};
use async_channel::Sender;
use config_distribution::Key;
use message_auth::Keys;

/// The gateway's end of the host's mailbox.
#[derive(Clone)]
pub struct Handle {
    pub(crate) host: Sender<HostMessage>,
    pub(crate) serves_subscribers: bool,
}

impl Handle {
    /// Whether this member serves subscribers.
    pub fn serves_subscribers(&self) -> bool {
        self.serves_subscribers
    }

    /// Reports which keys of the last update could not be applied, each with the reason; the list is empty if all were applied.
    ///
    /// Cancel safe: a report that is cancelled was not sent.
    pub async fn report_apply_result(&self, rejected: Vec<(Key, String)>) {
        // This fails only after the host has ended, when the report is no longer needed.
        drop(self.host.send(HostMessage::ApplyFinished { rejected }).await);
    }

    /// Sends a query without waiting; returns false if the mailbox is full.
    pub fn ask(&self, query: Query, respond_to: Sender<QueryResponse>) -> bool {
        self.host.try_send(HostMessage::Query { query, respond_to }).is_ok()
    }

    /// Changes the keys: messages are signed with the first one, and accepted with either.
    pub fn set_keys(&self, keys: ([u8; 32], Option<[u8; 32]>)) {
        // If the mailbox is full, the old keys stay in use until the next configuration change.
        drop(self.host.try_send(HostMessage::SetKeys(Keys::new(keys.0, keys.1))));
    }
}
