//! A small fleet on loopback: voters, relays and gateways as processes of the program, and what operators ask of them.
use crate::common::{address, config, spawn, Program};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use test_cluster::admin_client::call;

pub const KEY: &str = "6f1d0c5ab2e94877a3c0d1f28e5b46979c2a7710e4d35f8b60a1c9e2d7f48b35";
/// A class that the gateways' file does not have.
pub const CLASSES: &str = r#"[
    {"Name":"stock-read","OnTimeS":0.25,"DeadlineS":1.2,"Worth":2.0,"Idempotency":"idempotent"},
    {"Name":"booking-write","OnTimeS":0.5,"DeadlineS":3.0,"Worth":2.0,"Idempotency":"at_most_once"},
    {"Name":"label-read","OnTimeS":0.25,"DeadlineS":1.2,"Worth":1.0,"Idempotency":"idempotent"}]"#;

/// One process, with its lines.
pub struct Machine {
    pub name: String,
    pub ip: String,
    pub program: Option<Program>,
    pub lines: Arc<Mutex<Vec<String>>>,
    text: String,
}

impl Machine {
    pub fn new(name: &str, ip: &str, sections: &str) -> Machine {
        let text = config(ip)
            .replace("name = \"n0\"", &format!("name = \"{name}\""))
            .replace("FleetSize = 1", "FleetSize = 7")
            .replace("[known]", &format!("{sections}\n[known]"));
        let mut machine =
            Machine { name: name.into(), ip: ip.into(), program: None, lines: Arc::default(), text };
        machine.start();
        machine
    }

    pub fn start(&mut self) {
        let mut program = spawn(&self.text, &self.ip, Stdio::piped());
        let (pipe, lines, name) =
            (program.child.stderr.take().unwrap(), self.lines.clone(), self.name.clone());
        std::thread::spawn(move || {
            for line in BufReader::new(pipe).lines().map_while(Result::ok) {
                if std::env::var_os("FLEET_LINES").is_some() {
                    eprintln!("{name}: {line}");
                }
                lines.lock().unwrap().push(line);
            }
        });
        self.program = Some(program);
    }

    /// Another text in the place of one, read at once.
    pub fn rewrite(&mut self, from: &str, to: &str) {
        self.text = self.text.replace(from, to);
        let program = self.program.as_ref().unwrap();
        std::fs::write(&program.file, &self.text).unwrap();
        program.signal("HUP");
    }

    /// Kills the process; the machine stays, and can be started again.
    pub fn kill(&mut self) {
        self.program = None;
    }

    pub fn said(&self, what: &str) -> bool {
        self.lines.lock().unwrap().iter().any(|line| line.contains(what))
    }

    fn admin(&self) -> SocketAddr {
        format!("{}:6382", self.ip).parse().unwrap()
    }

    pub fn ask(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        call(self.admin(), method, path, body).unwrap_or((0, String::new()))
    }

    pub fn metrics(&self) -> String {
        self.ask("GET", "/v1/metrics", "").1
    }

    pub fn state(&self) -> serde_json::Value {
        serde_json::from_str(&self.ask("GET", "/v1/changes", "").1).unwrap_or_default()
    }

    pub fn follows(&self) -> bool {
        self.state()["follows"].is_string()
    }

