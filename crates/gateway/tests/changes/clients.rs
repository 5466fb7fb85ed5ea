//! Clients of gateways and a shard's backend, by which it is seen what is in effect.
use crate::common::{address, ask};
use crate::fleet::{until, Fleet, Machine, CLASSES};
use std::io::{Read, Write};
use std::net::TcpListener;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SETTINGS: Duration = Duration::from_secs(19);
pub const PRIMARY: Duration = Duration::from_secs(6);
pub const LABELS: &str = "app.operations.label-read.fulfilled=0";

/// Settings with one class more.
pub fn labels() -> String {
    format!(r#"{{"Classes":{CLASSES},"FamilyInfo":{{"Writes":[false,true,false]}}}}"#)
}

/// A backend that answers every read with these words.
pub fn backend_that_answers(words: &'static str) -> String {
    let ip = address();
    let listener = TcpListener::bind((ip.as_str(), 6399)).unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            std::thread::spawn(move || {
                let mut bytes = [0; 4096];
                while let Ok(1..) = stream.read(&mut bytes) {
                    let answer = format!("*3\r\n${}\r\n{words}\r\n$-1\r\n$-1\r\n", words.len());
                    if stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    format!("{ip}:6399")
}

pub fn shard_box(name: &str, at: &str) -> String {
    let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    format!(
        r#"{{"instanceId":"{name}","hostPort":"{at}","cell":0,"lifecycle":"active","startedAtMs":{started}}}"#
    )
}

/// Whether a client's read at that gateway has these words for an answer.
pub fn reads(front: &Machine, words: &str) -> bool {
    let Some(program) = &front.program else { return false };
    let mut client = program.connect(6379);
    client.set_read_timeout(Some(Duration::from_millis(800))).unwrap();
    let mut bytes = [0; 256];
    client.write_all(&ask(7, 700)).unwrap();
    let count = client.read(&mut bytes).unwrap_or(0);
    String::from_utf8_lossy(&bytes[..count]).contains(words)
}

/// Whether clients may name the class that the change adds.
pub fn knows_labels(front: &Machine) -> bool {
    let Some(program) = &front.program else { return false };
    let mut client = program.connect(6379);
    client.set_read_timeout(Some(Duration::from_millis(800))).unwrap();
    let (mut bytes, mut command) = ([0; 256], vec![]);
    let list = b"c=label-read,t=premium,d=700,volume=00000003b4d60021,units=1,shard=0,hosts=1";
    resp::write_command(&mut command, &[b"PREAD", b"0000000000000007", b"7", list]);
    client.write_all(&command).unwrap();
    let count = client.read(&mut bytes).unwrap_or(0);
    !String::from_utf8_lossy(&bytes[..count]).contains("unknown class")
}

pub fn serves(fleet: &Fleet, since: Instant, words: &str) -> Duration {
    until(PRIMARY, words, || fleet.fronts.iter().all(|front| reads(front, words)));
    since.elapsed()
}
