//! A gateway that can't reach discovery takes care: a backend that refuses may have left, and is not asked again and again.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod common;
use common::late::reset;
use common::play::accept;
use common::{address, ask, config, Program};
use rstest::rstest;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::{Duration, Instant};

const PLAYED: Duration = Duration::from_secs(20);
/// Only what comes this late counts: until then waits grow alike.
const LATE: Duration = Duration::from_secs(12);
const UP: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n";

/// Connections to a backend that ends each of them at once, from the twelfth second to the twentieth, while a client asks for what
/// it holds ten times a second.
fn late_visits(heard: bool) -> usize {
    let ip = address();
    let discovery = TcpListener::bind((ip.as_str(), 8500)).unwrap();
    let place = TcpListener::bind((ip.as_str(), 6390)).unwrap();
    place.set_nonblocking(true).unwrap();
    let text = config(&ip).replace("seed = \"7\"", &format!("seed = \"7\"\ndiscovery = \"{ip}:8500\""));
    let program = Program::start(&text, &ip);
    let mut watch = accept(&discovery, "discovery");
    assert!(watch.read(&mut [0; 1024]).unwrap() > 0);
    watch.write_all(UP).unwrap();
    let mut watch = Some(watch);
    if !heard {
        std::thread::sleep(Duration::from_millis(50));
        reset(watch.take().unwrap());
        drop(discovery);
    }
    let mut client = program.connect(6379);
    client.set_nonblocking(true).unwrap();
    let (since, mut visits, mut asked, mut answers) = (Instant::now(), 0, 0, vec![]);
    while since.elapsed() < PLAYED {
        while let Ok((visitor, _)) = place.accept() {
            visits += usize::from(since.elapsed() > LATE);
            reset(visitor);
        }
        if since.elapsed().as_millis() as u64 / 100 > asked {
            asked += 1;
            client.write_all(&ask(asked, 800)).unwrap();
            if let Some(watch) = watch.as_mut().filter(|_| asked % 10 == 0) {
                watch.write_all(b"1\r\n\n\r\n").unwrap();
            }
        }
        let mut bytes = [0; 4096];
        if let Ok(count) = client.read(&mut bytes) {
            answers.extend_from_slice(&bytes[..count]);
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    let lines = answers.iter().filter(|b| **b == b'\n').count();
    assert!(lines > 150, "all are answered: {lines} of {asked}");
    visits
}

#[rstest]
#[case::heard(true, 3..=40)]
#[case::unheard(false, 0..=2)]
fn failing_backend_is_probed_rarely_while_discovery_is_unavailable(
    #[case] heard: bool,
    #[case] visits: std::ops::RangeInclusive<usize>,
) {
    let seen = late_visits(heard);
    println!("list heard: {heard}; {seen} late visits");
    assert!(visits.contains(&seen), "{seen}, not {visits:?}");
}
