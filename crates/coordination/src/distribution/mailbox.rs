//! The mailbox of the host.
use crate::distribution::query::{Query, QueryResponse};
use async_channel::{Receiver, Sender};
use cluster_types::Index;
use config_distribution::{Catalogue, Key, Report, WriteBatch};
use message_auth::Keys;
use std::sync::Arc;

/// The maximum number of messages that wait for the host.
const CAPACITY: usize = 1024;

/// A message to the host.
pub(crate) enum HostMessage {
    /// The whole catalogue of the replicated log.
    Catalogue(Box<Catalogue>),
    /// A write batch of the replicated log.
    BatchApplied {
        /// The index of its entry.
        version: Index,
        /// The write batch.
        batch: Arc<WriteBatch>,
    },
    /// Rollout reports of other control members.
    Reports(Vec<Report>),
    /// The gateway has applied an update, except for the rejected keys.
    ApplyFinished {
        /// The rejected keys, each with the reason.
        rejected: Vec<(Key, String)>,
    },
    /// A query of an operator.
    Query {
        /// The query.
        query: Query,
        /// The channel for the response.
        respond_to: Sender<QueryResponse>,
    },
    /// Use other keys for sealing and opening.
    SetKeys(Keys),
}

/// Both ends of the host's mailbox, created before any of its users.
pub struct Mailbox {
    pub(crate) sender: Sender<HostMessage>,
    pub(crate) receiver: Receiver<HostMessage>,
}

impl Mailbox {
    /// Creates an empty mailbox.
    pub fn new() -> Mailbox {
        let (sender, receiver) = async_channel::bounded(CAPACITY);
        Mailbox { sender, receiver }
    }

    /// Returns another handle to this mailbox, for the log thread.
    pub fn for_log_thread(&self) -> Mailbox {
        Mailbox { sender: self.sender.clone(), receiver: self.receiver.clone() }
    }
}

impl Default for Mailbox {
    fn default() -> Mailbox {
        Mailbox::new()
    }
}
