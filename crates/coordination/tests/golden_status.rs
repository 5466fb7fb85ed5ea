//! Compares the status texts for operators with golden files.
#![allow(clippy::unwrap_used, clippy::expect_used)]
mod golden_support;

use cluster_types::Index;
use coordination::log_thread::status::{maintenance_text, status_text, Status};
use coordination::network_thread::{LinkCounters, MembershipView};
use coordination::state_machine::StateMachine;
use golden_support::entries::entries;
use golden_support::GOLDEN;
use maintenance::{BackendOutcome, MaintenanceRequest, Rejection, RequestStatus};

fn membership_view() -> MembershipView {
    let member = |number, state| membership::Member {
        member: golden_support::member(number),
        zone: "h-1".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        base_incarnation: 5,
        incarnation: 6,
        state,
    };
    let members = vec![
        member(1, membership::MemberState::Alive),
        member(2, membership::MemberState::Suspect),
        member(3, membership::MemberState::Dead),
        member(4, membership::MemberState::Left),
    ];
    let counters = membership::Counters {
        probes_started: 1,
        probes_failed: 2,
        refutations: 3,
        datagrams_sent: 4,
        bytes_sent: 5,
        messages_deferred: 6,
        messages_dropped: 7,
        syncs_truncated: 8,
        malformed: 9,
        not_fresh: 10,
        disallowed_addresses: 11,
        members_over_limit: 12,
        claims_rejected: 13,
        claims_refuted: 14,
        stalls: 15,
    };
    let verdict =
        membership::Verdict { score: 0.456, sources: 2, newest_age: None, kinds: Default::default() };
    let verdicts = vec![
        (membership::Subject::Backend("b-1".into()), verdict.clone()),
        (membership::Subject::Zone("h-1".into()), verdict),
    ];
    MembershipView { members, verdicts, counters }
}

#[test]
fn status_text_matches_golden_file() {
    let mut state = StateMachine::new();
    for (number, (name, ..)) in (1..=6).zip(entries()) {
        state.apply(Index(number), &GOLDEN.bytes(&format!("entry.{name}.bin")));
    }
    state.undecodable_entries = 3;
    let view = membership_view();
    let link_counters = LinkCounters::default();
    let counters = [
        &link_counters.rejected_frames,
        &link_counters.undecodable_frames,
        &link_counters.dropped_frames,
        &link_counters.lost_frames,
        &link_counters.rejected_connections,
    ];
    for (counter, value) in counters.into_iter().zip(21..) {
        counter.store(value, std::sync::atomic::Ordering::Relaxed);
    }
    let raft_counters = consensus::Counters {
        unknown_sender: 31,
        unadmitted_incarnation: 32,
        stale: 33,
        malformed: 34,
        over_capacity: 35,
        lease_active: 36,
        storage_failed: 37,
        unknown_batch: 38,
    };
    let roles = [
        (consensus::Role::Follower, Some(golden_support::member(2))),
        (consensus::Role::PreCandidate, None),
        (consensus::Role::Candidate, None),
        (consensus::Role::Leader, Some(golden_support::member(1))),
    ];
    let texts = roles.map(|(role, leader)| {
        status_text(&Status {
            own_id: &golden_support::member(1),
            role,
            term: 7,
            leader: leader.as_ref(),
            commit_index: Index(9),
            has_lease: role == consensus::Role::Leader,
            view: &view,
            link_counters: &link_counters,
            raft_counters,
            state: &state,
        })
    });
    assert_eq!(texts.join("\n"), GOLDEN.text("status.txt"));
}

#[test]
fn maintenance_status_text_matches_golden_file() {
    let outcomes = [
        ("b-1", BackendOutcome::Waiting),
        ("b-2", BackendOutcome::Granted(Index(300))),
        ("b-3", BackendOutcome::Returned),
        ("b-4", BackendOutcome::DeadlineMissed),
        ("b-5", BackendOutcome::Withdrawn),
        ("b-6", BackendOutcome::Unlisted),
    ];
    let request = MaintenanceRequest {
        index: Index(5),
        backends: outcomes.map(|(id, outcome)| (id.into(), outcome)).into(),
        work_ms: 1,
        deadline_ms: None,
        all_at_once: false,
    };
    let members = [golden_support::member(1), golden_support::member(2)].into();
    let undrained_members = [(Index(300), members)].into();
    let waiting_reason = Some(Rejection::NoMemberPresent);
    let status = RequestStatus { name: "w-1".into(), request, undrained_members, waiting_reason };
    assert_eq!(maintenance_text(&status), GOLDEN.text("maintenance_status.txt"));
}
