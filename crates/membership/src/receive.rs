//! Taking datagrams: nothing is believed that is not signed, not replayed, and for this very life.
use crate::digest::Digest;
use crate::machine::Members;
use crate::names::{Action, State};
use crate::probe::Why;
use crate::send::{Addressed, Weight};
use crate::wire::{Message, News, Packet, Record};
use cluster_types::{MemberId, Time};
use message_auth::Opened;
use std::net::{IpAddr, SocketAddr};

/// From whom something about a member is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Handed {
    /// From itself.
    Itself,
    /// From ourselves.
    Own,
    /// From another.
    Hearsay,
}

impl Members {
    /// Whether members may have that address.
    pub(crate) fn allowed(&self, ip: IpAddr) -> bool {
        self.settings.allowed.iter().any(|net| net.contains(&ip))
    }

    /// Whether messages may come from that address.
    fn source(&self, ip: IpAddr) -> bool {
        self.allowed(ip) || self.settings.seeds.iter().any(|seed| seed.at.ip() == ip)
    }

    pub(crate) fn datagram(&mut self, from: SocketAddr, bytes: &[u8], now: Time, out: &mut Vec<Action>) {
        if !self.source(from.ip()) {
            self.figures.strangers += 1;
            return;
        }
        let Ok(opened) = self.opener.open(bytes) else { return };
        let Some(packet) = Packet::read(&opened.body) else {
            self.figures.malformed += 1;
            return;
        };
        let state = if packet.message == Message::Leave { State::Left } else { State::Alive };
        let (member, hall, at) = (opened.from.clone(), packet.hall.clone(), packet.at);
        let record = Record { member, hall, at, life: opened.incarnation, ahead: packet.ahead, state };
        if opened.incarnation == 0 || record.incarnation() == u64::MAX {
            self.figures.malformed += 1;
        } else if opened.fresh {
            self.believe(record, packet, now, out);
        } else {
            self.unsure(&opened, &record, &packet.message, now, out);
        }
    }

    /// What may be from before this life changes nothing; a ping is answered, so that its sender learns our life.
    fn unsure(
        &mut self,
        opened: &Opened,
        record: &Record,
        message: &Message,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        self.figures.unsure += 1;
        let Message::Ping { number } = *message else { return };
        let seed = self.table.get(&opened.from).filter(|entry| entry.seed);
        let at = match seed.map(|entry| entry.record.at) {
            Some(at) => at,
            None if self.allowed(record.at.ip()) => record.at,
            None => {
                self.figures.strangers += 1;
                return;
            }
        };
        if self.farewell.is_none() {
            self.answer(&opened.from, at, opened.incarnation, Message::Ack { number }, now, out);
        }
    }

    fn believe(&mut self, record: Record, packet: Packet, now: Time, out: &mut Vec<Action>) {
        let (from, life) = (record.member.clone(), record.life);
        if self.farewell.is_some() {
            self.sealer.learn_incarnation(&from, life);
            // Whoever still asks has not heard that we leave.
            if matches!(packet.message, Message::Ping { .. }) {
                self.send(&from, Message::Leave, Addressed::Known, Weight::Probe, now, out);
            }
            return;
        }
        if !self.merge(record, Handed::Itself, now, out) {
            // Guards against a place taken at the opener by one that has none here.
            self.opener.release(&from);
            return;
        }
        // It knows its life best, whatever others said of it.
        self.sealer.learn_incarnation(&from, life);
        let before = self.me.ahead;
        for news in packet.news {
            match news {
                News::Member(record) => {
                    self.merge(record, Handed::Hearsay, now, out);
                }
                News::Claim(told) => self.heard_claim(&told, now, out),
            }
        }
        let differs = Some(packet.digest).filter(|theirs| *theirs != self.digest());
        self.respond(&from, packet.message, differs, now, out);
        if self.me.ahead != before {
            self.send(&from, Message::News, Addressed::Known, Weight::Probe, now, out);
        }
    }

    fn respond(
        &mut self,
        from: &MemberId,
        message: Message,
        differs: Option<Digest>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        match message {
            Message::Ping { number } => {
                let weight = differs.map_or(Weight::Probe, Weight::Filled);
                self.send(from, Message::Ack { number }, Addressed::Known, weight, now, out);
            }
            Message::Ack { number } => self.acked(from, number, differs, now, out),
            Message::Ask { number, whom } => self.asked(from, number, &whom, now, out),
            Message::Heard { number } => {
                let helped =
                    |probe: &crate::probe::Probe| probe.number == number && probe.helpers.contains(from);
                if self.probe.as_ref().is_some_and(helped) {
                    self.answered(number);
                }
            }
            Message::Deaf { number } => {
                if let Some(probe) = self.probe.as_mut().filter(|probe| probe.number == number) {
                    if probe.helpers.contains(from) {
                        probe.deaf.insert(from.clone());
                    }
                }
            }
            Message::News | Message::Leave => {}
        }
    }

    fn acked(
        &mut self,
        from: &MemberId,
        number: u32,
        differs: Option<Digest>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        match self.pings.end(number, from) {
            Some(Why::Probe) => self.answered(number),
            Some(Why::Asked { by, number }) => {
                self.send(&by, Message::Heard { number }, Addressed::Known, Weight::Probe, now, out);
            }
            // Now that both lives are known: says what it has to disprove, and how we stand.
            Some(Why::Contact) => {
                let weight = differs.map_or(Weight::Probe, Weight::Filled);
                self.send(from, Message::News, Addressed::Known, weight, now, out);
                return;
            }
            None => return,
        }
        if differs.is_some() {
            self.send(from, Message::News, Addressed::Known, Weight::Spare(differs), now, out);
        }
    }

    fn asked(&mut self, by: &MemberId, number: u32, whom: &MemberId, now: Time, out: &mut Vec<Action>) {
        let why = Why::Asked { by: by.clone(), number };
        let until = now + self.settings.timeout;
        let known = self.table.get(whom).is_some();
        match known.then(|| self.pings.begin(whom, why, until)).flatten() {
            Some(number) => {
                self.send(whom, Message::Ping { number }, Addressed::Known, Weight::Probe, now, out)
            }
            None => self.send(by, Message::Deaf { number }, Addressed::Known, Weight::Probe, now, out),
        }
    }
}
