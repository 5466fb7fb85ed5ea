//! The mailbox of the host.
use crate::distribution::query::{Query, QueryResponse};
use async_channel::{Receiver, Sender};
use cluster_types::Index;
use config_distribution::{Catalogue, Key, Report, WriteBatch};
use message_auth::Keys;
use std::sync::Arc;

/// Messages that may wait for the host.
const CAPACITY: usize = 1024;

/// A message to the host.
pub(crate) enum HostMessage {
    /// The whole catalogue of the replicated log.
    Catalogue(Box<Catalogue>),
    /// An order of the replicated log.
    Ordered {
        /// The index of its entry.
        version: Index,
        /// The order.
        order: Arc<WriteBatch>,
    },
    /// Rollout reports of other control members.
    Reports(Vec<Report>),
    /// The gateway has applied an update, but for the keys named, with the reason for each.
    ApplyFinished {
        /// What it rejected.
        rejected: Vec<(Key, String)>,
    },
    /// A question of an operator.
    Query {
        /// The question.
        query: Query,
        /// Where the answer goes.
        respond_to: Sender<QueryResponse>,
    },
    /// Sign and open with other keys.
    SetKeys(Keys),
}

/// Both ends of the host's mailbox, created before any of its users.
pub struct Mailbox {
    pub(crate) sender: Sender<HostMessage>,
    pub(crate) receiver: Receiver<HostMessage>,
}

impl Mailbox {
    /// An empty mailbox.
    pub fn new() -> Mailbox {
        let (sender, receiver) = async_channel::bounded(CAPACITY);
        Mailbox { sender, receiver }
    }

    /// The same mailbox for the replicated log.
    pub fn for_log_thread(&self) -> Mailbox {
        Mailbox { sender: self.sender.clone(), receiver: self.receiver.clone() }
    }
}

impl Default for Mailbox {
    fn default() -> Mailbox {
        Mailbox::new()
    }
}
