//! The tool as a process: its output files, and its errors for invalid arguments.
#![allow(clippy::unwrap_used)]
mod common;
use common::tool_path;
use serde_json::Value;
use std::process::{Command, Output};

fn run_tool(args: &[&str]) -> Output {
    Command::new(tool_path()).args(args).env_remove("SCALE_REVISION").output().unwrap()
}

#[test]
fn writes_json_report_and_chart() {
    let directory = tempfile::tempdir().unwrap();
    let (json, chart) = (directory.path().join("t.json"), directory.path().join("t.svg"));
    let (json_text, chart_text) = (json.to_str().unwrap(), chart.to_str().unwrap());
    let args = ["targets", "--sizes", "3,9,27", "--plays", "2", "--seed", "4", "--at", "23000"];
    let files = ["--revision", "abc123", "--json", json_text, "--chart", chart_text];
    let output = run_tool(&[&args[..], &files[..]].concat());
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let report: Value = serde_json::from_slice(&std::fs::read(&json).unwrap()).unwrap();
    assert_eq!((&report["measurement"], &report["version"]), (&"targets".into(), &"abc123".into()));
    assert_eq!(report["seed"], 4);
    assert_eq!((&report["command"][0], &report["command"][2]), (&"scale-bench".into(), &"--sizes".into()));
    let machine = &report["machine"];
    assert!(machine["cores"].as_u64() > Some(0) && machine["memory_bytes"].as_u64() > Some(1 << 20));
    assert!(machine["kernel"].as_str().is_some_and(|text| !text.is_empty()));
    let runs = report["plays"].as_array().unwrap();
    assert_eq!(runs.len(), 6);
    assert_eq!((&runs[1]["size"], &runs[1]["play"], &runs[1]["seed"]), (&3.into(), &1.into(), &5.into()));
    assert!(runs
        .iter()
        .all(|run| run["whole"] == true && run["figures"]["whole_p50_us"].as_f64() > Some(0.0)));
    let fits = report["fitted"].as_array().unwrap();
    let bytes = fits.iter().find(|line| line["figure"] == "whole_bytes").unwrap();
    let line = &bytes["line"];
    assert!(line["slope"].as_f64() > Some(50.0) && line["bend"].as_f64().is_some());
    assert_eq!((&line["at"][0]["size"], &line["at"][0]["beyond"]), (&23000.0.into(), &true.into()));
    assert_eq!(line["sizes"].as_array().unwrap().len(), 3);
    let drawn = std::fs::read_to_string(&chart).unwrap();
    assert!(drawn.starts_with("<svg") && drawn.contains("whole_bytes") && drawn.contains("abc123"));
}

#[test]
fn reports_why_one_size_has_no_line() {
    let output = run_tool(&["targets", "--sizes", "3", "--plays", "1"]);
    assert!(output.status.success());
    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    let line = &report["fitted"][0];
    assert!(line["line"].is_null() && line["error"].as_str().unwrap().contains("too few sizes"));
    assert_eq!(report["version"], env!("CARGO_PKG_VERSION"));
}

#[test]
fn rejects_invalid_arguments_naming_the_option() {
    let cases: [(&[&str], &str); 9] = [
        (&["list", "--sizes", "0"], "--sizes"),
        (&["targets", "--sizes", "3,many"], "--sizes"),
        (&["members", "--sizes", "1002"], "--sizes"),
        (&["file", "--plays", "0"], "--plays"),
        (&["file", "--forms", "yaml"], "--forms"),
        (&["members", "--loss", "1.5"], "--loss"),
        (&["log", "--delay-ms", "9,1"], "--delay-ms"),
        (&["log", "--disk-us", "7"], "--disk-us"),
        (&["front", "--front", "no-such-program"], "--front"),
    ];
    for (args, option) in cases {
        let result = run_tool(args);
        let output = String::from_utf8_lossy(&result.stderr);
        assert!(!result.status.success() && output.contains(option), "{args:?}: {output}");
        assert!(!output.contains("panicked"), "{output}");
    }
}
