//! The table of known claims: the newest one of each source about each subject.
//!
//! Clocks of different processes are never compared: a claim carries its age, which increases with each hop.
use crate::claim::{ClaimKind, Subject};
use crate::digest::Digest;
use crate::wire::ClaimRecord;
use cluster_types::{MemberId, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long an expired claim is retained, so that a delayed copy doesn't restore it.
const RETENTION_AFTER_EXPIRY: Duration = Duration::from_secs(30);

/// The minimum that each hop adds to a claim's age, in milliseconds.
const MIN_HOP_MS: u32 = 1;

/// Claims whose confidences differ by at most this are considered equal.
const CONFIDENCE_TOLERANCE: u8 = 16;

/// A claim of one source about one subject.
#[derive(Clone, Debug)]
pub struct StoredClaim {
    /// The number that the source gave the claim.
    pub number: u64,
    /// What is claimed.
    pub kind: ClaimKind,
    /// How certain the source is: 255 is certain.
    pub confidence: u8,
    valid_for: Duration,
    age_on_arrival: Duration,
    arrived_at: Time,
    expires_at: Time,
}

impl StoredClaim {
    /// The time since the source made the claim.
    pub fn age(&self, now: Time) -> Duration {
        self.age_on_arrival + now.since(self.arrived_at)
    }

    /// Whether it is valid and claims that its subject is not healthy.
    pub fn is_negative(&self, now: Time) -> bool {
        self.kind != ClaimKind::Healthy && self.confidence > 0 && now < self.expires_at
    }

    /// How long it is still valid.
    pub fn remaining(&self, now: Time) -> Duration {
        self.expires_at.since(now)
    }

    /// Whether it makes a new claim unnecessary: it claims the same, and remains valid for more than half as long as the new
    /// claim would.
    pub fn covers(&self, kind: ClaimKind, confidence: u8, valid_for: Duration, now: Time) -> bool {
        let is_similar = self.confidence.abs_diff(confidence) <= CONFIDENCE_TOLERANCE;
        self.kind == kind && is_similar && self.remaining(now) * 2 > valid_for && now < self.expires_at
    }
}

/// The result of adding a received claim to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdoptOutcome {
    /// The claim has expired, or the table has it or a newer one already.
    Outdated,
    /// The claim was added.
    Adopted,
    /// The claim is out of bounds, or its source has too many claims.
    Rejected,
}

/// The claims of all sources.
#[derive(Clone, Debug)]
pub struct ClaimTable {
    claims: BTreeMap<(Subject, MemberId), StoredClaim>,
    by_source: BTreeMap<MemberId, BTreeSet<Subject>>,
    /// When each claim expires or, once expired, when it is removed.
    deadlines: BTreeSet<(Time, Subject, MemberId)>,
    max_per_source: usize,
    max_validity: Duration,
    /// The digest of the claims that have not expired.
    digest: Digest,
}

impl ClaimTable {
    /// An empty table for at most `max_per_source` claims per source, each valid for at most `max_validity`.
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
    pub fn get(&self, subject: &Subject, source: &MemberId) -> Option<&StoredClaim> {
        self.claims.get(&(subject.clone(), source.clone()))
    }

