//! The way from the replicated catalogue to the relay that serves it.
use crate::distribution::{HostMessage, Mailbox};
use cluster_types::Time;

/// The mailbox of the relay, and what it still has to be sent.
pub(crate) struct CatalogueFeed {
    pub(crate) relay: async_channel::Sender<HostMessage>,
    /// Whether the relay has missed something: it is to be sent the whole catalogue.
    pub(crate) is_behind: bool,
    /// When the catalogue was last requested, while there is none.
    pub(crate) requested_at: Time,
}

impl CatalogueFeed {
    pub(crate) fn new(mailbox: Mailbox) -> CatalogueFeed {
        CatalogueFeed { relay: mailbox.sender, is_behind: false, requested_at: Time(0) }
    }
}
