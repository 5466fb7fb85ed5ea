//! Discovery that fails: the watch is requested again, and backends that fail meanwhile are left alone.
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

/// Attempts at backend `a` in the last 20 of 60 s in which every attempt there has this outcome, at ten requests per
/// second.
fn late_sends(gateway: &mut Gateway, outcome: AttemptOutcome, list: impl Fn(&mut Gateway, i64)) -> usize {
    let mut late = 0;
    for tenth in 0..RUN_SECONDS * 10 {
        list(gateway, tenth);
        let id = 1000 + tenth as u64;
        let mut actions = gateway.arrive(request(id));
        actions.extend(gateway.advance(50 * MS));
        // Each attempt ends at once, and so do the retries that follow.
        let mut open = sent(&actions);
        while let Some(id) = open.pop() {
            late += usize::from(tenth >= (RUN_SECONDS - 20) * 10);
            open.extend(sent(&gateway.end_attempt(id, outcome, MS)));
        }
        let rest = sent(&gateway.advance(50 * MS));
        for id in rest {
            late += usize::from(tenth >= (RUN_SECONDS - 20) * 10);
            gateway.end_attempt(id, outcome, MS);
        }
    }
    late
}

#[test]
fn requests_watch_again_with_growing_waits() {
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
    assert_eq!(gateway.advance(60 * SECOND), vec![], "a watch that holds is not asked for again");
}

#[test]
fn backs_off_from_failing_backend_while_discovery_fails() {
    for outcome in [AttemptOutcome::Rejected, AttemptOutcome::ConnectFailed, AttemptOutcome::Reset] {
        let mut gateway = Gateway::new(subscribing_settings());
        confirm_list(&mut gateway);
        let confirmed = late_sends(&mut gateway, outcome, |gateway, tenth| {
            if tenth % 20 == 0 {
                confirm_list(gateway);
            }
        });
        let mut gateway = Gateway::new(subscribing_settings());
        confirm_list(&mut gateway);
        gateway.notify(Event::Endpoints(EndpointUpdate::Failed));
        let unconfirmed = late_sends(&mut gateway, outcome, |_, _| {});
        println!("{outcome:?}: {confirmed} attempts in 20 s while discovery responds, {unconfirmed} while it fails");
        assert!(confirmed >= 8, "{outcome:?}: a listed backend may be back in the next instant: {confirmed}");
        assert!(unconfirmed <= 1, "{outcome:?}: {unconfirmed}");
    }
}

#[test]
fn tries_ejected_backend_once_discovery_responds() {
    let mut gateway = Gateway::new(subscribing_settings());
    confirm_list(&mut gateway);
    gateway.notify(Event::Endpoints(EndpointUpdate::Failed));
    late_sends(&mut gateway, AttemptOutcome::ConnectFailed, |_, _| {});
    let mut actions = gateway.arrive(Request { timeout: Micros(10 * SECOND), ..request(1) });
    actions.extend(gateway.advance(300 * MS));
    assert!(sent(&actions).is_empty(), "kept away from");
    let mut actions = confirm_list(&mut gateway);
    actions.extend(gateway.arrive(request(2)));
    actions.extend(gateway.advance(MS));
    assert!(!sent(&actions).is_empty(), "the list has it");
}

#[test]
fn sends_to_responding_backend_while_discovery_fails() {
    let mut gateway = Gateway::new(subscribing_settings());
    confirm_list(&mut gateway);
    gateway.notify(Event::Endpoints(EndpointUpdate::Failed));
    let served = late_sends(&mut gateway, AttemptOutcome::Ok, |_, _| {});
    assert!(served >= 190, "healthy work is not rejected: {served} of 200");
}

#[test]
fn zero_poll_interval_is_no_endless_loop() {
    let mut gateway = Gateway::new(Settings { max_poll_interval: Micros(0), ..subscribing_settings() });
    gateway.notify(Event::Endpoints(EndpointUpdate::Failed));
    let watches = gateway.advance(10 * SECOND).iter().filter(|a| matches!(a, Action::Watch)).count();
    assert!((2..=20).contains(&watches), "{watches}");
}
