//! The simulator's wire protocol, with input lines written for these tests.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use scheduler::simulator_wire::{run, WireError};

const SETUP: &str = r#"{"FleetSize":1,"Classes":[{"OnTimeS":0.2,"DeadlineS":1.0,"Idempotency":"idempotent",
"New":[1]}],"Contracts":[{"Guaranteed":1.0,"Proportion":1.0}],"FamilyInfo":{"MostUnits":4,"UnitMean":2.0},
"Limits":{"MaxAttempts":2,"ConnectTimeoutS":0.25},"Rules":{},"QuantumS":0.002,"MembershipMode":"push"}"#;

fn run_adapter(lines: &[String]) -> (Result<(), WireError>, Vec<String>) {
    let mut output = Vec::new();
    let result = run(lines.join("\n").as_bytes(), &mut output);
    let text = String::from_utf8(output).expect("utf-8");
    (result, text.lines().map(str::to_owned).collect())
}

fn launch_lines() -> Vec<String> {
    let setup = SETUP.replace('\n', "");
    vec![
        r#"{"m":"Tick","AtTimeS":5.0}"#.into(),
        format!(r#"{{"m":"Launch","Who":"gateway-0","Seed":1,"Setup":{setup}}}"#),
        r#"{"m":"Topology","Who":"gateway-0","Form":2,"SeqNo":1,"Members":[{"Node":"n","Availability":1}]}"#
            .into(),
        r#"{"m":"Flush"}"#.into(),
    ]
}

const JOB_IN: &str = r#"{"m":"JobIn","Who":"gateway-0","Corr":9,"Hosts":1,"SizeUnits":2,"GraceS":1.0,"LiesIn":0,
"Grade":0,"ShareId":"v","Lane":0}"#;

#[test]
fn sends_request_and_ends_reply() {
    let mut lines = launch_lines();
    lines.push(JOB_IN.replace('\n', ""));
    lines.push(r#"{"m":"Flush"}"#.into());
    let (result, replies) = run_adapter(&lines);
    assert!(result.is_ok());
    assert_eq!(replies[0], r#"{"m":"Next"}"#);
    assert!(replies[1].contains(r#""Corr":9"#) && replies[1].contains(r#""m":"Transmit""#), "{replies:?}");
    assert_eq!(replies.last().map(String::as_str), Some(r#"{"m":"Next"}"#));
}

#[test]
fn skips_unknown_messages_and_removes_halted_instance() {
    let mut lines = launch_lines();
    lines.push(r#"{"m":"Weather","Who":"gateway-0","Sun":true}"#.into());
    lines.push(r#"{"m":"Halt","Who":"gateway-0"}"#.into());
    lines.push(JOB_IN.replace('\n', ""));
    lines.push(r#"{"m":"Flush"}"#.into());
    let (result, replies) = run_adapter(&lines);
    assert!(result.is_ok());
    assert_eq!(replies, vec![r#"{"m":"Next"}"#; 2]);
}

#[test]
fn reports_line_of_malformed_input() {
    for malformed in [
        "{\"m\":",
        "[]",
        r#"{"m":"JobIn","Who":"gateway-0"}"#,
        r#"{"m":"Reply","Who":"gateway-0","Corr":9,"Rc":999}"#,
        r#"{"m":"JobIn","Corr":9,"GraceS":1.0}"#,
    ] {
        let mut lines = launch_lines();
        lines.push(JOB_IN.replace('\n', ""));
        lines.push(malformed.into());
        let (result, replies) = run_adapter(&lines);
        let Err(WireError::Malformed { line, .. }) = result else { panic!("{malformed} was accepted") };
        assert_eq!((line, replies), (6, vec![r#"{"m":"Next"}"#.to_owned()]));
    }
}

#[test]
fn reports_invalid_setting_as_fatal() {
    let mut lines = launch_lines();
    lines[1] = lines[1].replace(r#""MaxAttempts":2"#, r#""MaxAttempts":0"#);
    let (_, replies) = run_adapter(&lines);
    assert!(replies[0].contains("Fatal") && replies[0].contains("max_attempts"), "{replies:?}");
}
