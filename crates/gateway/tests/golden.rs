//! The texts that operators read and the files that one process leaves to the next, compared with files under `golden/`.
//! In texts of several processes each number is an `N`, since it differs from run to run.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod common;
#[allow(dead_code)]
#[path = "changes/fleet.rs"]
mod fleet;
use common::{address, call, config, spawn_in, Program};
use fleet::{until, Fleet, Machine};
use golden_files::GoldenFiles;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use test_cluster::admin_client;

const GOLDEN: GoldenFiles = GoldenFiles::of_package(env!("CARGO_MANIFEST_DIR"));
const TIMEOUT: Duration = Duration::from_secs(20);

/// The text with each number, also one with a fraction, replaced by `N`.
fn without_numbers(text: &str) -> String {
    let mut shape = String::new();
    let mut rest = text;
    while let Some(start) = rest.find(|c: char| c.is_ascii_digit()) {
        shape.push_str(&rest[..start]);
        shape.push('N');
        let number = &rest[start..];
        let mut end = number.find(|c: char| !c.is_ascii_digit()).unwrap_or(number.len());
        if let Some(fraction) =
            number[end..].strip_prefix('.').filter(|f| f.starts_with(|c: char| c.is_ascii_digit()))
        {
            end += 1 + fraction.find(|c: char| !c.is_ascii_digit()).unwrap_or(fraction.len());
        }
        rest = &number[end..];
    }
    shape + rest
}

fn front(ip: &str, folder: &Path) -> Program {
    let program = spawn_in(&config(ip), ip, Stdio::null(), Some(folder));
    drop(program.connect(6379));
    program
}

/// The one file in the folder whose name ends so.
fn file_that_ends(folder: &Path, ending: &str) -> Option<PathBuf> {
    let files = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    files.into_iter().find(|path| path.to_str().unwrap().ends_with(ending))
}

/// The beginning of the names of a gateway's files.
fn prefix(ip: &str) -> String {
    format!("lichenrudder-n0_{}_6379", ip.replace(['.', ':'], "_"))
}

fn text_of(ip: &str, method: &str, path: &str) -> String {
    let (status, text) = admin_client::call(format!("{ip}:6382").parse().unwrap(), method, path, "").unwrap();
    format!("{status} {text}")
}

#[test]
fn suspensions_are_written_as_before() {
    let (ip, folder) = (address(), tempfile::tempdir().unwrap());
    let _program = front(&ip, folder.path());
    for id in ["box-1", "box-0"] {
        assert_eq!(call(&ip, 6382, &format!("POST /v1/chunk-servers/{id}/suspend")), 200);
    }
    let file = file_that_ends(folder.path(), ".bans").unwrap();
    let name = file.file_name().unwrap().to_str().unwrap();
    let number = name.strip_prefix(&format!("{}.", prefix(&ip))).unwrap().strip_suffix(".bans").unwrap();
    assert!(number.len() == 20 && number.bytes().all(|b| b.is_ascii_digit()), "{name}");
    assert_eq!(std::fs::read_to_string(&file).unwrap(), GOLDEN.text("suspensions.bans"));
}

#[test]
fn suspensions_of_an_earlier_process_are_read() {
    let (ip, folder) = (address(), tempfile::tempdir().unwrap());
    let name = format!("{}.00000000000000000007.bans", prefix(&ip));
    std::fs::write(folder.path().join(name), GOLDEN.text("suspensions.bans")).unwrap();
    let _program = front(&ip, folder.path());
    let metrics = text_of(&ip, "GET", "/v1/metrics");
    assert_eq!(metrics, GOLDEN.text("metrics-two-suspended.txt"));
}

#[test]
fn the_process_lock_is_written_as_before() {
    let (ip, folder) = (address(), tempfile::tempdir().unwrap());
    let _program = front(&ip, folder.path());
    let file = file_that_ends(folder.path(), ".live").unwrap();
    let name = file.file_name().unwrap().to_str().unwrap();
    let number = name.strip_prefix(&format!("{}.", prefix(&ip))).unwrap().strip_suffix(".live").unwrap();
    assert!(number.len() == 20 && number.bytes().all(|b| b.is_ascii_digit()), "{name}");
    until(TIMEOUT, "the number of descriptors", || !std::fs::read(&file).unwrap().is_empty());
    let text = std::fs::read_to_string(&file).unwrap();
    let descriptors: u32 = text.trim().parse().unwrap();
    assert_eq!(text, GOLDEN.text("process-lock.live").replace("      12", &format!("{descriptors:8}")));
}

