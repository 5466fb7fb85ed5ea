//! Plays recorded byte exchanges against the program.
#![allow(
    clippy::let_underscore_must_use,
    clippy::too_many_lines,
    reason = "not split yet; a call may fail here: its peer may have gone"
)]
use super::late::{reset, Late};
use super::pattern::{matches, pattern, Item, Match};
use super::{address, config, spawn, Program, TIMEOUT};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::process::Stdio;
use std::time::{Duration, Instant};

struct Party {
    stream: TcpStream,
    seen: Vec<u8>,
}

impl Party {
    fn expect(&mut self, text: &str, place: &str) {
        let items = pattern(text);
        let mut chunk = [0; 65536];
        loop {
            match matches(&items, &self.seen) {
                Match::Whole(used) => return drop(self.seen.drain(..used)),
                Match::No => panic!("{place}: {text}\n came: {}", self.seen.escape_ascii()),
                Match::Part => match self.stream.read(&mut chunk) {
                    Ok(0) => panic!("{place}: {text}\n ended after: {}", self.seen.escape_ascii()),
                    Ok(count) => self.seen.extend_from_slice(&chunk[..count]),
                    Err(e) => panic!("{place}: {text}\n {e} after: {}", self.seen.escape_ascii()),
                },
            }
        }
    }

    fn ends(&mut self, place: &str) {
        let mut chunk = [0; 64];
        match self.stream.read(&mut chunk) {
            Ok(0) => {}
            Err(e) if e.kind() == ErrorKind::ConnectionReset => {}
            Ok(n) => panic!("{place}: more came: {}", chunk[..n].escape_ascii()),
            Err(e) => panic!("{place}: it does not end: {e}"),
        }
    }
}

