//! Answers, logs and data of fake backends.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;
use test_cluster::backends::store::{SharedStore, NEVER_WRITTEN};
use test_cluster::backends::{target_name, Answer, BackendConfig, Behavior, FakeBackend, Protocol};
use test_cluster::checks::{self, CheckResult, RunRecord};
use test_cluster::clients::{Clients, Load, RequestEnd, Volume};
use test_cluster::loopback::LoopbackNetwork;
use test_cluster::runtime::{lock, poll_until, Runtime};

const TIMEOUT: Duration = Duration::from_secs(10);
const VOLUME: &str = "00000003b4d60021";

struct Fixture {
    backend: FakeBackend,
    runtime: Runtime,
    network: LoopbackNetwork,
}

fn fixture(protocol: Protocol) -> Fixture {
    let network = LoopbackNetwork::new().unwrap();
    let runtime = Runtime::start(&network).unwrap();
    let config = BackendConfig {
        name: "box-0".into(),
        shard: 3,
        protocol,
        listen_addresses: [
            ("one".into(), network.address(1, 7001)),
            ("two".into(), network.address(1, 7002)),
        ]
        .into(),
        luns: vec![(0, VOLUME.into(), 64)],
        store: SharedStore::default(),
        seed: 5,
    };
    Fixture {
        backend: FakeBackend::start(config, runtime.clock(), runtime.spawner()).unwrap(),
        runtime,
        network,
    }
}

fn connect(fixture: &Fixture, port: u16) -> TcpStream {
    let stream = poll_until(TIMEOUT, || TcpStream::connect(fixture.network.address(1, port)).ok()).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream
}

fn command(words: &[&str]) -> Vec<u8> {
    let mut out = Vec::new();
    resp::write_command(&mut out, &words.iter().map(|w| w.as_bytes()).collect::<Vec<_>>());
    out
}

fn parameters(shard: i64, units: u32) -> String {
    format!("c=x,t=y,d=400,volume={VOLUME},units={units},shard={shard},hosts=2")
}

fn read(id: &str, shard: i64, units: u32) -> Vec<u8> {
    command(&["PREAD", "0000000000000007", id, &parameters(shard, units)])
}

fn write(id: &str, body: &str) -> Vec<u8> {
    command(&["PWRITE", "0000000000000007", id, &parameters(3, 2), body])
}

fn send_command(stream: &mut TcpStream, command: &[u8]) -> String {
    stream.write_all(command).unwrap();
    let mut received = Vec::new();
    loop {
        if let Some((_, used)) = resp::reply(&received, 1 << 20).unwrap() {
            assert_eq!(used, received.len());
            return String::from_utf8(received).unwrap();
        }
        let mut piece = [0; 512];
        let count = stream.read(&mut piece).unwrap();
        assert!(count > 0, "ended");
        received.extend_from_slice(&piece[..count]);
    }
}

#[test]
fn applies_writes_rejects_other_shards_and_reports_cost_of_other_gateways() {
    let fixture = fixture(Protocol::Resp);
    let (mut one, mut two) = (connect(&fixture, 7001), connect(&fixture, 7002));
    assert_eq!(send_command(&mut one, &command(&["PING"])), "+PONG\r\n");
    assert_eq!(send_command(&mut one, &command(&["HELLO", "3"])), "-ERR unknown command\r\n");
    assert!(send_command(&mut one, &read("r1", 3, 4)).starts_with("*3\r\n$1\r\n-\r\n$6\r\nused=4\r\n"));
    assert!(send_command(&mut one, &write("b1", "first")).contains("used=2\r\n"));
    assert!(send_command(&mut two, &read("r2", -1, 1))
        .starts_with("*3\r\n$5\r\nfirst\r\n$13\r\nused=1,cost=6\r\n"));
    assert!(send_command(&mut two, &read("r3", 3, 1)).contains("used=1\r\n"), "reported once");
    assert_eq!(send_command(&mut one, &read("r4", 2, 1)), "-BUSY cost=2\r\n");
    assert_eq!(send_command(&mut one, &command(&["PREAD", "7", "r5", "c=x"])), "-SYNTAX\r\n");
    let log = fixture.backend.command_log();
    let summary = |i: usize| (log[i].id.as_str(), log[i].gateway.as_str(), log[i].executed.is_some());
    assert_eq!(
        (summary(0), summary(1), summary(4)),
        (("r1", "one", true), ("b1", "one", true), ("r4", "one", false))
    );
    assert_eq!(log[2].answer, Answer::Value(b"first"[..].into()));
    assert!(log.windows(2).all(|w| w[0].sequence < w[1].sequence));
    assert!(lock(&fixture.backend.config().store).was_written(&(VOLUME.into(), 7), b"first"));
}

