//! A voter's disk takes nothing for a while: it says so, goes on once the disk is well, and what it said yes to outlasts a kill.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod common;
use common::{address, call, config, spawn_as, Program};
use std::path::Path;
use std::time::{Duration, Instant};
use test_cluster::syscall_faults::SyscallFaults;

const CALLS: &str = "pwrite64=EIO/1 write=ENOSPC/1 fsync=EIO/1 fdatasync=EIO/1";

fn section(ip: &str, state: &Path) -> String {
    format!(
        r#"
[accord]
listen = "{ip}:7900"
hall = "hall-a"
state = "{}"
keys = ["6f1d0c5ab2e94877a3c0d1f28e5b46979c2a7710e4d35f8b60a1c9e2d7f48b35"]
[[accord.member]]
name = "n0"
at = "{ip}:7900"
hall = "hall-a"
"#,
        state.display()
    )
}

fn start(ip: &str, faults: &SyscallFaults, folder: &Path) -> Program {
    let text = format!("{}{}", config(ip), section(ip, folder));
    let program = spawn_as(&text, ip, |command| {
        faults.fail_calls(command, CALLS);
        faults.limit_to_folder(command, folder);
    });
    drop(program.connect(6379));
    program
}

/// Asks for maintenance under that name until it is taken.
fn taken_within(ip: &str, name: &str, patience: Duration) -> bool {
    let end = Instant::now() + patience;
    let request = format!("POST /v1/accord/wishes/{name}?boxes=box-1&work_s=60");
    while Instant::now() < end {
        if call(ip, 6382, &request) == 200 {
            return true;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}

#[test]
fn a_voter_goes_on_once_its_disk_is_well() {
    let (ip, faults, folder) = (address(), SyscallFaults::build().unwrap(), tempfile::tempdir().unwrap());
    let mut program = start(&ip, &faults, folder.path());
    assert!(taken_within(&ip, "before", Duration::from_secs(8)));
    faults.set_active(true).unwrap();
    assert!(!taken_within(&ip, "meanwhile", Duration::from_secs(2)), "it can't be kept");
    faults.set_active(false).unwrap();
    assert!(taken_within(&ip, "after", Duration::from_secs(8)), "the disk is well again");
    program.child.kill().unwrap();
    program.child.wait().unwrap();
    let _program = start(&ip, &faults, folder.path());
    for name in ["before", "after"] {
        let end = Instant::now() + Duration::from_secs(8);
        while call(&ip, 6382, &format!("GET /v1/accord/wishes/{name}")) != 200 {
            assert!(Instant::now() < end, "{name} is forgotten");
            std::thread::sleep(Duration::from_millis(100));
        }
    }
}
