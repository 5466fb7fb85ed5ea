//! The machine: its state, and the order in which things are done.
use crate::budget::Budget;
use crate::digest::Digest;
use crate::evidence::Evidence;
use crate::gossip::{About, Queue};
use crate::health::Health;
use crate::names::{Action, Event, Figures, Member, State, Subject};
use crate::probe::{Pings, Probe};
use crate::receive::Handed;
use crate::roster::Farewell;
use crate::send::Late;
use crate::settings::{Fault, Settings};
use crate::table::{Merged, Table};
use crate::wire::Record;
use cluster_types::{MemberId, Time};
use message_auth::{Keys, OpenCounters, Opener, Sealer};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::VecDeque;
use std::time::Duration;

/// The membership of one front.
#[derive(Debug)]
pub struct Members {
    pub(crate) settings: Settings,
    /// This member as the others are to hold it.
    pub(crate) me: Record,
    pub(crate) sealer: Sealer,
    pub(crate) opener: Opener,
    pub(crate) rng: SmallRng,
    pub(crate) table: Table,
    pub(crate) news: Queue,
    pub(crate) evidence: Evidence,
    /// The number of this member's last claim.
    pub(crate) claims: u64,
    pub(crate) budget: Budget,
    pub(crate) health: Health,
    pub(crate) late: VecDeque<Late>,
    pub(crate) round: Vec<MemberId>,
    pub(crate) probe: Option<Probe>,
    pub(crate) pings: Pings,
    pub(crate) next_probe: Time,
    pub(crate) next_contact: Time,
    pub(crate) next_gossip: Time,
    pub(crate) farewell: Option<Farewell>,
    pub(crate) figures: Figures,
    /// When it wanted to be told of the time.
    due: Option<Time>,
}

impl Members {
    /// A member that knows of its seeds only, and contacts them at once.
    pub fn new(settings: Settings, keys: Keys, now: Time, seed: u64) -> Result<Members, Fault> {
        settings.check()?;
        let (name, life) = (settings.me.member.clone(), settings.life);
        let (member, hall, at) = (name.clone(), settings.me.hall.clone(), settings.me.at);
        let mut members = Members {
            me: Record { member, hall, at, life, ahead: 0, state: State::Alive },
            sealer: Sealer::new(keys.clone(), name.clone(), life).with_max_bytes(settings.datagram),
            opener: Opener::new(keys, name).with_incarnation(life).with_max_bytes(settings.datagram),
            rng: SmallRng::seed_from_u64(seed),
            table: Table::new(settings.most, settings.forget),
            news: Queue::default(),
            evidence: Evidence::new(settings.claims, settings.longest),
            claims: life,
            budget: Budget::new(settings.bytes, settings.burst, now),
            health: Health::default(),
            late: VecDeque::new(),
            round: Vec::new(),
            probe: None,
            pings: Pings::default(),
            next_probe: now,
            next_contact: now,
            next_gossip: now,
            farewell: None,
            figures: Figures::default(),
            due: None,
            settings,
        };
        for seed in members.others() {
            members.table.seed(&seed, now);
        }
        Ok(members)
    }

