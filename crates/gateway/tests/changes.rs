//! Changes of configuration from an operator's call through the log and a relay into force at gateways, as processes on loopback.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
#[path = "changes/clients.rs"]
mod clients;
mod common;
#[allow(dead_code)]
#[path = "changes/fleet.rs"]
mod fleet;
#[path = "changes/foreign_peers.rs"]
mod foreign_peers;
use clients::{
    backend_that_answers, knows_labels, labels, reads, serves, shard_box, LABELS, PRIMARY, SETTINGS,
};
use common::address;
use fleet::{until, Fleet, Machine, KEY};
use foreign_peers::{count, framed, key, life, request, say, settled, weight};
use std::io::Write;
use std::net::TcpListener;
use std::time::{Duration, Instant};

#[test]
fn order_takes_effect_at_all_gateways_or_is_rejected_with_its_key() {
    let folder = tempfile::tempdir().unwrap();
    let fleet = Fleet::start(folder.path(), 1);
    let (voter, relay) = (&fleet.voters[1], &fleet.relays[0]);

    let version = voter.order("configuration", "fleet", "settings", &labels());
    let took = fleet.everywhere(SETTINGS, LABELS);
    assert!(fleet.fronts.iter().all(knows_labels));
    println!("settings in force at three fronts after {took:?}");
    let took = until(SETTINGS, "the relay tells", || relay.not_yet(version)["everywhere"] == true);
    println!("told to be everywhere by the relay after {took:?} more");
    until(SETTINGS, "a voter tells", || voter.not_yet(version)["everywhere"] == true);
    println!("voter: {}", voter.not_yet(version));

    let at = backend_that_answers("from box-9");
    let since = Instant::now();
    voter.order("primary", "shard/0", "box", &shard_box("box-9", &at));
    println!("a shard's box in force at three fronts after {:?}", serves(&fleet, since, "from box-9"));

    let faulty = r#"{"FamilyInfo":{"MostUnits":0.0}}"#;
    let version = voter.order("configuration", "zone/hall-a", "settings", faulty);
    until(SETTINGS, "refused by all", || relay.not_yet(version)["refusing"] == 3);
    let told = relay.not_yet(version);
    println!("refused: {told}");
    assert_eq!(told["refused"].as_array().unwrap().len(), 3);
    for refused in told["refused"].as_array().unwrap() {
        assert_eq!(refused["key"], "zone/hall-a/settings");
        assert!(refused["why"].as_str().unwrap().contains("most_units"), "{refused}");
    }
    for front in &fleet.fronts {
        assert!(front.metrics().contains(LABELS), "what was in force stays");
        assert!(reads(front, "from box-9"));
        assert_eq!(front.state()["refused"][0]["key"], "zone/hall-a/settings");
    }
    // A file that is read again changes nothing of it.
    fleet.fronts[0].program.as_ref().unwrap().signal("HUP");
    until(SETTINGS, "reloaded", || fleet.fronts[0].metrics().contains("app.cfg_accepted=1"));
    assert!(fleet.fronts[0].metrics().contains(LABELS) && reads(&fleet.fronts[0], "from box-9"));
    println!("front: {}", fleet.fronts[0].state());

    let order = r#"{"class":"configuration","puts":[{"topic":"fleet","name":"settings","value":{}}]}"#;
    for (machine, what) in [(relay, "a relay"), (&fleet.fronts[0], "a front")] {
        let (status, why) = machine.ask("POST", "/v1/changes", order);
        print!("{status} {why}");
        assert!(status == 409 && why.contains(what), "{status} {why}");
    }
    let (status, why) = voter.ask("POST", "/v1/changes", &order.replace("fleet", "hall/x"));
    print!("{status} {why}");
    assert!(status == 400 && why.starts_with("puts[0].topic"), "{status} {why}");
    let (status, why) = fleet.fronts[0].ask("GET", "/v1/changes/1", "");
    println!("{status} {why}relay: {}", relay.state());
    assert!(status == 409 && why.contains("relay-1"), "{status} {why}");

    // Once withdrawn, the file's own settings are in effect again.
    voter.order("configuration", "fleet", "settings", "null");
    until(SETTINGS, "withdrawn", || !fleet.fronts.iter().any(knows_labels));
}

