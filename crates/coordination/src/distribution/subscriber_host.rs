//! Runs the subscriber and executes its actions.
use crate::distribution::connection::follow_relay;
use crate::distribution::host::{Host, RelayConnection};
use crate::distribution::outbox::Outbox;
use crate::distribution::query::ConfigUpdate;
use crate::distribution::relay_host::CLOSE_CODE_OUTBOX_FULL;
use crate::frame;
use crate::network_thread::framing::append_frame;
use crate::network_thread::ConnectionEnd;
use backoff::Failure;
use config_distribution::{
    Change, RelayEvent, RelayMessage, SubscriberAction, SubscriberEvent, SubscriberMessage,
};

/// The reason code of a connection that this subscriber closes.
const CLOSE_CODE_DISCONNECTED: &str = "left";

impl Host {
    /// Applies the saved configuration, before any message of a relay is received.
    pub(crate) fn apply_saved_config(&mut self) {
        let Some(subscriber) = &mut self.subscriber else { return };
        let mut actions = Vec::new();
        subscriber.start(&mut actions);
        self.carry_out_subscriber_actions(actions);
    }

    /// Passes an event to the subscriber and executes the resulting actions.
    pub(crate) fn handle_subscriber_event(&mut self, event: SubscriberEvent) {
        let now = self.clock.now();
        let Some(subscriber) = &mut self.subscriber else { return };
        let mut actions = Vec::new();
        subscriber.handle(now, event, &mut actions);
        self.carry_out_subscriber_actions(actions);
        self.update_relay_position();
    }

    /// The id of the connection to the relay that is currently followed.
    pub(crate) fn followed_connection(&self) -> Option<u64> {
        self.subscriber.as_ref().and_then(|subscriber| subscriber.followed_connection())
    }

    pub(crate) fn note_relay_connected(&mut self, connection_id: u64, outbox: Outbox) {
        if let Some(connection) = self.relay_connections.get_mut(&connection_id) {
            connection.outbox = Some(outbox);
            self.handle_subscriber_event(SubscriberEvent::Connected { connection: connection_id });
        }
    }

    pub(crate) fn note_relay_disconnected(&mut self, connection_id: u64, frames: Option<u64>) {
        let Some(ended) = self.relay_connections.remove(&connection_id) else { return };
        ended.task.detach();
        let failure = match frames {
            None => Failure::Down,
            Some(0) => Failure::Overloaded,
            Some(_) => Failure::Ended,
        };
        self.handle_subscriber_event(SubscriberEvent::Disconnected { connection: connection_id, failure });
    }

    pub(crate) fn handle_relay_message(&mut self, connection_id: u64, message: RelayMessage) {
        self.relay_message_at = self.clock.now();
        if let RelayMessage::Reports(reports) = &message {
            if self.followed_connection() == Some(connection_id) {
                self.handle_relay_event(RelayEvent::PeerReports(reports.clone()));
            }
        }
        self.handle_subscriber_event(SubscriberEvent::Message { connection: connection_id, message });
    }

    /// Sends a message to the relay of a connection.
    pub(crate) fn send_to_relay(&mut self, connection_id: u64, message: &SubscriberMessage) {
        let Some(connection) = self.relay_connections.get_mut(&connection_id) else { return };
        let Some(outbox) = &connection.outbox else { return };
        let mut bytes = Vec::new();
        let is_sealed = frame::encode(message).is_ok_and(|body| {
            append_frame(&mut bytes, Some(&connection.relay), &body, &self.context.sealer).is_ok()
        });
        if !is_sealed || !outbox.send(bytes) {
            self.outbox_overflows += 1;
            outbox.set_close_code(CLOSE_CODE_OUTBOX_FULL);
            connection.outbox = None;
        }
    }

    fn carry_out_subscriber_actions(&mut self, actions: Vec<SubscriberAction>) {
        for action in actions {
            match action {
                SubscriberAction::Connect { connection: connection_id, relay } => {
                    self.connect(connection_id, relay)
                }
                SubscriberAction::Close { connection: connection_id } => {
                    self.close_relay_connection(connection_id)
                }
                SubscriberAction::Send { connection: connection_id, message } => {
                    self.send_to_relay(connection_id, &message)
                }
                SubscriberAction::Apply { is_snapshot, changes } => self.apply_update(is_snapshot, changes),
                SubscriberAction::Persist(bytes) => {
                    if let Some(saver) = &self.saver {
                        // This replaces an older configuration that still waits. The receiving thread runs until the process
                        // exits.
                        drop(saver.force_send(bytes));
                    }
                }
            }
        }
    }

    fn close_relay_connection(&mut self, connection_id: u64) {
        // An established connection ends once its outbox is dropped; one that is still being established is cancelled by dropping
        // its task.
        if let Some(RelayConnection { task, outbox: Some(outbox), .. }) =
            self.relay_connections.remove(&connection_id)
        {
            outbox.set_close_code(CLOSE_CODE_DISCONNECTED);
            task.detach();
        }
    }

    fn connect(&mut self, connection_id: u64, relay: usize) {
        let Some(upstream) = self.settings.relays.get(relay) else { return };
        let (relay, address, log) = (upstream.name.clone(), upstream.address, self.log);
        let connection = follow_relay(connection_id, relay.clone(), address, self.context.clone());
        let task = self.executor.spawn(async move {
            let ConnectionEnd { frames, reason } = connection.await;
            log(&format!("conn kind=relay peer={address} carried={frames} reason={reason}"));
        });
        self.relay_connections.insert(connection_id, RelayConnection { relay, task, outbox: None });
    }

    /// Applies an update: a subscriber sends it to the gateway, which applies it on another thread; a relay adds it to its
    /// catalogue and serves it.
    fn apply_update(&mut self, is_complete: bool, changes: Vec<Change>) {
        if self.relay.is_none() {
            // The subscriber emits one update at a time, so the channel has room for it.
            drop(self.gateway.try_send(ConfigUpdate { is_complete, changes }));
            return;
        }
        self.handle_subscriber_event(SubscriberEvent::ApplyFinished { rejected: vec![] });
        let (Some(subscriber), Some(relay)) = (&self.subscriber, &mut self.relay) else { return };
        let (log_id, up_to) = (subscriber.state().log_id(), subscriber.state().up_to());
        if is_complete {
            let mut catalogue = relay.catalogue().clone();
            catalogue.restore(log_id, &changes, up_to);
            self.replace_catalogue(catalogue);
        } else {
            relay.catalogue_mut().merge(&changes, up_to);
            self.handle_relay_event(RelayEvent::CatalogueChanged(changes));
        }
    }

    /// Tells the relay up to which version its catalogue is current, and since when it is isolated itself.
    fn update_relay_position(&mut self) {
        let (Some(relay), Some(subscriber)) = (&mut self.relay, &self.subscriber) else { return };
        let (subscriber_state, catalogue) = (subscriber.state(), relay.catalogue_mut());
        if subscriber_state.log_id() == catalogue.log_id() && subscriber_state.up_to() > catalogue.applied() {
            catalogue.advance(subscriber_state.up_to());
        }
        // The relay tells its subscribers how old the configuration is.
        relay.set_isolated_since(subscriber.isolated_since());
    }
}
