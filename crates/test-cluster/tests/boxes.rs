//! Stand-in boxes answer, log and keep what they should.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;
use test_cluster::boxes::store::{Shelf, NEVER_WRITTEN};
use test_cluster::boxes::{target_name, Answer, DiskBox, Make, Manner, Speaks};
use test_cluster::clients::{Clients, End, Load, Volume};
use test_cluster::engine::{lock, until, Engine};
use test_cluster::ports::Site;
use test_cluster::verdict::{self, Evidence, Verdict};

const PATIENCE: Duration = Duration::from_secs(10);
const VOLUME: &str = "00000003b4d60021";

struct Bench {
    place: DiskBox,
    engine: Engine,
    site: Site,
}

fn bench(speaks: Speaks) -> Bench {
    let site = Site::new().unwrap();
    let engine = Engine::start(&site).unwrap();
    let make = Make {
        name: "box-0".into(),
        cell: 3,
        speaks,
        doors: [("one".into(), site.at(1, 7001)), ("two".into(), site.at(1, 7002))].into(),
        units: vec![(0, VOLUME.into(), 64)],
        shelf: Shelf::default(),
        seed: 5,
    };
    Bench { place: DiskBox::start(make, engine.clock(), engine.spawner()).unwrap(), engine, site }
}

fn connect(bench: &Bench, port: u16) -> TcpStream {
    let stream = until(PATIENCE, || TcpStream::connect(bench.site.at(1, port)).ok()).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream
}

fn command(words: &[&str]) -> Vec<u8> {
    let mut out = Vec::new();
    resp::write_command(&mut out, &words.iter().map(|w| w.as_bytes()).collect::<Vec<_>>());
    out
}

fn list(shard: i64, units: u32) -> String {
    format!("c=x,t=y,d=400,volume={VOLUME},units={units},shard={shard},hosts=2")
}

fn read(id: &str, shard: i64, units: u32) -> Vec<u8> {
    command(&["PREAD", "0000000000000007", id, &list(shard, units)])
}

fn book(id: &str, body: &str) -> Vec<u8> {
    command(&["PWRITE", "0000000000000007", id, &list(3, 2), body])
}

fn ask(stream: &mut TcpStream, command: &[u8]) -> String {
    stream.write_all(command).unwrap();
    let mut came = Vec::new();
    loop {
        if let Some((_, used)) = resp::reply(&came, 1 << 20).unwrap() {
            assert_eq!(used, came.len());
            return String::from_utf8(came).unwrap();
        }
        let mut piece = [0; 512];
        let count = stream.read(&mut piece).unwrap();
        assert!(count > 0, "ended");
        came.extend_from_slice(&piece[..count]);
    }
}

#[test]
fn it_applies_bookings_turns_other_shards_away_and_tells_what_others_used() {
    let bench = bench(Speaks::Resp);
    let (mut one, mut two) = (connect(&bench, 7001), connect(&bench, 7002));
    assert_eq!(ask(&mut one, &command(&["PING"])), "+PONG\r\n");
    assert_eq!(ask(&mut one, &command(&["HELLO", "3"])), "-ERR unknown command\r\n");
    assert!(ask(&mut one, &read("r1", 3, 4)).starts_with("*3\r\n$1\r\n-\r\n$6\r\nused=4\r\n"));
    assert!(ask(&mut one, &book("b1", "first")).contains("used=2\r\n"));
    assert!(ask(&mut two, &read("r2", -1, 1)).starts_with("*3\r\n$5\r\nfirst\r\n$13\r\nused=1,cost=6\r\n"));
    assert!(ask(&mut two, &read("r3", 3, 1)).contains("used=1\r\n"), "told once");
    assert_eq!(ask(&mut one, &read("r4", 2, 1)), "-BUSY cost=2\r\n");
    assert_eq!(ask(&mut one, &command(&["PREAD", "7", "r5", "c=x"])), "-SYNTAX\r\n");
    let log = bench.place.log();
    let told = |i: usize| (log[i].id.as_str(), log[i].front.as_str(), log[i].ran.is_some());
    assert_eq!((told(0), told(1), told(4)), (("r1", "one", true), ("b1", "one", true), ("r4", "one", false)));
    assert_eq!(log[2].answer, Answer::Value(b"first"[..].into()));
    assert!(log.windows(2).all(|w| w[0].order < w[1].order));
    assert!(lock(&bench.place.make().shelf).has_run(&(VOLUME.into(), 7), b"first"));
}

