//! Operators' calls: what they ask for goes into the log, and its answer is what the log made of it here.
use crate::core::Core;
use crate::ledger::{Ledger, What};
use crate::mail::{Call, Told};
use cluster_types::{Index, MemberId, Time};
use consensus::Role;
use maintenance::{Command, Effect, Rejection, RequestStatus};
use std::fmt::Write;
use std::time::Duration;

/// How long a caller waits.
const PATIENCE: Duration = Duration::from_millis(1_400);
/// Commands that may wait to come into the log.
pub const WAITING: usize = 256;

/// Where an answer goes.
pub type Answer = async_channel::Sender<Told>;

/// What waits to come into the log.
pub struct Waiting {
    /// What.
    pub what: What,
    /// Since when.
    pub since: Time,
    /// When it was last said.
    pub said: Time,
    /// Where the answer goes, where there is somebody.
    pub answer: Option<Answer>,
}

/// How a wish stands, in words.
pub fn words(status: &RequestStatus) -> String {
    let mut out = format!("wish {}\n", status.name);
    for (id, outcome) in &status.request.backends {
        let _ = writeln!(out, "box {id} {outcome}");
    }
    for (grant, fronts) in &status.undrained_members {
        let fronts: Vec<_> = fronts.iter().map(|m| m.0.to_string()).collect();
        let _ = writeln!(out, "grant {} waits for {}", grant.0, fronts.join(" "));
    }
    if let Some(why) = &status.waiting_reason {
        let _ = writeln!(out, "waits because {why}");
    }
    out
}

impl Core {
    /// Takes a call.
    pub fn call(&mut self, now: Time, call: Call, to: Answer) {
        let command = match call {
            Call::Status => return drop(to.try_send(Told::Yes(self.status()))),
            Call::Ask { name } => {
                let told = match self.ledger.desk.status(&name) {
                    Some(status) => Told::Yes(words(&status)),
                    None => Told::Unknown(format!("no wish {name:?} is known\n")),
                };
                return drop(to.try_send(told));
            }
            Call::Wish { name, boxes, work_ms, by_ms, together } => {
                Command::Request { name, backends: boxes, work_ms, deadline_ms: by_ms, all_at_once: together }
            }
            Call::Withdraw { name } => Command::Withdraw { name },
            Call::Returned { name, id } => Command::ReturnBackend { name, backend: id },
            Call::Done { name } => Command::Finish { name },
            Call::Excuse { member } => Command::DeclareDead { member },
            Call::Change(order) => return self.order(now, order, to),
        };
        if self.waiting.len() >= WAITING {
            return drop(to.try_send(Told::No("too many calls wait\n".into())));
        }
        self.say(now, What::Maintenance(command), Some(to));
    }

    /// Something of this front's is in the log.
    pub fn settled(&mut self, ticket: u64, effects: &[Effect]) {
        let Some(answer) = self.waiting.remove(&ticket).and_then(|w| w.answer) else { return };
        let mut told = Told::Yes("done\n".into());
        for effect in effects {
            match effect {
                Effect::Status(status) | Effect::Ended(status) => told = Told::Yes(words(status)),
                Effect::Rejected {
                    command,
                    reason:
                        reason @ (Rejection::Unknown | Rejection::NotListed(_) | Rejection::MemberNotPresent),
                } => {
                    told = Told::Unknown(format!("{command}: {reason}\n"));
                    break;
                }
                Effect::Rejected { command, reason } => {
                    told = Told::No(format!("{command}: {reason}\n"));
                    break;
                }
                _ => {}
            }
        }
        let _ = answer.try_send(told);
    }

    /// Those who have waited long enough hear that nothing is settled; their command is not said again.
    pub fn expire(&mut self, now: Time) {
        self.waiting.retain(|_, waiting| {
            let over = now.since(waiting.since) >= PATIENCE;
            if let Some(answer) = waiting.answer.as_ref().filter(|_| over) {
                let text = "no majority of the fronts could be reached: ask again under the same name\n";
                let _ = answer.try_send(Told::Late(text.into()));
            }
            !over
        });
    }

    /// How everything stands: one thing on a line.
    fn status(&self) -> String {
        let view = self.view.lock();
        standing(&Standing {
            me: &self.settings.me,
            role: self.node.role(),
            term: self.node.term(),
            leader: self.node.leader(),
            commit: self.node.commit_index(),
            leased: self.front.has_lease(self.clock.now()),
            members: &view.members,
            figures: &view.figures,
            doubts: &view.doubts,
            frames: &self.counts,
            refused: self.node.counters(),
            ledger: &self.ledger,
        })
    }
}

/// What operators are told of a member.
pub struct Standing<'a> {
    /// The member.
    pub me: &'a MemberId,
    /// What it is in the group of the log.
    pub role: Role,
    /// In which term.
    pub term: u64,
    /// Whom it follows.
    pub leader: Option<&'a MemberId>,
    /// Up to where the log is committed.
    pub commit: Index,
    /// Whether its lease runs.
    pub leased: bool,
    /// All members as they are held.
    pub members: &'a [membership::Member],
    /// What membership did and refused.
    pub figures: &'a membership::Counters,
    /// What is doubted.
    pub doubts: &'a [(membership::Subject, membership::Verdict)],
    /// What was bad on the links.
    pub frames: &'a crate::links::Counts,
    /// What the log refused.
    pub refused: consensus::Counters,
    /// What the log comes to.
    pub ledger: &'a Ledger,
}

/// How a member stands, in words: one thing on a line.
pub fn standing(of: &Standing<'_>) -> String {
    let leader = of.leader.map_or("none", |l| &l.0);
    let mut out = format!("accord me={} role={:?} term={} leader={leader}\n", of.me, of.role, of.term);
    let (commit, applied) = (of.commit.0, of.ledger.applied.0);
    let _ = writeln!(out, "log commit={commit} applied={applied} lease={}", of.leased);
    for m in of.members {
        let _ = writeln!(out, "member {} hall={} state={:?}", m.member, m.zone, m.state);
    }
    let _ = writeln!(out, "membership {}", of.figures);
    let _ = writeln!(out, "frames {:?}", of.frames);
    let (refused, desk) = (&of.refused, &of.ledger.desk);
    let _ = writeln!(
        out,
        "refused {} commands={} unread={}",
        refused_text(refused),
        desk.rejected_commands(),
        of.ledger.unread
    );
    for (subject, verdict) in of.doubts {
        let _ = writeln!(out, "doubt {subject} doubt={:.2} sources={}", verdict.score, verdict.sources);
    }
    for (name, _) in desk.open_requests() {
        if let Some(status) = desk.status(name) {
            out.push_str(&words(&status));
        }
    }
    for id in desk.out_backends() {
        let _ = writeln!(out, "out {id}");
    }
    out
}

/// The counters of the log under the names that operators know.
fn refused_text(counters: &consensus::Counters) -> String {
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
