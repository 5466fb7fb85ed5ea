//! What the machine that serves is told, and does.
use super::connection::Out;
use super::host::Host;
use crate::core::Inbox;
use crate::{frames, links};
use cluster_types::MemberId;
use config_distribution::{
    Catalogue, CloseReason, RelayAction, RelayEvent, RelayMessage, Report, SubscriberMessage,
};

impl Host {
    /// Tells the machine something and does what it says.
    pub(super) fn serve(&mut self, event: RelayEvent) {
        let now = self.clock.now();
        let Some(relay) = &mut self.relay else { return };
        let mut out = Vec::new();
        relay.handle(now, event, &mut out);
        self.serve_actions(out);
    }

    /// What is served is another catalogue now.
    pub(super) fn restored(&mut self, catalogue: Catalogue) {
        let now = self.clock.now();
        let Some(relay) = &mut self.relay else { return };
        *relay.catalogue_mut() = catalogue;
        let mut out = Vec::new();
        relay.catalogue_replaced(now, &mut out);
        let catalogue = relay.catalogue();
        (self.log)(&format!("changes lineage={} upto={}", catalogue.log_id(), catalogue.applied().0));
        self.serve_actions(out);
    }

    pub(super) fn joined(&mut self, link: u64, name: &MemberId, out: Out) {
        self.links.insert(link, out);
        self.names.insert(link, name.clone());
        self.serve(RelayEvent::Connected { connection: link, name: name.0.to_string().into() });
    }

    pub(super) fn left(&mut self, link: u64, name: Option<MemberId>) {
        self.links.remove(&link);
        self.names.remove(&link);
        self.serve(RelayEvent::Disconnected { connection: link });
        // Nobody of that name is here any more: it may be forgotten where there are too many.
        if let Some(name) = name.filter(|name| !self.names.values().any(|n| n == name)) {
            self.shared.opener.borrow_mut().release(&name);
            self.shared.sealer.borrow_mut().forget(&name);
        }
    }

    fn serve_actions(&mut self, actions: Vec<RelayAction>) {
        for action in actions {
            match action {
                RelayAction::Send { connection: link, message } => self.send(link, &message),
                RelayAction::Close { connection: link, reason } => {
                    if let Some(out) = self.links.remove(&link) {
                        out.why.set(words(reason));
                    }
                }
                RelayAction::ShareReports(reports) => self.pass_on(reports),
            }
        }
    }

    fn send(&mut self, link: u64, message: &RelayMessage) {
        let (Some(out), Some(name)) = (self.links.get(&link), self.names.get(&link)) else { return };
        let (mut bytes, body) = (Vec::new(), frames::write(message).unwrap_or_default());
        if body.is_empty()
            || !links::put(&mut bytes, Some(name), &body, &self.shared.sealer)
            || !out.send(bytes)
        {
            // Guards memory: whoever does not read is cut off, and asks again for what is newest then.
            self.cut += 1;
            out.why.set("bound");
            self.links.remove(&link);
        }
    }

    /// Where changes are in force: a voter tells the others, a relay whom it follows.
    fn pass_on(&mut self, reports: Vec<Report>) {
        if let Some(log) = &self.log_inbox {
            // What finds no room is told again a second later.
            let _ = log.try_send(Inbox::Reports(reports));
        } else if let Some(call) = self.followed() {
            let me = self.settings.me.clone();
            for report in reports.into_iter().filter(|report| *report.relay == *me.0) {
                self.say(call, &SubscriberMessage::Report(report));
            }
        }
    }
}

fn words(why: CloseReason) -> &'static str {
    match why {
        CloseReason::RetryLater => "later",
        CloseReason::ReplyTimeout => "slow",
        CloseReason::ProtocolError => "bad",
        CloseReason::Replaced => "replaced",
    }
}
