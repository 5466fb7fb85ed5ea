//! Claims about boxes and halls: one of each source a subject, its newest. Ages are spans, added up on the way.
use crate::digest::Digest;
use crate::gossip::About;
use crate::names::{Kind, Subject};
use crate::wire::Told;
use cluster_types::{MemberId, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A claim is remembered for so long after its end, so that a late copy does not bring it back.
const GRACE: Duration = Duration::from_secs(30);

/// What each hop adds to an age at least.
const HOP_MS: u32 = 1;

/// A claim that is held.
#[derive(Clone, Debug)]
pub struct Claim {
    pub number: u64,
    pub kind: Kind,
    pub weight: u8,
    lasts: Duration,
    /// How old it was when it came.
    age: Duration,
    came: Time,
    ends: Time,
}

impl Claim {
    pub fn age(&self, now: Time) -> Duration {
        self.age + now.since(self.came)
    }

    /// Whether it speaks against its subject, and counts still.
    pub fn bad(&self, now: Time) -> bool {
        self.kind != Kind::Well && self.weight > 0 && now < self.ends
    }

    /// How long it still counts.
    pub fn left(&self, now: Time) -> Duration {
        self.ends.since(now)
    }

    /// Whether it says the same with more than half of its time to go.
    pub fn covers(&self, kind: Kind, weight: u8, lasts: Duration, now: Time) -> bool {
        let near = self.weight.abs_diff(weight) <= 16;
        self.kind == kind && near && self.ends.since(now) * 2 > lasts && now < self.ends
    }
}

/// What became of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adopted {
    /// Held already, replaced already, or over.
    Old,
    New,
    /// Out of bounds, or one too many of its source.
    Refused,
}

#[derive(Clone, Debug)]
pub struct Evidence {
    claims: BTreeMap<(Subject, MemberId), Claim>,
    by_source: BTreeMap<MemberId, BTreeSet<Subject>>,
    /// When something is to be done about a claim: its end, then its being forgotten.
    due: BTreeSet<(Time, Subject, MemberId)>,
    most: usize,
    longest: Duration,
    /// Of all claims that are not over.
    digest: Digest,
}

impl Evidence {
    /// At most so many claims of each source, none longer than that.
    pub fn new(most: usize, longest: Duration) -> Evidence {
        let (claims, by_source, due) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
        Evidence { claims, by_source, due, most, longest, digest: Digest::default() }
    }

    pub fn get(&self, subject: &Subject, source: &MemberId) -> Option<&Claim> {
        self.claims.get(&(subject.clone(), source.clone()))
    }

    /// All claims about a subject.
    pub fn about<'a>(&'a self, subject: &'a Subject) -> impl Iterator<Item = (&'a MemberId, &'a Claim)> + 'a {
        let from = (subject.clone(), MemberId::default());
        self.claims
            .range(from..)
            .take_while(move |((of, _), _)| of == subject)
            .map(|((_, by), claim)| (by, claim))
    }

    /// Of all claims that are not over.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// All claims, from the one of that number in their order on, then round.
    pub fn from(&self, first: usize) -> impl Iterator<Item = &(Subject, MemberId)> {
        self.claims.keys().skip(first).chain(self.claims.keys().take(first))
    }

    /// How many are held.
    pub fn count(&self) -> usize {
        self.claims.len()
    }

    /// The subjects that something bad is claimed of.
    pub fn subjects(&self, now: Time) -> Vec<Subject> {
        let bad = self.claims.iter().filter(|(_, claim)| claim.bad(now));
        let mut subjects: Vec<Subject> = bad.map(|((subject, _), _)| subject.clone()).collect();
        subjects.dedup();
        subjects
    }

    /// Makes room for one more claim of that source.
    fn room(&mut self, source: &MemberId, now: Time) -> bool {
        let Some(subjects) = self.by_source.get(source) else { return self.most > 0 };
        if subjects.len() < self.most {
            return true;
        }
        let held = subjects.iter().filter_map(|of| self.get(of, source).map(|claim| (claim, of)));
        let idle = held.filter(|(claim, _)| !claim.bad(now)).min_by_key(|(claim, _)| claim.ends);
        let Some(subject) = idle.map(|(_, of)| of.clone()) else { return false };
        self.forget(&subject, source);
        true
    }

    /// Takes in a claim that is newer than its source's older one.
    pub fn adopt(&mut self, told: &Told, now: Time) -> Adopted {
        let (age, lasts) = (ms(told.age_ms), ms(told.lasts_ms));
        if lasts > self.longest || lasts.is_zero() {
            return Adopted::Refused;
        }
        let key = (told.subject.clone(), told.source.clone());
        let held = self.claims.get(&key);
        if age >= lasts || held.is_some_and(|claim| told.number <= claim.number) {
            return Adopted::Old;
        }
        if held.is_none() && !self.room(&told.source, now) {
            return Adopted::Refused;
        }
        self.forget(&told.subject, &told.source);
        let ends = now + (lasts - age);
        let (number, kind, weight) = (told.number, told.kind, told.weight);
        let claim = Claim { number, kind, weight, lasts, age, came: now, ends };
        self.by_source.entry(told.source.clone()).or_default().insert(told.subject.clone());
        self.due.insert((ends, told.subject.clone(), told.source.clone()));
        self.digest.claim(&told.subject, &told.source, number);
        self.claims.insert(key, claim);
        Adopted::New
    }

    fn forget(&mut self, subject: &Subject, source: &MemberId) {
        let Some(claim) = self.claims.remove(&(subject.clone(), source.clone())) else { return };
        if self.due.remove(&(claim.ends, subject.clone(), source.clone())) {
            self.digest.unclaim(subject, source, claim.number);
        }
        self.due.remove(&(claim.ends + GRACE, subject.clone(), source.clone()));
        if let Some(subjects) = self.by_source.get_mut(source) {
            subjects.remove(subject);
            if subjects.is_empty() {
                self.by_source.remove(source);
            }
        }
    }

    /// When something ends next.
    pub fn next(&self) -> Option<Time> {
        self.due.first().map(|(at, _, _)| *at)
    }

    /// Ends the claims whose time has come; gives the subjects of those that counted.
    pub fn expire(&mut self, now: Time) -> Vec<(Subject, MemberId)> {
        let mut ended = Vec::new();
        while let Some((at, subject, source)) = self.due.first().cloned().filter(|(at, _, _)| *at <= now) {
            self.due.pop_first();
            let Some(claim) = self.get(&subject, &source) else { continue };
            if at == claim.ends {
                self.digest.unclaim(&subject, &source, claim.number);
                self.due.insert((at + GRACE, subject.clone(), source.clone()));
                ended.push((subject, source));
            } else {
                self.forget(&subject, &source);
            }
        }
        ended
    }

    /// A claim as it is passed on now; none once it is over.
    pub fn told(&self, subject: &Subject, source: &MemberId, now: Time) -> Option<Told> {
        let claim = self.get(subject, source).filter(|claim| now < claim.ends)?;
        let age_ms = u32::try_from(claim.age(now).as_millis()).ok()?.saturating_add(HOP_MS);
        let lasts_ms = u32::try_from(claim.lasts.as_millis()).ok()?;
        let (number, kind, weight) = (claim.number, claim.kind, claim.weight);
        let (source, subject) = (source.clone(), subject.clone());
        Some(Told { source, number, subject, kind, weight, age_ms, lasts_ms })
    }
}

/// What the queue of news calls a claim.
pub fn about(told: &Told) -> About {
    About::Claim(told.subject.clone(), told.source.clone())
}

fn ms(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}

#[cfg(test)]
#[path = "evidence_tests.rs"]
mod tests;