#[test]
fn front_starts_with_its_persisted_configuration_and_survives_a_killed_relay() {
    let folder = tempfile::tempdir().unwrap();
    let mut fleet = Fleet::start(folder.path(), 2);
    fleet.voters[0].order("configuration", "region/north", "settings", &labels());
    fleet.everywhere(SETTINGS, LABELS);
    let at = backend_that_answers("from box-8");
    let since = Instant::now();
    fleet.voters[2].order("primary", "shard/0", "box", &shard_box("box-8", &at));
    println!("a shard's box in force after {:?}", serves(&fleet, since, "from box-8"));

    // Killed: its gateways go on to the next one.
    assert!(fleet.fronts.iter().all(|front| front.state()["follows"] == "relay-1"));
    fleet.relays[0].kill();
    let since = Instant::now();
    let at = backend_that_answers("from box-7");
    fleet.voters[0].order("primary", "shard/0", "box", &shard_box("box-7", &at));
    println!("told after its relay was killed, in force after {:?}", serves(&fleet, since, "from box-7"));

    // Without a majority nothing is committed, and the caller is informed.
    fleet.voters[1..].iter_mut().for_each(Machine::kill);
    let order = r#"{"class":"configuration","puts":[{"topic":"volume/v","name":"settings","value":{}}]}"#;
    let asked = Instant::now();
    let (status, why) = fleet.voters[0].ask("POST", "/v1/changes", order);
    println!("without a majority after {:?}: {status} {why}", asked.elapsed());
    assert!(status == 503 && why.contains("no majority"), "{status} {why}");

    // No relay and no voter is there when a gateway starts again.
    until(SETTINGS, "kept", || !fleet.fronts[0].state().is_null());
    std::thread::sleep(Duration::from_secs(1));
    fleet.relays.iter_mut().chain(&mut fleet.voters).for_each(Machine::kill);
    let front = &mut fleet.fronts[0];
    front.kill();
    front.start();
    until(SETTINGS, "it serves", || reads(front, "from box-7"));
    assert!(front.metrics().contains(LABELS), "{}", front.metrics());
    let state = front.state();
    assert!(state["follows"].is_null() && state["upto"].as_u64() > Some(0), "{state}");

    // A torn file is logged and ignored.
    front.kill();
    let kept = folder.path().join(&front.name).join("changes.kept");
    let bytes = std::fs::read(&kept).unwrap();
    std::fs::write(&kept, &bytes[..bytes.len() - 9]).unwrap();
    front.start();
    until(SETTINGS, "it serves", || front.metrics().contains("app.open_requests"));
    until(SETTINGS, "it is said", || front.said("changes kept=dropped why=it is cut off or damaged"));
    assert!(!front.metrics().contains(LABELS));

    // A process that returns has everything again.
    let since = Instant::now();
    for machine in fleet.voters.iter_mut().chain(&mut fleet.relays) {
        machine.start();
    }
    fleet.ready();
    fleet.everywhere(SETTINGS, LABELS);
    println!("all processes started again, in force after {:?}", since.elapsed());
    until(PRIMARY, "the box too", || reads(&fleet.fronts[0], "from box-7"));
}

