//! Receiving datagrams. Only those that are signed, not replayed, and addressed to this incarnation change the protocol state.
use super::Membership;
use crate::digest::Digest;
use crate::member::MemberState;
use crate::member_entry::Reporter;
use crate::outgoing::Outgoing;
use crate::pings::PingReason;
use crate::wire::{MemberRecord, Message, Packet, Update};
use cluster_types::MemberId;
use message_auth::Opened;
use std::net::{IpAddr, SocketAddr};

impl Membership {
    /// Whether members that are not configured may have this address.
    pub(super) fn is_allowed(&self, ip: IpAddr) -> bool {
        self.settings.allowed_networks.iter().any(|network| network.contains(&ip))
    }

    /// Whether datagrams from this address are processed.
    fn is_allowed_source(&self, ip: IpAddr) -> bool {
        self.is_allowed(ip) || self.settings.seeds.iter().any(|seed| seed.address.ip() == ip)
    }

    pub(super) fn receive_datagram(&mut self, from: SocketAddr, bytes: &[u8]) {
        if !self.is_allowed_source(from.ip()) {
            self.counters.disallowed_addresses += 1;
            return;
        }
        // The opener counts its rejections.
        let Ok(opened) = self.opener.open(bytes) else { return };
        let Ok(packet) = Packet::decode(&opened.body) else {
            self.counters.malformed += 1;
            return;
        };
        let sender = sender_record(&opened, &packet);
        if opened.incarnation == 0 || sender.incarnation() == u64::MAX {
            self.counters.malformed += 1;
        } else if opened.is_fresh {
            self.receive_packet(sender, packet);
        } else {
            self.answer_possible_replay(&sender, &packet.message);
        }
    }

    /// Answers a ping that may have been recorded before this process started, so that its sender learns the current
    /// incarnation. The rest of such a packet is ignored.
    fn answer_possible_replay(&mut self, sender: &MemberRecord, message: &Message) {
        self.counters.not_fresh += 1;
        let Message::Ping { sequence } = *message else { return };
        let seed = self.table.get(&sender.member).filter(|entry| entry.is_seed);
        let address = match seed {
            Some(entry) => entry.record.address,
            None if self.is_allowed(sender.address.ip()) => sender.address,
            None => {
                self.counters.disallowed_addresses += 1;
                return;
            }
        };
        if self.leave.is_none() {
            self.send_bare_ack(&sender.member, address, sender.base_incarnation, sequence);
        }
    }

    fn receive_packet(&mut self, sender: MemberRecord, packet: Packet) {
        let (from, incarnation) = (sender.member.clone(), sender.base_incarnation);
        if self.leave.is_some() {
            self.sealer.learn_incarnation(&from, incarnation);
            // A member that still probes this one missed the announcement.
            if matches!(packet.message, Message::Ping { .. }) {
                self.send(Outgoing::new(&from, Message::Leave));
            }
            return;
        }
        if !self.merge(sender, Reporter::Itself) {
            // A sender that was not admitted to the table must not permanently occupy a replay window.
            self.opener.allow_eviction(&from);
            return;
        }
        // The incarnation that the sender states itself overrides the one that others reported.
        self.sealer.learn_incarnation(&from, incarnation);
        let offset_before = self.me.incarnation_offset;
        packet.updates.into_iter().for_each(|update| self.receive_update(update));
        let differing = Some(packet.digest).filter(|theirs| *theirs != self.digest());
        self.respond(&from, packet.message, differing);
        if self.me.incarnation_offset != offset_before {
            // Sends the refutation at once to the member whose report it refutes.
            self.send(Outgoing::new(&from, Message::Gossip));
        }
    }

    fn receive_update(&mut self, update: Update) {
        match update {
            Update::Member(record) => {
                // The result matters only for the packet's sender, so it is ignored here.
                self.merge(record, Reporter::Other);
            }
            Update::Claim(record) => self.receive_claim(&record),
        }
    }

    /// Responds to a message. `differing` is the sender's digest if it differs from this member's.
    fn respond(&mut self, from: &MemberId, message: Message, differing: Option<Digest>) {
        match message {
            Message::Ping { sequence } => {
                self.send(Outgoing::new(from, Message::Ack { sequence }).syncing(differing));
            }
            Message::Ack { sequence } => self.receive_ack(from, sequence, differing),
            Message::PingRequest { sequence, target } => self.ping_on_behalf_of(from, sequence, &target),
            Message::IndirectAck { sequence } => {
                if self.is_helper(from, sequence) {
                    self.finish_probe(sequence);
                }
            }
            Message::IndirectNack { sequence } => {
                if self.is_helper(from, sequence) {
                    self.record_nack(from);
                }
            }
            Message::Gossip | Message::Leave => {}
        }
    }

    /// Whether a member was asked for an indirect probe with this sequence number.
    fn is_helper(&self, member: &MemberId, sequence: u32) -> bool {
        let probe = self.probe.as_ref().filter(|probe| probe.sequence == sequence);
        probe.is_some_and(|probe| probe.helpers.contains(member))
    }

    fn record_nack(&mut self, helper: &MemberId) {
        if let Some(probe) = &mut self.probe {
            probe.nacks.insert(helper.clone());
        }
    }

    fn receive_ack(&mut self, from: &MemberId, sequence: u32, differing: Option<Digest>) {
        match self.pings.finish(sequence, from) {
            Some(PingReason::Probe) => self.finish_probe(sequence),
            Some(PingReason::Requested { by, sequence }) => {
                self.send(Outgoing::new(&by, Message::IndirectAck { sequence }));
            }
            Some(PingReason::Reconnect) => {
                // Both sides know each other's incarnation now, so the packet can carry what the member must refute or lacks.
                self.send(Outgoing::new(from, Message::Gossip).syncing(differing));
                return;
            }
            None => return,
        }
        if differing.is_some() {
            self.send(Outgoing::new(from, Message::Gossip).in_background().syncing(differing));
        }
    }

    /// Pings a member at the request of another one.
    fn ping_on_behalf_of(&mut self, by: &MemberId, requested_sequence: u32, target: &MemberId) {
        let reason = PingReason::Requested { by: by.clone(), sequence: requested_sequence };
        let deadline = self.now + self.settings.probe_timeout;
        let is_known = self.table.get(target).is_some();
        let started = is_known.then(|| self.pings.start(target, reason, deadline)).flatten();
        match started {
            Some(sequence) => self.send(Outgoing::new(target, Message::Ping { sequence })),
            None => {
                let nack = Message::IndirectNack { sequence: requested_sequence };
                self.send(Outgoing::new(by, nack));
            }
        }
    }
}

/// The record of the sender of a packet.
fn sender_record(opened: &Opened, packet: &Packet) -> MemberRecord {
    let leaves = packet.message == Message::Leave;
    MemberRecord {
        member: opened.from.clone(),
        zone: packet.zone.clone(),
        address: packet.address,
        base_incarnation: opened.incarnation,
        incarnation_offset: packet.incarnation_offset,
        state: if leaves { MemberState::Left } else { MemberState::Alive },
    }
}
