//! Answers that are gathered from parts, with the real program, backends in two zones, and links that are cut.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
#[path = "gather/client.rs"]
mod client;

use client::{joined, value, Answer, Client, ALL, ANY, NAMED, TIMEOUT, VOLUME, WAIT};
use scatter_gather::{parse_status, AnswerStatus, Cause};
use std::collections::BTreeSet;
use std::path::Path;
use std::process::Command;
use std::time::Duration;
use test_cluster::admin_client::call;
use test_cluster::cluster::TestCluster;
use test_cluster::cluster_config::ClusterConfig;
use test_cluster::runtime::poll_until;

fn gathers() -> String {
    let mut text = String::new();
    for (piece, suffices) in
        [(ANY, "{ at_least = 2 }"), (NAMED, "{ at_least = 2, named = [\"n1\"] }"), (ALL, "\"all\"")]
    {
        text += &format!(
            "[[gather]]\nname = \"g{piece:x}\"\nvolume = {VOLUME:?}\npiece = \"{piece:016x}\"\n\
             class = \"stock-read\"\nsuffices = {suffices}\n"
        );
        for n in 0..4 {
            let hall = ["hall-a", "hall-b"][n % 2];
            text += &format!(
                "[[gather.part]]\nname = \"n{n}\"\nhall = {hall:?}\npiece = \"{n:016x}\"\nshard = {n}\n"
            );
        }
    }
    text
}

/// One gateway and four backends, each with a shard of its own; the backends stand in two zones in turn.
fn rig(gathers: &str) -> TestCluster {
    let mut setup =
        ClusterConfig::standard(Path::new(env!("CARGO_BIN_EXE_gateway")), 7).with_sections(gathers);
    (setup.gateways, setup.backends, setup.shards) = (1, 4, 4);
    setup.gateway_config = setup.gateway_config.replacen("DeadlineS = 1.2", "DeadlineS = 3.0", 1);
    let mut rig = TestCluster::new(setup).unwrap();
    for n in 0..4 {
        let shelf = rig.shard_store(n as i64).unwrap();
        shelf.lock().unwrap().write((VOLUME.into(), n), value(n as usize).as_bytes().into());
    }
    rig.start(TIMEOUT).unwrap();
    rig
}

fn evidence(rig: &TestCluster) -> test_cluster::checks::RunRecord {
    rig.run_record(&test_cluster::clients::History::default())
}

fn figure(rig: &TestCluster, key: &str) -> Option<u64> {
    let (_, text) = call(rig.gateways[0].admin, "GET", "/v1/metrics", "").unwrap();
    text.lines().find_map(|l| l.strip_prefix(&format!("app.gathers.{key}="))?.parse().ok())
}

/// What a failure names: its cause, and the parts that won't come.
fn failed(text: &str) -> (Cause, BTreeSet<usize>) {
    match text.strip_prefix("ERR ").and_then(parse_status) {
        Some(AnswerStatus::Failed(cause, missing)) => (cause, places(&missing)),
        _ => panic!("{text}"),
    }
}

fn places(missing: &[scatter_gather::MissingResponse]) -> BTreeSet<usize> {
    missing.iter().map(|m| m.request[1..].parse().unwrap()).collect()
}

