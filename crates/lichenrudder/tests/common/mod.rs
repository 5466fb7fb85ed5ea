//! Starts the program on loopback addresses of its own, and plays recorded byte exchanges against it.
#![allow(dead_code, clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

static NEXT: AtomicU32 = AtomicU32::new(1);
/// How long anything that is expected may take.
const PATIENCE: Duration = Duration::from_secs(8);

/// The program, running; ended when dropped.
pub struct Program {
    pub ip: String,
    pub child: Child,
    file: std::path::PathBuf,
}

/// An address that no other test uses.
pub fn address() -> String {
    let (pid, n) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    format!("127.{}.{}.{}", 64 + (pid >> 8) % 128, pid % 256, n % 250 + 1)
}

pub fn config(ip: &str) -> String {
    include_str!("config.toml").replace("@IP@", ip)
}

/// Runs the program with such a file; its standard error goes to the test's unless it is to be read.
pub fn spawn(text: &str, ip: &str, stderr: Stdio) -> Program {
    spawn_in(text, ip, stderr, None)
}

/// The same, with a folder in which it finds what another process of the front leaves.
pub fn spawn_in(text: &str, ip: &str, stderr: Stdio, folder: Option<&Path>) -> Program {
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let file = std::env::temp_dir().join(format!("lichenrudder-{ip}-{n}.toml"));
    std::fs::write(&file, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_lichenrudder"));
    command.env("GW_CONFIG", &file).env_remove("TMPDIR").stderr(stderr);
    if let Some(folder) = folder {
        command.env("TMPDIR", folder);
    }
    let child = command.spawn().unwrap();
    Program { ip: ip.into(), child, file }
}

impl Program {
    pub fn start(text: &str, ip: &str) -> Program {
        spawn(text, ip, Stdio::null())
    }

    pub fn connect(&self, port: u16) -> TcpStream {
        let end = Instant::now() + PATIENCE;
        loop {
            match TcpStream::connect((self.ip.as_str(), port)) {
                Ok(stream) => {
                    stream.set_read_timeout(Some(PATIENCE)).unwrap();
                    stream.set_nodelay(true).unwrap();
                    return stream;
                }
                Err(e) if Instant::now() >= end => panic!("cannot connect to port {port}: {e}"),
                Err(_) => std::thread::sleep(Duration::from_millis(10)),
            }
        }
    }

    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().unwrap().success());
    }

    pub fn exit(&mut self) -> i32 {
        let end = Instant::now() + PATIENCE;
        loop {
            match self.child.try_wait().unwrap() {
                Some(status) => return status.code().unwrap_or(-1),
                None => assert!(Instant::now() < end, "it has not ended"),
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// One item of a pattern: a byte, a run of digits, or any byte.
#[derive(Clone, Debug, PartialEq)]
enum Item {
    Byte(u8),
    Digits,
    Any,
}

/// Reads `"text"`, hex bytes, `HEX*COUNT` for repeated ones, `??` for any byte, `{n}` in text for digits, and
/// `cmd WORD...` for a RESP2 command. `pdu HEAD | DATA` fills in
/// the length of an iSCSI PDU's data and pads it. `chunk LINE` is a line of discovery, sent as a chunk in three parts.
fn pattern(text: &str) -> Vec<Item> {
    let mut items = Vec::new();
    if let Some(words) = text.strip_prefix("cmd ") {
        let words: Vec<&str> = words.split(' ').collect();
        items.extend(format!("*{}\r\n", words.len()).bytes().map(Item::Byte));
        for word in words {
            items.extend(format!("${}\r\n{word}\r\n", word.len()).bytes().map(Item::Byte));
        }
        return items;
    }
    if let Some((head, data)) = text.strip_prefix("pdu ").and_then(|t| t.split_once('|')) {
        let (mut head, data) = (pattern(head), pattern(data));
        assert_eq!(head.len(), 48, "{text}");
        let length = (data.len() as u32).to_be_bytes();
        (1..4).for_each(|i| head[4 + i] = Item::Byte(length[i]));
        let padding = data.len().next_multiple_of(4) - data.len();
        return [head, data, vec![Item::Byte(0); padding]].concat();
    }
    let mut rest = text.trim();
    while !rest.is_empty() {
        if let Some(quoted) = rest.strip_prefix('"') {
            let end = quoted.find('"').expect("an open quote");
            let mut chars = quoted[..end].chars();
            while let Some(c) = chars.next() {
                match c {
                    '\\' => items.push(Item::Byte(match chars.next() {
                        Some('r') => b'\r',
                        Some('n') => b'\n',
                        Some('0') => 0,
                        other => panic!("unknown escape {other:?}"),
                    })),
                    '{' => {
                        assert_eq!((chars.next(), chars.next()), (Some('n'), Some('}')));
                        items.push(Item::Digits);
                    }
                    c => items.push(Item::Byte(c as u8)),
                }
            }
            rest = quoted[end + 1..].trim_start();
            continue;
        }
        let (word, after) = rest.split_once(' ').unwrap_or((rest, ""));
        let (hex, count) = word.split_once('*').unwrap_or((word, "1"));
        for _ in 0..count.parse::<usize>().expect("a count") {
            for i in (0..hex.len()).step_by(2) {
                items.push(match &hex[i..i + 2] {
                    "??" => Item::Any,
                    byte => Item::Byte(u8::from_str_radix(byte, 16).expect("a hex byte")),
                });
            }
        }
        rest = after.trim_start();
    }
    items
}

enum Match {
    Whole(usize),
    Part,
    No,
}

fn matches(items: &[Item], bytes: &[u8]) -> Match {
    let mut at = 0;
    for item in items {
        match (item, bytes.get(at)) {
            (_, None) => return Match::Part,
            (Item::Any, Some(_)) => at += 1,
            (Item::Byte(b), Some(c)) if b == c => at += 1,
            (Item::Digits, Some(c)) if c.is_ascii_digit() => {
                at += bytes[at..].iter().take_while(|c| c.is_ascii_digit()).count();
            }
            _ => return Match::No,
        }
    }
    Match::Whole(at)
}

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
/// `PORT unvisited` (nobody has connected since),  `wait MS`,
/// `signal NAME`, `exits CODE`, or `set FROM => TO` for the configuration, `rewrite FROM => TO` for the file of
/// the program that runs. A party is opened when it is first
/// named: `client`, `initiator`, `agent`, `health` and `operator` connect; `box0`, `box1` and `discovery` accept. What
/// follows a dash tells several of a kind apart.
pub fn play(name: &str, text: &str) {
    let ip = address();
    let mut config = config(&ip);
    let mut listeners: BTreeMap<&str, TcpListener> = BTreeMap::new();
    let mut parties: BTreeMap<&str, Party> = BTreeMap::new();
    let mut program: Option<Program> = None;
    for (number, line) in text.lines().enumerate() {
        let place = format!("{name}:{}", number + 1);
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let (first, rest) = line.split_once(' ').expect("a party and what it does");
        if first == "set" {
            let (from, to) = rest.split_once(" => ").expect("FROM => TO");
            assert!(config.contains(from), "{place}: {from} is not in the configuration");
            config = config.replace(from, &to.replace("@IP@", &ip).replace("\\n", "\n"));
            continue;
        }
        if first == "rewrite" {
            let (from, to) = rest.split_once(" => ").expect("FROM => TO");
            let from = from.replace("\\n", "\n");
            assert!(config.contains(&from), "{place}: {from} is not in the configuration");
            config = config.replace(&from, &to.replace("@IP@", &ip).replace("\\n", "\n"));
            let file = &program.as_ref().expect("a program that runs").file;
            std::fs::write(file, &config).unwrap();
            continue;
        }
        if rest == "listens" {
            let port = match first {
                "box0" => 6390,
                "box1" => 6391,
                "discovery2" => 8501,
                _ => 8500,
            };
            listeners.insert(first, TcpListener::bind((ip.as_str(), port)).unwrap());
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
                    ("silent", ms) => {
                        let wait = Duration::from_millis(ms.parse().unwrap());
                        party.stream.set_read_timeout(Some(wait)).unwrap();
                        let got = party.stream.read(&mut [0; 64]);
                        party.stream.set_read_timeout(Some(PATIENCE)).unwrap();
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

fn accept(listener: &TcpListener, place: &str) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let end = Instant::now() + PATIENCE;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                stream.set_read_timeout(Some(PATIENCE)).unwrap();
                return stream;
            }
            Err(_) if Instant::now() < end => std::thread::sleep(Duration::from_millis(2)),
            Err(e) => panic!("{place}: nobody connects: {e}"),
        }
    }
}
