//! Checks the form of the decision files, which are all files under `policy` in the deploy file.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use std::fs;
use std::path::Path;

#[test]
fn policy_lists_exactly_the_decision_files_within_size_limits() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let deploy = fs::read_to_string(root.join("deploy/balancer.toml")).unwrap();
    let policy = deploy.lines().find_map(|l| l.strip_prefix("policy = ")).unwrap();
    let mut listed: Vec<&str> = policy.split('"').skip(1).step_by(2).collect();
    listed.sort_unstable();
    let mut files = vec!["crates/scheduler/src/scheduler.rs".to_owned()];
    for entry in fs::read_dir(root.join("crates/scheduler/src/scheduler")).unwrap() {
        files
            .push(format!("crates/scheduler/src/scheduler/{}", entry.unwrap().file_name().to_str().unwrap()));
    }
    files.sort_unstable();
    assert_eq!(listed, files, "policy must list exactly the files of the module");
    let texts: Vec<String> = files.iter().map(|f| fs::read_to_string(root.join(f)).unwrap()).collect();
    for (file, text) in files.iter().zip(&texts) {
        let summary = text.lines().next().unwrap();
        assert!(
            summary.starts_with("//! ") && summary.len() > 24,
            "{file} does not start with a summary line: {summary}"
        );
        assert!(text.lines().count() <= 250, "{file} is too long");
        for (number, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= 110, "{file}, line {} is too long", number + 1);
        }
    }
    assert!(texts[0].lines().take(5).any(|l| l.contains("interface.rs")));
}
