//! Reports on the progress of gateways: this relay's own, and those of other relays.
use super::subscription::{Phase, Subscription};
use super::{Relay, RelayAction};
use crate::message::RelayMessage;
use crate::report::{GatewayRejection, Lag, Report, MAX_REPORTED_GATEWAYS};
use crate::scope::Scope;
use cluster_types::Time;
use std::time::Duration;

/// Reports that were not renewed for this long are dropped: their relay is assumed to be gone.
const REPORT_LIFETIME: Duration = Duration::from_secs(60);

impl Relay {
    /// Creates a report if one is due, and sends it to the other control machines and to the relays that follow this one.
    pub(super) fn report_if_due(&mut self, now: Time, out: &mut Vec<RelayAction>) {
        if now.since(self.reported_at) < self.settings.report_interval {
            return;
        }
        self.reported_at = now;
        self.report_sequence = self.report_sequence.saturating_add(1);
        self.fleet_status.expire(now, REPORT_LIFETIME);
        let report = self.own_report(now);
        self.fleet_status.record(now, report.clone());
        out.push(RelayAction::ShareReports(vec![report]));
        // Old reports are not forwarded: the receiver would conclude that their relay is alive.
        let recent = self.fleet_status.recent_reports(now, self.settings.report_interval * 2);
        let reports: Vec<Report> = recent.cloned().collect();
        let is_relay_following = |subscription: &Subscription| {
            subscription.scope == Scope::Everything && subscription.phase == Phase::Live
        };
        for (connection, _) in
            self.subscriptions.iter().filter(|(_, subscription)| is_relay_following(subscription))
        {
            let message = RelayMessage::Reports(reports.clone());
            out.push(RelayAction::Send { connection: *connection, message });
        }
    }

    /// Records reports of other control machines. They are not forwarded: each report is shared once, by the machine that
    /// received it first.
    pub(super) fn record_peer_reports(&mut self, now: Time, reports: Vec<Report>) {
        for report in reports {
            if !report.is_bounded() {
                self.stats.protocol_errors += 1;
            } else if report.relay != self.name {
                self.fleet_status.record(now, report);
            }
        }
    }

    /// Records the report of a relay that follows this one, and shares it with the other control machines if it is new.
    pub(super) fn forward_report(&mut self, now: Time, report: Report, out: &mut Vec<RelayAction>) {
        if report.relay != self.name && self.fleet_status.record(now, report.clone()) {
            out.push(RelayAction::ShareReports(vec![report]));
        }
    }

    fn own_report(&self, now: Time) -> Report {
        let gateways: Vec<&Subscription> = self
            .subscriptions
            .values()
            .filter(|subscription| subscription.is_accepted() && subscription.scope != Scope::Everything)
            .collect();
        let mut lagging: Vec<&Subscription> =
            gateways.iter().copied().filter(|gateway| gateway.first_unacknowledged.is_some()).collect();
        lagging.sort_by_key(|gateway| (gateway.first_unacknowledged, gateway.name.clone()));
        let lags = lagging.iter().take(MAX_REPORTED_GATEWAYS).filter_map(|gateway| lag(gateway, now));
        let rejecting = gateways.iter().filter(|gateway| !gateway.rejections.is_empty()).count();
        let rejections = gateways.iter().flat_map(|gateway| gateway_rejections(gateway));
        Report {
            relay: self.name.clone(),
            sequence: self.report_sequence,
            applied: self.applied(),
            gateways: gateways.len() as u32,
            lagging: lagging.len() as u32,
            lags: lags.collect(),
            rejecting: rejecting as u32,
            rejections: rejections.take(MAX_REPORTED_GATEWAYS).collect(),
        }
    }
}

fn gateway_rejections(gateway: &Subscription) -> impl Iterator<Item = GatewayRejection> + '_ {
    let of_gateway = |rejection| GatewayRejection { gateway: gateway.name.clone(), rejection };
    gateway.rejections.iter().cloned().map(of_gateway)
}

fn lag(gateway: &Subscription, now: Time) -> Option<Lag> {
    let first_pending = gateway.first_unacknowledged?;
    Some(Lag { gateway: gateway.name.clone(), first_pending, reason: lag_reason(gateway, now) })
}

/// Why a gateway has not acknowledged a change yet, as its relay sees it.
fn lag_reason(gateway: &Subscription, now: Time) -> String {
    match (&gateway.phase, gateway.in_flight) {
        (Phase::Snapshot(_), _) => "it is being sent all of its scope".into(),
        (_, Some(in_flight)) => {
            let waited_ms = now.since(in_flight.sent_at).as_millis();
            format!("it was sent it {waited_ms} ms ago and has not answered")
        }
        _ => "it is to be sent it".into(),
    }
}
