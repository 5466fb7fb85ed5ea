//! A client of gathers: what it asks, and what it is answered.
use scatter_gather::{parse_status, AnswerStatus};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use test_cluster::runtime::poll_until;

/// How long a client waits, as it says.
pub const WAIT: Duration = Duration::from_secs(3);
/// How long anything may take that is awaited on whatever machine.
pub const TIMEOUT: Duration = Duration::from_secs(40);
pub const VOLUME: &str = "00000003b4d60001";
/// Two of four parts suffice; the second must be among them; every one is needed.
pub const ANY: u64 = 0xf0;
pub const NAMED: u64 = 0xf1;
pub const ALL: u64 = 0xf2;

/// Values of several lengths, one of them empty, one longer than what is passed on while it comes.
pub fn value(n: usize) -> String {
    if n == 2 {
        String::new()
    } else {
        format!("<{n}:{}>", "x".repeat(n * 40_000))
    }
}

pub fn joined(missing: &BTreeSet<usize>) -> String {
    (0..4).filter(|n| !missing.contains(n)).map(value).collect()
}

/// What a client was answered.
#[derive(Debug)]
pub enum Answer {
    Whole(String),
    InPart(String, AnswerStatus),
    Error(String),
}

pub struct Client {
    stream: TcpStream,
    at: SocketAddr,
    asked: u64,
    /// How many of each it was answered.
    pub counts: BTreeMap<&'static str, u64>,
}

impl Client {
    pub fn new(at: SocketAddr) -> Client {
        let stream = TcpStream::connect(at).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        Client { stream, at, asked: 0, counts: BTreeMap::new() }
    }

    pub fn send(&mut self, piece: u64) {
        self.asked += 1;
        let (piece, name) = (format!("{piece:016x}"), format!("q{}", self.asked));
        let list = format!("c=stock-read,t=premium,d={},volume={VOLUME},units=1", WAIT.as_millis());
        let mut out = Vec::new();
        resp::write_command(&mut out, &[b"PREAD", piece.as_bytes(), name.as_bytes(), list.as_bytes()]);
        self.stream.write_all(&out).unwrap();
    }

    /// Books there, and waits for the answer.
    pub fn book(&mut self, piece: u64, name: &str) {
        let piece = format!("{piece:016x}");
        let list = format!("c=booking-write,t=premium,d={},volume={VOLUME},units=1", WAIT.as_millis());
        let words = [b"PWRITE", piece.as_bytes(), name.as_bytes(), list.as_bytes(), b"v"];
        let (mut out, mut bytes) = (Vec::new(), Vec::new());
        resp::write_command(&mut out, &words);
        self.stream = Client::new(self.at).stream;
        self.stream.write_all(&out).unwrap();
        while resp::reply(&bytes, 1 << 20).unwrap().is_none() {
            self.more(&mut bytes);
        }
    }

    /// Asks on a connection of its own, so that one is never closed between requests for standing idle; the `PING` after the
    /// request must be answered after it, and nothing more may come.
    pub fn ask(&mut self, piece: u64) -> (Answer, Duration) {
        let fresh = Client::new(self.at);
        self.stream = fresh.stream;
        let began = Instant::now();
        self.send(piece);
        self.stream.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
        let mut bytes = Vec::new();
        let (answer, used) = loop {
            if let Some((reply, used)) = resp::reply(&bytes, 1 << 20).unwrap() {
                break (read(&reply), used);
            }
            self.more(&mut bytes);
        };
        let took = began.elapsed();
        while bytes.len() < used + 7 {
            self.more(&mut bytes);
        }
        assert_eq!(&bytes[used..], b"+PONG\r\n", "one answer, in its place");
        let kind = match answer {
            Answer::Whole(ref value) => {
                assert_eq!(*value, joined(&BTreeSet::new()), "told as whole");
                "whole"
            }
            Answer::InPart(..) => "in_part",
            Answer::Error(_) => "failed",
        };
        *self.counts.entry(kind).or_default() += 1;
        (answer, took)
    }

    fn more(&mut self, bytes: &mut Vec<u8>) {
        let mut piece = [0; 4096];
        let count = self.stream.read(&mut piece).unwrap();
        assert!(count > 0, "closed before its answer: {bytes:?}");
        bytes.extend_from_slice(&piece[..count]);
    }

    /// Asks until the answer is whole.
    pub fn whole(&mut self, piece: u64) {
        poll_until(TIMEOUT, || matches!(self.ask(piece).0, Answer::Whole(_)).then_some(()))
            .expect("whole in bounded time");
    }
}

fn read(reply: &resp::Reply<'_>) -> Answer {
    let text = |b: &[u8]| String::from_utf8(b.to_vec()).unwrap();
    match reply {
        resp::Reply::Bulk(Some(value)) => Answer::Whole(text(value)),
        resp::Reply::Error(line) => Answer::Error(text(line)),
        resp::Reply::Array(parts) => match parts.as_slice() {
            [resp::Reply::Bulk(Some(value)), resp::Reply::Bulk(Some(told))] => {
                let told = parse_status(&text(told)).expect("a wording that can be read");
                Answer::InPart(text(value), told)
            }
            _ => panic!("an array of other things"),
        },
        _ => panic!("another reply"),
    }
}