#[test]
fn bad_frames_are_counted_and_closed_and_change_nothing() {
    let folder = tempfile::tempdir().unwrap();
    let fleet = Fleet::start(folder.path(), 1);
    fleet.voters[0].order("configuration", "fleet", "settings", &labels());
    fleet.everywhere(SETTINGS, LABELS);
    let relay = &fleet.relays[0];
    until(SETTINGS, "at rest", || relay.not_yet(1)["fronts"] == 3);
    let (before, upto) = (weight(relay), relay.state()["upto"].clone());
    let (own, its) = (1 << 60, Some(life(relay)));
    let good = request(key(), ("relay-1", its), own);
    let forged = request([7; 32], ("relay-1", its), own);
    let foreign = request(key(), ("voter-1", its), own + 1);
    let earlier = request(key(), ("relay-1", its.map(|life| life - 1)), own + 2);
    let any = request(key(), ("relay-1", None), own + 3);
    let oversized = u32::MAX.to_be_bytes();
    let nonsense = framed(&[0xAB; 300]);

    let (came, closed) = say(relay, &good);
    assert!(came > 0 && !closed, "who has the key is served: {came} {closed}");
    let refused = count(relay, "refused_frames");
    let mut sent = 0;
    for _ in 0..40 {
        let bad = [
            ("replayed", &good[..]),
            ("forged", &forged),
            ("foreign", &foreign),
            ("stale", &earlier),
            ("bound", &oversized),
            ("malformed", &nonsense),
        ];
        for (what, bytes) in bad {
            assert_eq!(say(relay, bytes), (0, true), "{what}");
            sent += 1;
            until(PRIMARY, what, || relay.said(&format!("carried=0 reason={what}")));
        }
    }
    until(SETTINGS, "all are counted", || count(relay, "refused_frames") == refused + sent);
    assert_eq!(say(relay, &any), (0, true), "what is for any life may have been recorded");
    // Whoever only connects is closed in time, and those beyond the bound at once.
    let idle: Vec<_> =
        (0..300).map(|_| std::net::TcpStream::connect((relay.ip.as_str(), 7950)).unwrap()).collect();
    until(SETTINGS, "beyond the bound", || count(relay, "crowded") > 0);
    drop(idle);
    settled(relay, before.0);
    let after = weight(relay);
    println!("{sent} bad frames and 300 idle connections: descriptors and KiB {before:?}, then {after:?}");
    assert!(after.1 < before.1 + 8 * 1024, "{before:?} {after:?}");
    assert_eq!(relay.state()["upto"], upto);
    fleet.ready();
    assert!(fleet.fronts.iter().all(knows_labels));
    let version = fleet.voters[0].order("configuration", "fleet", "settings", "null");
    until(SETTINGS, "withdrawn", || !fleet.fronts.iter().any(knows_labels));
    until(SETTINGS, "told", || relay.not_yet(version)["everywhere"] == true);
}

#[test]
fn gateway_closes_strange_relays_and_serves_on() {
    let ip = address();
    let listener = TcpListener::bind((ip.as_str(), 7950)).unwrap();
    let sections = format!(
        "[changes]\nshards = [0]\nkeys = [\"{KEY}\"]\n[[changes.relay]]\nname = \"relay-1\"\nat = \"{ip}:7950\"\n"
    );
    let front = Machine::new("front-1", &address(), &sections);
    let hello = |name: &str, key| framed(&foreign_peers::sealer(name, key).seal(None, &[]).unwrap());
    let bad = [
        ("malformed", framed(&[0xAB; 300])),
        ("bound", u32::MAX.to_be_bytes().to_vec()),
        ("forged", hello("relay-1", [7; 32])),
        ("foreign", hello("relay-2", key())),
    ];
    for (n, (what, bytes)) in bad.iter().enumerate() {
        let (mut call, _) = listener.accept().unwrap();
        call.write_all(bytes).unwrap();
        until(PRIMARY, what, || front.said(&format!("carried=0 reason={what}")));
        assert_eq!(count(&front, "refused_frames"), n as u64 + 1);
    }
    let state = front.state();
    assert!(state["lineage"] == 0 && state["follows"].is_null(), "{state}");
    assert!(front.metrics().contains("app.open_requests=0"));
}

#[test]
fn without_the_section_there_is_no_thread_and_no_metric_of_it() {
    let front = Machine::new("front-1", &address(), "");
    until(PRIMARY, "it serves", || front.metrics().contains("app.open_requests"));
    let id = front.program.as_ref().unwrap().child.id();
    let threads: Vec<String> = std::fs::read_dir(format!("/proc/{id}/task"))
        .unwrap()
        .map(|task| std::fs::read_to_string(task.unwrap().path().join("comm")).unwrap())
        .collect();
    assert!(!threads.iter().any(|name| name.contains("changes") || name.contains("accord")), "{threads:?}");
    let (status, why) = front.ask("GET", "/v1/changes", "");
    assert!(status == 404 && why.contains("not in the configuration"), "{status} {why}");
}
