//! System calls that fail as Linux documents cost no request its answer, and each failure is what the protocol says it is.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod common;
use common::server::Server;
use common::{address, ask, book, config, spawn, spawn_as, Program};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Stdio;
use std::time::{Duration, Instant};
use test_cluster::syscall_faults::SyscallFaults;

/// Requests of one play, each on a connection of its own.
const REQUESTS: u64 = 120;
/// A play that takes longer has failed.
const LONGEST: Duration = Duration::from_secs(10);

/// What a client gets, to the end of its first line; or the kind of its error.
fn answer(mut client: TcpStream, request: &[u8]) -> String {
    client.set_read_timeout(Some(Duration::from_secs(4))).unwrap();
    let mut got = [0; 256];
    match client.write_all(request).and_then(|()| client.read(&mut got)) {
        Ok(count) => String::from_utf8_lossy(&got[..count]).split("\r\n").next().unwrap().into(),
        Err(e) => format!("{:?}", e.kind()),
    }
}

/// Reads and bookings in turn, with faults; how often which answer came.
fn play(ip: &str, program: &Program) -> BTreeMap<String, usize> {
    let mut answers = BTreeMap::new();
    let end = Instant::now() + LONGEST;
    for n in (0..REQUESTS).take_while(|_| Instant::now() < end) {
        let request = if n % 3 == 0 { book(n, 1200) } else { ask(n, 1200) };
        let client = TcpStream::connect((ip, 6379)).unwrap();
        *answers.entry(answer(client, &request)).or_insert(0) += 1;
    }
    drop(program.connect(6379));
    answers
}

fn all_are_served(calls: &str) {
    let (ip, faults) = (address(), SyscallFaults::build().unwrap());
    let server = Server::start(&ip, Duration::from_millis(2));
    let program = spawn_as(&config(&ip), &ip, |command| faults.fail_calls(command, calls));
    drop(program.connect(6379));
    faults.set_active(true).unwrap();
    let answers = play(&ip, &program);
    let served = answers.get("$16").copied().unwrap_or(0);
    assert_eq!(served as u64, REQUESTS, "{calls}: {answers:?}");
    assert_eq!(server.arrivals().len() as u64, REQUESTS, "{calls}: each ran once");
}

#[test]
fn interrupted_reads_and_writes_go_on() {
    all_are_served("recvfrom=EINTR/7 sendto=EINTR/5");
}

#[test]
fn a_connection_whose_registration_fails_is_registered_a_little_later() {
    all_are_served("epoll_add=ENOMEM/3 epoll_add=ENOSPC/4");
}

#[test]
fn connections_that_this_machine_cannot_open_for_a_moment_are_opened_a_little_later() {
    all_are_served("socket=ENFILE/3 socket=ENOBUFS/4 connect=EADDRNOTAVAIL/5 connect=EINTR/7");
}

#[test]
fn a_way_that_is_gone_for_a_moment_costs_no_request_its_answer() {
    let (ip, faults) = (address(), SyscallFaults::build().unwrap());
    let server = Server::start(&ip, Duration::from_millis(2));
    let calls = "connect=ENETUNREACH/3 recvfrom=ETIMEDOUT/110 recvfrom=EHOSTUNREACH/130";
    let program = spawn_as(&config(&ip), &ip, |command| faults.fail_calls(command, calls));
    drop(program.connect(6379));
    faults.set_active(true).unwrap();
    let answers = play(&ip, &program);
    // Where the error hits a client's own connection, that client has none.
    let without =
        answers.get("").copied().unwrap_or(0) + answers.get("ConnectionReset").copied().unwrap_or(0);
    assert!(without <= 10, "{answers:?}");
    assert_eq!(answers.values().sum::<usize>() as u64, REQUESTS, "{answers:?}");
    let mut pieces: Vec<String> = server.arrivals().into_iter().map(|a| a.piece).collect();
    pieces.retain(|piece| u64::from_str_radix(piece, 16).unwrap() % 3 == 0);
    let bookings = pieces.len();
    pieces.sort_unstable();
    pieces.dedup();
    assert_eq!(pieces.len(), bookings, "a booking ran twice");
}

#[test]
fn signals_that_come_with_interrupted_calls_are_what_they_are() {
    let (ip, faults) = (address(), SyscallFaults::build().unwrap());
    let mut program =
        spawn_as(&config(&ip), &ip, |command| faults.fail_calls(command, "recvfrom=EINTR/2 read=EINTR/2"));
    drop(program.connect(6379));
    faults.set_active(true).unwrap();
    for n in 0..20 {
        program.signal(if n % 2 == 0 { "USR1" } else { "HUP" });
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(program.child.try_wait().unwrap(), None, "it has ended");
    drop(program.connect(6379));
    program.signal("TERM");
    assert_eq!(program.exit(), 0);
}

#[test]
fn a_start_at_which_calls_fail_for_a_moment_succeeds() {
    let (ip, faults) = (address(), SyscallFaults::build().unwrap());
    faults.set_active(true).unwrap();
    let calls = "socket=ENFILE/1 epoll_add=ENOMEM/3";
    let mut program = spawn_as(&config(&ip), &ip, |command| faults.fail_calls(command, calls));
    std::thread::sleep(Duration::from_millis(300));
    faults.set_active(false).unwrap();
    drop(program.connect(6379));
    assert_eq!(program.child.try_wait().unwrap(), None);
}

#[test]
fn accepting_that_fails_is_tried_again() {
    all_are_served("accept4=ECONNABORTED/3 accept4=ENFILE/4 accept4=ENOBUFS/5 accept4=EINTR/7");
}

#[test]
fn a_refused_connection_could_not_connect() {
    let ip = address();
    let mut program = spawn(&config(&ip), &ip, Stdio::piped());
    for n in 0..6 {
        let request = if n % 2 == 0 { ask(n, 600) } else { book(n, 600) };
        let said = answer(program.connect(6379), &request);
        assert!(said.starts_with("-BUSY"), "nothing ran: {said}");
        std::thread::sleep(Duration::from_millis(100));
    }
    program.signal("TERM");
    let mut log = String::new();
    program.child.stderr.take().unwrap().read_to_string(&mut log).unwrap();
    assert_eq!(program.exit(), 0);
    let lines = log.lines().filter(|l| l.starts_with("conn kind=box")).collect::<Vec<_>>();
    assert!(!lines.is_empty() && lines.iter().all(|l| l.ends_with("reason=connect-failed")), "{lines:?}");
    let counters = log.lines().rfind(|l| l.starts_with("counters")).unwrap();
    assert!(counters.contains(" unsent=0 "), "the module learns of each failure: {counters}");
    assert!(lines.len() <= 18, "three attempts a request: {}", lines.len());
}
