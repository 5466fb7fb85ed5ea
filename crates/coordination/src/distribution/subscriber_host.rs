//! Runs the subscriber: carries out what it asks for.
use crate::distribution::connection::follow_relay;
use crate::distribution::host::{Call, Host};
use crate::distribution::outbox::Outbox;
use crate::distribution::query::ConfigUpdate;
use crate::distribution::relay_host::CLOSE_CODE_BOUND;
use crate::frame;
use crate::network_thread::framing::append_frame;
use crate::network_thread::ConnectionEnd;
use backoff::Failure;
use config_distribution::{
    Change, RelayEvent, RelayMessage, SubscriberAction, SubscriberEvent, SubscriberMessage,
};

/// The reason code of a connection that this subscriber ends.
const CLOSE_CODE_LEFT: &str = "left";

impl Host {
    /// Applies the saved configuration before any message of a relay arrives.
    pub(crate) fn apply_saved_config(&mut self) {
        let Some(subscriber) = &mut self.subscriber else { return };
        let mut actions = Vec::new();
        subscriber.start(&mut actions);
        self.carry_out_subscriber_actions(actions);
    }

    /// Hands an event to the subscriber and carries out the actions.
    pub(crate) fn handle_subscriber_event(&mut self, event: SubscriberEvent) {
        let now = self.clock.now();
        let Some(subscriber) = &mut self.subscriber else { return };
        let mut actions = Vec::new();
        subscriber.handle(now, event, &mut actions);
        self.carry_out_subscriber_actions(actions);
        self.update_relay_position();
    }

    /// The call whose relay is followed.
    pub(crate) fn followed_call(&self) -> Option<u64> {
        self.subscriber.as_ref().and_then(|subscriber| subscriber.followed_connection())
    }

    pub(crate) fn note_established(&mut self, call: u64, outbox: Outbox) {
        if let Some(known) = self.calls.get_mut(&call) {
            known.outbox = Some(outbox);
            self.handle_subscriber_event(SubscriberEvent::Connected { connection: call });
        }
    }

    pub(crate) fn note_ended(&mut self, call: u64, frames: Option<u64>) {
        let Some(ended) = self.calls.remove(&call) else { return };
        ended.task.detach();
        let failure = match frames {
            None => Failure::Down,
            Some(0) => Failure::Overloaded,
            Some(_) => Failure::Ended,
        };
        self.handle_subscriber_event(SubscriberEvent::Disconnected { connection: call, failure });
    }

    pub(crate) fn handle_relay_message(&mut self, call: u64, message: RelayMessage) {
        self.relay_message_at = self.clock.now();
        if let RelayMessage::Reports(reports) = &message {
            if self.followed_call() == Some(call) {
                self.handle_relay_event(RelayEvent::PeerReports(reports.clone()));
            }
        }
        self.handle_subscriber_event(SubscriberEvent::Message { connection: call, message });
    }

    /// Sends a message to the relay of a call.
    pub(crate) fn send_to_relay(&mut self, call: u64, message: &SubscriberMessage) {
        let Some(known) = self.calls.get_mut(&call) else { return };
        let Some(outbox) = &known.outbox else { return };
        let mut bytes = Vec::new();
        let is_sealed = frame::encode(message).is_ok_and(|body| {
            append_frame(&mut bytes, Some(&known.relay), &body, &self.context.sealer).is_ok()
        });
        if !is_sealed || !outbox.send(bytes) {
            self.cut_connections += 1;
            outbox.set_close_code(CLOSE_CODE_BOUND);
            known.outbox = None;
        }
    }

    fn carry_out_subscriber_actions(&mut self, actions: Vec<SubscriberAction>) {
        for action in actions {
            match action {
                SubscriberAction::Connect { connection: call, relay } => self.connect(call, relay),
                SubscriberAction::Close { connection: call } => self.close_call(call),
                SubscriberAction::Send { connection: call, message } => self.send_to_relay(call, &message),
                SubscriberAction::Apply { is_snapshot, changes } => self.apply_update(is_snapshot, changes),
                SubscriberAction::Persist(bytes) => {
                    if let Some(saver) = &self.saver {
                        // The newest replaces one that waits; the saver ends with the program only.
                        drop(saver.force_send(bytes));
                    }
                }
            }
        }
    }

    fn close_call(&mut self, call: u64) {
        // A connection that is established ends by itself once its outbox is dropped; another one is cancelled with its task.
        if let Some(Call { task, outbox: Some(outbox), .. }) = self.calls.remove(&call) {
            outbox.set_close_code(CLOSE_CODE_LEFT);
            task.detach();
        }
    }

    fn connect(&mut self, call: u64, relay: usize) {
        let Some(upstream) = self.settings.relays.get(relay) else { return };
        let (relay, address, log) = (upstream.name.clone(), upstream.address, self.log);
        let connection = follow_relay(call, relay.clone(), address, self.context.clone());
        let task = self.executor.spawn(async move {
            let ConnectionEnd { frames, reason } = connection.await;
            log(&format!("conn kind=relay peer={address} carried={frames} reason={reason}"));
        });
        self.calls.insert(call, Call { relay, task, outbox: None });
    }

    /// Hands an update to the gateway, which decides on a thread of its own; a relay takes it into its catalogue and serves it.
    fn apply_update(&mut self, is_complete: bool, changes: Vec<Change>) {
        if self.relay.is_none() {
            // The subscriber hands out one update at a time, so that there is room.
            drop(self.gateway.try_send(ConfigUpdate { is_complete, changes }));
            return;
        }
        self.handle_subscriber_event(SubscriberEvent::ApplyFinished { rejected: vec![] });
        let (Some(subscriber), Some(relay)) = (&self.subscriber, &mut self.relay) else { return };
        let (log_id, upto) = (subscriber.state().log_id(), subscriber.state().up_to());
        if is_complete {
            let mut catalogue = relay.catalogue().clone();
            catalogue.restore(log_id, &changes, upto);
            self.replace_catalogue(catalogue);
        } else {
            relay.catalogue_mut().merge(&changes, upto);
            self.handle_relay_event(RelayEvent::CatalogueChanged(changes));
        }
    }

    /// Lets the relay know up to where nothing more has changed, and whether it is cut off itself.
    fn update_relay_position(&mut self) {
        let (Some(relay), Some(subscriber)) = (&mut self.relay, &self.subscriber) else { return };
        let (held, catalogue) = (subscriber.state(), relay.catalogue_mut());
        if held.log_id() == catalogue.log_id() && held.up_to() > catalogue.applied() {
            catalogue.advance(held.up_to());
        }
        // The relay sends its subscribers how old the configuration is.
        relay.set_isolated_since(subscriber.isolated_since());
    }
}
