//! Changes of configuration where something is amiss: a region that is cut off, a gateway that stands still, keys that change.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
#[allow(dead_code)]
#[path = "changes/clients.rs"]
mod clients;
mod common;
#[allow(dead_code)]
#[path = "changes/fleet.rs"]
mod fleet;
use clients::{knows_labels, labels, PRIMARY, SETTINGS};
use fleet::{until, Fleet, Machine, KEY};
use std::time::{Duration, Instant};

fn heard(machine: &Machine) -> f64 {
    machine.state()["heard_s"].as_f64().unwrap_or(f64::NAN)
}

#[test]
fn partitioned_region_keeps_its_configuration_and_catches_up() {
    let folder = tempfile::tempdir().unwrap();
    let mut fleet = Fleet::start(folder.path(), 1);
    fleet.voters[0].order("primary", "fleet", "settings", &labels());
    until(PRIMARY, "in force", || fleet.fronts.iter().all(knows_labels));

    fleet.voters.iter_mut().for_each(Machine::kill);
    let relay = &fleet.relays[0];
    until(SETTINGS, "the relay is alone", || relay.state()["follows"].is_null() && heard(relay) > 6.0);
    let fronts: Vec<f64> = fleet.fronts.iter().map(heard).collect();
    println!("cut off: the relay heard nothing for {} s, its fronts {fronts:?}", heard(relay));
    assert!(fleet.fronts.iter().all(|front| front.state()["follows"] == "relay-1" && knows_labels(front)));
    assert!(fronts.iter().all(|heard| *heard < 3.0), "{fronts:?}");

    fleet.voters.iter_mut().for_each(Machine::start);
    until(SETTINGS, "a log", || fleet.voters[1].state()["lineage"] == relay.state()["lineage"]);
    let since = Instant::now();
    let order = r#"{"class":"primary","puts":[{"topic":"fleet","name":"settings","value":null}]}"#;
    until(SETTINGS, "ordered", || fleet.voters[1].ask("POST", "/v1/changes", order).0 == 200);
    until(SETTINGS, "withdrawn", || !fleet.fronts.iter().any(knows_labels));
    println!("ordered and in force after the voters are back after {:?}", since.elapsed());
}

#[test]
fn a_front_that_stands_still_is_named_and_has_it_once_it_goes_on() {
    let folder = tempfile::tempdir().unwrap();
    let fleet = Fleet::start(folder.path(), 1);
    let (relay, still) = (&fleet.relays[0], &fleet.fronts[1]);
    let signal = |name| still.program.as_ref().unwrap().signal(name);
    signal("STOP");
    let version = fleet.voters[0].order("primary", "fleet", "settings", &labels());
    let named = || relay.not_yet(version)["lags"].as_array().is_some_and(|lags| lags.len() == 1);
    until(PRIMARY, "it is named", || relay.not_yet(version)["relays_behind"][0].is_null() && named());
    let told = relay.not_yet(version);
    println!("standing still: {told}");
    assert!(told["everywhere"] == false && told["lags"][0]["front"] == "front-2", "{told}");
    // The relay cuts it off, and serves the others on.
    until(SETTINGS, "it is cut off", || relay.not_yet(version)["fronts"] == 2);
    assert!(relay.said("reason=slow"));
    signal("CONT");
    let since = Instant::now();
    until(PRIMARY, "in force", || knows_labels(still));
    println!("in force after it goes on after {:?}", since.elapsed());
    until(SETTINGS, "told", || relay.not_yet(version)["everywhere"] == true);
}

#[test]
fn keys_change_in_service() {
    const NEXT: &str = "0d9a61be7c3f528490e6d2b18f47ac35d1780e9b62fc4a53970b1e8dc64f2a7b";
    let folder = tempfile::tempdir().unwrap();
    let mut fleet = Fleet::start(folder.path(), 1);
    let both = [format!("\"{KEY}\", \"{NEXT}\""), format!("\"{NEXT}\", \"{KEY}\""), format!("\"{NEXT}\"")];
    let mut before = format!("\"{KEY}\"");
    for (n, keys) in both.iter().enumerate() {
        let all = fleet.voters.iter_mut().chain(&mut fleet.relays).chain(&mut fleet.fronts);
        let changed = all.map(|machine| machine.rewrite(&before, keys)).count();
        assert_eq!(changed, 7);
        before.clone_from(keys);
        let all = || fleet.voters.iter().chain(&fleet.relays).chain(&fleet.fronts);
        until(SETTINGS, "read", || {
            all().all(|m| m.metrics().contains(&format!("app.cfg_accepted={}", n + 1)))
        });
    }
    std::thread::sleep(Duration::from_millis(100));
    fleet.voters[0].order("primary", "fleet", "settings", &labels());
    until(PRIMARY, "in force", || fleet.fronts.iter().all(knows_labels));
    for front in &fleet.fronts {
        let state = front.state();
        assert!(state["counts"]["calls"] == 1 && state["counts"]["refused_frames"] == 0, "{state}");
    }
}
