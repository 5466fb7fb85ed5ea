//! Runs the relay: carries out what it asks for.
use crate::distribution::host::{Host, Link};
use crate::distribution::outbox::Outbox;
use crate::frame;
use crate::log_thread::LogMessage;
use crate::network_thread::framing::append_frame;
use cluster_types::MemberId;
use config_distribution::{
    Catalogue, CloseReason, RelayAction, RelayEvent, RelayMessage, Report, SubscriberMessage,
};

/// The reason code of a connection that was closed because too much waits on it.
pub(crate) const CLOSE_CODE_BOUND: &str = "bound";

impl Host {
    /// Hands an event to the relay and carries out the actions.
    pub(crate) fn handle_relay_event(&mut self, event: RelayEvent) {
        let now = self.clock.now();
        let Some(relay) = &mut self.relay else { return };
        let mut actions = Vec::new();
        relay.handle(now, event, &mut actions);
        self.carry_out_relay_actions(actions);
    }

    /// Serves another catalogue from now on.
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

    pub(crate) fn add_link(&mut self, link: u64, name: MemberId, outbox: Outbox) {
        let subscriber = name.0.to_string().into();
        self.links.insert(link, Link { name, outbox: Some(outbox) });
        self.handle_relay_event(RelayEvent::Connected { connection: link, name: subscriber });
    }

    pub(crate) fn remove_link(&mut self, link: u64, name: Option<MemberId>) {
        self.links.remove(&link);
        self.handle_relay_event(RelayEvent::Disconnected { connection: link });
        // No link of that name is left: its keys may be forgotten where there are too many.
        if let Some(name) = name.filter(|name| !self.links.values().any(|link| link.name == *name)) {
            self.context.opener.borrow_mut().allow_eviction(&name);
            self.context.sealer.borrow_mut().forget_incarnation(&name);
        }
    }

    fn carry_out_relay_actions(&mut self, actions: Vec<RelayAction>) {
        for action in actions {
            match action {
                RelayAction::Send { connection: link, message } => self.send_to_subscriber(link, &message),
                RelayAction::Close { connection: link, reason } => {
                    self.close_link(link, close_code(reason));
                }
                RelayAction::ShareReports(reports) => self.send_reports(reports),
            }
        }
    }

    /// Closes a link; it stays known until its connection has ended.
    fn close_link(&mut self, link: u64, code: &'static str) {
        let outbox = self.links.get_mut(&link).and_then(|link| link.outbox.take());
        if let Some(outbox) = outbox {
            outbox.set_close_code(code);
        }
    }

    fn send_to_subscriber(&mut self, link: u64, message: &RelayMessage) {
        let Some(Link { name, outbox: Some(outbox) }) = self.links.get(&link) else { return };
        let mut bytes = Vec::new();
        let is_sealed = frame::encode(message)
            .is_ok_and(|body| append_frame(&mut bytes, Some(name), &body, &self.context.sealer).is_ok());
        if !is_sealed || !outbox.send(bytes) {
            // Guards memory: a subscriber that does not read is disconnected, and asks again for what is newest then.
            self.cut_connections += 1;
            self.close_link(link, CLOSE_CODE_BOUND);
        }
    }

    /// Sends rollout reports: a voter to the other control members, a relay to the one that it follows.
    fn send_reports(&mut self, reports: Vec<Report>) {
        if let Some(log_thread) = &self.log_thread {
            // Reports that find no room are replaced by those of the next second.
            drop(log_thread.try_send(LogMessage::Reports(reports)));
        } else if let Some(call) = self.followed_call() {
            let me = self.settings.me.clone();
            for report in reports.into_iter().filter(|report| *report.relay == *me.0) {
                self.send_to_relay(call, &SubscriberMessage::Report(report));
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