#[test]
fn injects_busy_failed_and_silent_commands_by_share() {
    let fixture = fixture(Protocol::Resp);
    let mut one = connect(&fixture, 7001);
    let behavior = Behavior::default();
    fixture.backend.set_behavior(Behavior { busy_share: 1.0, ..behavior.clone() });
    assert_eq!(send_command(&mut one, &write("b1", "x")), "-BUSY\r\n");
    fixture.backend.set_behavior(Behavior { fail_share: 0.6, ..behavior.clone() });
    let failed = (0..60)
        .filter(|n| send_command(&mut one, &write(&format!("c{n}"), "y")).starts_with("-ERR failed"))
        .count();
    let ran = fixture
        .backend
        .command_log()
        .iter()
        .filter(|e| e.answer == Answer::Failed && e.executed.is_some())
        .count();
    assert!((20..52).contains(&failed) && (5..failed).contains(&ran), "{failed} failed, {ran} ran");
    assert!(fixture.backend.command_log().iter().all(|e| e.answer != Answer::Busy || e.executed.is_none()));
    fixture.backend.set_behavior(Behavior { silent_share: 1.0, executed_silent_share: 1.0, ..behavior });
    one.write_all(&write("b2", "quiet")).unwrap();
    poll_until(TIMEOUT, || {
        fixture.backend.command_log().last().filter(|e| e.id == "b2").and_then(|e| e.executed)
    })
    .unwrap();
    one.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
    assert!(one.read(&mut [0; 8]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock));
}

#[test]
fn cold_backend_has_fewer_slots_and_keeps_or_loses_data() {
    let fixture = fixture(Protocol::Resp);
    let mut one = connect(&fixture, 7001);
    send_command(&mut one, &write("b1", "kept"));
    fixture.backend.restart(true).unwrap();
    assert_eq!(one.read(&mut [0; 8]).unwrap_err().kind(), ErrorKind::ConnectionReset);
    assert!(fixture.backend.started().is_some());
    let cold = Behavior {
        max_running_cold: 1,
        max_queued: 0,
        service_time: Duration::from_millis(400),
        warm_up: Duration::from_secs(3600),
        ..Behavior::default()
    };
    fixture.backend.set_behavior(cold);
    let (mut one, mut two) = (connect(&fixture, 7001), connect(&fixture, 7002));
    one.write_all(&read("r1", 3, 1)).unwrap();
    poll_until(TIMEOUT, || {
        fixture.backend.command_log().last().filter(|e| e.id == "r1").and_then(|e| e.executed)
    })
    .unwrap();
    assert_eq!(
        send_command(&mut two, &read("r2", 3, 1)),
        "-BUSY cost=1\r\n",
        "counts from before the restart are lost"
    );
    let mut got = [0; 14];
    one.read_exact(&mut got).unwrap();
    assert_eq!(&got, b"*3\r\n$4\r\nkept\r\n");
    fixture.backend.stop();
    poll_until(TIMEOUT, || TcpStream::connect(fixture.network.address(1, 7001)).err()).unwrap();
    fixture.backend.restart(false).unwrap();
    let mut one = connect(&fixture, 7001);
    fixture.backend.set_behavior(Behavior::default());
    assert!(send_command(&mut one, &read("r3", 3, 1)).contains(std::str::from_utf8(NEVER_WRITTEN).unwrap()));
    assert_eq!(lock(&fixture.backend.config().store).clear_count, 1);
}

/// Clients talk to backends directly, as they would to gateways: both ends of each protocol match, and the
/// checks pass.
#[test]
fn clients_and_backends_interoperate_in_both_protocols() {
    for (protocol, target) in [(Protocol::Resp, None), (Protocol::Iscsi, Some(target_name("box-0")))] {
        let fixture = fixture(protocol);
        fixture.backend.set_behavior(Behavior {
            service_time: Duration::from_millis(1),
            busy_share: 0.1,
            fail_share: 0.1,
            ..Behavior::default()
        });
        let load = Load {
            gateways: vec![
                ("one".into(), fixture.network.address(1, 7001)),
                ("two".into(), fixture.network.address(1, 7002)),
            ],
            volumes: vec![Volume { name: VOLUME.into(), plan: "y".into(), shard: 3, lun: 0 }],
            pieces: 8,
            write_share: 0.5,
            read_class: ("read".into(), Duration::from_secs(5)),
            write_class: ("write".into(), Duration::from_secs(5)),
            max_units: 3,
            max_pipelined: if target.is_none() { 3 } else { 1 },
            max_pause: Duration::from_millis(2),
            target,
        };
        let clients = Clients::start(&load, 3, 9, &fixture.runtime.clock()).unwrap();
        let enough = || Some(clients.history().requests.len()).filter(|n| *n > 150);
        poll_until(TIMEOUT, enough).unwrap();
        let history = clients.finish();
        let counts = history.counts();
        assert!(counts["served"] > 80 && counts["busy"] > 2 && counts["failed"] > 2, "{counts:?}");
        assert_eq!(
            history.requests.len(),
            counts["served"] + counts["busy"] + counts["failed"],
            "{counts:?}"
        );
        assert!(history.latency().unwrap().len() as usize == counts["served"]);
        let run_record = RunRecord {
            requests: history.requests,
            commands: fixture.backend.command_log(),
            ..RunRecord::default()
        };
        let store = fixture.backend.config().store.clone();
        let locate = |r: &test_cluster::clients::Request| Some((store.clone(), r.key.clone()));
        let results = [
            checks::one_final_answer(&run_record),
            checks::connections_stay_open(&run_record),
            checks::writes_run_once(&run_record),
            checks::refused_writes_never_run(&run_record),
            checks::served_by_backend(&run_record),
            checks::served_writes_are_stored(&run_record, &locate),
            checks::reads_are_not_stale(&run_record),
        ];
        assert!(results.iter().all(CheckResult::holds), "{results:#?}");
        assert!(results.iter().all(|v| v.checked > 0), "{results:#?}");
        assert!(run_record
            .requests
            .iter()
            .any(|r| matches!(r.end, RequestEnd::Served(_)) && r.written.is_some()));
    }
}
