//! Stand-in discovery tells what it should, over HTTP.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use http::{BodyLength, ChunkDecoder, ResponseHead};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use test_cluster::discovery::{Discovery, Lifecycle, Listed, Manner};
use test_cluster::engine::Engine;
use test_cluster::operator::call;
use test_cluster::ports::Site;

struct Bench {
    discovery: Discovery,
    _engine: Engine,
    site: Site,
}

fn bench() -> Bench {
    let site = Site::new().unwrap();
    let engine = Engine::start(&site).unwrap();
    let doors = [("one".to_string(), site.at(1, 8500)), ("two".to_string(), site.at(1, 8501))].into();
    let listed = |n: u8| Listed {
        name: format!("box-{n}"),
        hall: "hall-a".into(),
        cell: n.into(),
        speaks: if n == 0 { "resp" } else { "iscsi" },
        target: "iqn.2026-12.lichenrudder:x".into(),
        lifecycle: Lifecycle::Active,
        started_ms: 0,
        addresses: [("one".into(), site.at(2, 7000)), ("two".into(), site.at(3, 7000))].into(),
    };
    let boxes = vec![listed(0), listed(1)];
    let discovery = Discovery::start(&doors, boxes, engine.clock(), engine.spawner()).unwrap();
    Bench { discovery, site, _engine: engine }
}

struct Watch {
    stream: TcpStream,
    came: Vec<u8>,
    body: Vec<u8>,
    chunks: ChunkDecoder,
}

impl Watch {
    fn begin(bench: &Bench, port: u16, from: &str) -> Watch {
        let mut stream = TcpStream::connect(bench.site.at(1, port)).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        write!(stream, "GET /api/targets?watch=1&from={from} HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
        let mut watch = Watch { stream, came: vec![], body: vec![], chunks: ChunkDecoder::default() };
        loop {
            if let Some(ResponseHead { status, body: form, length: used }) =
                http::response_head(&watch.came).unwrap()
            {
                assert_eq!((status, form), (200, BodyLength::Chunked));
                watch.came.drain(..used);
                return watch;
            }
            assert!(watch.more(), "the head comes");
        }
    }

    fn more(&mut self) -> bool {
        let mut piece = [0; 512];
        let count = self.stream.read(&mut piece).unwrap_or(0);
        self.came.extend_from_slice(&piece[..count]);
        count > 0
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.body.iter().position(|b| *b == b'\n') {
                let line = self.body.drain(..=end).collect::<Vec<u8>>();
                return Some(String::from_utf8(line).unwrap().trim().to_string());
            }
            let used = self.chunks.read(&self.came, &mut self.body).unwrap();
            self.came.drain(..used);
            if used == 0 && !self.more() {
                return None;
            }
        }
    }
}

#[test]
fn a_watch_begins_with_the_whole_list_and_goes_on_with_what_changes() {
    let bench = bench();
    let mut one = Watch::begin(&bench, 8500, "0");
    let first = one.line().unwrap();
    let list: serde_json::Value = serde_json::from_str(&first).unwrap();
    assert_eq!((&list["generation"], &list["reset"]), (&1.into(), &true.into()));
    assert_eq!(list["instances"][0]["hostPort"], bench.site.at(2, 7000).to_string());
    assert_eq!(list["instances"][1]["speaks"], "iscsi");
    // Each front sees its own addresses.
    let (status, whole) = call(bench.site.at(1, 8501), "GET", "/api/targets", "").unwrap();
    assert!(status == 200 && whole.contains(&bench.site.at(3, 7000).to_string()));
    let (generation, _) = bench.discovery.set("box-1", Lifecycle::Leaving);
    let change = one.line().unwrap();
    assert!(
        change.contains("\"reset\":false") && change.contains("leaving") && !change.contains("box-0"),
        "{change}"
    );
    let since = Instant::now();
    assert_eq!(one.line().unwrap(), "", "a heartbeat");
    assert!(since.elapsed() > Duration::from_millis(1500));
    let told = bench.discovery.told();
    let last = told.last().unwrap();
    assert_eq!((last.front.as_str(), last.generation), ("one", generation));
    assert_eq!(last.boxes, [("box-1".to_string(), Lifecycle::Leaving)]);
    assert!(told.iter().any(|t| t.front == "two" && t.whole));
    // From a version on only what came later; a version that never was gets all.
    bench.discovery.set("box-0", Lifecycle::Left);
    let later = Watch::begin(&bench, 8501, "2").line().unwrap();
    assert!(later.contains("\"left\"") && !later.contains("box-1"), "{later}");
    let all = Watch::begin(&bench, 8501, "77").line().unwrap();
    assert!(all.contains("\"reset\":true") && !all.contains("box-0"), "{all}");
}

#[test]
fn it_falls_silent_answers_503_and_goes_down() {
    let bench = bench();
    let mut one = Watch::begin(&bench, 8500, "0");
    one.line().unwrap();
    bench.discovery.act(Manner::Silent);
    bench.discovery.set("box-0", Lifecycle::Leaving);
    one.stream.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
    assert_eq!(one.line(), None, "nothing is said");
    one.stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    bench.discovery.act(Manner::Well);
    assert!(one.line().unwrap().contains("leaving"));
    bench.discovery.act(Manner::Unavailable);
    assert_eq!(one.line(), None, "watches end");
    assert_eq!(call(bench.site.at(1, 8500), "GET", "/api/targets", "").unwrap().0, 503);
    bench.discovery.act(Manner::Down);
    assert!(call(bench.site.at(1, 8500), "GET", "/api/targets", "").is_err());
    bench.discovery.act(Manner::Well);
    assert_eq!(call(bench.site.at(1, 8500), "GET", "/elsewhere", "").unwrap().0, 404);
}
