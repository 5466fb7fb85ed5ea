//! Stand-ins and helpers that the cases share: the standard library only.
#![allow(dead_code)]
use std::collections::BTreeSet;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64, b: u64, c: u64, d: u64) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGHUP: i32 = 1;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;
const PR_SET_PDEATHSIG: i32 = 1;

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();
static PORTS: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Seconds since the start of the case.
pub fn now() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

/// Writes a line to `record.txt`, with the time.
pub fn say(text: impl AsRef<str>) {
    if let Some(record) = RECORD.get() {
        let _ = writeln!(record.lock().unwrap(), "{:8.3} {}", now(), text.as_ref());
    }
}

/// Whether the disruption is to be applied.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Runs a case: opens the record, limits the time, and exits with the case's code.
pub fn run(case: fn(&Path) -> Result<i32, String>) -> ! {
    now();
    let folder = PathBuf::from(std::env::var("CASE_FOLDER").expect("CASE_FOLDER"));
    let work = PathBuf::from(std::env::var("CASE_WORK").expect("CASE_WORK"));
    let _ = RECORD.set(Mutex::new(File::create(folder.join("record.txt")).expect("record.txt")));
    // Children end with this process: they get SIGKILL from the system when it ends.
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(110));
        say("the case takes too long");
        std::process::exit(COULD_NOT_RUN);
    });
    say(format!("TROUBLE={}", u8::from(trouble())));
    let code = match case(&work) {
        Ok(code) => code,
        Err(error) => {
            say(format!("could not run: {error}"));
            eprintln!("could not run: {error}");
            COULD_NOT_RUN
        }
    };
    let text = ["the rule held", "the rule was broken", "the case could not run"][code as usize];
    say(text);
    println!("{text}");
    std::process::exit(code);
}

/// A port of 127.0.0.1 that is free for TCP and UDP.
pub fn free_port() -> u16 {
    loop {
        let tcp = TcpListener::bind("127.0.0.1:0").expect("a port");
        let port = tcp.local_addr().expect("a port").port();
        if UdpSocket::bind(("127.0.0.1", port)).is_ok() && PORTS.lock().unwrap().insert(port) {
            return port;
        }
    }
}

