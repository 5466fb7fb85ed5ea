//! Discovery failures: the watch is requested again, and nothing is sent to backends that fail meanwhile.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod common;
use common::*;
use scheduler::interface::*;

const RUN_SECONDS: i64 = 60;

fn subscribing_settings() -> Settings {
    Settings {
        discovery_mode: DiscoveryMode::Subscribe,
        max_poll_interval: Micros(10 * SECOND),
        ..default_settings()
    }
}

fn confirm_list(gateway: &mut Gateway) -> Vec<Action> {
    gateway.notify(Event::Endpoints(EndpointUpdate::Delta(vec![])))
}

/// Number of attempts at backend `a` in the last 20 of 60 s, at ten requests per second, where every attempt
/// ends with this outcome.
fn sends_in_last_20_s(
    gateway: &mut Gateway,
    outcome: AttemptOutcome,
    update_list_at: impl Fn(&mut Gateway, i64),
) -> usize {
    let mut sends = 0;
    for step in 0..RUN_SECONDS * 10 {
        update_list_at(gateway, step);
        let id = 1000 + step as u64;
        let mut actions = gateway.arrive(request(id));
        actions.extend(gateway.advance(50 * MS));
        // Each attempt ends at once, and so do the retries that follow.
        let mut in_flight = sent(&actions);
        while let Some(id) = in_flight.pop() {
            sends += usize::from(step >= (RUN_SECONDS - 20) * 10);
            in_flight.extend(sent(&gateway.end_attempt(id, outcome, MS)));
        }
        let later_sends = sent(&gateway.advance(50 * MS));
        for id in later_sends {
            sends += usize::from(step >= (RUN_SECONDS - 20) * 10);
            gateway.end_attempt(id, outcome, MS);
        }
    }
    sends
}

#[test]
fn retries_watch_with_growing_delays() {
    let mut settings = default_settings();
    settings.discovery_mode = DiscoveryMode::Subscribe;
    settings.max_poll_interval = Micros(10 * SECOND);
    let mut gateway = Gateway::new(settings);
    let mut calls = vec![];
    for _ in 0..400 {
        if gateway.advance(50 * MS).contains(&Action::Watch) {
            calls.push(gateway.now);
            gateway.notify(Event::Endpoints(EndpointUpdate::Failed));
        }
    }
    let gaps: Vec<i64> = calls.windows(2).map(|w| w[1] - w[0]).collect();
    assert!(calls[0] < 101 * SECOND && calls.len() >= 4, "{calls:?}");
    assert!(gaps.iter().all(|g| *g <= 10 * SECOND) && gaps[3] > gaps[0], "{gaps:?}");
    update_list(&mut gateway, vec![]);
    assert_eq!(gateway.advance(60 * SECOND), vec![], "an active watch is not requested again");
}

#[test]
fn backs_off_from_failing_backend_while_discovery_fails() {
    for outcome in [AttemptOutcome::Rejected, AttemptOutcome::ConnectFailed, AttemptOutcome::Reset] {
        let mut gateway = Gateway::new(subscribing_settings());
        confirm_list(&mut gateway);
        let confirmed = sends_in_last_20_s(&mut gateway, outcome, |gateway, step| {
            if step % 20 == 0 {
                confirm_list(gateway);
            }
        });
        let mut gateway = Gateway::new(subscribing_settings());
        confirm_list(&mut gateway);
        gateway.notify(Event::Endpoints(EndpointUpdate::Failed));
        let unconfirmed = sends_in_last_20_s(&mut gateway, outcome, |_, _| {});
        println!("{outcome:?}: {confirmed} attempts in 20 s while discovery responds, {unconfirmed} while it fails");
        assert!(confirmed >= 8, "{outcome:?}: a listed backend may recover at any time: {confirmed}");
        assert!(unconfirmed <= 1, "{outcome:?}: {unconfirmed}");
    }
}

#[test]
fn tries_ejected_backend_once_discovery_responds() {
    let mut gateway = Gateway::new(subscribing_settings());
    confirm_list(&mut gateway);
    gateway.notify(Event::Endpoints(EndpointUpdate::Failed));
    sends_in_last_20_s(&mut gateway, AttemptOutcome::ConnectFailed, |_, _| {});
    let mut actions = gateway.arrive(Request { timeout: Micros(10 * SECOND), ..request(1) });
    actions.extend(gateway.advance(300 * MS));
    assert!(sent(&actions).is_empty(), "nothing is sent to an ejected backend");
    let mut actions = confirm_list(&mut gateway);
    actions.extend(gateway.arrive(request(2)));
    actions.extend(gateway.advance(MS));
    assert!(!sent(&actions).is_empty(), "the list still has the backend");
}

#[test]
fn sends_to_responding_backend_while_discovery_fails() {
    let mut gateway = Gateway::new(subscribing_settings());
    confirm_list(&mut gateway);
    gateway.notify(Event::Endpoints(EndpointUpdate::Failed));
    let served = sends_in_last_20_s(&mut gateway, AttemptOutcome::Ok, |_, _| {});
    assert!(served >= 190, "requests to a working backend are not rejected: {served} of 200");
}

#[test]
fn zero_poll_interval_does_not_cause_busy_loop() {
    let mut gateway = Gateway::new(Settings { max_poll_interval: Micros(0), ..subscribing_settings() });
    gateway.notify(Event::Endpoints(EndpointUpdate::Failed));
    let watches = gateway.advance(10 * SECOND).iter().filter(|a| matches!(a, Action::Watch)).count();
    assert!((2..=20).contains(&watches), "{watches}");
}
