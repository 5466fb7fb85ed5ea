//! Making datagrams: what they are for, then news, then pieces of the table, as far as room and bytes go.
use crate::budget::HEADS;
use crate::digest::Digest;
use crate::gossip::About;
use crate::machine::Members;
use crate::names::{Action, State};
use crate::wire::{Message, News, Packet};
use cluster_types::{MemberId, Time};
use rand::Rng;
use std::net::SocketAddr;
use std::time::Duration;

/// So many messages may be put off at once.
const LATE: usize = 64;

/// A message without news is no larger than that, signature and heads included, with the longest names.
const PLAIN: u64 = 448;

/// For which life of the addressee a message is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Addressed {
    /// The one that is known.
    Known,
    /// Whichever: it may have started anew.
    Any,
}

/// What a message may take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Weight {
    /// It goes before all others, and carries news where there are bytes for them.
    Probe,
    /// The same, with the free room filled up by the parts of members and claims in which that digest differs.
    Filled(Digest),
    /// It goes only if there are bytes to spare, filled up in the same way or not.
    Spare(Option<Digest>),
}

/// A message that was put off.
#[derive(Clone, Debug)]
pub struct Late {
    to: MemberId,
    message: Message,
    addressed: Addressed,
    weight: Weight,
    since: Time,
    pub needs: u64,
}

impl Members {
    /// If there are not bytes enough for a plain message: from when on there are.
    pub(crate) fn wants(&mut self, now: Time) -> Option<Time> {
        if self.late.is_empty() && self.budget.level(now) >= PLAIN {
            return None;
        }
        let bytes = self.late.iter().map(|late| late.needs).sum::<u64>() + PLAIN;
        // In any case later than now: guards against being woken for nothing.
        Some(self.budget.when(bytes).max(now + Duration::from_millis(1)))
    }

    pub(crate) fn send(
        &mut self,
        to: &MemberId,
        message: Message,
        addressed: Addressed,
        weight: Weight,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let spare = self.budget.spare(now) >= self.settings.datagram as u64 + HEADS;
        match weight {
            Weight::Spare(_) if !spare || !self.late.is_empty() => {}
            _ if !self.late.is_empty() || self.budget.level(now) < PLAIN => {
                if self.late.len() >= LATE {
                    self.figures.dropped += 1;
                    return;
                }
                self.figures.put_off += 1;
                let (to, needs) = (to.clone(), PLAIN);
                self.late.push_back(Late { to, message, addressed, weight, since: now, needs });
            }
            _ => self.send_now(to, message, addressed, weight, now, out),
        }
    }

    /// Sends what was put off, as far as bytes go; what is too old is of no use any more.
    pub(crate) fn send_late(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some(late) = self.late.front() {
            let old = now.since(late.since) > self.settings.period;
            if !old && self.budget.level(now) < late.needs {
                return;
            }
            let Some(late) = self.late.pop_front() else { return };
            if old {
                self.figures.dropped += 1;
            } else {
                self.send_now(&late.to, late.message, late.addressed, late.weight, now, out);
            }
        }
    }

    fn packet(&self, message: Message) -> Packet {
        let (hall, at, ahead) = (self.me.hall.clone(), self.me.at, self.me.ahead);
        Packet { message, hall, at, ahead, digest: self.digest(), news: Vec::new() }
    }

    fn send_now(
        &mut self,
        to: &MemberId,
        message: Message,
        addressed: Addressed,
        weight: Weight,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(at) = self.table.get(to).map(|entry| entry.record.at) else { return };
        let mut packet = self.packet(message);
        let life = self.sealer.incarnation_of(to).filter(|_| addressed == Addressed::Known);
        // What is not for a known life may not be believed: news would be told in vain.
        if life.is_some() {
            let spare = usize::try_from(self.budget.spare(now)).unwrap_or(usize::MAX);
            let plain = self.settings.datagram - self.sealer.max_body_bytes(Some(to))
                + packet.write().len()
                + HEADS as usize;
            let room = (self.settings.datagram + HEADS as usize).min(spare).saturating_sub(plain + 4);
            packet.news = self.news_for(to, room, weight, now);
        }
        let news: u64 = match weight {
            Weight::Spare(_) => u64::MAX,
            _ => packet.news.iter().map(|news| news.size() as u64).sum(),
        };
        let Ok(bytes) = self.sealer.seal_to(to, life, &packet.write()) else {
            self.figures.dropped += 1;
            return;
        };
        self.push(at, bytes, news, now, out);
    }

