//! The claims that this member holds: the newest of each source about each subject.
//!
//! Clocks of different processes aren't compared: a claim carries its age, which grows with each hop.
use crate::claim::{ClaimKind, Subject};
use crate::digest::Digest;
use crate::wire::ClaimRecord;
use cluster_types::{MemberId, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long a claim is remembered after its end, so that a late copy doesn't bring it back.
const RETENTION_AFTER_END: Duration = Duration::from_secs(30);

/// The least that each hop adds to a claim's age, in milliseconds.
const MIN_HOP_MS: u32 = 1;

/// Claims whose confidence differs by no more than this are alike.
const CONFIDENCE_TOLERANCE: u8 = 16;

/// A claim of one source about one subject.
#[derive(Clone, Debug)]
pub struct HeldClaim {
    /// The source's number of the claim.
    pub number: u64,
    /// What is claimed.
    pub kind: ClaimKind,
    /// How certain the source is: 255 is certain.
    pub confidence: u8,
    valid_for: Duration,
    age_on_arrival: Duration,
    arrived_at: Time,
    ends_at: Time,
}

impl HeldClaim {
    /// The time since the source made it.
    pub fn age(&self, now: Time) -> Duration {
        self.age_on_arrival + now.since(self.arrived_at)
    }

    /// Whether it still counts, and claims that its subject is not healthy.
    pub fn is_negative(&self, now: Time) -> bool {
        self.kind != ClaimKind::Healthy && self.confidence > 0 && now < self.ends_at
    }

    /// How long it still counts.
    pub fn remaining(&self, now: Time) -> Duration {
        self.ends_at.since(now)
    }

    /// Whether it makes another claim unnecessary: it claims the same, with more than half of that one's time left.
    pub fn covers(&self, kind: ClaimKind, confidence: u8, valid_for: Duration, now: Time) -> bool {
        let alike = self.confidence.abs_diff(confidence) <= CONFIDENCE_TOLERANCE;
        self.kind == kind && alike && self.remaining(now) * 2 > valid_for && now < self.ends_at
    }
}

/// What became of a claim that was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdoptOutcome {
    /// It was held already, was replaced already, or has ended.
    Outdated,
    /// It is held now.
    Adopted,
    /// It is out of bounds, or one too many of its source.
    Rejected,
}

/// The claims of all sources.
#[derive(Clone, Debug)]
pub struct ClaimTable {
    claims: BTreeMap<(Subject, MemberId), HeldClaim>,
    by_source: BTreeMap<MemberId, BTreeSet<Subject>>,
    /// When a claim ends, and after that when it is removed.
    deadlines: BTreeSet<(Time, Subject, MemberId)>,
    max_per_source: usize,
    max_validity: Duration,
    /// Of the claims that have not ended.
    digest: Digest,
}

impl ClaimTable {
    /// An empty table for at most `max_per_source` claims of each source, none valid for longer than `max_validity`.
    pub fn new(max_per_source: usize, max_validity: Duration) -> ClaimTable {
        ClaimTable {
            claims: BTreeMap::new(),
            by_source: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            max_per_source,
            max_validity,
            digest: Digest::default(),
        }
    }

    /// The claim of a source about a subject.
    pub fn get(&self, subject: &Subject, source: &MemberId) -> Option<&HeldClaim> {
        self.claims.get(&(subject.clone(), source.clone()))
    }