    /// Takes in an event and does what is due.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.catch_up(now);
        match event {
            Event::Tick => {}
            Event::Datagram { from, bytes } => self.datagram(from, &bytes, now, out),
            Event::Leave => self.leave(now, out),
            Event::Observed(seen) => self.observed(seen, now, out),
            Event::Roster(seeds) => self.roster(seeds, now, out),
            Event::Keys(keys) => {
                self.sealer.set_keys(keys.clone());
                self.opener.set_keys(keys);
            }
        }
        self.send_late(now, out);
        if self.farewell.is_some() {
            self.say_farewell(now, out);
        } else {
            self.end_pings(now, out);
            self.end_suspicions(now, out);
            self.probing(now, out);
            self.contact(now, out);
            self.gossip(now, out);
        }
        self.expire_claims(now, out);
        self.due = self.wake();
    }

    /// When it wants to be told of the time.
    pub fn wake(&self) -> Option<Time> {
        let late = self.late.front().map(|late| self.budget.when(late.needs));
        let own = match &self.farewell {
            Some(farewell) => farewell.next(),
            None => [
                Some(self.probe.as_ref().map_or(self.next_probe, Probe::next)),
                Some(self.next_contact),
                (!self.news.is_empty()).then_some(self.next_gossip),
                self.pings.next(),
                self.table.next().map(|(at, _)| *at),
            ]
            .into_iter()
            .flatten()
            .min(),
        };
        [late, own, self.evidence.next()].into_iter().flatten().min()
    }

    /// Guards against ends that passed while this process stood still: the others' answers had no chance to be heard, so all
    /// that was under way gets its time again.
    fn catch_up(&mut self, now: Time) {
        let Some(still) = self.due.map(|due| now.since(due)).filter(|span| *span > self.settings.timeout)
        else {
            return;
        };
        self.figures.stood_still += 1;
        self.health.worse();
        self.probe.iter_mut().for_each(|probe| probe.postpone(still));
        self.pings.postpone(still);
        self.table.postpone(still);
        self.next_probe = self.next_probe + still;
    }

    /// This member and all others, as they are held.
    pub fn view(&self) -> Vec<Member> {
        let own = Record::clone(&self.me);
        let incarnation = own.incarnation();
        let Record { member, hall, at, life, state, .. } = own;
        let mut all: Vec<Member> = self.table.all().map(|(_, entry)| entry.member()).collect();
        all.push(Member { member, hall, at, life, incarnation, state });
        all.sort_by(|one, other| one.member.cmp(&other.member));
        all
    }

    /// What was done and refused so far.
    pub fn figures(&self) -> &Figures {
        &self.figures
    }

    /// Which envelopes were opened and refused.
    pub fn envelopes(&self) -> &OpenCounters {
        self.opener.counters()
    }

    /// Equal where two members hold the same view, and the same claims.
    pub fn digest(&self) -> Digest {
        let mut digest = self.table.digest();
        digest.add(&self.me);
        digest.with(self.evidence.digest())
    }

    pub(crate) fn suspicion(&self) -> Duration {
        let live = (self.table.count() + 1) as f64;
        let base = self.settings.period * self.settings.suspicion;
        self.health.stretch(base.mul_f64(live.log10().max(1.0)))
    }

    /// How often each piece of news is told.
    pub(crate) fn tellings(&self) -> u32 {
        let live = (self.table.count() + 2) as f64;
        (f64::from(self.settings.retransmit) * live.ln()).ceil() as u32
    }

    /// Takes in what is said of a member, and passes on what is new. Hearsay: it was not the member itself, nor we.
    pub(crate) fn merge(&mut self, record: Record, handed: Handed, now: Time, out: &mut Vec<Action>) -> bool {
        if record.member == self.me.member {
            self.refute(&record);
            return true;
        }
        let seed = self.table.get(&record.member).is_some_and(|entry| entry.seed);
        if !seed && handed != Handed::Own && !self.allowed(record.at.ip()) {
            self.figures.strangers += 1;
            return false;
        }
        let until = now + self.suspicion();
        let (member, life) = (record.member.clone(), record.life);
        match self.table.merge(record, handed == Handed::Hearsay, now, until) {
            Merged::Old => {}
            Merged::Full => {
                self.figures.crowded += 1;
                return false;
            }
            Merged::New { changed } => {
                if handed != Handed::Own
                    && self.sealer.incarnation_of(&member).is_none_or(|known| known < life)
                {
                    self.sealer.learn_incarnation(&member, life);
                }
                self.news.put(About::Member(member.clone()));
                if changed {
                    self.tell(&member, out);
                }
            }
        }
        true
    }

    pub(crate) fn tell(&self, member: &MemberId, out: &mut Vec<Action>) {
        if let Some(entry) = self.table.get(member) {
            let (member, state) = (member.clone(), entry.record.state);
            out.push(Action::Changed { member, state, incarnation: entry.record.incarnation() });
        }
    }

    /// Disproves what is said of this member, if it is not so.
    fn refute(&mut self, said: &Record) {
        let own = (self.me.incarnation(), self.me.state);
        if (said.incarnation(), said.state) > own && self.me.state != State::Left {
            self.me.ahead = said.incarnation().saturating_add(1).wrapping_sub(self.me.life);
            self.news.put(About::Member(self.me.member.clone()));
            self.figures.refuted += 1;
            if said.state == State::Suspect {
                self.health.worse();
            }
        }
    }

    /// The subjects that something bad is claimed of now.
    pub fn subjects(&self, now: Time) -> Vec<Subject> {
        self.evidence.subjects(now)
    }
}
