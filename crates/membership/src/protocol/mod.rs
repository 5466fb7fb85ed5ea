//! The membership protocol of one member: its state and its event handler.
use crate::claim::Subject;
use crate::claim_table::ClaimTable;
use crate::counters::Counters;
use crate::digest::Digest;
use crate::event::{Action, Event};
use crate::leave_announcement::LeaveAnnouncement;
use crate::local_health::LocalHealth;
use crate::member::{Member, MemberState};
use crate::member_entry::{member_from_record, Entry};
use crate::member_table::MemberTable;
use crate::outgoing::Deferred;
use crate::pings::PendingPings;
use crate::probe::Probe;
use crate::send_budget::SendBudget;
use crate::settings::{Settings, SettingsError};
use crate::update_queue::UpdateQueue;
use crate::wire::MemberRecord;
use cluster_types::{MemberId, Time};
use message_auth::{Keys, OpenCounters, Opener, Sealer};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::collections::VecDeque;
use std::time::Duration;

mod claims;
mod ejection;
mod leaving;
mod merging;
mod probing;
mod receiving;
mod reconnecting;
mod seeds;
mod sending;
mod updates;

/// The state machine of the membership protocol for one gateway.
#[derive(Debug)]
pub struct Membership {
    settings: Settings,
    /// The record of this member that is sent to others.
    me: MemberRecord,
    sealer: Sealer,
    opener: Opener,
    rng: SmallRng,
    table: MemberTable,
    update_queue: UpdateQueue,
    claims: ClaimTable,
    /// The number of this member's last claim.
    last_claim_number: u64,
    budget: SendBudget,
    health: LocalHealth,
    deferred: VecDeque<Deferred>,
    /// The members that remain to be probed in this round, in reverse order.
    probe_round: Vec<MemberId>,
    probe: Option<Probe>,
    pings: PendingPings,
    next_probe: Time,
    next_reconnect: Time,
    next_gossip: Time,
    leave: Option<LeaveAnnouncement>,
    counters: Counters,
    /// The wake-up time requested after the last event.
    requested_wake: Option<Time>,
    /// The time of the event that is being handled.
    now: Time,
    /// The actions that result from that event.
    actions: Vec<Action>,
}

impl Membership {
    /// Creates a member that only knows its seeds and contacts them at once. `seed` initializes its random number generator.
    ///
    /// # Errors
    /// When a setting is out of bounds.
    pub fn new(settings: Settings, keys: Keys, now: Time, seed: u64) -> Result<Membership, SettingsError> {
        settings.validate()?;
        let (name, incarnation) = (settings.me.member.clone(), settings.incarnation);
        let max_bytes = settings.max_datagram_bytes;
        let sealer = Sealer::new(keys.clone(), name.clone(), incarnation);
        let opener = Opener::new(keys, name).with_incarnation(incarnation);
        let mut membership = Membership {
            me: own_record(&settings),
            sealer: sealer.with_max_bytes(max_bytes),
            opener: opener.with_max_bytes(max_bytes),
            rng: SmallRng::seed_from_u64(seed),
            table: MemberTable::new(settings.max_members, settings.forget_after),
            update_queue: UpdateQueue::default(),
            claims: ClaimTable::new(settings.max_claims_per_source, settings.max_claim_validity),
            last_claim_number: incarnation,
            budget: SendBudget::new(settings.bytes_per_second, settings.burst_bytes, now),
            health: LocalHealth::default(),
            deferred: VecDeque::new(),
            probe_round: Vec::new(),
            probe: None,
            pings: PendingPings::default(),
            next_probe: now,
            next_reconnect: now,
            next_gossip: now,
            leave: None,
            counters: Counters::default(),
            requested_wake: None,
            now,
            actions: Vec::new(),
            settings,
        };
        for seed in membership.other_seeds() {
            membership.table.add_seed(&seed, now);
        }
        Ok(membership)
    }