#[test]
fn partitioned_zone_is_named_in_time_and_never_reported_complete() {
    let rig = rig(&gathers());
    let mut client = Client::new(rig.gateways[0].listen);
    client.whole(ANY);
    // A booking of the same piece is one request, and each part one of its own that names its shard.
    client.book(ANY, "b1");
    let entries = evidence(&rig).commands;
    assert!(entries.iter().any(|e| e.id == "b1" && e.is_write && e.key.1 == ANY));
    assert!(entries.iter().all(|e| e.id == "b1" || (e.id.contains('~') && e.key.1 == e.shard as u64)));
    let boxes: Vec<String> = vec!["box-1".into(), "box-3".into()];
    rig.links.split(&["front-0".into()], &boxes);
    let south = BTreeSet::from([1, 3]);
    let mut in_part = 0;
    for _ in 0..10 {
        let (answer, took) = client.ask(ANY);
        // A machine that stands still may take more, so what it took is only weighed where it did not.
        let stood: Duration = evidence(&rig).machine_stalls.iter().map(|h| h.1 - h.0).sum();
        assert!(took < WAIT + stood, "{took:?}");
        match answer {
            Answer::InPart(value, AnswerStatus::Partial(missing)) => {
                let gone = places(&missing);
                assert!(gone.is_superset(&south), "{missing:?}");
                assert!(missing.iter().all(|m| m.request.as_ref() != "n1" || &*m.zone.0 == "hall-b"));
                assert_eq!(value, joined(&gone), "{missing:?}");
                in_part += u32::from(gone == south);
            }
            Answer::Error(_) => {}
            other => panic!("{other:?}"),
        }
    }
    assert!(in_part > 0, "no answer in part");
    // Without the part that is needed there is no answer. Where all that is missing was turned away the client is, too.
    for piece in [NAMED, ALL, NAMED, ALL] {
        match client.ask(piece).0 {
            Answer::Error(text) => {
                assert!(text.starts_with("BUSY") || failed(&text).1.contains(&1), "{text}")
            }
            other => panic!("{other:?}"),
        }
    }
    rig.links.heal_all();
    client.whole(ANY);
    client.whole(NAMED);
    client.whole(ALL);
    for kind in ["whole", "in_part", "failed"] {
        assert_eq!(figure(&rig, kind), client.counts.get(kind).copied(), "one answer each: {kind}");
    }
}

#[test]
fn a_part_that_comes_late_is_counted_and_never_answered() {
    // Other zones are waited for for a tenth of a second, and answer in two.
    let short = gathers().replace("suffices =", "remote_share = 0.04\nsuffices =");
    let rig = rig(&short);
    let mut client = Client::new(rig.gateways[0].listen);
    client.whole(ANY);
    for n in [1, 3] {
        let place = rig.backend(&format!("box-{n}")).unwrap();
        place.set_behavior(test_cluster::backends::Behavior {
            service_time: Duration::from_millis(200),
            ..place.behavior()
        });
    }
    poll_until(TIMEOUT, || {
        client.ask(ANY);
        (figure(&rig, "late_parts")? > 0).then_some(())
    })
    .expect("a late part");
    assert!(client.counts.contains_key("in_part"), "{:?}", client.counts);
    // Without the part that is needed there is no answer, and the failure names it.
    poll_until(TIMEOUT, || match client.ask(NAMED).0 {
        Answer::Error(text) if text.starts_with("BUSY") => None,
        Answer::Error(text) => {
            let (cause, missing) = failed(&text);
            assert!(!missing.is_empty(), "{text}");
            (cause == Cause::RequiredMissing("n1".into()) && missing.contains(&1)).then_some(())
        }
        Answer::Whole(_) => None,
        other => panic!("{other:?}"),
    })
    .expect("a failure that names the part");
    // A client that goes before its answer is forgotten, with its parts.
    poll_until(TIMEOUT, || {
        Client::new(rig.gateways[0].listen).send(ALL);
        (figure(&rig, "left")? > 0).then_some(())
    })
    .expect("its leaving is seen");
}

#[test]
fn without_a_table_there_is_no_trace_of_it() {
    let rig = rig("");
    let mut client = Client::new(rig.gateways[0].listen);
    let shelf = rig.shard_store(0).unwrap();
    shelf.lock().unwrap().write((VOLUME.into(), ANY), b"one".as_slice().into());
    let (_, text) = call(rig.gateways[0].admin, "GET", "/v1/metrics", "").unwrap();
    assert!(!text.contains("gather"), "{text}");
    assert!(!matches!(client.ask(ANY).0, Answer::InPart(..)));
}

#[test]
fn iscsi_only_gateway_rejects_scatter_gather_policies() {
    let file = std::env::temp_dir().join(format!("gather-iscsi-{}.toml", std::process::id()));
    let program = env!("CARGO_BIN_EXE_gateway");
    let written = Command::new(program).args(["config", "write", "x"]).output().unwrap().stdout;
    let text = String::from_utf8(written).unwrap();
    let listen = text.lines().find(|l| l.starts_with("listen = ")).unwrap().to_string();
    let gathers = gathers().replace("hall-b", "hall-a");
    std::fs::write(&file, text.replacen(&listen, "", 1) + &gathers).unwrap();
    let out = Command::new(program).args(["config", "check"]).arg(&file).output().unwrap();
    std::fs::remove_file(&file).unwrap();
    let said = String::from_utf8(out.stderr).unwrap();
    assert!(!out.status.success() && said.contains("gather[0].suffices"), "{said}");
}
