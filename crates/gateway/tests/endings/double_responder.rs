//! A stand-in for a backend that sends each response twice, and measures how long that took.
use crate::asked;
use crate::common::TIMEOUT;
use std::collections::BTreeSet;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::time::{Duration, Instant};

/// The second response follows the first after this time.
const SECOND_AFTER: Duration = Duration::from_millis(2);

/// The gateway lets a connection rest this long between requests, and recognizes a second response only during that time.
const REST: Duration = Duration::from_millis(5);

/// The stand-in, listening at the address of the first backend.
pub struct DoubleResponder {
    /// For each request its piece, and the time from before the first response to after the second.
    measurements: Receiver<(String, Duration)>,
    /// Pieces whose second response was in time; threads may report out of order.
    in_time: BTreeSet<String>,
}

impl DoubleResponder {
    pub fn start(ip: &str) -> DoubleResponder {
        let listener = TcpListener::bind((ip, 6390)).unwrap();
        let (sender, measurements) = channel();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let sender = sender.clone();
                std::thread::spawn(move || respond_twice(stream.unwrap(), &sender));
            }
        });
        DoubleResponder { measurements, in_time: BTreeSet::new() }
    }

    /// Waits for the measurement of that request. Returns false where its second response, or one measured before it, was late.
    pub fn is_in_time(&mut self, request: u64) -> bool {
        let expected = format!("{request:016x}");
        while !self.in_time.contains(&expected) {
            match self.measurements.recv_timeout(TIMEOUT) {
                Ok((piece, took)) if took < REST => self.in_time.insert(piece),
                Ok(_) | Err(_) => return false,
            };
        }
        true
    }
}

fn respond_twice(mut stream: TcpStream, measurements: &Sender<(String, Duration)>) {
    stream.set_nodelay(true).unwrap();
    let mut seen = vec![];
    while let Some(piece) = asked(&mut stream, &mut seen, Duration::from_secs(8)) {
        let response = format!("*3\r\n$16\r\n{piece}\r\n$-1\r\n$-1\r\n");
        let begun = Instant::now();
        let first = stream.write_all(response.as_bytes());
        while begun.elapsed() < SECOND_AFTER {
            std::hint::spin_loop();
        }
        let both = first.and_then(|()| stream.write_all(response.as_bytes()));
        // A response that can't be written counts as late: it tests nothing.
        let took = if both.is_ok() { begun.elapsed() } else { Duration::MAX };
        if measurements.send((piece, took)).is_err() || both.is_err() {
            return;
        }
    }
}