#[test]
fn texts_of_one_front_are_as_before() {
    let (ip, folder) = (address(), tempfile::tempdir().unwrap());
    let _program = front(&ip, folder.path());
    let calls = [
        ("GET", "/v1/readyz"),
        ("GET", "/v1/metrics"),
        ("POST", "/v1/metrics"),
        ("GET", "/v1/other"),
        ("POST", "/v1/chunk-servers/none/suspend"),
        ("POST", "/v1/chunk-servers/box-0/suspend"),
        ("POST", "/v1/chunk-servers/box-0/resume"),
        ("GET", "/v1/chunk-servers/box-0/resume"),
        ("GET", "/v1/accord"),
        ("GET", "/v1/changes"),
    ];
    let texts: String =
        calls.map(|(method, path)| format!("{method} {path}\n{}", text_of(&ip, method, path))).concat();
    assert_eq!(texts, GOLDEN.text("front.txt"));
}

fn ask(machine: &Machine, method: &str, path: &str, body: &str) -> String {
    let (status, text) = machine.ask(method, path, body);
    format!("{method} {path} {body}\n{status} {}", without_numbers(&text))
}

/// All but the lines on members in doubt: which there are depends on the moment.
fn status_of(machine: &Machine) -> String {
    let status = ask(machine, "GET", "/v1/accord", "");
    status.lines().filter(|line| !line.starts_with("doubt ")).map(|line| format!("{line}\n")).collect()
}

#[test]
fn texts_of_voters_relays_and_fronts_are_as_before() {
    let folder = tempfile::tempdir().unwrap();
    let fleet = Fleet::start(folder.path(), 1);
    let leads = |machine: &Machine| status_of(machine).contains("role=Leader");
    until(TIMEOUT, "a leader", || fleet.voters.iter().any(leads));
    let leader = fleet.voters.iter().find(|machine| leads(machine)).unwrap();
    let settled = || status_of(leader).matches("state=Alive").count() == 3;
    until(TIMEOUT, "all members are alive", settled);
    let mut texts = status_of(leader);
    let wishes = [
        ("GET", "/v1/accord/wishes/none"),
        ("POST", "/v1/accord/wishes/none/withdraw"),
        ("POST", "/v1/accord/wishes/none/done"),
        ("POST", "/v1/accord/wishes/none/returned"),
        ("POST", "/v1/accord/wishes/none/returned?box=box-0"),
        ("POST", "/v1/accord/wishes/a"),
        ("POST", "/v1/accord/wishes/a?boxes=box-0"),
        ("POST", "/v1/accord/wishes/a?boxes=box-0&work_s=x"),
        ("POST", "/v1/accord/wishes/a?boxes=box-0&work_s=1&together=2"),
        ("POST", "/v1/accord/wishes/a?boxes=box-0&work_s=1&other=2"),
        ("POST", "/v1/accord/wishes/a?boxes=no-box&work_s=1"),
        ("POST", "/v1/accord/members/none/excuse"),
        ("POST", "/v1/accord"),
        ("GET", "/v1/accord/other"),
    ];
    for (method, path) in wishes {
        texts += &ask(leader, method, path, "");
    }
    let order = r#"{"class":"configuration","puts":[{"topic":"fleet","name":"settings","value":{}}]}"#;
    let orders = [
        (leader, order),
        (leader, "{}"),
        (leader, r#"{"class":"configuration","puts":[]}"#),
        (leader, r#"{"class":"configuration","puts":[{"topic":"hall/x","name":"settings","value":{}}]}"#),
        (leader, r#"{"class":"primary","puts":[{"topic":"fleet","name":"settings","value":3}]}"#),
        (&fleet.relays[0], order),
        (&fleet.fronts[0], order),
    ];
    for (machine, body) in orders {
        texts += &ask(machine, "POST", "/v1/changes", body);
    }
    for machine in [leader, &fleet.relays[0]] {
        until(TIMEOUT, "in force everywhere", || machine.not_yet(1)["everywhere"] == true);
    }
    for machine in [leader, &fleet.relays[0], &fleet.fronts[0]] {
        texts += &ask(machine, "GET", "/v1/changes", "");
        texts += &ask(machine, "GET", "/v1/changes/1", "");
        texts += &ask(machine, "GET", "/v1/changes/x", "");
    }
    assert_eq!(texts, GOLDEN.text("fleet.txt"));
}