    /// All claims about a subject, by source.
    pub fn claims_about<'a>(
        &'a self,
        subject: &'a Subject,
    ) -> impl Iterator<Item = (&'a MemberId, &'a StoredClaim)> + 'a {
        let first = (subject.clone(), MemberId::default());
        self.claims
            .range(first..)
            .take_while(move |((other, _), _)| other == subject)
            .map(|((_, source), claim)| (source, claim))
    }

    /// The digest of the claims that have not expired.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// The keys of all claims, beginning at position `first` and wrapping around.
    pub fn keys_from(&self, first: usize) -> impl Iterator<Item = &(Subject, MemberId)> {
        self.claims.keys().skip(first).chain(self.claims.keys().take(first))
    }

    /// The number of claims, including expired ones.
    pub fn count(&self) -> usize {
        self.claims.len()
    }

    /// The number of a source's claims, including expired ones.
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

    /// Adds a claim if it is valid and newer than the known one of the same source about the same subject.
    pub fn adopt(&mut self, record: &ClaimRecord, now: Time) -> AdoptOutcome {
        let (age, valid_for) = (millis(record.age_ms), millis(record.valid_for_ms));
        if valid_for > self.max_validity || valid_for.is_zero() {
            return AdoptOutcome::Rejected;
        }
        let existing = self.get(&record.subject, &record.source);
        if age >= valid_for || existing.is_some_and(|claim| record.number <= claim.number) {
            return AdoptOutcome::Outdated;
        }
        if existing.is_none() && !self.ensure_capacity(&record.source, now) {
            return AdoptOutcome::Rejected;
        }
        self.remove(&record.subject, &record.source);
        self.insert(record, now, now + (valid_for - age));
        AdoptOutcome::Adopted
    }

    fn insert(&mut self, record: &ClaimRecord, now: Time, expires_at: Time) {
        let (subject, source) = (record.subject.clone(), record.source.clone());
        let claim = StoredClaim {
            number: record.number,
            kind: record.kind,
            confidence: record.confidence,
            valid_for: millis(record.valid_for_ms),
            age_on_arrival: millis(record.age_ms),
            arrived_at: now,
            expires_at,
        };
        self.by_source.entry(source.clone()).or_default().insert(subject.clone());
        self.deadlines.insert((expires_at, subject.clone(), source.clone()));
        self.digest.add_claim(&subject, &source, record.number);
        self.claims.insert((subject, source), claim);
    }

    /// Ensures space for one more claim of a source: if it has the maximum, removes its non-negative claim that expires first.
    /// Returns false if all of its claims are negative.
    fn ensure_capacity(&mut self, source: &MemberId, now: Time) -> bool {
        let Some(subjects) = self.by_source.get(source) else { return self.max_per_source > 0 };
        if subjects.len() < self.max_per_source {
            return true;
        }
        let claims = subjects.iter().filter_map(|subject| Some((self.get(subject, source)?, subject)));
        let removable = claims.filter(|(claim, _)| !claim.is_negative(now));
        let first = removable.min_by_key(|(claim, _)| claim.expires_at);
        let Some(subject) = first.map(|(_, subject)| subject.clone()) else { return false };
        self.remove(&subject, source);
        true
    }

    fn remove(&mut self, subject: &Subject, source: &MemberId) {
        let Some(claim) = self.claims.remove(&(subject.clone(), source.clone())) else { return };
        if self.deadlines.remove(&(claim.expires_at, subject.clone(), source.clone())) {
            self.digest.remove_claim(subject, source, claim.number);
        }
        self.deadlines.remove(&(claim.expires_at + RETENTION_AFTER_EXPIRY, subject.clone(), source.clone()));
        if let Some(subjects) = self.by_source.get_mut(source) {
            subjects.remove(subject);
            if subjects.is_empty() {
                self.by_source.remove(source);
            }
        }
    }

    /// When the next claim expires or is removed.
    pub fn next_deadline(&self) -> Option<Time> {
        self.deadlines.first().map(|(at, _, _)| *at)
    }

    /// Expires the claims that are due, and removes those whose retention is over. Returns the subjects and sources of the
    /// expired ones.
    pub fn expire(&mut self, now: Time) -> Vec<(Subject, MemberId)> {
        let mut expired = Vec::new();
        while let Some((at, subject, source)) = self.pop_due(now) {
            let Some(claim) = self.get(&subject, &source) else { continue };
            if at == claim.expires_at {
                self.digest.remove_claim(&subject, &source, claim.number);
                self.deadlines.insert((at + RETENTION_AFTER_EXPIRY, subject.clone(), source.clone()));
                expired.push((subject, source));
            } else {
                self.remove(&subject, &source);
            }
        }
        expired
    }

    fn pop_due(&mut self, now: Time) -> Option<(Time, Subject, MemberId)> {
        self.deadlines.first().filter(|(at, _, _)| *at <= now)?;
        self.deadlines.pop_first()
    }

    /// A claim as it would be sent to other members now, or `None` if it has expired.
    pub fn record(&self, subject: &Subject, source: &MemberId, now: Time) -> Option<ClaimRecord> {
        let claim = self.get(subject, source).filter(|claim| now < claim.expires_at)?;
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
