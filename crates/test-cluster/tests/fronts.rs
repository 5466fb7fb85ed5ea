//! Processes are started, stalled, killed and watched; a shell script stands in for the program.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use rustix::process::{test_kill_process, Pid};
use std::io::{Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::time::Duration;
use test_cluster::engine::{until, Clock};
use test_cluster::files::fill;
use test_cluster::fronts::Front;
use test_cluster::ports::Site;

const PATIENCE: Duration = Duration::from_secs(10);

struct Bench {
    front: Front,
    site: Site,
    _folder: tempfile::TempDir,
}

fn bench(script: &str) -> Bench {
    let (site, folder) = (Site::new().unwrap(), tempfile::tempdir().unwrap());
    let program: PathBuf = folder.path().join("program");
    std::fs::write(&program, format!("#!/bin/sh\n{script}\n")).unwrap();
    std::fs::set_permissions(&program, std::fs::Permissions::from_mode(0o755)).unwrap();
    let at = (site.at(1, 6379), site.at(1, 6382));
    let front = Front::new("front-0", at, (&program, folder.path()), "text", Clock::default()).unwrap();
    Bench { front, site, _folder: folder }
}

fn started(front: &mut Front) -> u32 {
    until(PATIENCE, || front.start().ok()).unwrap();
    front.pid().unwrap()
}

/// The process's state as the kernel names it.
fn state(pid: u32) -> Option<char> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    text.rsplit(") ").next()?.chars().next()
}

fn lives(pid: u32) -> bool {
    test_kill_process(Pid::from_raw(pid as i32).unwrap()).is_ok()
}

/// Answers `PING` once.
fn answer(bench: &Bench) -> std::thread::JoinHandle<()> {
    let listener = std::net::TcpListener::bind(bench.site.at(1, 6379)).unwrap();
    std::thread::spawn(move || {
        let mut stream = listener.accept().unwrap().0;
        let mut ask = [0; 14];
        stream.read_exact(&mut ask).unwrap();
        assert_eq!(&ask, b"*1\r\n$4\r\nPING\r\n");
        stream.write_all(b"+PONG\r\n").unwrap();
    })
}

#[test]
fn it_is_out_while_stalled_and_from_its_end_until_another_answers() {
    let mut bench = bench("cat $GW_CONFIG >&2; echo >&2; echo state $TMPDIR >&2; exec sleep 600");
    let pid = started(&mut bench.front);
    assert!(bench.front.start().is_err(), "one runs");
    let answering = answer(&bench);
    bench.front.ready(PATIENCE).unwrap();
    answering.join().unwrap();
    assert!(bench.front.outages().is_empty());
    bench.front.stall().unwrap();
    until(PATIENCE, || state(pid).filter(|s| *s == 'T')).unwrap();
    bench.front.go_on().unwrap();
    until(PATIENCE, || state(pid).filter(|s| *s != 'T')).unwrap();
    let kept = bench.front.state.join("kept");
    std::fs::write(&kept, "x").unwrap();
    bench.front.stall().unwrap();
    bench.front.restart(true).unwrap();
    assert!(!lives(pid) && kept.exists());
    let out = bench.front.outages();
    assert!(out[..2].iter().all(|o| !o.ended && o.until > Some(o.since)));
    assert!(out[2].ended && out[2].until.is_none(), "nobody answers yet");
    let answering = answer(&bench);
    bench.front.ready(PATIENCE).unwrap();
    answering.join().unwrap();
    assert!(bench.front.outages()[2].until.is_some());
    bench.front.restart(false).unwrap();
    assert!(!kept.exists());
    // Earlier processes may have been killed before they wrote; the last one is left alone.
    let has = |f: &Front, what: &str| f.lines().iter().any(|l| l.1.ends_with(what));
    until(PATIENCE, || (has(&bench.front, "text") && has(&bench.front, "front-0-state")).then_some(()))
        .unwrap();
    assert!(bench.front.crashes().is_empty(), "all that ended was asked for");
}

#[test]
fn a_stalled_process_ends_with_its_front_also_on_panic() {
    let (tell, told) = std::sync::mpsc::channel();
    let panics = std::thread::spawn(move || {
        let mut bench = bench("exec sleep 600");
        let pid = started(&mut bench.front);
        bench.front.stall().unwrap();
        tell.send(pid).unwrap();
        panic!("as a test that fails");
    });
    assert!(panics.join().is_err());
    let pid = told.recv().unwrap();
    assert!(!lives(pid));
}

#[test]
fn an_end_that_nobody_asked_for_is_a_crash_and_one_that_was_is_none() {
    let mut crashing = bench("echo last words >&2; exit 3");
    started(&mut crashing.front);
    let error = crashing.front.ready(PATIENCE).unwrap_err().to_string();
    assert!(error.contains("has ended"), "{error}");
    assert_eq!(crashing.front.crashes().len(), 1);
    assert!(crashing.front.outages()[0].ended);
    let mut good = bench("trap 'exit 7' TERM; echo up >&2; while :; do sleep 0.05; done");
    started(&mut good.front);
    until(PATIENCE, || Some(()).filter(|()| !good.front.lines().is_empty())).unwrap();
    assert_eq!(good.front.terminate(PATIENCE).unwrap(), Some(7));
    assert!(good.front.crashes().is_empty());
}

#[test]
fn placeholders() {
    let values = [("A".to_string(), "1".to_string()), ("UDP.front-2".into(), "2".into())].into();
    assert_eq!(fill("a=@A@ b=@UDP.front-2@ c@", &values).unwrap(), "a=1 b=2 c@");
    assert!(fill("a=@B@", &values).unwrap_err().to_string().contains("@B@"));
}
