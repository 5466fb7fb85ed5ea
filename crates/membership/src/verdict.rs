//! What the claims come to: verdicts, and the boxes to be shunned.
use crate::evidence::{about, Adopted};
use crate::machine::Members;
use crate::names::{Action, Kind, Observation, Shun, Subject, Verdict};
use crate::wire::{Told, LABEL};
use cluster_types::{BackendId, MemberId, Time, Zone};
use std::collections::BTreeMap;
use std::time::Duration;

impl Members {
    /// What the live members claim of a subject. Each counts once.
    pub fn verdict(&self, subject: &Subject, now: Time) -> Verdict {
        let mut verdict = Verdict::default();
        for (source, claim) in self.evidence.about(subject) {
            if !self.counts(source) || !claim.bad(now) {
                continue;
            }
            let age = claim.age(now);
            verdict.sources += 1;
            verdict.doubt += f32::from(claim.weight) / 255.0;
            verdict.newest = Some(verdict.newest.map_or(age, |newest| newest.min(age)));
            *verdict.kinds.entry(claim.kind).or_default() += 1;
        }
        verdict.doubt /= (self.table.count() + 1) as f32;
        verdict
    }

    /// How many live members must claim something before a box is shunned: more than half of all members that did not leave, live
    /// or not, and at least two. So the smaller side of a split shuns nothing, and neither does one member alone.
    pub fn quorum(&self) -> usize {
        (self.table.present().div_ceil(2) + 1).max(2)
    }

    /// The boxes that should get no more than a trickle, out of all boxes with their halls, the most doubted first, then by name: at
    /// most the stated share of all, and never all of a hall.
    pub fn shunned(&self, boxes: &BTreeMap<BackendId, Zone>, now: Time) -> Vec<Shun> {
        let quorum = self.quorum();
        let mut doubted = Vec::new();
        for which in boxes.keys() {
            let verdict = self.verdict(&Subject::Box(which.clone()), now);
            if verdict.sources >= quorum {
                doubted.push((verdict.doubt, which));
            }
        }
        doubted.sort_by(|(one, a), (other, b)| other.total_cmp(one).then_with(|| a.cmp(b)));
        let mut left: BTreeMap<&Zone, usize> = BTreeMap::new();
        boxes.values().for_each(|hall| *left.entry(hall).or_default() += 1);
        let most = (f64::from(self.settings.share) * boxes.len() as f64) as usize;
        let mut shunned = Vec::new();
        for (doubt, which) in doubted {
            let Some(left) = boxes.get(which).and_then(|hall| left.get_mut(hall)) else { continue };
            if shunned.len() < most && *left > 1 {
                *left -= 1;
                shunned.push(Shun { which: which.clone(), doubt, trickle: self.settings.trickle });
            }
        }
        shunned
    }

    /// This front saw something: claims it, unless it claims the same already.
    pub(crate) fn observed(&mut self, seen: Observation, now: Time, out: &mut Vec<Action>) {
        let label = match &seen.subject {
            Subject::Box(name) => name.0.len(),
            Subject::Zone(name) => name.0.len(),
        };
        let lasts = seen.lasts.min(self.settings.longest);
        if label == 0 || label > LABEL || !seen.weight.is_finite() || lasts < Duration::from_millis(1) {
            self.figures.claims_refused += 1;
            return;
        }
        let weight = (seen.weight.clamp(0.0, 1.0) * 255.0) as u8;
        let held = self.evidence.get(&seen.subject, &self.settings.me.member);
        let needless = match held {
            Some(claim) => claim.covers(seen.kind, weight, lasts, now),
            None => false,
        };
        // That a box is well need not be said where nothing else was.
        let nothing = seen.kind == Kind::Well && !held.is_some_and(|claim| claim.bad(now));
        if !needless && !nothing {
            self.claim(seen.subject, seen.kind, weight, lasts, now, out);
        }
    }

    fn claim(
        &mut self,
        subject: Subject,
        kind: Kind,
        weight: u8,
        lasts: Duration,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        self.claims += 1;
        let lasts_ms = u32::try_from(lasts.as_millis()).unwrap_or(u32::MAX);
        let source = self.settings.me.member.clone();
        let told = Told { source, number: self.claims, subject, kind, weight, age_ms: 0, lasts_ms };
        self.take_claim(&told, now, out);
    }

    fn take_claim(&mut self, told: &Told, now: Time, out: &mut Vec<Action>) {
        match self.evidence.adopt(told, now) {
            Adopted::New => {
                self.news.put(about(told));
                out.push(Action::Evidence(told.subject.clone()));
            }
            Adopted::Old => {}
            Adopted::Refused => self.figures.claims_refused += 1,
        }
    }

    /// A claim that another member passed on.
    pub(crate) fn heard_claim(&mut self, told: &Told, now: Time, out: &mut Vec<Action>) {
        if told.source == self.settings.me.member {
            self.disown(told, now, out);
        } else if self.table.get(&told.source).is_none_or(|entry| entry.record.life == 0) {
            self.figures.claims_refused += 1;
        } else {
            self.take_claim(told, now, out);
        }
    }

    /// Guards against claims in our name that we never made, or made in an earlier life: states ours anew above them.
    fn disown(&mut self, told: &Told, now: Time, out: &mut Vec<Action>) {
        let lasts = Duration::from_millis(u64::from(told.lasts_ms));
        if told.age_ms >= told.lasts_ms || lasts > self.settings.longest {
            return;
        }
        let held = self.evidence.get(&told.subject, &told.source);
        let same = held.is_some_and(|own| {
            own.number > told.number
                || own.number == told.number && own.kind == told.kind && own.weight == told.weight
        });
        if same {
            return;
        }
        self.figures.claims_disowned += 1;
        self.claims = self.claims.max(told.number);
        let own = held.filter(|own| own.bad(now)).map(|own| (own.kind, own.weight, own.left(now)));
        let (kind, weight, lasts) = own.unwrap_or((Kind::Well, 255, lasts));
        self.claim(told.subject.clone(), kind, weight, lasts, now, out);
    }

    /// Ends what has had its time.
    pub(crate) fn expire_claims(&mut self, now: Time, out: &mut Vec<Action>) {
        for (subject, source) in self.evidence.expire(now) {
            self.news.drop(&crate::gossip::About::Claim(subject.clone(), source));
            out.push(Action::Evidence(subject));
        }
    }

    /// Whether a member's claims count now.
    pub fn counts(&self, member: &MemberId) -> bool {
        *member == self.settings.me.member || self.table.is_live(member)
    }
}
