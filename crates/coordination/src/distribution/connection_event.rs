//! Events that connections report to the host.
use crate::distribution::outbox::Outbox;
use cluster_types::MemberId;
use config_distribution::{RelayMessage, SubscriberMessage};

/// An event of a connection: either a subscriber's connection to this relay, or this subscriber's connection to a relay. The ids
/// of the two kinds are independent.
pub(crate) enum ConnectionEvent {
    /// A subscriber has connected and proved that it holds the key.
    SubscriberConnected { connection_id: u64, name: MemberId, outbox: Outbox },
    /// A subscriber has sent a message.
    FromSubscriber { connection_id: u64, message: SubscriberMessage },
    /// A subscriber's connection has ended.
    SubscriberDisconnected { connection_id: u64, name: Option<MemberId> },
    /// A connection to a relay was established.
    RelayConnected { connection_id: u64, outbox: Outbox },
    /// A relay has sent a message.
    FromRelay { connection_id: u64, message: RelayMessage },
    /// A connection to a relay could not be established (`None`), or has ended after `frames` frames.
    RelayDisconnected { connection_id: u64, frames: Option<u64> },
}
