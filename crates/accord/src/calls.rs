//! Operators' calls: what they ask for goes into the log, and its answer is what the log made of it here.
use crate::core::Core;
use crate::ledger::What;
use crate::mail::{Call, Told};
use fleet::Time;
use maintenance::{Command, Effect, Status, Why};
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
pub fn words(status: &Status) -> String {
    let mut out = format!("wish {}\n", status.name);
    for (id, fate) in &status.wish.boxes {
        let _ = writeln!(out, "box {id} {}", format!("{fate:?}").to_lowercase());
    }
    for (grant, fronts) in &status.waits_for {
        let fronts: Vec<_> = fronts.iter().map(|m| m.0.to_string()).collect();
        let _ = writeln!(out, "grant {} waits for {}", grant.0, fronts.join(" "));
    }
    if let Some(why) = &status.why {
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
                Command::Wish { name, boxes, work_ms, by_ms, together }
            }
            Call::Withdraw { name } => Command::Withdraw { name },
            Call::Returned { name, id } => Command::Returned { name, id },
            Call::Done { name } => Command::Done { name },
            Call::Excuse { member } => Command::Excuse { member },
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
                Effect::Told(status) | Effect::Ended(status) => told = Told::Yes(words(status)),
                Effect::Refused { what, why: why @ (Why::Unknown | Why::NotListed(_) | Why::NotPresent) } => {
                    told = Told::Unknown(format!("{what}: {why}\n"));
                    break;
                }
                Effect::Refused { what, why } => {
                    told = Told::No(format!("{what}: {why}\n"));
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
        let (role, term, leader) = self.node.role();
        let leader = leader.map_or("none", |l| &l.0);
        let mut out = format!("accord me={} role={role:?} term={term} leader={leader}\n", self.settings.me);
        let now = self.clock.now();
        let (commit, applied) = (self.node.commit().0, self.ledger.applied.0);
        let _ = writeln!(out, "log commit={commit} applied={applied} lease={}", self.front.leased(now));
        let view = self.view.lock();
        for m in &view.members {
            let _ = writeln!(out, "member {} hall={} state={:?}", m.member, m.hall, m.state);
        }
        let (figures, counts) = (&view.figures, self.node.counts());
        let _ = writeln!(out, "membership {figures}");
        let _ = writeln!(out, "frames {:?}", self.counts);
        let _ = writeln!(
            out,
            "refused {counts:?} commands={} unread={}",
            self.ledger.desk.refused(),
            self.ledger.unread
        );
        for (subject, verdict) in &view.doubts {
            let _ = writeln!(out, "doubt {subject} doubt={:.2} sources={}", verdict.doubt, verdict.sources);
        }
        for (name, _) in self.ledger.desk.open() {
            if let Some(status) = self.ledger.desk.status(name) {
                out.push_str(&words(&status));
            }
        }
        for id in self.ledger.desk.out() {
            let _ = writeln!(out, "out {id}");
        }
        out
    }
}
