//! The simulator's wire protocol, byte for byte: `golden/` holds recorded sessions and malformed lines with
//! the adapter's replies.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use golden_files::GoldenFiles;
use scheduler::simulator_wire::{read_settings, run, WireError};

const GOLDEN: GoldenFiles = GoldenFiles::of_package(env!("CARGO_MANIFEST_DIR"));

fn assert_replies_match_golden_file(name: &str) {
    let mut output = Vec::new();
    run(GOLDEN.text(&format!("{name}.in")).as_bytes(), &mut output).expect("a well-formed session");
    let output = String::from_utf8(output).expect("utf-8");
    let expected = GOLDEN.text(&format!("{name}.out"));
    for (number, (line, expected)) in output.lines().zip(expected.lines()).enumerate() {
        assert_eq!(line, expected, "{name}.out, line {}", number + 1);
    }
    assert_eq!(output, expected, "{name}.out");
}

#[test]
fn answers_session_with_every_message_as_recorded() {
    let (input, output) = (GOLDEN.text("forms.in"), GOLDEN.text("forms.out"));
    for message in ["Tick", "Flush", "Launch", "Halt", "Topology", "JobIn", "Reply", "ClientLeft", "Fired"] {
        assert!(input.contains(&format!("\"m\":\"{message}\"")), "the input has no {message}");
    }
    for code in [100, 301, 302, 303, 304, 305, 306, 307] {
        assert!(input.contains(&format!("\"Rc\":{code}")), "the input has no outcome {code}");
    }
    for form in 0..4 {
        assert!(input.contains(&format!("\"Form\":{form}")), "the input has no Topology of form {form}");
    }
    for action in ["Transmit", "SayNo", "GiveUp", "Timer", "Watch", "Fatal", "Next"] {
        assert!(output.contains(&format!("\"m\":\"{action}\"")), "the output has no {action}");
    }
    assert_replies_match_golden_file("forms");
}

#[test]
fn answers_session_of_fleet_under_load_as_recorded() {
    assert_replies_match_golden_file("traffic");
}

#[test]
fn reports_malformed_lines_as_recorded() {
    let file = GOLDEN.text("malformed.txt");
    let lines: Vec<&str> = file.lines().collect();
    for pair in lines.chunks(2) {
        let [line, expected] = pair else { panic!("a line without its expected error: {pair:?}") };
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
fn reports_malformed_settings_as_recorded() {
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
