//! Making and receiving claims about backends and zones.
use super::Membership;
use crate::claim::{ClaimKind, Observation, Subject};
use crate::claim_table::AdoptOutcome;
use crate::event::Action;
use crate::update_queue::UpdateKey;
use crate::wire::{ClaimRecord, MAX_SUBJECT_BYTES};
use cluster_types::MemberId;
use std::time::Duration;

/// The highest confidence of a claim.
const MAX_CONFIDENCE: u8 = u8::MAX;

impl Membership {
    /// Makes a claim of what this member observed, unless its previous claim already covers it.
    pub(super) fn observe(&mut self, observation: Observation) {
        let name_bytes = observation.subject.name().len();
        let valid_for = observation.valid_for.min(self.settings.max_claim_validity);
        let is_valid = (1..=MAX_SUBJECT_BYTES).contains(&name_bytes)
            && observation.confidence.is_finite()
            && valid_for >= Duration::from_millis(1);
        if !is_valid {
            self.counters.claims_rejected += 1;
            return;
        }
        let Observation { subject, kind, .. } = observation;
        let confidence = (observation.confidence.clamp(0.0, 1.0) * f32::from(MAX_CONFIDENCE)) as u8;
        let existing = self.claims.get(&subject, &self.settings.me.member);
        let is_covered = existing.is_some_and(|claim| claim.covers(kind, confidence, valid_for, self.now));
        // Subjects are healthy by default, so a healthy claim is needed only to withdraw a negative one.
        let is_claimed_negative = existing.is_some_and(|claim| claim.is_negative(self.now));
        let is_default = kind == ClaimKind::Healthy && !is_claimed_negative;
        if !is_covered && !is_default {
            self.make_claim(subject, kind, confidence, valid_for);
        }
    }

    fn make_claim(&mut self, subject: Subject, kind: ClaimKind, confidence: u8, valid_for: Duration) {
        self.last_claim_number += 1;
        let record = ClaimRecord {
            source: self.settings.me.member.clone(),
            number: self.last_claim_number,
            subject,
            kind,
            confidence,
            age_ms: 0,
            valid_for_ms: u32::try_from(valid_for.as_millis()).unwrap_or(u32::MAX),
        };
        self.adopt_claim(&record);
    }

    fn adopt_claim(&mut self, record: &ClaimRecord) {
        match self.claims.adopt(record, self.now) {
            AdoptOutcome::Adopted => {
                self.update_queue.push(UpdateKey::Claim(record.subject.clone(), record.source.clone()));
                self.actions.push(Action::ClaimsChanged(record.subject.clone()));
            }
            AdoptOutcome::Outdated => {}
            AdoptOutcome::Rejected => self.counters.claims_rejected += 1,
        }
    }

    /// Handles a claim that another member made or forwarded.
    pub(super) fn receive_claim(&mut self, record: &ClaimRecord) {
        if record.source == self.settings.me.member {
            self.refute_claim(record);
        } else if self.has_answered(&record.source) {
            self.adopt_claim(record);
        } else {
            self.counters.claims_rejected += 1;
        }
    }

    fn has_answered(&self, member: &MemberId) -> bool {
        self.table.get(member).is_some_and(|entry| entry.record.base_incarnation > 0)
    }

    /// Replaces a claim in this member's name that it didn't make, or made in an earlier incarnation, with its own claim.
    fn refute_claim(&mut self, record: &ClaimRecord) {
        let valid_for = Duration::from_millis(u64::from(record.valid_for_ms));
        if record.age_ms >= record.valid_for_ms || valid_for > self.settings.max_claim_validity {
            return;
        }
        let existing = self.claims.get(&record.subject, &record.source);
        let is_own = existing.is_some_and(|own| {
            let same = own.kind == record.kind && own.confidence == record.confidence;
            own.number > record.number || own.number == record.number && same
        });
        if is_own {
            return;
        }
        let own = existing.filter(|own| own.is_negative(self.now));
        let own = own.map(|own| (own.kind, own.confidence, own.remaining(self.now)));
        self.counters.claims_refuted += 1;
        self.last_claim_number = self.last_claim_number.max(record.number);
        let (kind, confidence, valid_for) = own.unwrap_or((ClaimKind::Healthy, MAX_CONFIDENCE, valid_for));
        self.make_claim(record.subject.clone(), kind, confidence, valid_for);
    }

    /// Expires the claims that are due.
    pub(super) fn expire_claims(&mut self) {
        for (subject, source) in self.claims.expire(self.now) {
            self.update_queue.remove(&UpdateKey::Claim(subject.clone(), source));
            self.actions.push(Action::ClaimsChanged(subject));
        }
    }
}
