//! Making and receiving of claims about backends and zones.
use super::Membership;
use crate::claim::{ClaimKind, Observation, Subject};
use crate::claim_table::AdoptOutcome;
use crate::event::Action;
use crate::update_queue::UpdateKey;
use crate::wire::{ClaimRecord, MAX_SUBJECT_BYTES};
use cluster_types::MemberId;
use std::time::Duration;

/// The confidence of a claim that is certain.
const CERTAIN: u8 = u8::MAX;

impl Membership {
    /// Claims what this member observed, unless a claim of its own covers it already.
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
        let confidence = (observation.confidence.clamp(0.0, 1.0) * f32::from(CERTAIN)) as u8;
        let held = self.claims.get(&subject, &self.settings.me.member);
        let is_covered = held.is_some_and(|claim| claim.covers(kind, confidence, valid_for, self.now));
        // That a subject is healthy is the default, and needs no claim where nothing is to be withdrawn.
        let has_negative = held.is_some_and(|claim| claim.is_negative(self.now));
        let is_default = kind == ClaimKind::Healthy && !has_negative;
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

    /// Receives a claim that another member made or passed on.
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

    /// Replaces a claim in this member's name that it never made, or made in an earlier incarnation, by its own one.
    fn refute_claim(&mut self, record: &ClaimRecord) {
        let valid_for = Duration::from_millis(u64::from(record.valid_for_ms));
        if record.age_ms >= record.valid_for_ms || valid_for > self.settings.max_claim_validity {
            return;
        }
        let held = self.claims.get(&record.subject, &record.source);
        let is_own = held.is_some_and(|own| {
            let same = own.kind == record.kind && own.confidence == record.confidence;
            own.number > record.number || own.number == record.number && same
        });
        if is_own {
            return;
        }
        let own = held.filter(|own| own.is_negative(self.now));
        let own = own.map(|own| (own.kind, own.confidence, own.remaining(self.now)));
        self.counters.claims_refuted += 1;
        self.last_claim_number = self.last_claim_number.max(record.number);
        let (kind, confidence, valid_for) = own.unwrap_or((ClaimKind::Healthy, CERTAIN, valid_for));
        self.make_claim(record.subject.clone(), kind, confidence, valid_for);
    }

    /// Ends the claims whose time has passed.
    pub(super) fn expire_claims(&mut self) {
        for (subject, source) in self.claims.expire(self.now) {
            self.update_queue.remove(&UpdateKey::Claim(subject.clone(), source));
            self.actions.push(Action::ClaimsChanged(subject));
        }
    }
}
