//! What a gateway has taken on outlasts it where its folder does, also when writes fail for a while and when it is killed.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod common;
use common::server::Server;
use common::{address, ask, call, config, spawn_as, Program};
use std::io::{Read, Write};
use std::path::Path;
use std::time::{Duration, Instant};
use test_cluster::syscall_faults::SyscallFaults;

const SUSPEND: &str = "POST /v1/chunk-servers/box-0/suspend";
const RESUME: &str = "POST /v1/chunk-servers/box-0/resume";

fn start(ip: &str, folder: &Path, faults: &SyscallFaults, calls: &str) -> Program {
    let program = spawn_as(&config(ip), ip, |command| {
        faults.fail_calls(command, calls);
        faults.limit_to_folder(command, folder);
        command.env("TMPDIR", folder);
    });
    drop(program.connect(6379));
    program
}

/// Whether requests reach the backend.
fn reaches(program: &Program, server: &Server) -> bool {
    let before = server.arrivals().len();
    let mut client = program.connect(6379);
    for n in 0..5 {
        client.write_all(&ask(n, 300)).unwrap();
        client.read(&mut [0; 256]).map(drop).unwrap();
    }
    server.arrivals().len() > before
}

/// The folder takes nothing while the operator calls, and is healthy for a while before the kill.
fn a_yes_outlasts_the_kill(calls: &str) {
    let (ip, faults, folder) = (address(), SyscallFaults::build().unwrap(), tempfile::tempdir().unwrap());
    let server = Server::start(&ip, Duration::ZERO);
    let mut program = start(&ip, folder.path(), &faults, calls);
    faults.set_active(true).unwrap();
    let began = Instant::now();
    let said = call(&ip, 6382, SUSPEND);
    assert!(began.elapsed() < Duration::from_secs(1), "a caller waits 1 s");
    assert!(!reaches(&program, &server), "it counts as draining, whatever becomes of the file");
    faults.set_active(false).unwrap();
    std::thread::sleep(Duration::from_secs(1));
    program.child.kill().unwrap();
    program.child.wait().unwrap();
    let program = start(&ip, folder.path(), &faults, calls);
    assert!(!reaches(&program, &server), "{calls}: the call was answered {said}");
    assert_eq!(call(&ip, 6382, RESUME), 200);
    std::thread::sleep(Duration::from_secs(1));
    assert!(reaches(&program, &server), "{calls}: it is put back");
}

#[test]
fn suspension_survives_a_full_folder() {
    a_yes_outlasts_the_kill("openat=ENOSPC/1 write=ENOSPC/1");
}
#[test]
fn suspension_survives_failed_writes_and_syncs() {
    a_yes_outlasts_the_kill("write=EIO/1 fsync=EIO/1 fdatasync=EIO/1");
}

#[test]
fn suspension_is_confirmed_only_once_it_is_persisted() {
    let (ip, faults, folder) = (address(), SyscallFaults::build().unwrap(), tempfile::tempdir().unwrap());
    let server = Server::start(&ip, Duration::ZERO);
    let mut program = start(&ip, folder.path(), &faults, "write=ENOSPC/1");
    faults.set_active(true).unwrap();
    assert_eq!(call(&ip, 6382, SUSPEND), 503, "it is in force and not kept");
    faults.set_active(false).unwrap();
    assert_eq!(call(&ip, 6382, SUSPEND), 200, "repeated once the folder is well");
    program.child.kill().unwrap();
    program.child.wait().unwrap();
    let program = start(&ip, folder.path(), &faults, "write=ENOSPC/1");
    assert!(!reaches(&program, &server), "killed right after the yes");
}

/// A process that follows another can't make its lock's file at its start. Both know of each other once the folder is well,
/// and the older one leaves as soon as it is notified to.
#[test]
fn successor_takes_over_though_its_folder_takes_no_file_at_its_start() {
    let (ip, faults, folder) = (address(), SyscallFaults::build().unwrap(), tempfile::tempdir().unwrap());
    let _server = Server::start(&ip, Duration::ZERO);
    let all = config(&ip);
    let alone = &all[all.find("[agent]").unwrap()..all.find("[known]").unwrap()];
    let text = all.replace(alone, "").replace("speaks = \"iscsi\"", "");
    let start = |port: &str| {
        spawn_as(&text.replace(":6382", port), &ip, |command| {
            faults.fail_calls(command, "openat=ENOSPC/1");
            faults.limit_to_folder(command, folder.path());
            command.env("TMPDIR", folder.path());
        })
    };
    let mut old = start(":6382");
    drop(old.connect(6379));
    faults.set_active(true).unwrap();
    let new = start(":6383");
    let end = Instant::now() + Duration::from_secs(8);
    while call(&ip, 6383, "GET /v1/readyz") != 200 {
        assert!(Instant::now() < end, "the new process is not ready");
        std::thread::sleep(Duration::from_millis(20));
    }
    faults.set_active(false).unwrap();
    std::thread::sleep(Duration::from_millis(300));
    let term = Instant::now();
    old.signal("TERM");
    assert_eq!(old.exit(), 0);
    assert!(term.elapsed() < Duration::from_secs(2), "it has not seen the new one: {:?}", term.elapsed());
    let mut client = new.connect(6379);
    client.write_all(&ask(1, 1200)).unwrap();
    let mut answer = [0; 5];
    client.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"$16\r\n");
}