pub fn local(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Waits until the condition holds.
pub fn until(what: &str, seconds: f64, mut is_so: impl FnMut() -> bool) -> Result<(), String> {
    let end = now() + seconds;
    while !is_so() {
        if now() > end {
            return Err(format!("not within {seconds} s: {what}"));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    Ok(())
}

pub fn pause(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

/// A process of the gateway, started with the command of the deploy file.
pub struct Gateway {
    pub name: String,
    child: Child,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Gateway {
    /// Starts `run` of the deploy file with this configuration file; `tmp` is its folder for temporary files.
    pub fn start(name: &str, config: &Path, tmp: &Path) -> Result<Gateway, String> {
        std::fs::create_dir_all(tmp).map_err(|e| e.to_string())?;
        let command = std::env::var("RUN").map_err(|_| "RUN is not set".to_string())?;
        let mut shell = Command::new("/bin/sh");
        shell.arg("-c").arg(&command).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
        for name in ["GW_NAME", "GW_LISTEN", "GW_DISCOVERY", "GW_ADMIN"] {
            shell.env_remove(name);
        }
        shell.env("GW_CONFIG", config).env("TMPDIR", tmp);
        unsafe {
            shell.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        let mut child = shell.spawn().map_err(|e| format!("{command}: {e}"))?;
        say(format!("{name}: started, process {}", child.id()));
        let lines = Arc::new(Mutex::new(Vec::new()));
        let outputs: [Box<dyn Read + Send>; 2] =
            [Box::new(child.stdout.take().unwrap()), Box::new(child.stderr.take().unwrap())];
        for output in outputs {
            let (lines, name) = (lines.clone(), name.to_string());
            std::thread::spawn(move || {
                for line in BufReader::new(output).lines().map_while(Result::ok) {
                    if !line.starts_with("conn ") {
                        say(format!("{name}: log: {line}"));
                    }
                    lines.lock().unwrap().push((now(), line));
                }
            });
        }
        Ok(Gateway { name: name.into(), child, lines })
    }

    /// When a line with this text was written, if it was.
    pub fn said(&self, text: &str) -> Option<f64> {
        self.lines.lock().unwrap().iter().find(|(_, line)| line.contains(text)).map(|(at, _)| *at)
    }

    /// The same, for the first such line after that time.
    pub fn said_after(&self, after: f64, text: &str) -> Option<f64> {
        let lines = self.lines.lock().unwrap();
        lines.iter().find(|(at, line)| *at > after && line.contains(text)).map(|(at, _)| *at)
    }

    pub fn signal(&self, signal: i32) {
        say(format!("{}: signal {signal}", self.name));
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self, seconds: f64) -> Result<(), String> {
        until("the process ends", seconds, || self.has_ended())?;
        say(format!("{}: ended: {:?}", self.name, self.child.try_wait()));
        Ok(())
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A RESP2 reply.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Simple(String),
    Error(String),
    Bulk(Option<Vec<u8>>),
    Array(Vec<Reply>),
}

pub fn command(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend(format!("${}\r\n", word.len()).bytes());
        out.extend_from_slice(word);
        out.extend(b"\r\n");
    }
    out
}

fn line(stream: &mut impl BufRead) -> Option<String> {
    let mut text = String::new();
    stream.read_line(&mut text).ok().filter(|count| *count > 0)?;
    text.ends_with("\r\n").then(|| text.trim_end().to_string())
}

pub fn reply(stream: &mut impl BufRead) -> Option<Reply> {
    let head = line(stream)?;
    let (kind, rest) = head.split_at(1);
    match kind {
        "+" => Some(Reply::Simple(rest.into())),
        "-" => Some(Reply::Error(rest.into())),
        "$" if rest == "-1" => Some(Reply::Bulk(None)),
        "$" => {
            let mut bytes = vec![0; rest.parse::<usize>().ok()? + 2];
            stream.read_exact(&mut bytes).ok()?;
            bytes.truncate(bytes.len() - 2);
            Some(Reply::Bulk(Some(bytes)))
        }
        "*" => {
            let count = rest.parse::<usize>().ok()?;
            (0..count).map(|_| reply(stream)).collect::<Option<Vec<_>>>().map(Reply::Array)
        }
        _ => None,
    }
}

/// A RESP2 client with one connection.
pub struct Client {
    stream: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(at: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&at, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(8))).ok()?;
        Some(Client { stream: BufReader::new(stream) })
    }

    pub fn ask(&mut self, words: &[&[u8]]) -> Option<Reply> {
        self.stream.get_mut().write_all(&command(words)).ok()?;
        reply(&mut self.stream)
    }
}

/// Whether a gateway answers PING with +PONG.
pub fn is_ready(at: SocketAddr) -> bool {
    Client::connect(at).and_then(|mut client| client.ask(&[b"PING"])) == Some(Reply::Simple("PONG".into()))
}

/// A call over HTTP/1.1; the status and the body.
pub fn http(at: SocketAddr, method: &str, target: &str) -> Option<(u16, String)> {
    http_with(at, method, target, "")
}

pub fn http_with(at: SocketAddr, method: &str, target: &str, body: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&at, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    write!(stream, "{method} {target} HTTP/1.1\r\nHost: front\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}", body.len()).ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let status = text.split(' ').nth(1)?.parse().ok()?;
    Some((status, text.split_once("\r\n\r\n").map(|(_, body)| body.to_string()).unwrap_or_default()))
}

/// A command as a chunk server received it.
#[derive(Clone, Debug)]
pub struct Received {
    pub at: f64,
    pub verb: String,
    pub piece: String,
    pub id: String,
    pub list: String,
    pub body: Vec<u8>,
}

impl Received {
    /// The value of a name in the list.
    pub fn value(&self, name: &str) -> Option<&str> {
        self.list.split(',').find_map(|pair| pair.split_once('=').filter(|(found, _)| *found == name)).map(|(_, v)| v)
    }
}

/// What a chunk server does with a command.
pub enum Act {
    /// Answers with this value.
    Serve(Vec<u8>),
    /// Answers with this error line.
    Error(&'static str),
    /// Does this, and then sends the same answer right after that once more, in a write of its own.
    Twice(Box<Act>),
    /// Closes the connection without an answer.
    Close,
}

/// A chunk server that speaks RESP2 as PROTOCOL describes it. `act` decides on each command, once its last byte has come.
pub struct ChunkServer {
    pub at: SocketAddr,
    pub received: Arc<Mutex<Vec<Received>>>,
}

impl ChunkServer {
    pub fn start(name: &str, act: impl Fn(&Received) -> Act + Send + Sync + 'static) -> ChunkServer {
        ChunkServer::start_with(name, true, act)
    }

    /// `no_delay`: whether its connections have TCP_NODELAY; a socket has not, unless it is asked for.
    pub fn start_with(
        name: &str,
        no_delay: bool,
        act: impl Fn(&Received) -> Act + Send + Sync + 'static,
    ) -> ChunkServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().unwrap();
        PORTS.lock().unwrap().insert(at.port());
        let received = Arc::new(Mutex::new(Vec::new()));
        let (log, act, name) = (received.clone(), Arc::new(act), name.to_string());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (log, act, name) = (log.clone(), act.clone(), name.clone());
                std::thread::spawn(move || serve(&name, no_delay, stream, &log, &*act));
            }
        });
        ChunkServer { at, received }
    }
}

fn value_reply(value: &[u8]) -> Vec<u8> {
    let mut out = b"*3\r\n".to_vec();
    out.extend(format!("${}\r\n", value.len()).bytes());
    out.extend(value);
    out.extend(b"\r\n$-1\r\n$-1\r\n");
    out
}

fn serve(
    name: &str,
    no_delay: bool,
    stream: TcpStream,
    log: &Mutex<Vec<Received>>,
    act: &dyn Fn(&Received) -> Act,
) -> Option<()> {
    stream.set_nodelay(no_delay).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let Some(Reply::Array(parts)) = reply(&mut reader) else { return None };
        let words: Vec<Vec<u8>> = parts
            .into_iter()
            .map(|part| if let Reply::Bulk(Some(word)) = part { Some(word) } else { None })
            .collect::<Option<_>>()?;
        let text = |index: usize| words.get(index).map(|word| String::from_utf8_lossy(word).into_owned());
        let verb = text(0)?.to_ascii_uppercase();
        let answer = match verb.as_str() {
            "PREAD" | "PWRITE" => {
                let received = Received {
                    at: now(),
                    verb,
                    piece: text(1)?,
                    id: text(2)?,
                    list: text(3)?,
                    body: words.get(4).cloned().unwrap_or_default(),
                };
                say(format!(
                    "{name}: received {} {} {} {} body={}",
                    received.verb, received.piece, received.id, received.list, received.body.len()
                ));
                log.lock().unwrap().push(received.clone());
                let (act, is_twice) = match act(&received) {
                    Act::Twice(act) => (*act, true),
                    act => (act, false),
                };
                let answer = match act {
                    Act::Serve(value) => value_reply(&value),
                    Act::Error(line) => format!("-{line}\r\n").into_bytes(),
                    Act::Close | Act::Twice(_) => {
                        say(format!("{name}: ends the connection of {}", received.id));
                        let _ = writer.shutdown(Shutdown::Both);
                        return None;
                    }
                };
                if is_twice {
                    let text = String::from_utf8_lossy(&answer).replace("\r\n", " ");
                    say(format!("{name}: answers {} twice: {text}", received.id));
                    writer.write_all(&answer).ok()?;
                }
                answer
            }
            "PING" => b"+PONG\r\n".to_vec(),
            "CLIENT" | "SELECT" => b"+OK\r\n".to_vec(),
            _ => b"-ERR unknown\r\n".to_vec(),
        };
        writer.write_all(&answer).ok()?;
    }
}

