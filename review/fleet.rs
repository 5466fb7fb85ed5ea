//! A small fleet after the sample files: three voters that hold the log of changes, and one gateway that follows them.
#![allow(dead_code)]
use super::common::*;
use std::path::{Path, PathBuf};

pub const VOTERS: [&str; 3] = ["voter-1", "voter-2", "voter-3"];
const ACCORD_KEY: &str = "6f1d0c5ab2e94877a3c0d1f28e5b46979c2a7710e4d35f8b60a1c9e2d7f48b35";
const CHANGES_KEY: &str = "93c1f07d4be2586aa7d40e1539fb8c62dd0571e9b83f64ac25907be8134cd6f0";
const SETTINGS: &str = r#"
[settings]
FleetSize = 4
Zones = ["hall-a", "hall-b"]

[[settings.Classes]]
Name = "stock-read"
OnTimeS = 0.25
DeadlineS = 1.2
Worth = 2.0
Idempotency = "idempotent"

[[settings.Classes]]
Name = "booking-write"
OnTimeS = 0.5
DeadlineS = 3.0
Worth = 2.0
Idempotency = "at_most_once"

[[settings.Contracts]]
Name = "standard"
Guaranteed = 50.0
Proportion = 1.0

[settings.FamilyInfo]
ColdUnits = 30.0
MostUnits = 6.0
UnitMean = 2.0
Writes = [false, true]

[settings.Limits]
ConnIdleS = 15.0
ConnectTimeoutS = 0.25
MaxAttempts = 3
MaxRetryAfterS = 1.0
RetryAfter = true

[settings.Rules]
ColdFrom = 0.18
FallS = 1.0
TipMultiple = 2.0
WarmUpS = 18.0
"#;

#[derive(Clone, Copy)]
pub struct Voter {
    pub listen: u16,
    pub admin: u16,
    pub accord: u16,
    changes: u16,
}

/// After `deploy/changes-voter.toml`.
pub fn voter_config(n: usize, voters: &[Voter], work: &Path, discovery: &Discovery) -> String {
    let Voter { listen, admin, accord, changes } = voters[n];
    let mut text = format!(
        "name = \"{}\"\nlisten = \"127.0.0.1:{listen}\"\nadmin = \"127.0.0.1:{admin}\"\ndiscovery = \"{}\"\n\n[accord]\nlisten = \"127.0.0.1:{accord}\"\nhall = \"hall-a\"\nstate = \"{}\"\nkeys = [\"{ACCORD_KEY}\"]\n",
        VOTERS[n],
        discovery.at,
        work.join(VOTERS[n]).join("state").display()
    );
    for (other, voter) in voters.iter().enumerate() {
        text += &format!(
            "\n[[accord.member]]\nname = \"{}\"\nat = \"127.0.0.1:{}\"\nhall = \"hall-a\"\n",
            VOTERS[other], voter.accord
        );
    }
    text + &format!("\n[changes]\nlisten = \"127.0.0.1:{changes}\"\nkeys = [\"{CHANGES_KEY}\"]\n{SETTINGS}")
}

/// After `deploy/changes-front.toml`, with discovery.
pub fn front_config(listen: u16, admin: u16, voters: &[Voter], work: &Path, discovery: &Discovery) -> String {
    let mut text = format!(
        "name = \"front-17\"\nlisten = \"127.0.0.1:{listen}\"\nadmin = \"127.0.0.1:{admin}\"\ndiscovery = \"{}\"\n\n[changes]\nregion = \"region-a\"\nzone = \"hall-a\"\nshards = [0]\nstate = \"{}\"\nkeys = [\"{CHANGES_KEY}\"]\n",
        discovery.at,
        work.join("front-17-changes").display()
    );
    for (n, voter) in voters.iter().enumerate() {
        text += &format!("\n[[changes.relay]]\nname = \"{}\"\nat = \"127.0.0.1:{}\"\n", VOTERS[n], voter.changes);
    }
    text + SETTINGS
}

