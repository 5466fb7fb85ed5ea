//! Runs the relay and executes its actions.
use crate::distribution::host::{Host, SubscriberConnection};
use crate::distribution::outbox::Outbox;
use crate::frame;
use crate::log_thread::LogMessage;
use crate::network_thread::framing::append_frame;
use cluster_types::MemberId;
use config_distribution::{
    Catalogue, CloseReason, RelayAction, RelayEvent, RelayMessage, Report, SubscriberMessage,
};

/// The reason code of a connection that was closed because its outbox is full.
pub(crate) const CLOSE_CODE_OUTBOX_FULL: &str = "bound";

impl Host {
    /// Passes an event to the relay and executes the resulting actions.
    pub(crate) fn handle_relay_event(&mut self, event: RelayEvent) {
        let now = self.clock.now();
        let Some(relay) = &mut self.relay else { return };
        let mut actions = Vec::new();
        relay.handle(now, event, &mut actions);
        self.carry_out_relay_actions(actions);
    }

    /// Replaces the catalogue that the relay serves.
    pub(crate) fn replace_catalogue(&mut self, catalogue: Catalogue) {
        let now = self.clock.now();
        let Some(relay) = &mut self.relay else { return };
        *relay.catalogue_mut() = catalogue;
        let mut actions = Vec::new();
        relay.catalogue_replaced(now, &mut actions);
        let catalogue = relay.catalogue();
        let (log_id, index) = (catalogue.log_id(), catalogue.applied().0);
        (self.log)(&format!("changes log_id={log_id} index={index}"));
        self.carry_out_relay_actions(actions);
    }

    pub(crate) fn add_subscriber_connection(&mut self, connection_id: u64, name: MemberId, outbox: Outbox) {
        let subscriber = name.0.to_string().into();
        self.subscriber_connections
            .insert(connection_id, SubscriberConnection { name, outbox: Some(outbox) });
        self.handle_relay_event(RelayEvent::Connected { connection: connection_id, name: subscriber });
    }

    pub(crate) fn remove_subscriber_connection(&mut self, connection_id: u64, name: Option<MemberId>) {
        self.subscriber_connections.remove(&connection_id);
        self.handle_relay_event(RelayEvent::Disconnected { connection: connection_id });
        // No connection of that name is left: its replay state may be evicted, and its incarnation is forgotten.
        if let Some(name) = name
            .filter(|name| !self.subscriber_connections.values().any(|connection| connection.name == *name))
        {
            self.context.opener.borrow_mut().allow_eviction(&name);
            self.context.sealer.borrow_mut().forget_incarnation(&name);
        }
    }

    fn carry_out_relay_actions(&mut self, actions: Vec<RelayAction>) {
        for action in actions {
            match action {
                RelayAction::Send { connection: connection_id, message } => {
                    self.send_to_subscriber(connection_id, &message)
                }
                RelayAction::Close { connection: connection_id, reason } => {
                    self.close_subscriber_connection(connection_id, close_code(reason));
                }
                RelayAction::ShareReports(reports) => self.send_reports(reports),
            }
        }
    }

    /// Closes a subscriber's connection, which stays registered until it has ended.
    fn close_subscriber_connection(&mut self, connection_id: u64, code: &'static str) {
        let outbox = self
            .subscriber_connections
            .get_mut(&connection_id)
            .and_then(|connection| connection.outbox.take());
        if let Some(outbox) = outbox {
            outbox.set_close_code(code);
        }
    }

    fn send_to_subscriber(&mut self, connection_id: u64, message: &RelayMessage) {
        let Some(SubscriberConnection { name, outbox: Some(outbox) }) =
            self.subscriber_connections.get(&connection_id)
        else {
            return;
        };
        let mut bytes = Vec::new();
        let is_sealed = frame::encode(message)
            .is_ok_and(|body| append_frame(&mut bytes, Some(name), &body, &self.context.sealer).is_ok());
        if !is_sealed || !outbox.send(bytes) {
            // Bounds memory: a subscriber that does not read is disconnected, and requests the newest state when it reconnects.
            self.outbox_overflows += 1;
            self.close_subscriber_connection(connection_id, CLOSE_CODE_OUTBOX_FULL);
        }
    }

    /// Sends rollout reports: a voter to the other control members, a relay to the relay that it follows.
    fn send_reports(&mut self, reports: Vec<Report>) {
        if let Some(log_thread) = &self.log_thread {
            // Reports that do not fit into the mailbox are dropped; the next second's reports replace them.
            drop(log_thread.try_send(LogMessage::Reports(reports)));
        } else if let Some(connection_id) = self.followed_connection() {
            let own_id = self.settings.own_id.clone();
            for report in reports.into_iter().filter(|report| *report.relay == *own_id.0) {
                self.send_to_relay(connection_id, &SubscriberMessage::Report(report));
            }
        }
    }
}

/// The reason code of a connection that the relay closes.
fn close_code(reason: CloseReason) -> &'static str {
    match reason {
        CloseReason::RetryLater => "later",
        CloseReason::ReplyTimeout => "slow",
        CloseReason::ProtocolError => "bad",
        CloseReason::Replaced => "replaced",
    }
}
