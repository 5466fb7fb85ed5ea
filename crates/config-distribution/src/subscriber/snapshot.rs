//! Receiving a snapshot: its chunks, and the changes that complete it.
use super::apply::PendingApply;
use super::staging::Staging;
use super::{Subscriber, SubscriberAction};
use crate::change::Change;
use crate::message::SubscriberMessage;
use backoff::Failure;
use cluster_types::{Index, Time};

/// The fields of [`RelayMessage::SnapshotChunk`].
pub(super) struct SnapshotChunk {
    pub base: Index,
    pub is_first: bool,
    pub is_last: bool,
    pub entries: Vec<Change>,
}

impl Subscriber {
    pub(super) fn snapshot_chunk(
        &mut self,
        now: Time,
        connection: u64,
        chunk: SnapshotChunk,
        out: &mut Vec<SubscriberAction>,
    ) {
        let staging = self.staging.take();
        let staging = if chunk.is_first { Some(Staging::new(chunk.base)) } else { staging };
        // A snapshot from a relay that is behind would bring back older values: disconnects from that relay.
        if self.is_same_log() && chunk.base < self.state.highest() {
            return self.leave(now, connection, Failure::Overloaded, out);
        }
        let is_valid_entry = |entry: &Change| self.scope.contains(&entry.key.topic) && entry.is_bounded();
        let is_valid = chunk.entries.iter().all(is_valid_entry);
        let is_next = |staging: &Staging| {
            staging.base == chunk.base && !staging.is_complete && staging.fits(chunk.entries.len())
        };
        let Some(mut staging) = staging.filter(|staging| is_valid && is_next(staging)) else {
            return self.protocol_error(now, connection, out);
        };
        staging.add_chunk(chunk.entries, chunk.is_last);
        self.staging = Some(staging);
        if !chunk.is_last {
            let message = SubscriberMessage::NextChunk;
            out.push(SubscriberAction::Send { connection, message });
        }
    }

    pub(super) fn complete_snapshot(
        &mut self,
        now: Time,
        connection: u64,
        up_to: Index,
        staging: Staging,
        out: &mut Vec<SubscriberAction>,
    ) {
        if staging.entries().any(|entry| entry.version > up_to || self.is_older(entry)) {
            return self.protocol_error(now, connection, out);
        }
        let pending = PendingApply::snapshot(self.relay_log_id, up_to, staging.into_values());
        self.request_apply(pending.acknowledged_to(connection, up_to), out);
    }
}
