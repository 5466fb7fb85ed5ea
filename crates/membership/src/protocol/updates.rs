//! Selection of the updates that a packet carries.
use super::Membership;
use crate::digest::Digest;
use crate::member::MemberState;
use crate::update_batch::UpdateBatch;
use crate::update_queue::{OfferOutcome, UpdateKey};
use crate::wire::Update;
use cluster_types::MemberId;
use rand::Rng;

impl Membership {
    /// Selects the updates for a packet, up to `max_bytes`: first a report that the receiver has to refute, then queued
    /// updates, then those that the receiver may lack.
    pub(super) fn collect_updates(
        &mut self,
        to: &MemberId,
        max_bytes: usize,
        sync_against: Option<Digest>,
    ) -> Vec<Update> {
        let mut batch = UpdateBatch::new(max_bytes);
        self.add_report_of_receiver(to, &mut batch);
        self.add_queued_updates(&mut batch);
        if let Some(theirs) = sync_against {
            let complete = self.add_differing_members(&theirs, &mut batch)
                && self.add_differing_claims(&theirs, &mut batch);
            self.counters.syncs_truncated += u64::from(!complete);
        }
        batch.into_updates()
    }

    /// Adds the record of the receiver if it is not alive, so that the receiver can refute it.
    fn add_report_of_receiver(&self, to: &MemberId, batch: &mut UpdateBatch) {
        let Some(record) = self.table.get(to).map(|entry| &entry.record) else { return };
        if record.state != MemberState::Alive && record.base_incarnation > 0 {
            // If it doesn't fit, a later packet carries it.
            batch.push(Update::Member(record.clone()));
        }
    }

    fn add_queued_updates(&mut self, batch: &mut UpdateBatch) {
        let max_times = self.transmissions_per_update();
        let (table, claims, me, now) = (&self.table, &self.claims, &self.me, self.now);
        self.update_queue.fill_packet(max_times, |key| {
            let update = match key {
                UpdateKey::Member(member) if *member == me.member => Some(Update::Member(me.clone())),
                UpdateKey::Member(member) => {
                    table.get(member).map(|entry| Update::Member(entry.record.clone()))
                }
                UpdateKey::Claim(subject, source) => claims.record(subject, source, now).map(Update::Claim),
            };
            match update {
                Some(update) => OfferOutcome::from_fit(batch.push(update)),
                None => OfferOutcome::Obsolete,
            }
        });
    }

    /// Adds the members of the buckets in which the digests differ, starting at a random one. Returns whether all of them
    /// fitted.
    fn add_differing_members(&mut self, theirs: &Digest, batch: &mut UpdateBatch) -> bool {
        let ours = self.digest();
        let first = self.rng.random_range(0..self.table.len().max(1));
        let known = self.table.entries_from(first).map(|entry| &entry.record);
        let known = known.filter(|record| record.base_incarnation > 0);
        let mut differing = known.filter(|record| ours.differs_for_member(theirs, &record.member));
        differing.all(|record| batch.push(Update::Member(record.clone())))
    }

    /// Adds the claims of the buckets in which the digests differ, starting at a random one. Returns whether all of them
    /// fitted.
    fn add_differing_claims(&mut self, theirs: &Digest, batch: &mut UpdateBatch) -> bool {
        let ours = self.digest();
        if !ours.claims_differ(theirs) {
            return true;
        }
        let first = self.rng.random_range(0..self.claims.count().max(1));
        let keys = self.claims.keys_from(first);
        let differing = keys.filter(|(subject, _)| ours.differs_for_subject(theirs, subject));
        let mut records =
            differing.filter_map(|(subject, source)| self.claims.record(subject, source, self.now));
        records.all(|record| batch.push(Update::Claim(record)))
    }

    /// How many times each update is sent.
    fn transmissions_per_update(&self) -> u32 {
        let live = (self.table.live_count() + 2) as f64;
        (f64::from(self.settings.retransmit_multiplier) * live.ln()).ceil() as u32
    }
}
