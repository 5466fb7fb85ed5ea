//! The status of this member in the distribution of configuration.
use crate::distribution::host::Host;
use crate::distribution::query::DistributionStatus;
use crate::distribution::settings::Role;
use cluster_types::Time;
use config_distribution::{Relay, Subscriber};
use std::sync::atomic::Ordering;

impl Host {
    /// Returns the status, with the names of roles and counters that the operators' interface uses.
    pub(crate) fn status(&self, now: Time) -> DistributionStatus {
        let role = match self.settings.role {
            Role::Voter { .. } => "voter",
            Role::Relay { .. } => "relay",
            Role::Subscriber { .. } => "front",
        };
        let counters = &self.context.counters;
        let mut status = DistributionStatus { role, ..DistributionStatus::default() };
        status.counters.extend([
            ("refused_frames", counters.rejected_frames.load(Ordering::Relaxed)),
            ("unread_frames", counters.undecodable_frames.load(Ordering::Relaxed)),
            ("cut", self.outbox_overflows),
        ]);
        if let Some(relay) = &self.relay {
            self.add_relay_status(relay, &mut status);
        }
        if let Some(subscriber) = &self.subscriber {
            self.add_subscriber_status(subscriber, now, &mut status);
        }
        status
    }

    fn add_relay_status(&self, relay: &Relay, status: &mut DistributionStatus) {
        let (catalogue, stats) = (relay.catalogue(), relay.stats());
        status.log_id = catalogue.log_id();
        status.decided_up_to = catalogue.applied();
        let rejected_connections = &self.context.counters.rejected_connections;
        status.counters.extend([
            ("subscribed", relay.subscriber_count() as u64),
            ("keys", catalogue.size().keys as u64),
            ("crowded", rejected_connections.load(Ordering::Relaxed)),
            ("admitted", stats.accepted),
            ("later", stats.deferred),
            ("changes", stats.change_messages),
            ("pieces", stats.chunks),
            ("slow", stats.reply_timeouts),
            ("behind", stats.resnapshots),
            ("bad", stats.protocol_errors),
        ]);
    }

    fn add_subscriber_status(&self, subscriber: &Subscriber, now: Time, status: &mut DistributionStatus) {
        let (subscriber_state, stats) = (subscriber.state(), subscriber.stats());
        status.log_id = subscriber_state.log_id();
        status.decided_up_to = subscriber_state.up_to();
        status.since_relay_message = Some(now.since(self.relay_message_at));
        let relay_connection = self.followed_connection().and_then(|id| self.relay_connections.get(&id));
        status.follows = relay_connection.map(|connection| connection.relay.clone());
        status.rejections = subscriber_state.rejections();
        status.counters.extend([
            ("held", subscriber_state.len() as u64),
            ("taken", stats.applied),
            ("calls", stats.connection_attempts),
            ("refused", stats.rejected),
            ("snapshots", stats.snapshots),
            ("missed", stats.checksum_mismatches),
            ("bad_messages", stats.protocol_errors),
            ("foreign", stats.foreign_relays),
        ]);
    }
}
