//! What the machine that follows is told, and does.
use super::connection::{call, Out};
use super::host::{Calling, Host};
use super::mail::Decide;
use crate::{frames, links};
use backoff::Failure;
use config_distribution::{Action, Change, Event, FromRelay, RelayEvent, ToRelay};

impl Host {
    /// What was kept is in force before anything is heard.
    pub(super) fn begin(&mut self) {
        let Some(subscriber) = &mut self.subscriber else { return };
        let mut out = Vec::new();
        subscriber.begin(&mut out);
        self.follow_actions(out);
    }

    /// Tells the machine something and does what it says.
    pub(super) fn follow(&mut self, event: Event) {
        let now = self.clock.now();
        let Some(subscriber) = &mut self.subscriber else { return };
        let mut out = Vec::new();
        subscriber.handle(now, event, &mut out);
        self.follow_actions(out);
        self.passed();
    }

    /// The call that is followed.
    pub(super) fn followed(&self) -> Option<u64> {
        self.subscriber.as_ref().and_then(|s| s.follows())
    }

    pub(super) fn up(&mut self, call: u64, out: Out) {
        if let Some(calling) = self.calls.get_mut(&call) {
            calling.out = Some(out);
            self.follow(Event::Up { call });
        }
    }

    pub(super) fn down(&mut self, call: u64, carried: Option<u64>) {
        let Some(gone) = self.calls.remove(&call) else { return };
        self.called.remove(&call);
        gone.task.detach();
        let failure = match carried {
            None => Failure::Down,
            Some(0) => Failure::Overloaded,
            Some(_) => Failure::Ended,
        };
        self.follow(Event::Down { call, failure });
    }

    pub(super) fn told(&mut self, call: u64, message: FromRelay) {
        self.heard = self.clock.now();
        if let (FromRelay::Fleet(reports), true) = (&message, self.followed() == Some(call)) {
            self.serve(RelayEvent::Reports(reports.clone()));
        }
        self.follow(Event::Message { call, message });
    }

    /// Sends to the relay of a call.
    pub(super) fn say(&mut self, call: u64, message: &ToRelay) {
        let Some((relay, out)) =
            self.calls.get(&call).and_then(|c| Some((self.called.get(&call)?, c.out.as_ref()?)))
        else {
            return;
        };
        let (mut bytes, body) = (Vec::new(), frames::write(message).unwrap_or_default());
        if !links::put(&mut bytes, Some(relay), &body, &self.shared.sealer) || !out.send(bytes) {
            self.cut += 1;
            out.why.set("bound");
            if let Some(calling) = self.calls.get_mut(&call) {
                calling.out = None;
            }
        }
    }

    fn follow_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Connect { call, relay } => self.connect(call, relay),
                Action::Close { call } => {
                    self.called.remove(&call);
                    // One that is up ends by itself once nothing more can be handed in.
                    if let Some(Calling { task, out: Some(out) }) = self.calls.remove(&call) {
                        out.why.set("left");
                        task.detach();
                    }
                }
                Action::Send { call, message } => self.say(call, &message),
                Action::Decide { whole, changes } => self.decide(whole, changes),
                Action::Keep(bytes) => {
                    if let Some(keep) = &self.keep {
                        let _ = keep.force_send(bytes);
                    }
                }
            }
        }
    }

    fn connect(&mut self, number: u64, relay: usize) {
        let Some(relay) = self.settings.relays.get(relay) else { return };
        let (at, log, name) = (relay.at, self.log, relay.name.clone());
        let work = call(number, (name.clone(), at), self.shared.clone());
        let task = self.executor.spawn(async move {
            let (carried, reason) = work.await;
            log(&format!("conn kind=relay peer={at} carried={carried} reason={reason}"));
        });
        self.called.insert(number, name);
        self.calls.insert(number, Calling { task, out: None });
    }

    /// A front decides on its own thread; a relay takes in what it is told, and hands it on.
    fn decide(&mut self, whole: bool, changes: Vec<Change>) {
        if self.relay.is_none() {
            // One at a time, so there is room.
            let _ = self.to_front.try_send(Decide { whole, changes });
            return;
        }
        self.follow(Event::Decided { refused: vec![] });
        let Some(held) = self.subscriber.as_ref().map(|s| (s.held().lineage(), s.held().upto())) else {
            return;
        };
        let (lineage, upto) = held;
        let Some(relay) = &mut self.relay else { return };
        if whole {
            let mut catalogue = relay.catalogue().clone();
            catalogue.restore(lineage, &changes, upto);
            return self.restored(catalogue);
        }
        relay.catalogue_mut().take(&changes, upto);
        self.serve(RelayEvent::Applied(changes));
    }

    /// A relay holds all up to where it has heard that nothing more has changed.
    fn passed(&mut self) {
        let (Some(relay), Some(subscriber)) = (&mut self.relay, &self.subscriber) else { return };
        let (held, catalogue) = (subscriber.held(), relay.catalogue_mut());
        if held.lineage() == catalogue.lineage() && held.upto() > catalogue.applied() {
            catalogue.pass(held.upto());
        }
        // Subscribers are told how old what they hear is.
        relay.set_alone(subscriber.alone());
    }
}