/// Plays one file. A line is `PARTY > BYTES` (the party sends), `PARTY < BYTES` (it must get them), `PARTY ends`
/// (its connection must end), `PARTY close`, `PARTY silent MS` (nothing may come), `PORT listens`,
/// `PORT late` (it listens, and connections come up late, once it `opens`), `PORT unvisited` (no connection was made since),
/// `PORT unasked MS` (for so long nothing is sent there), `PARTY reset` (its connection breaks), `wait MS`,
/// `signal NAME`, `exits CODE`, or `set FROM => TO` for the configuration, `rewrite FROM => TO` for the file of
/// the program that runs. A party is opened when it is first
/// named: `client`, `initiator`, `agent`, `health` and `operator` connect; `box0`, `box1` and `discovery` accept. What
/// follows a dash tells several of a kind apart.
pub fn play(name: &str, text: &str) {
    let ip = address();
    let mut config = config(&ip);
    let mut listeners: BTreeMap<&str, TcpListener> = BTreeMap::new();
    let mut late: BTreeMap<&str, Late> = BTreeMap::new();
    let mut parties: BTreeMap<&str, Party> = BTreeMap::new();
    let mut program: Option<Program> = None;
    for (number, line) in text.lines().enumerate() {
        let place = format!("{name}:{}", number + 1);
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let (first, rest) = line.split_once(' ').expect("a party and what it does");
        if let Some(change) = rest.split_once(" => ").filter(|_| ["set", "rewrite"].contains(&first)) {
            let told = |text: &str| text.replace("@IP@", &ip).replace("\\n", "\n");
            let (from, to) = (told(change.0), told(change.1));
            assert!(config.contains(&from), "{place}: {from} is not in the configuration");
            config = config.replace(&from, &to);
            if first == "rewrite" {
                let file = &program.as_ref().expect("a program that runs").file;
                std::fs::write(file, &config).unwrap();
            }
            continue;
        }
        let port = match first {
            "box0" => 6390,
            "box1" => 6391,
            "discovery2" => 8501,
            _ => 8500,
        };
        match rest {
            "listens" => {
                listeners.insert(first, TcpListener::bind((ip.as_str(), port)).unwrap());
                continue;
            }
            "late" => {
                listeners.remove(first);
                late.insert(first, Late::listen(format!("{ip}:{port}").parse().unwrap()));
                continue;
            }
            "opens" => {
                listeners.insert(first, late.remove(first).expect("a late one").open());
                continue;
            }
            _ => {}
        }
        if let Some(ms) = rest.strip_prefix("unasked ") {
            let wait = Duration::from_millis(ms.parse().unwrap());
            unasked(&listeners[first], wait, &place);
            continue;
        }
        if rest == "unvisited" {
            listeners[first].set_nonblocking(true).unwrap();
            assert!(listeners[first].accept().is_err(), "{place}: somebody has connected");
            continue;
        }
        let program = program.get_or_insert_with(|| {
            spawn(
                &config,
                &ip,
                if std::env::var_os("SHOW_LOG").is_some() { Stdio::inherit() } else { Stdio::null() },
            )
        });
        match first {
            "wait" => std::thread::sleep(Duration::from_millis(rest.parse().unwrap())),
            "signal" => program.signal(rest),
            "exits" => assert_eq!(program.exit(), rest.parse::<i32>().unwrap(), "{place}"),
            _ => {
                let (kind, _) = first.split_once('-').unwrap_or((first, ""));
                let party = parties.entry(first).or_insert_with(|| {
                    let stream = match kind {
                        "client" => program.connect(6379),
                        "agent" => program.connect(6380),
                        "health" => program.connect(6381),
                        "operator" => program.connect(6382),
                        "initiator" => program.connect(3260),
                        _ => accept(&listeners[kind], &place),
                    };
                    Party { stream, seen: vec![] }
                });
                match rest.split_once(' ').unwrap_or((rest, "")) {
                    (">", bytes) if bytes.starts_with("chunk ") => {
                        let line = bytes[6..].replace("@IP@", &ip);
                        let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
                        for part in chunk.as_bytes().chunks(chunk.len() / 3 + 1) {
                            party.stream.write_all(part).unwrap();
                            std::thread::sleep(Duration::from_millis(20));
                        }
                    }
                    (">", bytes) => {
                        let bytes: Vec<u8> = pattern(bytes)
                            .iter()
                            .map(|i| if let Item::Byte(b) = i { *b } else { panic!("{place}: not bytes") })
                            .collect();
                        party.stream.write_all(&bytes).unwrap();
                    }
                    ("<", bytes) => party.expect(bytes, &place),
                    ("ends", _) => party.ends(&place),
                    ("close", _) => {
                        let _ = party.stream.shutdown(Shutdown::Both);
                        parties.remove(first);
                    }
                    ("reset", _) => reset(parties.remove(first).expect("a party").stream),
                    ("silent", ms) => {
                        let wait = Duration::from_millis(ms.parse().unwrap());
                        party.stream.set_read_timeout(Some(wait)).unwrap();
                        let got = party.stream.read(&mut [0; 64]);
                        party.stream.set_read_timeout(Some(TIMEOUT)).unwrap();
                        let quiet = got.as_ref().is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
                        assert!(quiet && party.seen.is_empty(), "{place}: {got:?}");
                    }
                    (what, _) => panic!("{place}: unknown action {what}"),
                }
            }
        }
    }
    let mut program = program.expect("an exchange that starts the program");
    assert!(program.child.try_wait().unwrap().is_none_or(|s| s.success()), "{name}: the program crashed");
}

/// Any client that connects next, within the time that anything may take.
pub fn accept(listener: &TcpListener, place: &str) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let end = Instant::now() + TIMEOUT;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                stream.set_read_timeout(Some(TIMEOUT)).unwrap();
                return stream;
            }
            Err(_) if Instant::now() < end => std::thread::sleep(Duration::from_millis(2)),
            Err(e) => panic!("{place}: nobody connects: {e}"),
        }
    }
}

/// Accepts every connection for so long; nothing may be sent.
fn unasked(listener: &TcpListener, wait: Duration, place: &str) {
    listener.set_nonblocking(true).unwrap();
    let (end, mut came) = (Instant::now() + wait, vec![]);
    while Instant::now() < end {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(true).unwrap();
            came.push(stream);
        }
        for mut stream in &came {
            let mut chunk = [0; 256];
            if let Ok(count @ 1..) = stream.read(&mut chunk) {
                panic!("{place}: it was asked {}", chunk[..count].escape_ascii());
            }
        }
        std::thread::sleep(Duration::from_millis(2));
    }
}
