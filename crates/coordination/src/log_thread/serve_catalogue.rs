//! Passes configuration changes from operators to the log, and from the log to the relay.
use crate::distribution::HostMessage;
use crate::log_thread::maintenance_host::NO_TICKET;
use crate::log_thread::operator_calls::MAX_PENDING_COMMANDS;
use crate::log_thread::thread::LogThread;
use crate::operator_call::{respond, OperatorResponse, ResponseSender};
use crate::state_machine::{CatalogueChange, Command};
use cluster_types::Time;
use config_distribution::{Report, WriteBatch};
use std::time::Duration;

/// How often the creation of a missing catalogue is requested.
const CATALOGUE_REQUEST_INTERVAL: Duration = Duration::from_millis(400);

impl LogThread {
    /// Passes a change of the catalogue on to the relay.
    pub(crate) fn forward_catalogue_change(&mut self, change: &CatalogueChange) {
        let Some(feed) = &mut self.catalogue_feed else { return };
        match change {
            CatalogueChange::Unchanged => {}
            CatalogueChange::Replaced => feed.is_behind = true,
            CatalogueChange::BatchApplied { version, batch } if !feed.is_behind => {
                let message = HostMessage::BatchApplied { version: *version, batch: batch.clone() };
                feed.is_behind = feed.relay.try_send(message).is_err();
            }
            CatalogueChange::BatchApplied { .. } => {}
        }
    }

    /// Requests the creation of a catalogue if there is none, and sends the whole catalogue to a relay that has missed a change.
    pub(crate) fn feed_relay(&mut self, now: Time) {
        let has_catalogue = self.state.catalogue.log_id() != 0;
        let Some(feed) = &mut self.catalogue_feed else { return };
        if !has_catalogue && now.since(feed.requested_at) >= CATALOGUE_REQUEST_INTERVAL {
            feed.requested_at = now;
            self.send_to_leader(now, NO_TICKET, Command::CreateCatalogue);
        }
        if let Some(feed) = self.catalogue_feed.as_mut().filter(|feed| feed.is_behind) {
            let catalogue = Box::new(self.state.catalogue.clone());
            feed.is_behind = feed.relay.try_send(HostMessage::Catalogue(catalogue)).is_err();
        }
    }

    /// Passes rollout reports of another control member on to the relay.
    pub(crate) fn forward_reports(&self, reports: Vec<Report>) {
        if let Some(feed) = &self.catalogue_feed {
            // Reports that do not fit into the mailbox are dropped; the next second's reports replace them.
            drop(feed.relay.try_send(HostMessage::Reports(reports)));
        }
    }

    /// Checks the write batch of an operator and submits it.
    pub(crate) fn change_config(&mut self, now: Time, batch: WriteBatch, respond_to: ResponseSender) {
        let rejection = if let Err(fault) = batch.check() {
            OperatorResponse::NotFound(format!("{fault}\n"))
        } else if self.catalogue_feed.is_none() {
            OperatorResponse::Rejected("this machine serves no changes\n".into())
        } else if self.pending.len() >= MAX_PENDING_COMMANDS {
            OperatorResponse::Unsettled("too many calls wait\n".into())
        } else {
            self.submit(now, Command::ChangeConfig(batch), Some(respond_to));
            return;
        };
        respond(&respond_to, rejection);
    }
}