/// An entry in the form of discovery's.
pub fn entry(id: &str, server: &ChunkServer, started_ms: u64) -> String {
    format!(
        r#"{{"instanceId":"{id}","hostPort":"{}","zone":"hall-a","machineType":"m2","cell":0,"lifecycle":"active","weight":1.0,"startedAtMs":{started_ms}}}"#,
        server.at
    )
}

/// The processes of the fleet.
pub struct Fleet {
    pub voters: Vec<Voter>,
    pub listen: u16,
    pub admin: u16,
    work: PathBuf,
    front_text: String,
    _running: Vec<Gateway>,
}

impl Fleet {
    /// Starts the voters, and the gateway; waits until that follows a voter.
    pub fn start(work: &Path, discovery: &Discovery) -> Result<(Fleet, Gateway), String> {
        let voters: Vec<Voter> = (0..3)
            .map(|_| Voter { listen: free_port(), admin: free_port(), accord: free_port(), changes: free_port() })
            .collect();
        let (listen, admin) = (free_port(), free_port());
        let front_text = front_config(listen, admin, &voters, work, discovery);
        let mut fleet = Fleet { voters, listen, admin, work: work.into(), front_text, _running: vec![] };
        for (n, name) in VOTERS.iter().enumerate() {
            let text = voter_config(n, &fleet.voters, work, discovery);
            fleet._running.push(fleet.start_process(name, &text)?);
        }
        let front = fleet.start_front()?;
        Ok((fleet, front))
    }

    fn start_process(&self, name: &str, text: &str) -> Result<Gateway, String> {
        let folder = self.work.join(name);
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let file = folder.join("front.toml");
        std::fs::write(&file, text).map_err(|e| e.to_string())?;
        Gateway::start(name, &file, &folder.join("tmp"))
    }

    /// Starts the gateway, and waits until it serves and follows a voter.
    pub fn start_front(&self) -> Result<Gateway, String> {
        let front = self.start_process("front-17", &self.front_text)?;
        until("the front serves and follows", 20.0, || {
            is_ready(local(self.listen)) && self.front_state().contains("\"follows\":\"voter")
        })?;
        Ok(front)
    }

    /// What the gateway says of the changes.
    pub fn front_state(&self) -> String {
        http(local(self.admin), "GET", "/v1/changes").map(|(_, text)| text).unwrap_or_default()
    }

    /// What a voter says of a version.
    pub fn rollout(&self, version: &str) -> String {
        http(local(self.voters[0].admin), "GET", &format!("/v1/changes/{version}")).map(|(_, text)| text).unwrap_or_default()
    }

    /// Orders the backend of shard 0, or withdraws it with `null`, and waits until that is in effect everywhere. Tells the version.
    pub fn order(&self, value: &str) -> Result<String, String> {
        let body = format!(r#"{{"class":"primary","puts":[{{"topic":"shard/0","name":"box","value":{value}}}]}}"#);
        let mut version = String::new();
        until("the change is ordered", 10.0, || {
            let answer = http_with(local(self.voters[0].admin), "POST", "/v1/changes", &body);
            say(format!("operator: POST /v1/changes {body}: {answer:?}"));
            let Some((200, text)) = answer else { return false };
            version = text.chars().filter(char::is_ascii_digit).collect();
            true
        })?;
        until("it is in effect everywhere", 20.0, || {
            let text = self.rollout(&version);
            text.contains("\"everywhere\":true") && text.contains("\"fronts\":1")
        })?;
        say(format!("operator: GET /v1/changes/{version}: {}", self.rollout(&version).trim()));
        Ok(version)
    }
}

pub fn text(answer: &Option<Reply>) -> String {
    match answer {
        Some(Reply::Bulk(Some(value))) => format!("served \"{}\"", String::from_utf8_lossy(value)),
        other => format!("{other:?}"),
    }
}
