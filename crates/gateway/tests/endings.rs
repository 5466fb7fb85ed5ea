//! The instant in which something ends while something is still due, forced on real connections.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
#![allow(clippy::let_underscore_must_use, reason = "a call may fail here: its peer may have gone")]
mod common;
#[path = "endings/double_responder.rs"]
mod double_responder;
use common::play::accept;
use common::{address, ask, config, Program};
use double_responder::DoubleResponder;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::time::{Duration, Instant};

const SERVED: &[u8] = b"*3\r\n$1\r\nA\r\n$-1\r\n$-1\r\n";

/// Settings under which a request waits for long.
fn patient(ip: &str) -> String {
    let text = config(ip).replace("OnTimeS = 0.25\nDeadlineS = 1.2", "OnTimeS = 6.0\nDeadlineS = 8.0");
    text.replace("Guaranteed = 500.0", "Guaranteed = 5000.0")
}

/// The piece that is asked for next on the connection; none where nothing comes in that time, or it has ended.
fn asked(stream: &mut TcpStream, seen: &mut Vec<u8>, wait: Duration) -> Option<String> {
    stream.set_read_timeout(Some(wait)).unwrap();
    loop {
        if let Ok(Some((words, used))) = resp::command(seen) {
            let piece = String::from_utf8(words[1].to_vec()).unwrap();
            seen.drain(..used);
            return Some(piece);
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk) {
            Ok(count @ 1..) => seen.extend_from_slice(&chunk[..count]),
            Ok(0) | Err(_) => return None,
        }
    }
}

/// Requests of the flood.
const FLOOD: u64 = 780;

/// A client sends more than there is room for and closes its connection; the end lies behind what is not read.
#[test]
fn a_flood_whose_client_has_gone_is_not_sent_on() {
    let ip = address();
    let listener = TcpListener::bind((ip.as_str(), 6390)).unwrap();
    let program = Program::start(&patient(&ip), &ip);
    let mut client = program.connect(6379);
    // More than a connection's room, less than what the system takes beside it: the end comes right behind.
    let flood: Vec<u8> = (0..FLOOD).flat_map(|n| ask(n, 8000)).collect();
    assert!(
        flood.len() > resp::MAX_VALUE_BYTES + 35_000 && flood.len() < resp::MAX_VALUE_BYTES + 70_000,
        "{}",
        flood.len()
    );
    client.write_all(&flood).unwrap();
    std::thread::sleep(Duration::from_millis(300));
    // Whatever was begun while it was there hangs; nothing is answered, so nothing tells the gateway but the end itself.
    listener.set_nonblocking(true).unwrap();
    let mut begun = vec![];
    while let Ok((stream, _)) = listener.accept() {
        stream.set_nonblocking(false).unwrap();
        begun.push((stream, vec![]));
    }
    assert!(!begun.is_empty(), "something was begun");
    client.shutdown(Shutdown::Write).unwrap();
    std::thread::sleep(Duration::from_millis(120));
    for (stream, seen) in &mut begun {
        while asked(stream, seen, Duration::from_millis(20)).is_some() {}
    }
    // The backend answers now, which would make room for the next.
    for (stream, seen) in &mut begun {
        let _ = stream.write_all(SERVED);
        let next = asked(stream, seen, Duration::from_millis(300));
        assert_eq!(next, None, "sent on for a client that had gone");
    }
    std::thread::sleep(Duration::from_millis(200));
    assert!(listener.accept().is_err(), "a connection for a client that had gone");
}

/// SIGTERM while a request is out at a backend that hangs, whose client would wait until after the kill.
#[test]
fn all_is_answered_before_the_kill_whatever_clients_would_wait() {
    let ip = address();
    let listener = TcpListener::bind((ip.as_str(), 6390)).unwrap();
    let mut program = Program::start(&patient(&ip), &ip);
    let mut client = program.connect(6379);
    client.write_all(&ask(1, 8000)).unwrap();
    let mut disk = accept(&listener, "box");
    assert!(asked(&mut disk, &mut vec![], Duration::from_secs(2)).is_some());
    let term = Instant::now();
    program.signal("TERM");
    let mut first = [0];
    client.read_exact(&mut first).unwrap();
    let took = term.elapsed();
    // The longest deadline counts as 3 s, and the kill comes 0.7 s later.
    assert!(took > Duration::from_secs(3) && took < Duration::from_millis(3_650), "{took:?}");
    assert_eq!(first, *b"-");
    drop(client);
    assert_eq!(program.exit(), 0);
}

/// Runs of the test in which the backend may be late before the test fails.
const MAX_RUNS: usize = 20;

/// A backend sends each response twice, the second 2 ms after the first, when the next request has come already.
/// A run in which a second response came later than the gateway can recognize it tests nothing, and is repeated.
#[test]
fn second_response_is_not_taken_for_that_of_next_request() {
    let discarded = (0..MAX_RUNS).find(|_| every_request_gets_its_own_response());
    let discarded = discarded.expect("there is a run in which every second response was in time");
    println!("runs discarded because a second response was late: {discarded}");
}

/// Sends 59 requests to a new program and checks the responses. Returns false where a second response was late.
fn every_request_gets_its_own_response() -> bool {
    let ip = address();
    let mut backend = DoubleResponder::start(&ip);
    let program = Program::start(&patient(&ip), &ip);
    let mut client = program.connect(6379);
    for n in 1..60 {
        let (want, mut got) = (format!("$16\r\n{n:016x}\r\n"), vec![0; 23]);
        let read = client.write_all(&ask(n, 4000)).and_then(|()| client.read_exact(&mut got));
        // Checked first: after a late second response, anything may have been read.
        if n > 1 && !backend.is_in_time(n - 1) {
            return false;
        }
        read.unwrap();
        assert_eq!(String::from_utf8(got).unwrap(), want);
    }
    backend.is_in_time(59)
}

