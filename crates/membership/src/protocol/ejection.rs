//! Decisions derived from the claims: verdicts, and the backends to eject.
use super::Membership;
use crate::claim::{Ejection, Subject, Verdict};
use cluster_types::{BackendId, MemberId, Time, Zone};
use std::collections::BTreeMap;

/// The minimum number of members that must agree, independent of the size of the group.
const MIN_QUORUM: usize = 2;

impl Membership {
    /// Aggregates the claims of the live members about a subject. Each member counts once.
    pub fn verdict(&self, subject: &Subject, now: Time) -> Verdict {
        let mut verdict = Verdict::default();
        for (source, claim) in self.claims.claims_about(subject) {
            if !self.is_me_or_live(source) || !claim.is_negative(now) {
                continue;
            }
            let age = claim.age(now);
            verdict.sources += 1;
            verdict.score += f32::from(claim.confidence) / f32::from(u8::MAX);
            verdict.newest_age = Some(verdict.newest_age.map_or(age, |newest| newest.min(age)));
            *verdict.kinds.entry(claim.kind).or_default() += 1;
        }
        verdict.score /= (self.table.live_count() + 1) as f32;
        verdict
    }

    fn is_me_or_live(&self, member: &MemberId) -> bool {
        *member == self.settings.me.member || self.table.is_live(member)
    }

    /// The number of live members that must claim that a backend is not healthy before it is ejected: more than half of all
    /// members that didn't leave, live or not, and at least two. Thus neither the minority side of a partition nor a single
    /// member can eject a backend.
    pub fn quorum(&self) -> usize {
        (self.table.count_without_left().div_ceil(2) + 1).max(MIN_QUORUM)
    }

    /// The backends to eject, by descending score, then by name. `backends` contains all backends with their zones. At most
    /// the configured share of all backends is ejected, and never all backends of a zone.
    pub fn ejections(&self, backends: &BTreeMap<BackendId, Zone>, now: Time) -> Vec<Ejection> {
        let mut remaining: BTreeMap<&Zone, usize> = BTreeMap::new();
        backends.values().for_each(|zone| *remaining.entry(zone).or_default() += 1);
        let max_ejected = (f64::from(self.settings.max_ejected_share) * backends.len() as f64) as usize;
        let mut ejections = Vec::new();
        for candidate in self.ejection_candidates(backends, now) {
            let zone = backends.get(&candidate.backend);
            let Some(remaining) = zone.and_then(|zone| remaining.get_mut(zone)) else { continue };
            if ejections.len() < max_ejected && *remaining > 1 {
                *remaining -= 1;
                ejections.push(candidate);
            }
        }
        ejections
    }

    /// The backends that a quorum claims not to be healthy, in the order in which they are to be ejected.
    fn ejection_candidates(&self, backends: &BTreeMap<BackendId, Zone>, now: Time) -> Vec<Ejection> {
        let quorum = self.quorum();
        let mut candidates = Vec::new();
        for backend in backends.keys() {
            let verdict = self.verdict(&Subject::Backend(backend.clone()), now);
            if verdict.sources >= quorum {
                candidates.push(Ejection {
                    backend: backend.clone(),
                    score: verdict.score,
                    traffic_share: self.settings.ejected_traffic_share,
                });
            }
        }
        candidates.sort_by(|one, other| {
            other.score.total_cmp(&one.score).then_with(|| one.backend.cmp(&other.backend))
        });
        candidates
    }
}