#[test]
fn shares_of_busy_failed_and_silent() {
    let bench = bench(Speaks::Resp);
    let mut one = connect(&bench, 7001);
    let manner = Manner::default();
    bench.place.set(Manner { busy: 1.0, ..manner.clone() });
    assert_eq!(ask(&mut one, &book("b1", "x")), "-BUSY\r\n");
    bench.place.set(Manner { fail: 0.6, ..manner.clone() });
    let failed =
        (0..60).filter(|n| ask(&mut one, &book(&format!("c{n}"), "y")).starts_with("-ERR failed")).count();
    let ran = bench.place.log().iter().filter(|e| e.answer == Answer::Failed && e.ran.is_some()).count();
    assert!((20..52).contains(&failed) && (5..failed).contains(&ran), "{failed} failed, {ran} ran");
    assert!(bench.place.log().iter().all(|e| e.answer != Answer::Busy || e.ran.is_none()));
    bench.place.set(Manner { silent: 1.0, silent_runs: 1.0, ..manner });
    one.write_all(&book("b2", "quiet")).unwrap();
    until(PATIENCE, || bench.place.log().last().filter(|e| e.id == "b2").and_then(|e| e.ran)).unwrap();
    one.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
    assert!(one.read(&mut [0; 8]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock));
}

#[test]
fn a_box_that_is_cold_bears_less_and_data_is_kept_or_lost() {
    let bench = bench(Speaks::Resp);
    let mut one = connect(&bench, 7001);
    ask(&mut one, &book("b1", "kept"));
    bench.place.restart(true).unwrap();
    assert_eq!(one.read(&mut [0; 8]).unwrap_err().kind(), ErrorKind::ConnectionReset);
    assert!(bench.place.started().is_some());
    let cold = Manner {
        cold_slots: 1,
        queue: 0,
        service: Duration::from_millis(400),
        warm_up: Duration::from_secs(3600),
        ..Manner::default()
    };
    bench.place.set(cold);
    let (mut one, mut two) = (connect(&bench, 7001), connect(&bench, 7002));
    one.write_all(&read("r1", 3, 1)).unwrap();
    until(PATIENCE, || bench.place.log().last().filter(|e| e.id == "r1").and_then(|e| e.ran)).unwrap();
    assert_eq!(ask(&mut two, &read("r2", 3, 1)), "-BUSY cost=1\r\n", "what it counted before is forgotten");
    let mut got = [0; 14];
    one.read_exact(&mut got).unwrap();
    assert_eq!(&got, b"*3\r\n$4\r\nkept\r\n");
    bench.place.down();
    until(PATIENCE, || TcpStream::connect(bench.site.at(1, 7001)).err()).unwrap();
    bench.place.restart(false).unwrap();
    let mut one = connect(&bench, 7001);
    bench.place.set(Manner::default());
    assert!(ask(&mut one, &read("r3", 3, 1)).contains(std::str::from_utf8(NEVER_WRITTEN).unwrap()));
    assert_eq!(lock(&bench.place.make().shelf).losses, 1);
}

/// Clients speak to boxes as they would to fronts: both of the rig's ends of each protocol, and verdicts that hold.
#[test]
fn clients_and_boxes_understand_each_other_in_both_protocols() {
    for (speaks, target) in [(Speaks::Resp, None), (Speaks::Iscsi, Some(target_name("box-0")))] {
        let bench = bench(speaks);
        bench.place.set(Manner {
            service: Duration::from_millis(1),
            busy: 0.1,
            fail: 0.1,
            ..Manner::default()
        });
        let load = Load {
            fronts: vec![("one".into(), bench.site.at(1, 7001)), ("two".into(), bench.site.at(1, 7002))],
            volumes: vec![Volume { name: VOLUME.into(), plan: "y".into(), shard: 3, lun: 0 }],
            pieces: 8,
            writes: 0.5,
            read: ("read".into(), Duration::from_secs(5)),
            write: ("write".into(), Duration::from_secs(5)),
            units: 3,
            depth: if target.is_none() { 3 } else { 1 },
            rest: Duration::from_millis(2),
            target,
        };
        let clients = Clients::start(&load, 3, 9, &bench.engine.clock()).unwrap();
        let enough = || Some(clients.history().requests.len()).filter(|n| *n > 150);
        until(PATIENCE, enough).unwrap();
        let history = clients.finish();
        let counts = history.counts();
        assert!(counts["served"] > 80 && counts["busy"] > 2 && counts["failed"] > 2, "{counts:?}");
        assert_eq!(
            history.requests.len(),
            counts["served"] + counts["busy"] + counts["failed"],
            "{counts:?}"
        );
        assert!(history.latency().unwrap().len() as usize == counts["served"]);
        let evidence =
            Evidence { requests: history.requests, entries: bench.place.log(), ..Evidence::default() };
        let shelf = bench.place.make().shelf.clone();
        let place = |r: &test_cluster::clients::Request| Some((shelf.clone(), r.key.clone()));
        let verdicts = [
            verdict::one_answer(&evidence),
            verdict::closed(&evidence),
            verdict::booked_once(&evidence),
            verdict::refused_never_ran(&evidence),
            verdict::served(&evidence),
            verdict::found(&evidence, &place),
            verdict::never_stale(&evidence),
        ];
        assert!(verdicts.iter().all(Verdict::holds), "{verdicts:#?}");
        assert!(verdicts.iter().all(|v| v.checked > 0), "{verdicts:#?}");
        assert!(evidence.requests.iter().any(|r| matches!(r.end, End::Served(_)) && r.booked.is_some()));
    }
}