/// A long value of which a byte comes now and then: it is cut some time after its client has stopped waiting.
#[test]
fn a_value_that_never_ends_is_cut() {
    let ip = address();
    let listener = TcpListener::bind((ip.as_str(), 6390)).unwrap();
    let program = Program::start(&config(&ip), &ip);
    let mut client = program.connect(6379);
    client.write_all(&ask(1, 400)).unwrap();
    let mut disk = accept(&listener, "box");
    disk.read(&mut [0; 1024]).map(drop).unwrap();
    disk.write_all(b"*3\r\n$4000000\r\n").unwrap();
    let (begun, mut ended) = (Instant::now(), false);
    client.set_read_timeout(Some(Duration::from_millis(1))).unwrap();
    while begun.elapsed() < Duration::from_secs(13) && !ended {
        let _ = disk.write_all(&[b'x'; 100]);
        std::thread::sleep(Duration::from_millis(100));
        ended = match client.read(&mut [0; 65536]) {
            Ok(count) => count == 0,
            Err(e) => ![ErrorKind::WouldBlock, ErrorKind::TimedOut].contains(&e.kind()),
        };
    }
    assert!(ended, "it goes on for ever");
}

/// Clients rest until the gateway ends them; each sends a request in the very moment, a millisecond apart. It is answered,
/// or it was never sent on and its connection ends without a byte.
#[test]
fn what_comes_in_the_moment_of_the_close_is_served_or_left_alone() {
    let ip = address();
    let listener = TcpListener::bind((ip.as_str(), 6390)).unwrap();
    let (note, noted) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (note, mut stream, mut seen) = (note.clone(), stream.unwrap(), vec![]);
            std::thread::spawn(move || {
                while let Some(piece) = asked(&mut stream, &mut seen, Duration::from_secs(8)) {
                    note.send(piece).unwrap();
                    let _ = stream.write_all(SERVED);
                }
            });
        }
    });
    let text = config(&ip).replace("Guaranteed = 500.0", "Guaranteed = 5000.0");
    let mut program = Program::start(&text, &ip);
    let resting: Vec<TcpStream> = (0..90).map(|_| program.connect(6379)).collect();
    for client in &resting {
        let mut client = client;
        client.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
        client.read_exact(&mut [0; 7]).unwrap();
    }
    // The longest deadline is 3 s, the kill 0.7 s later, and connections are closed 0.2 s before it, within 50 ms.
    let close = Instant::now() + Duration::from_millis(3_500);
    program.signal("TERM");
    let asks = resting.into_iter().enumerate().map(|(n, mut client)| {
        std::thread::spawn(move || {
            let at = close + Duration::from_millis(n as u64) - Duration::from_millis(15);
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            let mut got = vec![];
            if client.write_all(&ask(n as u64 + 1000, 500)).is_ok() {
                let _ = client.read_to_end(&mut got);
            }
            (format!("{:016x}", n + 1000), got)
        })
    });
    let ends: Vec<(String, Vec<u8>)> =
        asks.collect::<Vec<_>>().into_iter().map(|t| t.join().unwrap()).collect();
    assert_eq!(program.exit(), 0);
    let ran: Vec<String> = noted.try_iter().collect();
    let mut kinds = [0; 3];
    for (piece, got) in ends {
        let served = got == b"$1\r\nA\r\n";
        let refused = got.starts_with(b"-BUSY") && got.ends_with(b"\r\n");
        assert!(served || refused || got.is_empty(), "{piece}: {}", got.escape_ascii());
        assert_eq!(served, ran.contains(&piece), "{piece} ran, and its client has {}", got.escape_ascii());
        kinds[if served { 0 } else { 1 + usize::from(got.is_empty()) }] += 1;
    }
    println!("served, refused, left alone: {kinds:?}");
    assert!(kinds[2] > 0, "none came in that moment: {kinds:?}");
}

/// An answer is on its way to a client that is slow to read, which meanwhile sends what can't be understood, and more.
#[test]
fn a_close_over_unread_bytes_does_not_take_answers_with_it() {
    let ip = address();
    let listener = TcpListener::bind((ip.as_str(), 6390)).unwrap();
    let program = Program::start(&patient(&ip), &ip);
    let mut client = program.connect(6379);
    rustix::net::sockopt::set_socket_recv_buffer_size(&client, 4096).unwrap();
    client.write_all(&ask(1, 4000)).unwrap();
    let mut disk = accept(&listener, "box");
    disk.read(&mut [0; 1024]).map(drop).unwrap();
    let value = vec![b'v'; 60_000];
    let mut answer = b"*3\r\n".to_vec();
    resp::write_bulk(&mut answer, &value);
    answer.extend_from_slice(b"$-1\r\n$-1\r\n");
    disk.write_all(&answer).unwrap();
    std::thread::sleep(Duration::from_millis(100));
    client.write_all(&[b"nonsense\r\n".to_vec(), vec![b'x'; 300_000]].concat()).unwrap();
    std::thread::sleep(Duration::from_millis(20));
    let mut got = vec![];
    let end = client.read_to_end(&mut got);
    assert!(got.len() > value.len(), "{} bytes came of {}, {end:?}", got.len(), value.len());
    assert!(got.windows(5).any(|w| w == b"-ERR "), "the fault is told");
}