    /// All claims about a subject, by source.
    pub fn about<'a>(
        &'a self,
        subject: &'a Subject,
    ) -> impl Iterator<Item = (&'a MemberId, &'a HeldClaim)> + 'a {
        let first = (subject.clone(), MemberId::default());
        self.claims
            .range(first..)
            .take_while(move |((other, _), _)| other == subject)
            .map(|((_, source), claim)| (source, claim))
    }

    /// The digest of the claims that have not ended.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// The keys of all claims, beginning with the one at the position `first` and then from the start.
    pub fn keys_from(&self, first: usize) -> impl Iterator<Item = &(Subject, MemberId)> {
        self.claims.keys().skip(first).chain(self.claims.keys().take(first))
    }

    /// The number of claims, ended ones included.
    pub fn count(&self) -> usize {
        self.claims.len()
    }

    /// The number of a source's claims, ended ones included.
    pub fn count_of(&self, source: &MemberId) -> usize {
        self.by_source.get(source).map_or(0, BTreeSet::len)
    }

    /// The subjects that are claimed not to be healthy.
    pub fn negative_subjects(&self, now: Time) -> Vec<Subject> {
        let negative = self.claims.iter().filter(|(_, claim)| claim.is_negative(now));
        let mut subjects: Vec<Subject> = negative.map(|((subject, _), _)| subject.clone()).collect();
        subjects.dedup();
        subjects
    }

    /// Takes in a claim that is newer than the held one of the same source and subject.
    pub fn adopt(&mut self, record: &ClaimRecord, now: Time) -> AdoptOutcome {
        let (age, valid_for) = (millis(record.age_ms), millis(record.valid_for_ms));
        if valid_for > self.max_validity || valid_for.is_zero() {
            return AdoptOutcome::Rejected;
        }
        let held = self.get(&record.subject, &record.source);
        if age >= valid_for || held.is_some_and(|claim| record.number <= claim.number) {
            return AdoptOutcome::Outdated;
        }
        if held.is_none() && !self.ensure_capacity(&record.source, now) {
            return AdoptOutcome::Rejected;
        }
        self.remove(&record.subject, &record.source);
        self.insert(record, now, now + (valid_for - age));
        AdoptOutcome::Adopted
    }

    fn insert(&mut self, record: &ClaimRecord, now: Time, ends_at: Time) {
        let (subject, source) = (record.subject.clone(), record.source.clone());
        let claim = HeldClaim {
            number: record.number,
            kind: record.kind,
            confidence: record.confidence,
            valid_for: millis(record.valid_for_ms),
            age_on_arrival: millis(record.age_ms),
            arrived_at: now,
            ends_at,
        };
        self.by_source.entry(source.clone()).or_default().insert(subject.clone());
        self.deadlines.insert((ends_at, subject.clone(), source.clone()));
        self.digest.add_claim(&subject, &source, record.number);
        self.claims.insert((subject, source), claim);
    }

    /// Makes sure that one more claim of a source fits: removes the one that ends first of those that aren't negative. Returns
    /// false if all are.
    fn ensure_capacity(&mut self, source: &MemberId, now: Time) -> bool {
        let Some(subjects) = self.by_source.get(source) else { return self.max_per_source > 0 };
        if subjects.len() < self.max_per_source {
            return true;
        }
        let held = subjects.iter().filter_map(|subject| Some((self.get(subject, source)?, subject)));
        let removable = held.filter(|(claim, _)| !claim.is_negative(now));
        let first = removable.min_by_key(|(claim, _)| claim.ends_at);
        let Some(subject) = first.map(|(_, subject)| subject.clone()) else { return false };
        self.remove(&subject, source);
        true
    }

    fn remove(&mut self, subject: &Subject, source: &MemberId) {
        let Some(claim) = self.claims.remove(&(subject.clone(), source.clone())) else { return };
        if self.deadlines.remove(&(claim.ends_at, subject.clone(), source.clone())) {
            self.digest.remove_claim(subject, source, claim.number);
        }
        self.deadlines.remove(&(claim.ends_at + RETENTION_AFTER_END, subject.clone(), source.clone()));
        if let Some(subjects) = self.by_source.get_mut(source) {
            subjects.remove(subject);
            if subjects.is_empty() {
                self.by_source.remove(source);
            }
        }
    }

    /// When the next claim ends or is removed.
    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|(at, _, _)| *at)
    }

    /// Ends and removes the claims whose time has come, and returns the subjects and sources of those that ended.
    pub fn expire(&mut self, now: Time) -> Vec<(Subject, MemberId)> {
        let mut ended = Vec::new();
        while let Some((at, subject, source)) = self.pop_due(now) {
            let Some(claim) = self.get(&subject, &source) else { continue };
            if at == claim.ends_at {
                self.digest.remove_claim(&subject, &source, claim.number);
                self.deadlines.insert((at + RETENTION_AFTER_END, subject.clone(), source.clone()));
                ended.push((subject, source));
            } else {
                self.remove(&subject, &source);
            }
        }
        ended
    }

    fn pop_due(&mut self, now: Time) -> Option<(Time, Subject, MemberId)> {
        self.deadlines.first().filter(|(at, _, _)| *at <= now)?;
        self.deadlines.pop_first()
    }

    /// A claim in the form in which it is passed on now, or `None` once it has ended.
    pub fn record(&self, subject: &Subject, source: &MemberId, now: Time) -> Option<ClaimRecord> {
        let claim = self.get(subject, source).filter(|claim| now < claim.ends_at)?;
        let age_ms = u32::try_from(claim.age(now).as_millis()).ok()?;
        Some(ClaimRecord {
            source: source.clone(),
            number: claim.number,
            subject: subject.clone(),
            kind: claim.kind,
            confidence: claim.confidence,
            age_ms: age_ms.saturating_add(MIN_HOP_MS),
            valid_for_ms: u32::try_from(claim.valid_for.as_millis()).ok()?,
        })
    }
}

fn millis(millis: u32) -> Duration {
    Duration::from_millis(u64::from(millis))
}
