//! Those who have no business at a relay's address, or at a gateway that follows one.
#![allow(clippy::let_underscore_must_use, reason = "a call may fail here: its peer may have gone")]
use crate::fleet::{until, Machine, KEY};
use config_distribution::{Scope, SubscriberMessage, Topic};
use message_auth::{Keys, Opener, Sealer};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// The form of the messages, and the channel of these frames.
const FORM: (u16, u8) = (1, 2);

pub fn key() -> [u8; 32] {
    let digit = |i: usize| u8::from_str_radix(&KEY[2 * i..2 * i + 2], 16).unwrap();
    std::array::from_fn(digit)
}

/// A frame as it goes on the link.
pub fn framed(sealed: &[u8]) -> Vec<u8> {
    [&(sealed.len() as u32).to_be_bytes(), sealed].concat()
}

fn dial(relay: &Machine) -> TcpStream {
    let stream = TcpStream::connect((relay.ip.as_str(), 7950)).unwrap();
    stream.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
    stream
}

/// A relay's first frame, sealed.
fn hello(stream: &mut TcpStream) -> Vec<u8> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).unwrap();
    let mut sealed = vec![0; u32::from_be_bytes(length) as usize];
    stream.read_exact(&mut sealed).unwrap();
    sealed
}

/// The life of a relay, as its first frame tells it.
pub fn life(relay: &Machine) -> u64 {
    let mut opener = Opener::new(Keys::new(key(), None), "front-9".into());
    opener.open_on(FORM.1, &hello(&mut dial(relay))).unwrap().incarnation
}

/// A request for all changes, sealed under that key for that life of a relay.
pub fn request(key: [u8; 32], (relay, its): (&str, Option<u64>), life: u64) -> Vec<u8> {
    let scope = Scope::of([Topic::Shard(0)]);
    let message = SubscriberMessage::Subscribe { log_id: 0, scope, from: ::cluster_types::Index(0) };
    let mut sealer = Sealer::new(Keys::new(key, None), "front-9".into(), life).on_channel(FORM.1);
    let body = postcard::to_stdvec(&(FORM.0, message)).unwrap();
    framed(&sealer.seal_to(&relay.into(), its, &body).unwrap())
}

/// Sends bytes to a relay; what came back after its first frame until it closed, or for a while.
pub fn say(relay: &Machine, bytes: &[u8]) -> (usize, bool) {
    let mut stream = dial(relay);
    hello(&mut stream);
    let _ = stream.write_all(bytes);
    let (mut came, mut piece) = (0, [0; 4096]);
    loop {
        match stream.read(&mut piece) {
            Ok(0) => return (came, true),
            Ok(count) => came += count,
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return (came, false),
            Err(_) => return (came, true),
        }
    }
}

/// Descriptors, and memory in KiB.
pub fn weight(machine: &Machine) -> (usize, u64) {
    let id = machine.program.as_ref().unwrap().child.id();
    let descriptors = std::fs::read_dir(format!("/proc/{id}/fd")).unwrap().count();
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmRSS")).unwrap();
    (descriptors, line.split_whitespace().nth(1).unwrap().parse().unwrap())
}

/// A count of a machine's.
pub fn count(machine: &Machine, what: &str) -> u64 {
    machine.state()["counts"][what].as_u64().unwrap()
}

/// Waits until no more descriptors are open than that.
pub fn settled(machine: &Machine, descriptors: usize) {
    until(Duration::from_secs(8), "descriptors are closed", || weight(machine).0 <= descriptors + 2);
}

/// Signs as one of that name.
pub fn sealer(name: &str, key: [u8; 32]) -> Sealer {
    Sealer::new(Keys::new(key, None), name.into(), 1 << 60).on_channel(FORM.1)
}