    /// Orders one value; tells its version.
    pub fn order(&self, class: &str, topic: &str, name: &str, value: &str) -> u64 {
        let puts = format!(r#"[{{"topic":"{topic}","name":"{name}","value":{value}}}]"#);
        let (status, text) =
            self.ask("POST", "/v1/changes", &format!(r#"{{"class":"{class}","puts":{puts}}}"#));
        assert_eq!(status, 200, "{text}");
        let told: serde_json::Value = serde_json::from_str(&text).unwrap();
        told["version"].as_u64().unwrap()
    }

    /// Where a version is not in effect yet.
    pub fn not_yet(&self, version: u64) -> serde_json::Value {
        let (status, text) = self.ask("GET", &format!("/v1/changes/{version}"), "");
        assert_eq!(status, 200, "{text}");
        serde_json::from_str(&text).unwrap()
    }
}

/// Waits until it is so; tells how long that took.
pub fn until(patience: Duration, what: &str, mut so: impl FnMut() -> bool) -> Duration {
    let since = Instant::now();
    while !so() {
        assert!(since.elapsed() < patience, "{what}: not within {patience:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
    since.elapsed()
}

/// Voters, relays and gateways.
pub struct Fleet {
    pub voters: Vec<Machine>,
    pub relays: Vec<Machine>,
    pub fronts: Vec<Machine>,
}

fn relays(of: &[(String, String)]) -> String {
    let one =
        |(name, ip): &(String, String)| format!("[[changes.relay]]\nname = \"{name}\"\nat = \"{ip}:7950\"\n");
    of.iter().map(one).collect()
}

/// Names and addresses.
pub fn places(kind: &str, count: usize) -> Vec<(String, String)> {
    (1..=count).map(|n| (format!("{kind}-{n}"), address())).collect()
}

impl Fleet {
    /// Three voters, so many relays that follow them, and three gateways that follow the relays and then the voters.
    pub fn start(folder: &Path, relay_count: usize) -> Fleet {
        let (voters, between) = (places("voter", 3), places("relay", relay_count));
        let members: String = voters
            .iter()
            .map(|(name, ip)| {
                format!("[[accord.member]]\nname = \"{name}\"\nat = \"{ip}:7946\"\nhall = \"hall-a\"\n")
            })
            .collect();
        let voter = |(name, ip): &(String, String)| {
            let state = folder.join(name).display().to_string();
            let accord =
                format!("[accord]\nlisten = \"{ip}:7946\"\nhall = \"hall-a\"\nstate = \"{state}\"\n");
            let changes = format!("[changes]\nlisten = \"{ip}:7950\"\nkeys = [\"{KEY}\"]\n");
            Machine::new(name, ip, &format!("{accord}keys = [\"{KEY}\"]\n{members}{changes}"))
        };
        let all: Vec<Machine> = voters.iter().map(voter).collect();
        let relay = |(name, ip): &(String, String)| {
            let changes = format!("[changes]\nlisten = \"{ip}:7950\"\nkeys = [\"{KEY}\"]\n");
            Machine::new(name, ip, &(changes + &relays(&voters)))
        };
        let middle: Vec<Machine> = between.iter().map(relay).collect();
        let patience = Duration::from_secs(20);
        until(patience, "relays follow", || middle.iter().all(Machine::follows));
        let front = |(name, ip): &(String, String)| {
            let state = folder.join(name).display().to_string();
            let scope = "region = \"north\"\nzone = \"hall-a\"\nshards = [0, 1]\n";
            let changes = format!("[changes]\n{scope}state = \"{state}\"\nkeys = [\"{KEY}\"]\n");
            let above = [&between[..], &voters[..1]].concat();
            Machine::new(name, ip, &(changes + &relays(&above)))
        };
        let fronts = places("front", 3).iter().map(front).collect();
        let fleet = Fleet { voters: all, relays: middle, fronts };
        fleet.ready();
        fleet
    }

    /// Waits until all follow.
    pub fn ready(&self) {
        until(Duration::from_secs(20), "a log, and all that follow it", || {
            let founded = self.voters.iter().all(|m| m.state()["lineage"].as_u64().is_some_and(|l| l > 0));
            founded && self.relays.iter().chain(&self.fronts).all(Machine::follows)
        });
    }

    /// Waits until all gateways' figures say it; tells how long that took.
    pub fn everywhere(&self, patience: Duration, figure: &str) -> Duration {
        until(patience, figure, || self.fronts.iter().all(|front| front.metrics().contains(figure)))
    }
}
