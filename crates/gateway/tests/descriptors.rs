//! Idle clients fill the descriptors while discovery is down: calls to discovery, connections to backends and operators' calls
//! still get theirs. The limit is the system's own, and not the program's word alone.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
#![allow(clippy::let_underscore_must_use, reason = "a call may fail here: its peer may have gone")]
mod common;
use common::play::accept;
use common::{address, ask, config, spawn_limited, Program};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

const SOCKETS: usize = 96;

fn ready(stream: &mut TcpStream) -> bool {
    let mut got = [0; 7];
    stream.write_all(b"*1\r\n$4\r\nPING\r\n").is_ok()
        && stream.read_exact(&mut got).is_ok()
        && got == *b"+PONG\r\n"
}

/// A connection, where one comes up soon: the system turns knocks away while too many wait.
fn knock(program: &Program) -> Option<TcpStream> {
    let at = format!("{}:6379", program.ip).parse().unwrap();
    let stream = TcpStream::connect_timeout(&at, Duration::from_millis(200)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
    Some(stream)
}

/// A request whose client is let in, and its backend's end of it. One that stood too long makes room for others, and comes again.
fn sent_on(program: &Program, boxes: &TcpListener) -> (TcpStream, TcpStream) {
    boxes.set_nonblocking(true).unwrap();
    let until = Instant::now() + Duration::from_secs(15);
    for n in 1.. {
        assert!(Instant::now() < until, "no request reaches its box");
        let Some(mut client) = knock(program) else { continue };
        if client.write_all(&ask(n, 1000)).is_err() {
            continue;
        }
        let soon = Instant::now() + Duration::from_millis(500);
        while Instant::now() < soon {
            if let Ok((disk, _)) = boxes.accept() {
                disk.set_nonblocking(false).unwrap();
                disk.set_read_timeout(Some(Duration::from_secs(2))).unwrap();
                return (client, disk);
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }
    unreachable!("it comes again until it is sent on, or the time is over")
}

#[test]
fn idle_clients_leave_descriptors_to_discovery_backends_and_operators() {
    let ip = address();
    let text = config(&ip).replace("seed = \"7\"", &format!("seed = \"7\"\ndiscovery = \"{ip}:8500\""));
    let text = text.replace("seed =", &format!("limits = {{ sockets = {SOCKETS} }}\nseed ="));
    let boxes = TcpListener::bind((ip.as_str(), 6390)).unwrap();
    let program = spawn_limited(&text, &ip, SOCKETS);
    let mut first = program.connect(6379);
    assert!(ready(&mut first));
    // No listener for discovery. Three times as many clients come as there are descriptors; some ask, all stay.
    let mut idle = vec![];
    for n in 0..3 * SOCKETS {
        let Some(stream) = knock(&program) else { continue };
        if n % 3 == 0 {
            let _ = (&stream).write_all(b"*1\r\n$4\r\nPING\r\n");
        }
        idle.push(stream);
    }
    assert!(idle.len() > SOCKETS, "{} came", idle.len());
    std::thread::sleep(Duration::from_millis(500));
    let held = std::fs::read_dir(format!("/proc/{}/fd", program.child.id())).unwrap().count();
    assert!(held < SOCKETS, "{held} descriptors");
    // Discovery is back: it is called, and tells of a backend that is up.
    let listener = TcpListener::bind((ip.as_str(), 8500)).unwrap();
    let back = Instant::now();
    let mut watch = accept(&listener, "discovery");
    assert!(back.elapsed() < Duration::from_secs(3), "{:?}", back.elapsed());
    watch.read(&mut [0; 1024]).map(drop).unwrap();
    watch.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n").unwrap();
    // Operators are answered.
    let mut operator = program.connect(6382);
    operator.write_all(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
    let mut page = String::new();
    let _ = operator.read_to_string(&mut page);
    assert!(page.starts_with("HTTP/1.1 200"), "{page:?}");
    // And a client that is let in has its request sent on: those that stand make room for it.
    let (mut client, mut disk) = sent_on(&program, &boxes);
    disk.read(&mut [0; 1024]).map(drop).unwrap();
    disk.write_all(b"*3\r\n$1\r\nA\r\n$-1\r\n$-1\r\n").unwrap();
    let mut got = [0; 7];
    client.read_exact(&mut got).unwrap();
    assert_eq!(&got, b"$1\r\nA\r\n");
    drop(idle);
}