/// How long discovery takes to answer a call.
const DISCOVERY_TAKES: Duration = Duration::from_millis(100);

/// Discovery: `GET /api/targets` and its watch, as PROTOCOL describes them.
#[derive(Clone)]
pub struct Discovery {
    pub at: SocketAddr,
    /// The generation of each change, with the changed entry by its id; the last of an id is in force.
    changes: Arc<Mutex<Vec<(String, String)>>>,
}

impl Discovery {
    /// With these entries, each with its id.
    pub fn start(entries: Vec<(String, String)>) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let at = listener.local_addr().unwrap();
        PORTS.lock().unwrap().insert(at.port());
        let discovery = Discovery { at, changes: Arc::new(Mutex::new(entries)) };
        let served = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                std::thread::spawn(move || served.serve(stream));
            }
        });
        discovery
    }

    /// Changes an entry.
    pub fn change(&self, id: &str, entry: &str) {
        say(format!("discovery: now lists {entry}"));
        self.changes.lock().unwrap().push((id.into(), entry.into()));
    }

    fn list(&self) -> (usize, String) {
        let changes = self.changes.lock().unwrap();
        let mut entries = std::collections::BTreeMap::new();
        changes.iter().for_each(|(id, entry)| drop(entries.insert(id, entry)));
        let entries: Vec<&str> = entries.values().map(|entry| entry.as_str()).collect();
        let text = format!("{{\"generation\":{},\"reset\":true,\"instances\":[{}]}}\n", changes.len(), entries.join(","));
        (changes.len(), text)
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        let head = line(&mut reader)?;
        while !line(&mut reader)?.is_empty() {}
        std::thread::sleep(DISCOVERY_TAKES);
        let (mut sent, list) = self.list();
        if !head.contains("watch=1") {
            return write!(writer, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()).ok();
        }
        say(format!("discovery: {head}"));
        write!(writer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").ok()?;
        let mut next = Some(list);
        let mut silent_since = Instant::now();
        loop {
            if let Some(text) = next.take() {
                write!(writer, "{:x}\r\n{text}\r\n", text.len()).ok()?;
                silent_since = Instant::now();
            }
            std::thread::sleep(Duration::from_millis(20));
            let changes = self.changes.lock().unwrap();
            if changes.len() > sent {
                let entries: Vec<&str> = changes[sent..].iter().map(|(_, entry)| entry.as_str()).collect();
                sent = changes.len();
                next = Some(format!("{{\"generation\":{sent},\"reset\":false,\"instances\":[{}]}}\n", entries.join(",")));
            } else if silent_since.elapsed() >= Duration::from_secs(2) {
                next = Some("\n".into());
            }
        }
    }
}