    /// Answers one whose message may be from before our life, or who is not known: so that it learns our life.
    pub(crate) fn answer(
        &mut self,
        to: &MemberId,
        at: SocketAddr,
        life: u64,
        message: Message,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        if self.budget.level(now) < PLAIN {
            self.figures.dropped += 1;
            return;
        }
        if let Ok(bytes) = self.sealer.seal_to(to, Some(life), &self.packet(message).write()) {
            self.push(at, bytes, 0, now, out);
        }
    }

    /// Hands a datagram out, of which so many bytes are news.
    fn push(&mut self, to: SocketAddr, bytes: Vec<u8>, news: u64, now: Time, out: &mut Vec<Action>) {
        let size = bytes.len() as u64 + HEADS;
        let news = news.min(size);
        if !self.budget.take(now, size - news, news) {
            self.figures.dropped += 1;
            return;
        }
        self.figures.sent += 1;
        self.figures.bytes += size;
        out.push(Action::Send { to, bytes });
    }

    fn news_for(&mut self, to: &MemberId, mut room: usize, weight: Weight, now: Time) -> Vec<News> {
        let mut news = Vec::new();
        let mut fits = |one: News| {
            let size = one.size();
            let fits = size <= room;
            if fits {
                room -= size;
                news.push(one);
            }
            fits
        };
        // First what its receiver has to disprove.
        let held =
            self.table.get(to).filter(|entry| entry.record.state != State::Alive && entry.record.life > 0);
        if let Some(entry) = held {
            fits(News::Member(entry.record.clone()));
        }
        let limit = self.tellings();
        let (table, evidence, me) = (&self.table, &self.evidence, &self.me);
        self.news.pick(limit, |about| match about {
            About::Member(member) if *member == me.member => Some(fits(News::Member(me.clone()))),
            About::Member(member) => table.get(member).map(|entry| fits(News::Member(entry.record.clone()))),
            About::Claim(subject, source) => {
                evidence.told(subject, source, now).map(|told| fits(News::Claim(told)))
            }
        });
        if let Weight::Filled(theirs) | Weight::Spare(Some(theirs)) = weight {
            let mine = self.digest();
            let first = self.rng.random_range(0..self.table.len().max(1));
            let differing = self.table.from(first).map(|entry| &entry.record);
            let differing =
                differing.filter(|record| record.life > 0 && mine.differs(&theirs, &record.member));
            let mut full = !differing.cloned().all(|record| fits(News::Member(record)));
            if !full && mine.claims_differ(&theirs) {
                let first = self.rng.random_range(0..self.evidence.count().max(1));
                let differing = self.evidence.from(first).filter(|(of, _)| mine.differs_about(&theirs, of));
                let mut told = differing.filter_map(|(of, by)| self.evidence.told(of, by, now));
                full = !told.all(|told| fits(News::Claim(told)));
            }
            self.figures.filled += u64::from(full);
        }
        news
    }

    /// News besides those on probes, while there are some and bytes to spare.
    pub(crate) fn gossip(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.news.is_empty() || self.next_gossip > now {
            return;
        }
        self.next_gossip = now + self.settings.gossip;
        for member in self.some(self.settings.fanout, None) {
            if !self.news.is_empty() {
                self.send(&member, Message::News, Addressed::Known, Weight::Spare(None), now, out);
            }
        }
    }
}
