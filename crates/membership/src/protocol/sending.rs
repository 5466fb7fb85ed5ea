//! Sending messages within the send budget.
use super::Membership;
use crate::event::Action;
use crate::outgoing::{Addressing, Deferred, Outgoing, Priority};
use crate::send_budget::IP_UDP_HEADER_BYTES;
use crate::wire::{Message, Packet};
use cluster_types::{MemberId, Time};
use std::net::SocketAddr;
use std::time::Duration;

/// The maximum number of deferred messages.
const MAX_DEFERRED: usize = 64;

/// An upper bound of the size of a message without updates, with the longest names, signature, and IP and UDP headers.
const BARE_MESSAGE_BYTES: u64 = 448;

/// The bytes reserved for the encoded length of a packet's list of updates, in addition to that of an empty list.
const UPDATE_COUNT_BYTES: usize = 4;

impl Membership {
    /// When a message without updates may be sent, or `None` if that is now.
    pub(super) fn budget_available_at(&mut self) -> Option<Time> {
        if self.deferred.is_empty() && self.budget.available(self.now) >= BARE_MESSAGE_BYTES {
            return None;
        }
        let bytes = (self.deferred.len() as u64 + 1) * BARE_MESSAGE_BYTES;
        // Always later than now, so that the host isn't woken up again immediately.
        Some(self.budget.available_at(bytes).max(self.now + Duration::from_millis(1)))
    }

    /// When the first deferred message may be sent, or `None` if there is none.
    pub(super) fn next_deferred_at(&self) -> Option<Time> {
        (!self.deferred.is_empty()).then(|| self.budget.available_at(BARE_MESSAGE_BYTES))
    }

    /// Sends a message now if the budget allows it. Otherwise defers it or, if it has background priority, drops it.
    pub(super) fn send(&mut self, outgoing: Outgoing) {
        let full_datagram = self.settings.max_datagram_bytes as u64 + IP_UDP_HEADER_BYTES;
        let can_spare = self.budget.available_for_updates(self.now) >= full_datagram;
        let has_deferred = !self.deferred.is_empty();
        match outgoing.priority {
            Priority::Background if has_deferred || !can_spare => {}
            _ if has_deferred || self.budget.available(self.now) < BARE_MESSAGE_BYTES => self.defer(outgoing),
            _ => self.send_now(&outgoing),
        }
    }

    fn defer(&mut self, outgoing: Outgoing) {
        if self.deferred.len() >= MAX_DEFERRED {
            self.counters.messages_dropped += 1;
            return;
        }
        self.counters.messages_deferred += 1;
        self.deferred.push_back(Deferred { outgoing, since: self.now });
    }

    /// Sends deferred messages as far as the budget allows, and drops those deferred for longer than a protocol period.
    pub(super) fn send_deferred(&mut self) {
        while let Some(first) = self.deferred.front() {
            let expired = self.now.since(first.since) > self.settings.probe_period;
            if !expired && self.budget.available(self.now) < BARE_MESSAGE_BYTES {
                return;
            }
            let Some(first) = self.deferred.pop_front() else { return };
            if expired {
                self.counters.messages_dropped += 1;
            } else {
                self.send_now(&first.outgoing);
            }
        }
    }

    /// A packet without updates.
    fn packet(&self, message: Message) -> Packet {
        Packet {
            message,
            zone: self.me.zone.clone(),
            address: self.me.address,
            incarnation_offset: self.me.incarnation_offset,
            digest: self.digest(),
            updates: Vec::new(),
        }
    }

    fn send_now(&mut self, outgoing: &Outgoing) {
        let to = &outgoing.to;
        let Some(address) = self.table.get(to).map(|entry| entry.record.address) else { return };
        let mut packet = self.packet(outgoing.message.clone());
        let known = self.sealer.incarnation_of(to);
        let incarnation = known.filter(|_| outgoing.addressing == Addressing::KnownIncarnation);
        // The receiver ignores updates in packets that are not addressed to its incarnation.
        if incarnation.is_some() {
            let space = self.space_for_updates(to, &packet);
            packet.updates = self.collect_updates(to, space, outgoing.sync_against);
        }
        let Ok(bytes) = self.sealer.seal_to(to, incarnation, &packet.encode()) else {
            self.counters.messages_dropped += 1;
            return;
        };
        let update_bytes = match outgoing.priority {
            Priority::Background => bytes.len() as u64 + IP_UDP_HEADER_BYTES,
            Priority::Probe => packet.updates.iter().map(|update| update.encoded_size() as u64).sum(),
        };
        self.transmit(address, bytes, update_bytes);
    }

    /// The bytes of updates that fit into both the datagram of this packet and the send budget.
    fn space_for_updates(&mut self, to: &MemberId, packet: &Packet) -> usize {
        let header = IP_UDP_HEADER_BYTES as usize;
        let max_datagram = self.settings.max_datagram_bytes;
        let allowed = self.budget.available_for_updates(self.now);
        let allowed = usize::try_from(allowed).unwrap_or(usize::MAX);
        let signed_header = max_datagram - self.sealer.max_body_bytes(Some(to));
        let without_updates = signed_header + packet.encode().len() + header;
        (max_datagram + header).min(allowed).saturating_sub(without_updates + UPDATE_COUNT_BYTES)
    }

    /// Sends an ack without updates to a possibly unknown member, addressed to the incarnation that it stated.
    pub(super) fn send_bare_ack(
        &mut self,
        to: &MemberId,
        address: SocketAddr,
        incarnation: u64,
        sequence: u32,
    ) {
        if self.budget.available(self.now) < BARE_MESSAGE_BYTES {
            self.counters.messages_dropped += 1;
            return;
        }
        let packet = self.packet(Message::Ack { sequence });
        // An ack that can't be signed is dropped, as if lost on the network: the other member will ping again.
        if let Ok(bytes) = self.sealer.seal_to(to, Some(incarnation), &packet.encode()) {
            self.transmit(address, bytes, 0);
        }
    }

    /// Outputs a datagram that contains `update_bytes` bytes of updates.
    fn transmit(&mut self, to: SocketAddr, bytes: Vec<u8>, update_bytes: u64) {
        let size = bytes.len() as u64 + IP_UDP_HEADER_BYTES;
        let update_bytes = update_bytes.min(size);
        if !self.budget.take(self.now, size - update_bytes, update_bytes) {
            self.counters.messages_dropped += 1;
            return;
        }
        self.counters.datagrams_sent += 1;
        self.counters.bytes_sent += size;
        self.actions.push(Action::Send { to, bytes });
    }

    /// Sends queued updates in addition to those on probes, as far as the send budget allows.
    pub(super) fn gossip(&mut self) {
        if self.update_queue.is_empty() || self.next_gossip > self.now {
            return;
        }
        self.next_gossip = self.now + self.settings.gossip_interval;
        for member in self.random_live_members(self.settings.gossip_fanout, None) {
            if !self.update_queue.is_empty() {
                self.send(Outgoing::new(&member, Message::Gossip).in_background());
            }
        }
    }
}
