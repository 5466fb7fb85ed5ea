//! Probing: a direct ping, then through others, then suspicion.
use crate::machine::Members;
use crate::names::{Action, State};
use crate::receive::Handed;
use crate::send::{Addressed, Weight};
use crate::wire::Message;
use cluster_types::{MemberId, Time};
use rand::seq::SliceRandom;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// So many pings may be unanswered at once.
const PINGS: usize = 128;

/// The probe under way.
#[derive(Clone, Debug)]
pub struct Probe {
    pub number: u32,
    pub whom: MemberId,
    /// When others are asked, unless they were.
    asks: Option<Time>,
    pub helpers: BTreeSet<MemberId>,
    /// Who of them said that it is here.
    pub deaf: BTreeSet<MemberId>,
    until: Time,
}

impl Probe {
    pub fn next(&self) -> Time {
        self.asks.unwrap_or(self.until)
    }

    pub fn postpone(&mut self, span: Duration) {
        self.asks = self.asks.map(|asks| asks + span);
        self.until = self.until + span;
    }
}

/// Why a ping was sent.
#[derive(Clone, Debug, PartialEq)]
pub enum Why {
    Probe,
    /// Another asked for it, under that number.
    Asked {
        by: MemberId,
        number: u32,
    },
    /// To find one again that was held dead.
    Contact,
}

#[derive(Clone, Debug)]
struct Ping {
    to: MemberId,
    why: Why,
    until: Time,
}

/// Pings that may still be answered.
#[derive(Clone, Debug, Default)]
pub struct Pings {
    out: BTreeMap<u32, Ping>,
    last: u32,
}

impl Pings {
    /// None: too many already.
    pub fn begin(&mut self, to: &MemberId, why: Why, until: Time) -> Option<u32> {
        if self.out.len() >= PINGS {
            return None;
        }
        self.last = self.last.wrapping_add(1);
        self.out.insert(self.last, Ping { to: to.clone(), why, until });
        Some(self.last)
    }

    /// Ends a ping that was answered by whom it was meant for.
    pub fn end(&mut self, number: u32, by: &MemberId) -> Option<Why> {
        self.out.get(&number).filter(|ping| ping.to == *by)?;
        self.out.remove(&number).map(|ping| ping.why)
    }

    pub fn next(&self) -> Option<Time> {
        self.out.values().map(|ping| ping.until).min()
    }

    pub fn postpone(&mut self, span: Duration) {
        self.out.values_mut().for_each(|ping| ping.until = ping.until + span);
    }

    fn overdue(&mut self, now: Time) -> Vec<Ping> {
        let over: Vec<u32> =
            self.out.iter().filter(|(_, ping)| ping.until <= now).map(|(id, _)| *id).collect();
        over.iter().filter_map(|id| self.out.remove(id)).collect()
    }
}

impl Members {
    /// So many live members by chance, without that one.
    pub(crate) fn some(&mut self, count: usize, without: Option<&MemberId>) -> Vec<MemberId> {
        let live = self.table.live().filter(|member| Some(*member) != without);
        let mut all: Vec<MemberId> = live.cloned().collect();
        all.partial_shuffle(&mut self.rng, count).0.to_vec()
    }

    /// The next of the round; each round has all live members once, in an order of its own.
    fn target(&mut self) -> Option<MemberId> {
        for _ in 0..2 {
            while let Some(member) = self.round.pop() {
                if self.table.is_live(&member) {
                    return Some(member);
                }
            }
            self.round = self.table.live().cloned().collect();
            self.round.shuffle(&mut self.rng);
        }
        None
    }

    pub(crate) fn probing(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.probe.as_ref().is_some_and(|probe| probe.asks.is_some_and(|asks| asks <= now)) {
            self.ask_others(now, out);
        }
        if let Some(probe) = self.probe.take_if(|probe| probe.asks.is_none() && probe.until <= now) {
            self.failed(probe, now, out);
        }
        if self.probe.is_none() && self.next_probe <= now {
            self.begin(now, out);
        }
    }

    fn begin(&mut self, now: Time, out: &mut Vec<Action>) {
        // Guards against a probe that fails for want of bytes of our own.
        if let Some(ready) = self.wants(now) {
            self.next_probe = ready;
            return;
        }
        let period = self.health.stretch(self.settings.period);
        self.next_probe = now + period;
        let Some(whom) = self.target() else { return };
        let Some(number) = self.pings.begin(&whom, Why::Probe, now + period) else { return };
        let asks = Some(now + self.health.stretch(self.settings.timeout));
        let (helpers, deaf) = (BTreeSet::new(), BTreeSet::new());
        self.figures.probes += 1;
        self.probe = Some(Probe { number, whom: whom.clone(), asks, helpers, deaf, until: now + period });
        self.send(&whom, Message::Ping { number }, Addressed::Known, Weight::Probe, now, out);
    }

    fn ask_others(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some((number, whom)) = self.probe.as_ref().map(|probe| (probe.number, probe.whom.clone())) else {
            return;
        };
        let helpers = self.some(self.settings.indirect, Some(&whom));
        // Once more to itself, in whichever life: what we know of its life may be old.
        self.send(&whom, Message::Ping { number }, Addressed::Any, Weight::Probe, now, out);
        for helper in &helpers {
            let ask = Message::Ask { number, whom: whom.clone() };
            self.send(helper, ask, Addressed::Known, Weight::Probe, now, out);
        }
        if let Some(probe) = &mut self.probe {
            probe.asks = None;
            probe.helpers = helpers.into_iter().collect();
        }
    }

    fn failed(&mut self, probe: Probe, now: Time, out: &mut Vec<Action>) {
        self.figures.failed += 1;
        // Whoever was asked and is well says so in time; silence of most of them speaks against ourselves.
        if probe.deaf.len() * 2 < probe.helpers.len() || probe.helpers.is_empty() {
            self.health.worse();
        }
        let held = self.table.get(&probe.whom).filter(|entry| entry.record.state == State::Alive);
        if let Some(mut record) = held.map(|entry| entry.record.clone()) {
            record.state = State::Suspect;
            self.merge(record, Handed::Own, now, out);
        }
    }

    /// The probe was answered, by itself or through others.
    pub(crate) fn answered(&mut self, number: u32) {
        if self.probe.take_if(|probe| probe.number == number).is_some() {
            self.health.better();
        }
    }

    /// Lets go of pings without an answer, and says so to whom asked for one.
    pub(crate) fn end_pings(&mut self, now: Time, out: &mut Vec<Action>) {
        for ping in self.pings.overdue(now) {
            if let Why::Asked { by, number } = ping.why {
                self.send(&by, Message::Deaf { number }, Addressed::Known, Weight::Probe, now, out);
            }
        }
    }

    pub(crate) fn end_suspicions(&mut self, now: Time, out: &mut Vec<Action>) {
        loop {
            let Some((_, member)) = self.table.next().filter(|(at, _)| *at <= now).cloned() else { return };
            let held = self.table.get(&member).map(|entry| entry.record.clone());
            match held {
                Some(mut record) if record.state == State::Suspect => {
                    record.state = State::Dead;
                    self.merge(record, Handed::Own, now, out);
                }
                _ => self.forget(&member),
            }
        }
    }
}
