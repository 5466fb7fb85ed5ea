//! Each measurement at tiny sizes: figures above zero, and the same counts under the same seed.
#![allow(clippy::unwrap_used)]
mod common;
use common::{assert_positive_figures, assert_same_figures, plan};
use scale_bench::generated_config::FileFormat;
use scale_bench::{
    backend_list, config_file, consensus_sim, data_path, discovery, gateway_process, membership_sim,
};
use std::time::Duration;

#[test]
fn measures_backend_list() {
    let options = backend_list::Options { gateways: 3, volumes: vec![0, 4], changes: 3 };
    let measure = || backend_list::measure(&plan(&[40, 200], 5), &options).unwrap();
    let runs = measure();
    assert_eq!(runs.len(), 4);
    let times = ["first_list_us", "whole_list_p50_us", "change_p50_us", "change_p99_us"];
    assert_positive_figures(&runs, &times);
    assert_positive_figures(&runs, &["resident_bytes", "peak_bytes", "reads_sent", "credit_ends"]);
    assert_positive_figures(
        &runs,
        &["read_arrival_p50_us", "read_end_p50_us", "new_object_arrival_p50_us", "credit_end_p50_us"],
    );
    assert_same_figures(
        &runs,
        &measure(),
        &[
            "known_nodes",
            "changes",
            "requests_arrived",
            "requests_sent",
            "requests_refused",
            "reads_sent",
            "credit_ends",
        ],
    );
    for run in &runs {
        assert_eq!(run.figure("known_nodes"), Some(run.size as f64));
        assert_eq!(run.figure("changes"), Some(6.0));
    }
}

#[test]
fn measures_config_file() {
    let options = config_file::Options { formats: vec![FileFormat::Toml, FileFormat::Json] };
    let measure = || config_file::measure(&plan(&[3, 30], 5), &options).unwrap();
    let runs = measure();
    assert_eq!(runs.len(), 4);
    assert_positive_figures(
        &runs,
        &["file_bytes", "first_read_us", "reload_read_p50_us", "reload_apply_p50_us"],
    );
    assert_positive_figures(&runs, &["reload_p50_us", "resident_bytes"]);
    assert_same_figures(&runs, &measure(), &["file_bytes", "known_nodes"]);
    assert!(runs.iter().all(|run| run.figure("known_nodes") == Some(run.size as f64)));
    assert!(runs[2].figure("file_bytes") > runs[0].figure("file_bytes"));
}

#[test]
fn measures_discovery_messages() {
    let measure = || discovery::measure(&plan(&[3, 30], 5)).unwrap();
    let runs = measure();
    assert_positive_figures(&runs, &["whole_bytes", "whole_p50_us", "change_mean_bytes", "change_p50_us"]);
    assert_same_figures(&runs, &measure(), &["whole_bytes", "change_mean_bytes", "boxes"]);
    assert!(runs.iter().all(|run| run.figure("boxes") == Some(run.size as f64)));
}

fn membership_options(settle_s: u64) -> membership_sim::Options {
    membership_sim::Options { loss: 0.01, delay_ms: (1, 20), bytes_s: 16_384, settle_s, rest_s: 3 }
}

#[test]
fn measures_membership() {
    let measure = |seed| membership_sim::measure(&plan(&[3, 8], seed), &membership_options(60)).unwrap();
    let runs = measure(5);
    assert_positive_figures(
        &runs,
        &["joined_sim_s", "death_known_to_all_sim_s", "restart_known_to_all_sim_s"],
    );
    assert_positive_figures(
        &runs,
        &["rest_member_messages_s", "rest_member_bytes_s", "rest_member_cpu_us_s"],
    );
    let counts =
        ["joining_messages", "rest_messages", "rest_bytes", "death_bytes", "death_known_to_all_sim_s"];
    assert_same_figures(&runs, &measure(5), &counts);
    let death = |runs: &[scale_bench::Run]| runs[1].figure("death_known_to_all_sim_s");
    assert_ne!(death(&measure(6)), death(&runs));
    // A death cannot be known before a probe has failed and the suspicion has expired.
    assert!(runs.iter().all(|run| run.figure("death_known_to_all_sim_s") > Some(2.0)));
}

#[test]
fn reports_members_that_do_not_converge() {
    let runs = membership_sim::measure(&plan(&[8], 5), &membership_options(1)).unwrap();
    assert!(!runs[0].is_complete && runs[0].notes.iter().any(|note| note.contains("a death was not known")));
    assert!(runs[0].figure("death_known_to_all_sim_s").is_none() && runs[0].figure("rest_bytes").is_some());
    let short = scale_bench::Plan { run_limit: Duration::ZERO, ..plan(&[40], 5) };
    let runs = membership_sim::measure(&short, &membership_options(60)).unwrap();
    assert!(
        !runs[0].is_complete
            && runs[0].notes.iter().any(|note| note.contains("the time limit of the run passed"))
    );
}

#[test]
fn rejects_more_members_than_the_limit() {
    let error = membership_sim::measure(&plan(&[2_300], 5), &membership_options(1)).unwrap_err().to_string();
    assert!(error.starts_with("members: max_members: must be 1 to 1000"), "{error}");
}

#[test]
fn measures_consensus() {
    let options = consensus_sim::Options {
        entry_bytes: vec![100, 1_000],
        entries: 4,
        delay_ms: (1, 20),
        disk_us: (500, 3_000),
        settle_s: 30,
        idle_s: 2,
    };
    let measure = |seed| consensus_sim::measure(&plan(&[3, 5], seed), &options).unwrap();
    let runs = measure(5);
    assert_eq!(runs.len(), 4);
    assert_positive_figures(
        &runs,
        &["messages_entry", "bytes_entry", "commit_sim_p50_ms", "idle_messages_s"],
    );
    assert_positive_figures(&runs, &["idle_leader_cpu_us_s", "idle_follower_cpu_us_s", "founded_sim_ms"]);
    assert_same_figures(
        &runs,
        &measure(5),
        &["entries_messages", "entries_bytes", "idle_bytes_s", "commit_sim_max_ms"],
    );
    assert!(runs[1].figure("bytes_entry") > runs[0].figure("bytes_entry"));
    // A commit takes at least one round trip: a message to a follower and its reply.
    assert!(runs.iter().all(|run| run.figure("commit_sim_min_ms") >= Some(2.0)));
}

#[test]
fn reports_program_that_does_not_answer() {
    // This tool's own program: it ends at once with an error, since no subcommand is given.
    let program = common::tool_path();
    let options = gateway_process::Options { gateway: program.clone(), formats: vec![FileFormat::Toml] };
    let runs = gateway_process::measure(&plan(&[3], 5), &options).unwrap();
    assert!(!runs[0].is_complete && runs[0].notes[0].contains("it does not answer"), "{runs:?}");
    let options = data_path::Options {
        gateway: program,
        volumes: vec![1],
        service_time: Duration::ZERO,
        span: Duration::from_millis(10),
    };
    let runs = data_path::measure(&plan(&[3], 5), &options).unwrap();
    assert!(!runs[0].is_complete && runs[0].notes[0].contains("it does not answer"), "{runs:?}");
}
