//! The wall clock may be stepped, by seconds or an hour, before the start or while the program runs. A server in slow start
//! gets no more for it, and what is ordered or kept by time stays in order.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod common;
#[path = "wall_clock/discovery.rs"]
mod discovery;
use common::server::Server;
use common::{address, ask, book, call, config, spawn_as};
use discovery::Discovery;
use rstest::rstest;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use test_cluster::syscall_faults::SyscallFaults;

/// Requests a second, on some connections in turn.
const RATE: u32 = 150;
const CLIENTS: usize = 10;
/// The time after the notification in which requests are counted.
const COUNTED: Duration = Duration::from_millis(1500);
/// Requests go on for so long before the start that they are notified of.
const BEFORE: Duration = Duration::from_secs(3);
/// Steps of the wall clock (s).
const STEPS: [i64; 4] = [5, -5, 3600, -3600];

/// When the server has started.
#[derive(Clone, Copy)]
enum Start {
    /// Right before the gateway, whose wall clock is off from its start on.
    BeforeTheFront,
    /// While the gateway runs, after the wall clock of all machines was stepped.
    AfterTheStep,
}

fn unix_ms(step: i64) -> i64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as i64;
    now + step * 1000
}

/// Requests that the server gets in the first while after the gateway was notified of its start.
fn sent(start: Start, step: i64) -> usize {
    let (ip, faults) = (address(), SyscallFaults::build().unwrap());
    let server = Server::start(&ip, Duration::from_millis(5));
    let first = if matches!(start, Start::BeforeTheFront) { unix_ms(0) } else { 0 };
    let mut discovery = Discovery::start(&ip, first);
    faults.step_wall_clock(if matches!(start, Start::BeforeTheFront) { step } else { 0 }).unwrap();
    let all = config(&ip);
    let known = &all[all.find("[known]").unwrap()..all.find("[settings]").unwrap()];
    let text =
        all.replace(known, "").replace("seed = \"7\"", &format!("seed = \"7\"\ndiscovery = \"{ip}:8500\""));
    let program = spawn_as(&text, &ip, |command| faults.preload(command));
    let mut clients: Vec<_> = (0..CLIENTS).map(|_| program.connect(6379)).collect();
    discovery.wait_for_watch();
    for client in &clients {
        let mut answers = client.try_clone().unwrap();
        std::thread::spawn(move || while answers.read(&mut [0; 4096]).is_ok_and(|count| count > 0) {});
    }
    let mut offer = Offer { clients: &mut clients, next: 0 };
    let mut notified = Instant::now();
    if matches!(start, Start::AfterTheStep) {
        offer.go_on(BEFORE);
        faults.step_wall_clock(step).unwrap();
        notified = Instant::now();
        discovery.notify(unix_ms(step));
    }
    offer.go_on(COUNTED + Duration::from_millis(100));
    server.arrivals().iter().filter(|a| a.at >= notified && a.at < notified + COUNTED).count()
}

/// Reads and bookings at an even rate, whatever becomes of them.
struct Offer<'a> {
    clients: &'a mut [TcpStream],
    next: u32,
}

impl Offer<'_> {
    fn go_on(&mut self, span: Duration) {
        let (begin, first) = (Instant::now(), self.next);
        while begin.elapsed() < span {
            let n = u64::from(self.next);
            let request = if n % 3 == 0 { book(n, 1200) } else { ask(n, 1200) };
            self.clients[n as usize % CLIENTS].write_all(&request).unwrap();
            self.next += 1;
            let due = begin + Duration::from_secs(1) * (self.next - first) / RATE;
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
        }
    }
}

fn no_more_than_unstepped(start: Start) {
    let plays = [0].into_iter().chain(STEPS).map(|step| std::thread::spawn(move || sent(start, step)));
    let counts: Vec<usize> = plays.collect::<Vec<_>>().into_iter().map(|play| play.join().unwrap()).collect();
    println!("sent with steps of 0 and {STEPS:?} s: {counts:?}");
    assert!(counts[0] >= 5, "a server in slow start is used: {counts:?}");
    // Where in the first of its parts a gateway begins is drawn, so a quarter and five requests are let pass.
    let most = counts[0] + counts[0] / 4 + 5;
    assert!(counts.iter().all(|count| *count <= most), "{counts:?}, with steps of 0 and {STEPS:?} s");
}

/// A gateway is upgraded while the wall clock is stepped: the later process is the later one, and what was suspended stays so.
#[rstest]
fn a_process_that_starts_later_comes_later(#[values(5, -5, 3600, -3600)] step: i64) {
    let (ip, faults, folder) = (address(), SyscallFaults::build().unwrap(), tempfile::tempdir().unwrap());
    let server = Server::start(&ip, Duration::ZERO);
    let all = config(&ip);
    let iscsi = &all[all.find("[agent]").unwrap()..all.find("[known]").unwrap()];
    let text = all.replace(iscsi, "").replace("speaks = \"iscsi\"", "");
    let start = |port: &str| {
        spawn_as(&text.replace(":6382", port), &ip, |command| {
            faults.preload(command);
            command.env("TMPDIR", folder.path());
        })
    };
    let mut old = start(":6382");
    drop(old.connect(6379));
    assert_eq!(call(&ip, 6382, "POST /v1/chunk-servers/box-0/suspend"), 200);
    faults.step_wall_clock(step).unwrap();
    let new = start(":6383");
    let end = Instant::now() + Duration::from_secs(8);
    while call(&ip, 6383, "GET /v1/readyz") != 200 {
        assert!(Instant::now() < end, "the new process is not ready");
        std::thread::sleep(Duration::from_millis(20));
    }
    std::thread::sleep(Duration::from_millis(200));
    old.signal("TERM");
    assert_eq!(old.exit(), 0);
    let mut client = new.connect(6379);
    for n in 0..5 {
        client.write_all(&ask(n, 200)).unwrap();
        let mut answer = [0; 5];
        client.read_exact(&mut answer).unwrap();
        assert_eq!(&answer, b"-BUSY", "it serves, and box-0 is out");
        client.read(&mut [0; 64]).map(drop).unwrap();
    }
    assert!(server.arrivals().is_empty(), "what was taken out gets requests");
    assert_eq!(call(&ip, 6383, "POST /v1/chunk-servers/box-0/resume"), 200);
    client.write_all(&ask(9, 1200)).unwrap();
    client.read(&mut [0; 64]).map(drop).unwrap();
    assert_eq!(server.arrivals().len(), 1, "it is put back");
}

#[test]
fn gateway_with_a_wrong_clock_keeps_to_slow_start() {
    no_more_than_unstepped(Start::BeforeTheFront);
}

#[test]
fn a_step_of_all_clocks_leaves_the_slow_start_as_it_is() {
    no_more_than_unstepped(Start::AfterTheStep);
}
