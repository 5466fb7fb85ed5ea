//! The time that an attempt tells its backend is at most what is left to the client, with 0.15 s of slack.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod common;
use common::server::Server;
use common::{address, ask, config, Program};
use std::io::{Read, Write};
use std::time::{Duration, Instant};

const SLACK: Duration = Duration::from_millis(150);
const DEADLINE: u32 = 3000;
/// Commands at once: more than a connection may have without answer.
const COMMANDS: u64 = 400;

/// A client sends many commands at once; the time of each runs from then on, also of those that wait unread.
#[test]
fn pipelined_request_tells_the_time_that_is_left() {
    let ip = address();
    let server = Server::start(&ip, Duration::from_millis(60));
    let text = config(&ip).replace("OnTimeS = 0.25\nDeadlineS = 1.2", "OnTimeS = 2.9\nDeadlineS = 3.0");
    let program = Program::start(&text.replace("Guaranteed = 500.0", "Guaranteed = 5000.0"), &ip);
    let mut client = program.connect(6379);
    let commands: Vec<u8> = (0..COMMANDS).flat_map(|n| ask(n, DEADLINE)).collect();
    let sent = Instant::now();
    client.write_all(&commands).unwrap();
    let (mut answers, mut chunk) = (0, [0; 65536]);
    while answers < COMMANDS {
        let count = client.read(&mut chunk).unwrap();
        assert!(count > 0, "it ended after {answers} answers");
        answers += chunk[..count].iter().filter(|byte| b"$-".contains(byte)).count() as u64;
    }
    assert!(sent.elapsed() < Duration::from_millis(u64::from(DEADLINE)) + Duration::from_millis(500));
    let arrivals = server.arrivals();
    assert!(arrivals.len() > 40, "{}", arrivals.len());
    for arrival in arrivals {
        let left = Duration::from_millis(u64::from(DEADLINE)).saturating_sub(arrival.at - sent);
        let told = arrival.deadline;
        assert!(told <= left + SLACK, "{}: told {told:?}, left {left:?}", arrival.piece);
    }
}
