//! The simulator's wire, byte for byte: `golden/` holds sessions and faulty lines as the adapter read and answered them.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use golden_files::GoldenFiles;
use scheduler::simulator_wire::{read_settings, run, WireError};

const GOLDEN: GoldenFiles = GoldenFiles::of_package(env!("CARGO_MANIFEST_DIR"));

fn assert_session_is_unchanged(name: &str) {
    let mut output = Vec::new();
    run(GOLDEN.text(&format!("{name}.in")).as_bytes(), &mut output).expect("a session without faults");
    let output = String::from_utf8(output).expect("utf-8");
    let expected = GOLDEN.text(&format!("{name}.out"));
    for (number, (line, expected)) in output.lines().zip(expected.lines()).enumerate() {
        assert_eq!(line, expected, "{name}.out, line {}", number + 1);
    }
    assert_eq!(output, expected, "{name}.out");
}

#[test]
fn session_with_every_message_is_answered_as_before() {
    let (read, written) = (GOLDEN.text("forms.in"), GOLDEN.text("forms.out"));
    for message in ["Tick", "Flush", "Launch", "Halt", "Topology", "JobIn", "Reply", "ClientLeft", "Fired"] {
        assert!(read.contains(&format!("\"m\":\"{message}\"")), "the file holds no {message}");
    }
    for code in [100, 301, 302, 303, 304, 305, 306, 307] {
        assert!(read.contains(&format!("\"Rc\":{code}")), "the file holds no outcome {code}");
    }
    for form in 0..4 {
        assert!(read.contains(&format!("\"Form\":{form}")), "the file holds no list of form {form}");
    }
    for action in ["Transmit", "SayNo", "GiveUp", "Timer", "Watch", "Fatal", "Next"] {
        assert!(written.contains(&format!("\"m\":\"{action}\"")), "the file holds no {action}");
    }
    assert_session_is_unchanged("forms");
}

#[test]
fn session_of_a_fleet_under_load_is_answered_as_before() {
    assert_session_is_unchanged("traffic");
}

#[test]
fn malformed_lines_are_reported_in_the_same_text() {
    let file = GOLDEN.text("malformed.txt");
    let lines: Vec<&str> = file.lines().collect();
    for pair in lines.chunks(2) {
        let [line, expected] = pair else { panic!("a line without its report: {pair:?}") };
        let input = format!("{{\"m\":\"Tick\",\"AtTimeS\":1.0}}\n{line}\n");
        let mut output = Vec::new();
        match run(input.as_bytes(), &mut output) {
            Err(error @ WireError::Malformed { .. }) => assert_eq!(error.to_string(), *expected, "{line}"),
            other => panic!("{line}: {other:?}"),
        }
        assert!(output.is_empty(), "{line}");
    }
}

#[test]
fn malformed_settings_are_reported_in_the_same_text() {
    let setup = |line: &str| serde_json::from_str::<serde_json::Value>(line).ok()?.get("Setup").cloned();
    let file = GOLDEN.text("malformed.txt");
    let lines: Vec<&str> = file.lines().collect();
    let mut checked = 0;
    for pair in lines.chunks(2) {
        if let Some(setup) = setup(pair[0]) {
            let error = read_settings(setup).expect_err(pair[0]);
            assert_eq!(format!("line 2: {error}"), pair[1]);
            checked += 1;
        }
    }
    assert_eq!(checked, 5);
}
