//! Whatever becomes of calls to discovery, a change takes effect within 6 s after discovery had it and could be reached. Noticing
//! silence, pausing, dialling and waiting are measured here in sum.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod common;
use common::late::{reset, Late};
use common::play::accept;
use common::{address, config, Program};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// By when an answer must have been asked for: what is left of the 6 s is discovery's turn and the machine's slowness.
const ASKED: Duration = Duration::from_millis(4_900);
const UP: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n";

struct Discovery {
    ip: String,
    listener: Option<TcpListener>,
    /// Calls that get no answer, kept open.
    silent: Vec<TcpStream>,
}

impl Discovery {
    fn start() -> (Discovery, Program) {
        let ip = address();
        let listener = Some(TcpListener::bind((ip.as_str(), 8500)).unwrap());
        let text = config(&ip).replace("seed = \"7\"", &format!("seed = \"7\"\ndiscovery = \"{ip}:8500\""));
        let program = Program::start(&text, &ip);
        (Discovery { ip, listener, silent: vec![] }, program)
    }

    /// The next call, with what it asks read.
    fn call(&mut self) -> TcpStream {
        let mut stream = accept(self.listener.as_ref().unwrap(), "discovery");
        let mut chunk = [0; 1024];
        let count = stream.read(&mut chunk).unwrap();
        assert!(chunk[..count].starts_with(b"GET /api/targets?watch=1&from=41 "));
        stream
    }

    fn silent_call(&mut self) {
        let call = self.call();
        self.silent.push(call);
    }

    fn listen(&mut self) {
        self.listener = Some(TcpListener::bind((self.ip.as_str(), 8500)).unwrap());
    }
}

#[derive(Clone, Copy, Debug)]
enum Before {
    /// A call that never had an answer.
    Start,
    /// A watch that was up and says nothing any more.
    Watch,
    /// A watch that broke.
    Reset,
}

/// What comes between that and the call that is answered: refused connections or failing calls for so long, then a call
/// that is silent too.
#[rstest]
fn what_is_missed_is_asked_for_in_time(
    #[values(Before::Start, Before::Watch, Before::Reset)] before: Before,
) {
    let (mut discovery, _program) = Discovery::start();
    let mut first = discovery.call();
    let since = Instant::now();
    match before {
        Before::Start => discovery.silent.push(first),
        Before::Watch => {
            first.write_all(UP).unwrap();
            discovery.silent.push(first);
        }
        Before::Reset => {
            first.write_all(UP).unwrap();
            std::thread::sleep(Duration::from_millis(50));
            reset(first);
        }
    }
    discovery.silent_call();
    let answered = discovery.call();
    let took = since.elapsed();
    println!("asked again after {took:?}");
    drop(answered);
    assert!(took < ASKED, "{took:?}");
}

#[rstest]
fn after_an_outage_a_silent_call_is_not_waited_out(
    // The longest first: cases run beside each other, and all wait for that one.
    #[values(120, 30, 8, 2)] outage: u64,
    #[values(false, true)] refused: bool,
) {
    let span = Duration::from_secs(outage);
    let (mut discovery, _program) = Discovery::start();
    let mut first = discovery.call();
    first.write_all(UP).unwrap();
    std::thread::sleep(Duration::from_millis(50));
    // Before pauses have grown as far as they do, and for long after.
    let outage = Instant::now();
    if refused {
        discovery.listener = None;
        reset(first);
        std::thread::sleep(span);
        discovery.listen();
    } else {
        reset(first);
        while outage.elapsed() < span {
            let mut call = discovery.call();
            call.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").unwrap();
        }
    }
    let back = Instant::now();
    discovery.silent_call();
    let mut answered = discovery.call();
    let took = back.elapsed();
    println!("{span:?}, refused {refused}: asked again after {took:?}");
    answered.write_all(UP).unwrap();
    assert!(took < ASKED, "{took:?}");
}

#[test]
fn a_call_whose_connection_does_not_come_up_is_not_waited_out() {
    let (mut discovery, _program) = Discovery::start();
    let mut first = discovery.call();
    first.write_all(UP).unwrap();
    std::thread::sleep(Duration::from_millis(50));
    discovery.listener = None;
    let late = Late::listen(format!("{}:8500", discovery.ip).parse().unwrap());
    reset(first);
    std::thread::sleep(Duration::from_secs(8));
    let back = Instant::now();
    discovery.listener = Some(late.open());
    let mut answered = discovery.call();
    let took = back.elapsed();
    println!("asked again after {took:?}");
    answered.write_all(UP).unwrap();
    assert!(took < ASKED, "{took:?}");
}
