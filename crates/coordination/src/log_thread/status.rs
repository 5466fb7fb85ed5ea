//! The status texts of `/v1/accord`. Operators' scripts read them: their wording is part of the interface and may differ from the
//! names in the code.
use crate::network_thread::{LinkCounters, MembershipView};
use crate::state_machine::StateMachine;
use cluster_types::{Index, MemberId};
use consensus::{Counters, Role};
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};

/// The values shown in the status of a member.
pub struct Status<'a> {
    /// The member.
    pub own_id: &'a MemberId,
    /// Its role in the Raft group.
    pub role: Role,
    /// Its term.
    pub term: u64,
    /// The leader that it knows.
    pub leader: Option<&'a MemberId>,
    /// The index up to which it knows the log to be committed.
    pub commit_index: Index,
    /// Whether it has a valid lease.
    pub has_lease: bool,
    /// The view of membership.
    pub view: &'a MembershipView,
    /// The counters of its links.
    pub link_counters: &'a LinkCounters,
    /// The counters of the log.
    pub raft_counters: Counters,
    /// The replicated state.
    pub state: &'a StateMachine,
}

/// Formats the status of a member, one item per line.
pub fn status_text(status: &Status<'_>) -> String {
    let mut out = String::new();
    let (role, term) = (status.role, status.term);
    let leader = status.leader.map_or("none", |leader| &leader.0);
    push_line(
        &mut out,
        format_args!("accord me={} role={role:?} term={term} leader={leader}", status.own_id),
    );
    let (commit, applied) = (status.commit_index.0, status.state.applied_index.0);
    push_line(&mut out, format_args!("log commit={commit} applied={applied} lease={}", status.has_lease));
    push_membership(&mut out, status);
    let maintenance = &status.state.maintenance;
    let counters = raft_counters_text(&status.raft_counters);
    let (commands, unread) = (maintenance.rejected_commands(), status.state.undecodable_entries);
    push_line(&mut out, format_args!("refused {counters} commands={commands} unread={unread}"));
    push_verdicts(&mut out, status);
    for (name, _) in maintenance.open_requests() {
        if let Some(request) = maintenance.status(name) {
            out.push_str(&maintenance_text(&request));
        }
    }
    for backend in maintenance.out_of_service() {
        push_line(&mut out, format_args!("out {backend}"));
    }
    out
}

/// Formats the status of a maintenance request, one item per line.
pub fn maintenance_text(status: &maintenance::RequestStatus) -> String {
    let mut out = String::new();
    push_line(&mut out, format_args!("wish {}", status.name));
    for (backend, outcome) in &status.request.backends {
        push_line(&mut out, format_args!("box {backend} {}", outcome));
    }
    for (grant, members) in &status.undrained_members {
        let members: Vec<_> = members.iter().map(|member| &*member.0).collect();
        push_line(&mut out, format_args!("grant {} waits for {}", grant.0, members.join(" ")));
    }
    if let Some(reason) = &status.waiting_reason {
        push_line(&mut out, format_args!("waits because {reason}"));
    }
    out
}

/// Appends a line.
fn push_line(out: &mut String, line: std::fmt::Arguments<'_>) {
    // Writing to a string cannot fail.
    out.write_fmt(line).ok();
    out.push('\n');
}

fn push_membership(out: &mut String, status: &Status<'_>) {
    for member in &status.view.members {
        let (name, zone, state) = (&member.member, &member.zone, member.state);
        push_line(out, format_args!("member {name} hall={zone} state={state:?}"));
    }
    push_line(out, format_args!("membership {}", status.view.counters));
    push_line(out, format_args!("frames {}", link_counters_text(status.link_counters)));
}

fn push_verdicts(out: &mut String, status: &Status<'_>) {
    for (subject, verdict) in &status.view.verdicts {
        let (score, sources) = (verdict.score, verdict.sources);
        push_line(out, format_args!("doubt {subject} doubt={score:.2} sources={sources}"));
    }
}

fn link_counters_text(counters: &LinkCounters) -> String {
    let value = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    format!(
        "Counts {{ refused: {}, unread: {}, full: {}, lost: {}, crowded: {} }}",
        value(&counters.rejected_frames),
        value(&counters.undecodable_frames),
        value(&counters.dropped_frames),
        value(&counters.lost_frames),
        value(&counters.rejected_connections),
    )
}

fn raft_counters_text(counters: &Counters) -> String {
    format!(
        "Counts {{ foreign: {}, unadmitted: {}, stale: {}, malformed: {}, full: {}, leased: {}, disk: {}, unknown: {} }}",
        counters.unknown_sender,
        counters.unadmitted_incarnation,
        counters.stale,
        counters.malformed,
        counters.over_capacity,
        counters.lease_active,
        counters.storage_failed,
        counters.unknown_batch,
    )
}
