//! Transfers the replicated catalogue to the relay that serves it.
use crate::distribution::{HostMessage, Mailbox};
use cluster_types::Time;

/// The mailbox of the relay, and whether the relay is up to date.
pub(crate) struct CatalogueFeed {
    pub(crate) relay: async_channel::Sender<HostMessage>,
    /// Whether the relay has missed a change, so that the whole catalogue has to be sent.
    pub(crate) is_behind: bool,
    /// When the catalogue was last requested, while there is none.
    pub(crate) requested_at: Time,
}

impl CatalogueFeed {
    pub(crate) fn new(mailbox: Mailbox) -> CatalogueFeed {
        CatalogueFeed { relay: mailbox.sender, is_behind: false, requested_at: Time(0) }
    }
}
