//! What the log and the front's own side say is done here.
use crate::core::Core;
use crate::frames::Frame;
use crate::ledger::{Cataloged, Ledger, What};
use crate::mail::ToFront;
use crate::store::Write;
use cluster_types::{Index, Time};
use consensus::{Action, Event, Rejection};
use maintenance::{Command, Effect, Report};
use std::sync::mpsc::TrySendError;

impl Core {
    /// Tells the log's machine something and does what it says.
    pub fn log_event(&mut self, event: Event) {
        let now = self.clock.now();
        let mut out = Vec::new();
        self.node.handle(now, event, &mut out);
        for action in out {
            self.log_action(now, action);
        }
    }

    fn log_action(&mut self, now: Time, action: Action) {
        match action {
            Action::Send { to, message } => {
                let life = self.life;
                self.send(&to, &Frame::Log { life, message });
            }
            Action::Persist(batch) => {
                let id = batch.id;
                if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
                    self.disk.try_send(Write::Batch(batch))
                {
                    // Guards promises: what is not even handed to the disk is not on it.
                    self.log_event(Event::PersistFailed { batch_id: id });
                }
            }
            Action::Apply { index, data, .. } => {
                let applied = self.ledger.apply(index, &data);
                self.changed = true;
                for effect in &applied.effects {
                    self.tell(effect);
                }
                self.cataloged(&applied.catalogue);
                if let Some((_, ticket)) = applied.by.filter(|(by, _)| *by == self.settings.me) {
                    match applied.catalogue {
                        Cataloged::Ordered(version, _) => self.ordered(ticket, version),
                        _ => self.settled(ticket, &applied.effects),
                    }
                }
            }
            Action::Restore { index, data } => match Ledger::restore(&data) {
                Some(ledger) => {
                    self.ledger = ledger;
                    self.changed = true;
                    self.cataloged(&Cataloged::Founded);
                    (self.log)(&format!("accord restored upto={}", index.0));
                }
                // Nothing may rest on half a state.
                None => {
                    (self.log)("accord error=a snapshot can't be read; this front follows nothing any more")
                }
            },
            Action::SnapshotRequested { last_index: upto } => {
                if let Some(data) = self.ledger.snapshot() {
                    let upto = Index(upto.0.max(self.ledger.applied.0));
                    self.log_event(Event::SnapshotTaken { last_index: upto, data: data.into() });
                }
            }
            Action::Committed { ticket, .. } => {
                self.proposed.remove(&ticket);
            }
            Action::Rejected { ticket, reason: why } => {
                self.proposed.remove(&ticket);
                if !matches!(why, Rejection::NotLeader(_)) {
                    (self.log)(&format!("accord proposal refused={why:?}"));
                }
            }
            Action::Readable { .. } => {}
            Action::RoleChanged { role, term, leader } => {
                let leader = leader.as_ref().map_or("none", |l| &l.0);
                (self.log)(&format!("accord role={role:?} term={term} leader={leader}"));
                // A leader begins with nothing of what an earlier one knew.
                self.watch = maintenance::StageTimer::new();
                self.proposed.clear();
                self.leases.clear();
            }
        }
        let _ = now;
    }

    /// A line of the log for what operators wait for.
    fn tell(&self, effect: &Effect) {
        let names = |boxes: &std::collections::BTreeSet<cluster_types::BackendId>| {
            boxes.iter().map(|b| b.0.to_string()).collect::<Vec<_>>().join(",")
        };
        let line = match effect {
            Effect::Drain { grant, backends: boxes } => {
                format!("accord drain grant={} boxes={}", grant.0, names(boxes))
            }
            Effect::Drained { grant, name, backends: boxes } => {
                format!("accord open grant={} wish={name} boxes={}", grant.0, names(boxes))
            }
            Effect::Recovering { backend: id, step: number, stage } => {
                format!("accord return box={id} number={} stage={stage:?}", number.0)
            }
            Effect::InService { backend: id } => format!("accord in box={id}"),
            Effect::DeadlineMissed { name, backends: boxes } => {
                format!("accord missed wish={name} boxes={}", names(boxes))
            }
            Effect::Overdue { grant, name, backends: boxes } => {
                format!("accord overdue grant={} wish={name} boxes={}", grant.0, names(boxes))
            }
            Effect::Unlisted { name, backend: id } => format!("accord gone wish={name} box={id}"),
            Effect::Ended(status) => format!("accord ended wish={}", status.name),
            Effect::Status(_) | Effect::Rejected { .. } => return,
        };
        (self.log)(&line);
    }

    /// Tells the front's own side something and does what it says.
    pub fn own(&mut self, now: Time, event: maintenance::Event) {
        let mut out = Vec::new();
        self.front.handle(now, event, &mut out);
        for action in out {
            self.own_action(now, action);
        }
    }

    /// Does what the front's own side says.
    pub fn own_action(&mut self, now: Time, action: maintenance::Action) {
        match action {
            maintenance::Action::Drain { backend: id, order: grant } => {
                self.late.push_back(ToFront::Drain { id, grant })
            }
            maintenance::Action::Undrain { backend: id, quota: share } => {
                self.late.push_back(ToFront::Undrain { id, share })
            }
            maintenance::Action::Report(report) => {
                let member = self.settings.me.clone();
                let command = match report {
                    Report::Drained { grant } => Command::ReportDrained { grant, member },
                    Report::StageAcknowledged { backend, step } => {
                        Command::AcknowledgeStage { backend, step, member }
                    }
                };
                // It makes its report again by itself, so nobody waits for this one.
                self.forward(now, 0, What::Maintenance(command));
            }
            maintenance::Action::Persist { serial, orders: kept } => {
                if let Ok(bytes) = postcard::to_stdvec(&kept) {
                    let _ = self.disk.try_send(Write::Kept(serial, bytes));
                }
            }
        }
    }

    /// Hands on what waits, and tells the front's own side of new orders.
    pub fn follow(&mut self, now: Time) {
        if std::mem::take(&mut self.changed) {
            let (index, orders) = (self.ledger.applied, self.ledger.desk.orders(&self.settings.me));
            self.own(now, maintenance::Event::Orders { index, orders });
        }
        self.own(now, maintenance::Event::Tick);
        while let Some(letter) = self.late.pop_front() {
            if let Err(e) = self.to_front.try_send(letter) {
                // Guards the order of letters: the next turn goes on with this one.
                if let async_channel::TrySendError::Full(letter) = e {
                    self.late.push_front(letter);
                }
                return;
            }
        }
    }
}
