//! Processes are started, stalled, killed and watched; a shell script takes the place of the gateway program.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use rustix::process::{test_kill_process, Pid};
use std::io::{Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::time::Duration;
use test_cluster::gateway_process::GatewayProcess;
use test_cluster::loopback::LoopbackNetwork;
use test_cluster::runtime::{poll_until, Clock};
use test_cluster::templates::render;

const TIMEOUT: Duration = Duration::from_secs(10);

struct Fixture {
    gateway: GatewayProcess,
    network: LoopbackNetwork,
    _folder: tempfile::TempDir,
}

fn fixture(script: &str) -> Fixture {
    let (network, folder) = (LoopbackNetwork::new().unwrap(), tempfile::tempdir().unwrap());
    let program: PathBuf = folder.path().join("program");
    std::fs::write(&program, format!("#!/bin/sh\n{script}\n")).unwrap();
    std::fs::set_permissions(&program, std::fs::Permissions::from_mode(0o755)).unwrap();
    let at = (network.address(1, 6379), network.address(1, 6382));
    let gateway =
        GatewayProcess::new("front-0", at, (&program, folder.path()), "text", Clock::default()).unwrap();
    Fixture { gateway, network, _folder: folder }
}

fn start_process(gateway: &mut GatewayProcess) -> u32 {
    poll_until(TIMEOUT, || gateway.start().ok()).unwrap();
    gateway.pid().unwrap()
}

/// The state of the process as the kernel reports it.
fn process_state(pid: u32) -> Option<char> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    text.rsplit(") ").next()?.chars().next()
}

fn is_alive(pid: u32) -> bool {
    test_kill_process(Pid::from_raw(pid as i32).unwrap()).is_ok()
}

/// Answers `PING` once.
fn answer_one_ping(fixture: &Fixture) -> std::thread::JoinHandle<()> {
    let listener = std::net::TcpListener::bind(fixture.network.address(1, 6379)).unwrap();
    std::thread::spawn(move || {
        let mut stream = listener.accept().unwrap().0;
        let mut ping = [0; 14];
        stream.read_exact(&mut ping).unwrap();
        assert_eq!(&ping, b"*1\r\n$4\r\nPING\r\n");
        stream.write_all(b"+PONG\r\n").unwrap();
    })
}

#[test]
fn records_outages_of_stalls_and_restarts() {
    let mut fixture = fixture("cat $GW_CONFIG >&2; echo >&2; echo state $TMPDIR >&2; exec sleep 600");
    let pid = start_process(&mut fixture.gateway);
    assert!(fixture.gateway.start().is_err(), "already running");
    let answering = answer_one_ping(&fixture);
    fixture.gateway.wait_ready(TIMEOUT).unwrap();
    answering.join().unwrap();
    assert!(fixture.gateway.outages().is_empty());
    fixture.gateway.stall().unwrap();
    poll_until(TIMEOUT, || process_state(pid).filter(|s| *s == 'T')).unwrap();
    fixture.gateway.resume().unwrap();
    poll_until(TIMEOUT, || process_state(pid).filter(|s| *s != 'T')).unwrap();
    let kept = fixture.gateway.state_dir.join("kept");
    std::fs::write(&kept, "x").unwrap();
    fixture.gateway.stall().unwrap();
    fixture.gateway.restart(true).unwrap();
    assert!(!is_alive(pid) && kept.exists());
    let out = fixture.gateway.outages();
    assert!(out[..2].iter().all(|o| !o.process_ended && o.until > Some(o.since)));
    assert!(out[2].process_ended && out[2].until.is_none(), "nothing answers yet");
    let answering = answer_one_ping(&fixture);
    fixture.gateway.wait_ready(TIMEOUT).unwrap();
    answering.join().unwrap();
    assert!(fixture.gateway.outages()[2].until.is_some());
    fixture.gateway.restart(false).unwrap();
    assert!(!kept.exists());
    // Earlier processes may have been killed before they wrote their lines; the last one keeps running.
    let has_line_ending_with = |f: &GatewayProcess, what: &str| f.lines().iter().any(|l| l.1.ends_with(what));
    poll_until(TIMEOUT, || {
        (has_line_ending_with(&fixture.gateway, "text")
            && has_line_ending_with(&fixture.gateway, "front-0-state"))
        .then_some(())
    })
    .unwrap();
    assert!(fixture.gateway.crashes().is_empty(), "each exit was asked for");
}

#[test]
fn drop_kills_stalled_process_on_panic() {
    let (sender, receiver) = std::sync::mpsc::channel();
    let panics = std::thread::spawn(move || {
        let mut fixture = fixture("exec sleep 600");
        let pid = start_process(&mut fixture.gateway);
        fixture.gateway.stall().unwrap();
        sender.send(pid).unwrap();
        panic!("simulates a failing test");
    });
    assert!(panics.join().is_err());
    let pid = receiver.recv().unwrap();
    assert!(!is_alive(pid));
}

#[test]
fn only_unasked_exit_counts_as_crash() {
    let mut crashing = fixture("echo last words >&2; exit 3");
    start_process(&mut crashing.gateway);
    let error = crashing.gateway.wait_ready(TIMEOUT).unwrap_err().to_string();
    assert!(error.contains("has ended"), "{error}");
    assert_eq!(crashing.gateway.crashes().len(), 1);
    assert!(crashing.gateway.outages()[0].process_ended);
    let mut good = fixture("trap 'exit 7' TERM; echo up >&2; while :; do sleep 0.05; done");
    start_process(&mut good.gateway);
    poll_until(TIMEOUT, || Some(()).filter(|()| !good.gateway.lines().is_empty())).unwrap();
    assert_eq!(good.gateway.terminate(TIMEOUT).unwrap(), Some(7));
    assert!(good.gateway.crashes().is_empty());
}

#[test]
fn fills_placeholders_and_rejects_unknown_ones() {
    let values = [("A".to_string(), "1".to_string()), ("UDP.front-2".into(), "2".into())].into();
    assert_eq!(render("a=@A@ b=@UDP.front-2@ c@", &values).unwrap(), "a=1 b=2 c@");
    assert!(render("a=@B@", &values).unwrap_err().to_string().contains("@B@"));
}
