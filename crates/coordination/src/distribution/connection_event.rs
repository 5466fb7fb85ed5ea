//! What connections report to the host.
use crate::distribution::outbox::Outbox;
use cluster_types::MemberId;
use config_distribution::{RelayMessage, SubscriberMessage};

/// What a connection reports. A link is a subscriber's connection to this relay; a call is this subscriber's connection to a
/// relay.
pub(crate) enum ConnectionEvent {
    /// A subscriber has shown that it holds the key.
    SubscriberConnected { connection_id: u64, name: MemberId, outbox: Outbox },
    /// A subscriber has sent a message.
    FromSubscriber { connection_id: u64, message: SubscriberMessage },
    /// A subscriber's connection has ended.
    SubscriberDisconnected { connection_id: u64, name: Option<MemberId> },
    /// A call is established.
    RelayConnected { connection_id: u64, outbox: Outbox },
    /// A relay has sent a message.
    FromRelay { connection_id: u64, message: RelayMessage },
    /// A call could not be established, or has ended after `frames` frames.
    RelayDisconnected { connection_id: u64, frames: Option<u64> },
}
