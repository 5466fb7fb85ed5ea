//! The HTTP interface of the fake discovery service.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use http::{BodyLength, ChunkDecoder, ResponseHead};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use test_cluster::admin_client::call;
use test_cluster::discovery::{Discovery, Lifecycle, ListedBackend, Mode};
use test_cluster::loopback::LoopbackNetwork;
use test_cluster::runtime::Runtime;

struct Fixture {
    discovery: Discovery,
    _runtime: Runtime,
    network: LoopbackNetwork,
}

fn fixture() -> Fixture {
    let network = LoopbackNetwork::new().unwrap();
    let runtime = Runtime::start(&network).unwrap();
    let listen_addresses =
        [("one".to_string(), network.address(1, 8500)), ("two".to_string(), network.address(1, 8501))].into();
    let listed = |n: u8| ListedBackend {
        name: format!("box-{n}"),
        zone: "hall-a".into(),
        shard: n.into(),
        protocol: if n == 0 { "resp" } else { "iscsi" },
        target: "iqn.2026-12.lichenrudder:x".into(),
        lifecycle: Lifecycle::Active,
        started_ms: 0,
        addresses: [("one".into(), network.address(2, 7000)), ("two".into(), network.address(3, 7000))]
            .into(),
    };
    let backends = vec![listed(0), listed(1)];
    let discovery =
        Discovery::start(&listen_addresses, backends, runtime.clock(), runtime.spawner()).unwrap();
    Fixture { discovery, network, _runtime: runtime }
}

struct Watch {
    stream: TcpStream,
    received: Vec<u8>,
    body: Vec<u8>,
    chunks: ChunkDecoder,
}

impl Watch {
    fn open(fixture: &Fixture, port: u16, from: &str) -> Watch {
        let mut stream = TcpStream::connect(fixture.network.address(1, port)).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        write!(stream, "GET /api/targets?watch=1&from={from} HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
        let mut watch = Watch { stream, received: vec![], body: vec![], chunks: ChunkDecoder::default() };
        loop {
            if let Some(ResponseHead { status, body: body_length, length: used }) =
                http::response_head(&watch.received).unwrap()
            {
                assert_eq!((status, body_length), (200, BodyLength::Chunked));
                watch.received.drain(..used);
                return watch;
            }
            assert!(watch.read_more(), "response head");
        }
    }

    fn read_more(&mut self) -> bool {
        let mut piece = [0; 512];
        let count = self.stream.read(&mut piece).unwrap_or(0);
        self.received.extend_from_slice(&piece[..count]);
        count > 0
    }

    fn next_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.body.iter().position(|b| *b == b'\n') {
                let line = self.body.drain(..=end).collect::<Vec<u8>>();
                return Some(String::from_utf8(line).unwrap().trim().to_string());
            }
            let used = self.chunks.read(&self.received, &mut self.body).unwrap();
            self.received.drain(..used);
            if used == 0 && !self.read_more() {
                return None;
            }
        }
    }
}

#[test]
fn watch_starts_with_full_list_and_continues_with_changes() {
    let fixture = fixture();
    let mut one = Watch::open(&fixture, 8500, "0");
    let first = one.next_line().unwrap();
    let list: serde_json::Value = serde_json::from_str(&first).unwrap();
    assert_eq!((&list["generation"], &list["reset"]), (&1.into(), &true.into()));
    assert_eq!(list["instances"][0]["hostPort"], fixture.network.address(2, 7000).to_string());
    assert_eq!(list["instances"][1]["speaks"], "iscsi");
    // Each gateway sees its own addresses.
    let (status, whole) = call(fixture.network.address(1, 8501), "GET", "/api/targets", "").unwrap();
    assert!(status == 200 && whole.contains(&fixture.network.address(3, 7000).to_string()));
    let (generation, _) = fixture.discovery.set_lifecycle("box-1", Lifecycle::Leaving);
    let change = one.next_line().unwrap();
    assert!(
        change.contains("\"reset\":false") && change.contains("leaving") && !change.contains("box-0"),
        "{change}"
    );
    let since = Instant::now();
    assert_eq!(one.next_line().unwrap(), "", "a heartbeat");
    assert!(since.elapsed() > Duration::from_millis(1500));
    let sent_updates = fixture.discovery.sent_updates();
    let last = sent_updates.last().unwrap();
    assert_eq!((last.gateway.as_str(), last.generation), ("one", generation));
    assert_eq!(last.backends, [("box-1".to_string(), Lifecycle::Leaving)]);
    assert!(sent_updates.iter().any(|t| t.gateway == "two" && t.is_full_list));
    // A watch from a known generation gets only later changes; one from an unknown generation gets the full
    // list.
    fixture.discovery.set_lifecycle("box-0", Lifecycle::Left);
    let later = Watch::open(&fixture, 8501, "2").next_line().unwrap();
    assert!(later.contains("\"left\"") && !later.contains("box-1"), "{later}");
    let all = Watch::open(&fixture, 8501, "77").next_line().unwrap();
    assert!(all.contains("\"reset\":true") && !all.contains("box-0"), "{all}");
}

#[test]
fn modes_silence_reject_and_reset_calls() {
    let fixture = fixture();
    let mut one = Watch::open(&fixture, 8500, "0");
    one.next_line().unwrap();
    fixture.discovery.set_mode(Mode::Silent);
    fixture.discovery.set_lifecycle("box-0", Lifecycle::Leaving);
    one.stream.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
    assert_eq!(one.next_line(), None, "nothing is sent");
    one.stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    fixture.discovery.set_mode(Mode::Normal);
    assert!(one.next_line().unwrap().contains("leaving"));
    fixture.discovery.set_mode(Mode::Unavailable);
    assert_eq!(one.next_line(), None, "watches end");
    assert_eq!(call(fixture.network.address(1, 8500), "GET", "/api/targets", "").unwrap().0, 503);
    fixture.discovery.set_mode(Mode::Down);
    assert!(call(fixture.network.address(1, 8500), "GET", "/api/targets", "").is_err());
    fixture.discovery.set_mode(Mode::Normal);
    assert_eq!(call(fixture.network.address(1, 8500), "GET", "/elsewhere", "").unwrap().0, 404);
}
