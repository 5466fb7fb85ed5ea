//! A planned restart to its end: SIGTERM while requests are out at a backend that hangs, clients that come again at once on new
//! connections, and the kill.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
#![allow(clippy::let_underscore_must_use, reason = "a call may fail here: its peer may have gone")]
mod common;
use common::{address, ask, config, Program};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// The longest deadline, 3 s, and 0.7 s.
const KILL: Duration = Duration::from_millis(3_700);
/// Connections are closed 0.2 s before it.
const CLOSE: Duration = Duration::from_millis(3_500);

enum End {
    Answered,
    /// It ended, or never came up, without a byte.
    Closed,
    /// Nothing came before the kill.
    Lost,
}

/// One request on a connection of its own; it waits for its answer until the kill.
fn one(ip: &str, n: u64, term: Instant) -> End {
    let Ok(mut client) = TcpStream::connect((ip, 6379)) else { return End::Closed };
    let left = (KILL + Duration::from_millis(50)).saturating_sub(term.elapsed());
    client.set_read_timeout(Some(left.max(Duration::from_millis(1)))).unwrap();
    let mut first = [0];
    match client.write_all(&ask(n, 700)).and_then(|()| client.read(&mut first)) {
        Ok(1) => End::Answered,
        Ok(_) => End::Closed,
        Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => End::Lost,
        Err(_) => End::Closed,
    }
}

#[test]
fn up_to_the_kill_whoever_comes_again_has_an_answer_or_a_close() {
    let ip = address();
    let listener = TcpListener::bind((ip.as_str(), 6390)).unwrap();
    // It takes whatever comes, and says nothing.
    std::thread::spawn(move || listener.incoming().collect::<Vec<_>>());
    let mut program = Program::start(&config(&ip), &ip);
    drop(program.connect(6379));
    let term = Instant::now() + Duration::from_millis(100);
    let clients: Vec<_> = (0..8u64)
        .map(|c| {
            let ip = ip.clone();
            std::thread::spawn(move || {
                let (mut answered, mut n) = (0, 0);
                loop {
                    let asked = Instant::now();
                    if asked.saturating_duration_since(term) >= KILL {
                        return answered;
                    }
                    n += 1;
                    match one(&ip, c * 10_000 + n, term) {
                        End::Answered => answered += 1,
                        End::Closed => {
                            let at = term.elapsed();
                            assert!(at >= CLOSE, "client {c} was closed without an answer after {at:?}");
                            std::thread::sleep(Duration::from_millis(5));
                        }
                        End::Lost => panic!("client {c} asked {:?} after SIGTERM: nothing", asked - term),
                    }
                }
            })
        })
        .collect();
    std::thread::sleep(term.saturating_duration_since(Instant::now()));
    program.signal("TERM");
    std::thread::sleep((term + KILL).saturating_duration_since(Instant::now()));
    // It may have ended by itself; what has not, is killed.
    let _ = program.child.kill();
    let answered: Vec<u64> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    println!("answered: {answered:?}");
    assert!(answered.iter().all(|n| *n >= 3), "{answered:?}");
}