    /// Handles an event, executes the steps that are due at `now`, and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        self.compensate_for_stall();
        match event {
            Event::Tick => {}
            Event::Datagram { from, bytes } => self.receive_datagram(from, &bytes),
            Event::Leave => self.start_leaving(),
            Event::Observed(observation) => self.observe(observation),
            Event::SeedsChanged(seeds) => self.replace_seeds(seeds),
            Event::KeysChanged(keys) => {
                self.sealer.set_keys(keys.clone());
                self.opener.set_keys(keys);
            }
        }
        self.send_deferred();
        if self.leave.is_some() {
            self.announce_leave();
        } else {
            self.expire_pings();
            self.expire_members();
            self.continue_probing();
            self.reconnect();
            self.gossip();
        }
        self.expire_claims();
        self.requested_wake = self.wake();
        out.append(&mut self.actions);
    }

    /// When the host must deliver the next event at the latest; an [`Event::Tick`] if there is no other.
    pub fn wake(&self) -> Option<Time> {
        let next_deferred = self.next_deferred_at();
        let next_protocol_step = match &self.leave {
            Some(leave) => leave.next_at(),
            None => self.next_protocol_step(),
        };
        [next_deferred, next_protocol_step, self.claims.next_deadline()].into_iter().flatten().min()
    }

    fn next_protocol_step(&self) -> Option<Time> {
        let next_probe = self.probe.as_ref().map_or(self.next_probe, Probe::next_deadline);
        let next_gossip = (!self.update_queue.is_empty()).then_some(self.next_gossip);
        let next_in_table = self.table.next_deadline().map(|(at, _)| *at);
        let steps = [
            Some(next_probe),
            Some(self.next_reconnect),
            next_gossip,
            self.pings.next_deadline(),
            next_in_table,
        ];
        steps.into_iter().flatten().min()
    }

    /// Extends all deadlines if this process was stalled, since it couldn't receive answers during the stall.
    fn compensate_for_stall(&mut self) {
        let late_by = self.requested_wake.map(|wake| self.now.since(wake));
        let Some(stall) = late_by.filter(|span| *span > self.settings.probe_timeout) else { return };
        self.counters.stalls += 1;
        self.health.degrade();
        self.probe.iter_mut().for_each(|probe| probe.postpone(stall));
        self.pings.postpone(stall);
        self.table.postpone_suspicions(stall);
        self.next_probe = self.next_probe + stall;
    }

    /// This member and all other known members, sorted by name.
    pub fn view(&self) -> Vec<Member> {
        let others = self.table.iter().map(|(_, entry)| Entry::to_member(entry));
        let mut members: Vec<Member> = others.chain([member_from_record(&self.me)]).collect();
        members.sort_by(|one, other| one.member.cmp(&other.member));
        members
    }

    /// Counters of protocol activity and rejections since the start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Counters of datagrams that were accepted or rejected by signature and header.
    pub fn open_counters(&self) -> &OpenCounters {
        self.opener.counters()
    }

    /// The known claims.
    pub fn claims(&self) -> &ClaimTable {
        &self.claims
    }

    /// The digest of the live members and valid claims. It is equal at two members with the same view.
    pub fn digest(&self) -> Digest {
        let mut digest = self.table.digest();
        digest.add_member(&self.me);
        digest.with_claims_of(self.claims.digest())
    }

    /// The subjects that are claimed not to be healthy.
    pub fn negative_subjects(&self, now: Time) -> Vec<Subject> {
        self.claims.negative_subjects(now)
    }

    /// How long a suspicion that begins now lasts.
    fn suspicion_timeout(&self) -> Duration {
        let live = (self.table.live_count() + 1) as f64;
        let base = self.settings.probe_period * self.settings.suspicion_multiplier;
        self.health.scale(base.mul_f64(live.log10().max(1.0)))
    }
}

fn own_record(settings: &Settings) -> MemberRecord {
    MemberRecord {
        member: settings.me.member.clone(),
        zone: settings.me.zone.clone(),
        address: settings.me.address,
        base_incarnation: settings.incarnation,
        incarnation_offset: 0,
        state: MemberState::Alive,
    }
}
