//! Each part at tiny sizes: figures above zero, and the same counts under the same seed.
#![allow(clippy::unwrap_used)]
mod common;
use common::{above_zero, plan, same};
use scale_bench::files::Form;
use scale_bench::{file, front, list, log, members, path, targets};
use std::time::Duration;

#[test]
fn list() {
    let options = list::Options { hosts: 3, volumes: vec![0, 4], changes: 3 };
    let play = || list::run(&plan(&[40, 200], 5), &options).unwrap();
    let plays = play();
    assert_eq!(plays.len(), 4);
    let times = ["first_list_us", "whole_list_p50_us", "change_p50_us", "change_p99_us"];
    above_zero(&plays, &times);
    above_zero(&plays, &["resident_bytes", "peak_bytes", "reads_sent", "credit_ends"]);
    above_zero(
        &plays,
        &["read_arrival_p50_us", "read_end_p50_us", "new_object_arrival_p50_us", "credit_end_p50_us"],
    );
    same(
        &plays,
        &play(),
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
    for play in &plays {
        assert_eq!(play.figure("known_nodes"), Some(play.size as f64));
        assert_eq!(play.figure("changes"), Some(6.0));
    }
}

#[test]
fn file() {
    let options = file::Options { forms: vec![Form::Toml, Form::Json] };
    let play = || file::run(&plan(&[3, 30], 5), &options).unwrap();
    let plays = play();
    assert_eq!(plays.len(), 4);
    above_zero(&plays, &["file_bytes", "first_read_us", "reload_read_p50_us", "reload_apply_p50_us"]);
    above_zero(&plays, &["reload_p50_us", "resident_bytes"]);
    same(&plays, &play(), &["file_bytes", "known_nodes"]);
    assert!(plays.iter().all(|play| play.figure("known_nodes") == Some(play.size as f64)));
    assert!(plays[2].figure("file_bytes") > plays[0].figure("file_bytes"));
}

#[test]
fn targets() {
    let play = || targets::run(&plan(&[3, 30], 5)).unwrap();
    let plays = play();
    above_zero(&plays, &["whole_bytes", "whole_p50_us", "change_mean_bytes", "change_p50_us"]);
    same(&plays, &play(), &["whole_bytes", "change_mean_bytes", "boxes"]);
    assert!(plays.iter().all(|play| play.figure("boxes") == Some(play.size as f64)));
}

fn network(settle_s: u64) -> members::Options {
    members::Options { loss: 0.01, delay_ms: (1, 20), bytes_s: 16_384, settle_s, rest_s: 3 }
}

#[test]
fn members() {
    let play = |seed| members::run(&plan(&[3, 8], seed), &network(60)).unwrap();
    let plays = play(5);
    above_zero(&plays, &["joined_sim_s", "death_known_to_all_sim_s", "restart_known_to_all_sim_s"]);
    above_zero(&plays, &["rest_member_messages_s", "rest_member_bytes_s", "rest_member_cpu_us_s"]);
    let counts =
        ["joining_messages", "rest_messages", "rest_bytes", "death_bytes", "death_known_to_all_sim_s"];
    same(&plays, &play(5), &counts);
    let death = |plays: &[scale_bench::Play]| plays[1].figure("death_known_to_all_sim_s");
    assert_ne!(death(&play(6)), death(&plays));
    // A death is not known before it can be: a probe and a suspicion lie before it.
    assert!(plays.iter().all(|play| play.figure("death_known_to_all_sim_s") > Some(2.0)));
}

#[test]
fn members_that_do_not_settle_are_told_of() {
    let plays = members::run(&plan(&[8], 5), &network(1)).unwrap();
    assert!(!plays[0].whole && plays[0].notes.iter().any(|note| note.contains("a death was not known")));
    assert!(plays[0].figure("death_known_to_all_sim_s").is_none() && plays[0].figure("rest_bytes").is_some());
    let short = scale_bench::Plan { limit: Duration::ZERO, ..plan(&[40], 5) };
    let plays = members::run(&short, &network(60)).unwrap();
    assert!(!plays[0].whole && plays[0].notes.iter().any(|note| note.contains("the time of a play passed")));
}

#[test]
fn members_beyond_the_programs_bound_are_an_error() {
    let error = members::run(&plan(&[2_300], 5), &network(1)).unwrap_err().to_string();
    assert!(error.starts_with("members: max_members: must be 1 to 1000"), "{error}");
}

#[test]
fn log() {
    let options = log::Options {
        entry_bytes: vec![100, 1_000],
        entries: 4,
        delay_ms: (1, 20),
        disk_us: (500, 3_000),
        settle_s: 30,
        idle_s: 2,
    };
    let play = |seed| log::run(&plan(&[3, 5], seed), &options).unwrap();
    let plays = play(5);
    assert_eq!(plays.len(), 4);
    above_zero(&plays, &["messages_entry", "bytes_entry", "commit_sim_p50_ms", "idle_messages_s"]);
    above_zero(&plays, &["idle_leader_cpu_us_s", "idle_follower_cpu_us_s", "founded_sim_ms"]);
    same(&plays, &play(5), &["entries_messages", "entries_bytes", "idle_bytes_s", "commit_sim_max_ms"]);
    assert!(plays[1].figure("bytes_entry") > plays[0].figure("bytes_entry"));
    // An entry is not committed before a message has gone out and an answer has come back.
    assert!(plays.iter().all(|play| play.figure("commit_sim_min_ms") >= Some(2.0)));
}

#[test]
fn a_program_that_does_not_serve_is_told_of() {
    // This tool's own program: it ends at once with an error, for it was told of no measurement.
    let program = common::program();
    let options = front::Options { front: program.clone(), forms: vec![Form::Toml] };
    let plays = front::run(&plan(&[3], 5), &options).unwrap();
    assert!(!plays[0].whole && plays[0].notes[0].contains("it does not answer"), "{plays:?}");
    let options = path::Options {
        front: program,
        volumes: vec![1],
        takes: Duration::ZERO,
        span: Duration::from_millis(10),
    };
    let plays = path::run(&plan(&[3], 5), &options).unwrap();
    assert!(!plays[0].whole && plays[0].notes[0].contains("it does not answer"), "{plays:?}");
}
