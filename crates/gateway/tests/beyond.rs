//! A client beyond the bound of connections has an answer for every request that was read, and only then a close.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod common;
use common::{address, ask, config, Program};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// Commands that each client beyond the bound sends at once.
const COMMANDS: u64 = 5;

#[test]
fn each_of_many_commands_over_the_limit_is_rejected() {
    let ip = address();
    let _hangs = TcpListener::bind((ip.as_str(), 6390)).unwrap();
    let text = config(&ip).replace("seed =", "limits = { sockets = 100 }\nseed =");
    let text = text.replace("OnTimeS = 0.25\nDeadlineS = 1.2", "OnTimeS = 20.0\nDeadlineS = 30.0");
    let program = Program::start(&text, &ip);
    // All of them must be answered, and none is evicted.
    let busy: Vec<TcpStream> = (0..40)
        .map(|n| {
            let mut client = program.connect(6379);
            client.write_all(&ask(n, 9000)).unwrap();
            client
        })
        .collect();
    std::thread::sleep(Duration::from_millis(200));
    let mut beyond = program.connect(6379);
    let commands: Vec<u8> = (100..100 + COMMANDS).flat_map(|n| ask(n, 1200)).collect();
    beyond.write_all(&commands).unwrap();
    let mut answers = String::new();
    beyond.read_to_string(&mut answers).unwrap();
    assert_eq!(answers, "-BUSY\r\n".repeat(COMMANDS as usize));
    drop(busy);
}
