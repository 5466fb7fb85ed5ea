//! What the machine that follows is told, and does.
use super::connection::{call, Out};
use super::host::{Calling, Host};
use super::mail::Decide;
use crate::{frames, links};
use backoff::Failure;
use config_distribution::{
    Change, RelayEvent, RelayMessage, SubscriberAction, SubscriberEvent, SubscriberMessage,
};

impl Host {
    /// What was kept is in force before anything is heard.
    pub(super) fn begin(&mut self) {
        let Some(subscriber) = &mut self.subscriber else { return };
        let mut out = Vec::new();
        subscriber.start(&mut out);
        self.follow_actions(out);
    }

    /// Tells the machine something and does what it says.
    pub(super) fn follow(&mut self, event: SubscriberEvent) {
        let now = self.clock.now();
        let Some(subscriber) = &mut self.subscriber else { return };
        let mut out = Vec::new();
        subscriber.handle(now, event, &mut out);
        self.follow_actions(out);
        self.passed();
    }

    /// The call that is followed.
    pub(super) fn followed(&self) -> Option<u64> {
        self.subscriber.as_ref().and_then(|s| s.followed_connection())
    }

    pub(super) fn up(&mut self, call: u64, out: Out) {
        if let Some(calling) = self.calls.get_mut(&call) {
            calling.out = Some(out);
            self.follow(SubscriberEvent::Connected { connection: call });
        }
    }

    pub(super) fn down(&mut self, call: u64, carried: Option<u64>) {
        let Some(gone) = self.calls.remove(&call) else { return };
        self.called.remove(&call);
        gone.task.detach();
        let failure = match carried {
            None => Failure::Down,
            Some(0) => Failure::Overbooked,
            Some(_) => Failure::Ended,
        };
        self.follow(SubscriberEvent::Disconnected { connection: call, failure });
    }

    pub(super) fn told(&mut self, call: u64, message: RelayMessage) {
        self.heard = self.clock.now();
        if let (RelayMessage::Reports(reports), true) = (&message, self.followed() == Some(call)) {
            self.serve(RelayEvent::PeerReports(reports.clone()));
        }
        self.follow(SubscriberEvent::Message { connection: call, message });
    }

    /// Sends to the relay of a call.
    pub(super) fn say(&mut self, call: u64, message: &SubscriberMessage) {
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

    fn follow_actions(&mut self, actions: Vec<SubscriberAction>) {
        for action in actions {
            match action {
                SubscriberAction::Connect { connection: call, relay } => self.connect(call, relay),
                SubscriberAction::Close { connection: call } => {
                    self.called.remove(&call);
                    // One that is up ends by itself once nothing more can be handed in.
                    if let Some(Calling { task, out: Some(out) }) = self.calls.remove(&call) {
                        out.why.set("left");
                        task.detach();
                    }
                }
                SubscriberAction::Send { connection: call, message } => self.say(call, &message),
                SubscriberAction::Apply { is_snapshot, changes } => self.decide(is_snapshot, changes),
                SubscriberAction::Persist(bytes) => {
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
        self.follow(SubscriberEvent::ApplyFinished { rejected: vec![] });
        let Some(held) = self.subscriber.as_ref().map(|s| (s.state().log_id(), s.state().up_to())) else {
            return;
        };
        let (lineage, upto) = held;
        let Some(relay) = &mut self.relay else { return };
        if whole {
            let mut catalogue = relay.catalogue().clone();
            catalogue.restore(lineage, &changes, upto);
            return self.restored(catalogue);
        }
        relay.catalogue_mut().merge(&changes, upto);
        self.serve(RelayEvent::CatalogueChanged(changes));
    }

    /// A relay holds all up to where it has heard that nothing more has changed.
    fn passed(&mut self) {
        let (Some(relay), Some(subscriber)) = (&mut self.relay, &self.subscriber) else { return };
        let (held, catalogue) = (subscriber.state(), relay.catalogue_mut());
        if held.log_id() == catalogue.log_id() && held.up_to() > catalogue.applied() {
            catalogue.advance(held.up_to());
        }
        // Subscribers are told how old what they hear is.
        relay.set_isolated_since(subscriber.isolated_since());
    }
}
