//! What is wrong with a configuration ends the start and the check, and the key is named.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
mod common;
use common::{address, config, spawn};
use rstest::rstest;
use std::io::Read;
use std::process::{Command, Stdio};

#[rstest]
#[case("listen = \"@\"", "listen = \"nowhere\"", "listen")]
#[case("seed = \"7\"", "seed = \"xyz\"", "seed")]
#[case("seed = \"7\"", "sede = \"7\"", "sede")]
#[case("seed = \"7\"", "limits = { sockets = 3 }", "limits.sockets")]
#[case("seed = \"7\"", "limits = { memory_mb = \"much\" }", "limits.memory_mb")]
#[case("lun = 1", "lun = 0", "iscsi.lun[1].lun")]
#[case("plan = \"premium\"", "plan = \"gold\"", "iscsi.lun[0].plan")]
#[case("read_class = \"stock-read\"", "read_class = \"booking-write\"", "iscsi.lun[0].read_class")]
#[case("volume = \"00000003b4d60021\"", "volume = \"21\"", "iscsi.lun[0].volume")]
#[case("blocks = 2048", "blocks = 0", "iscsi.lun[0].blocks")]
#[case("record_s = 2", "record_s = 0", "iscsi.record_s")]
#[case("lifecycle = \"active\"", "lifecycle = \"well\"", "known.instances[0].lifecycle")]
#[case("speaks = \"resp\"", "speaks = \"smb\"", "known.instances[0].speaks")]
#[case("OnTimeS = 0.25", "OnTimeS = -1.0", "classes")]
#[case("DeadlineS = 1.2", "", "DeadlineS")]
#[case("MostUnits = 6.0", "MostUnits = 0.0", "most_units")]
#[case("Idempotency = \"idempotent\"", "Idempotency = \"maybe\"", "Idempotency")]
#[case("[[known.instances]]", "[[known.unused]]", "known.instances")]
#[case("[settings]", "[settings", "settings")]
fn a_fault_names_its_key(#[case] from: &str, #[case] to: &str, #[case] key: &str) {
    let ip = address();
    let from = from.replace('@', &format!("{ip}:6379"));
    let good = config(&ip);
    assert!(good.contains(&from));
    let all = if from.starts_with("[[") { usize::MAX } else { 1 };
    let bad = good.replacen(&from, to, all);
    let mut program = spawn(&bad, &ip, Stdio::piped());
    assert_eq!(program.exit(), 1);
    let mut words = String::new();
    program.child.stderr.take().unwrap().read_to_string(&mut words).unwrap();
    assert!(words.contains(key), "{words}");

    let file = std::env::temp_dir().join(format!("lichenrudder-check-{ip}.toml"));
    let check = |text: &str| {
        std::fs::write(&file, text).unwrap();
        Command::new(env!("CARGO_BIN_EXE_gateway")).args(["config", "check"]).arg(&file).output().unwrap()
    };
    let (wrong, right) = (check(&bad), check(&good));
    std::fs::remove_file(&file).unwrap();
    assert_eq!(wrong.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&wrong.stderr).contains(key));
    assert!(right.status.success());
}

#[test]
fn what_the_tool_writes_is_good_and_so_is_the_operators_file() {
    let program = env!("CARGO_BIN_EXE_gateway");
    let run = |words: &[&str]| Command::new(program).args(words).output().unwrap();
    let written = run(&["config", "write", "label-printer"]);
    assert!(written.status.success());
    let text = String::from_utf8(written.stdout).unwrap();
    let read = config::read("x.toml", &text).unwrap();
    assert_eq!(read.name, "label-printer");
    assert_eq!(read.iscsi.unwrap().target, "iqn.2026-12.lichenrudder:label-printer");
    assert_eq!(run(&["config", "write", "../x"]).status.code(), Some(1));
    assert_eq!(run(&["config", "check", "no-such-file"]).status.code(), Some(1));
    assert_eq!(run(&["config"]).status.code(), Some(1));
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/sidecar.toml");
    assert!(run(&["config", "check", file]).status.success());
}

#[rstest]
#[case("changes-voter.toml")]
#[case("changes-relay.toml")]
#[case("changes-front.toml")]
fn the_files_of_changes_pass_the_check(#[case] file: &str) {
    let file = format!("{}/../../deploy/{file}", env!("CARGO_MANIFEST_DIR"));
    let run = Command::new(env!("CARGO_BIN_EXE_gateway")).args(["config", "check", &file]).output();
    assert!(run.unwrap().status.success());
}

#[test]
fn without_a_configuration_it_does_not_start() {
    let output = Command::new(env!("CARGO_BIN_EXE_gateway")).env_remove("GW_CONFIG").output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("GW_CONFIG"));
}
