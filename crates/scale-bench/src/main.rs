//! The tool's command line; what it measures is in the library.
#![allow(clippy::map_err_ignore, clippy::too_many_lines, reason = "not revised yet: docs/ROADMAP.md")]
mod cli;

use clap::Parser;
use cli::{Cli, Common, Network, Weigh, What};
use rustix::process::{setrlimit, Resource, Rlimit};
use scale_bench::memory::Weight;
use scale_bench::{file, front, list, log, members, memory, path, targets, Error, Plan, Play, Report};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// The most memory that this process, and each that it starts, may take: 11 GiB.
const MEMORY: u64 = 11 << 30;

fn main() -> ExitCode {
    let cli = Cli::parse();
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).init();
    match run(cli.what) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            tracing::error!("{e}");
            ExitCode::FAILURE
        }
    }
}

/// Guards the machine against a part that grows without end.
fn bound_memory() -> Result<(), Error> {
    let bound = Rlimit { current: Some(MEMORY), maximum: Some(MEMORY) };
    setrlimit(Resource::As, bound).map_err(|e| Error::part("memory bound", e))
}

fn plan(sizes: &[u64], common: &Common) -> Result<Plan, Error> {
    let mut sizes = sizes.to_vec();
    sizes.sort_unstable();
    sizes.dedup();
    let program = std::env::current_exe().map_err(Error::io("this program"))?;
    let limit = Duration::from_secs(common.play_s);
    Ok(Plan { sizes, plays: common.plays, seed: common.seed, limit, program: Some(program) })
}

/// The two ends of a range.
fn range(option: &'static str, ends: &[u64], most: u64) -> Result<(u64, u64), Error> {
    match ends {
        [least, greatest] if least <= greatest && *greatest <= most => Ok((*least, *greatest)),
        _ => Err(Error::Option {
            option,
            reason: format!("must be two numbers, the lesser first, up to {most}"),
        }),
    }
}

fn delay(network: &Network) -> Result<(u64, u64), Error> {
    range("--delay-ms", &network.delay_ms, 10_000)
}

/// The program that is named, or the one beside this tool.
fn program(front: Option<PathBuf>) -> Result<PathBuf, Error> {
    let beside = || std::env::current_exe().map(|own| own.with_file_name("gateway"));
    let front = front.map_or_else(beside, Ok).map_err(Error::io("this program"))?;
    if front.is_file() {
        Ok(front)
    } else {
        Err(Error::Option { option: "--front", reason: format!("{} is no file", front.display()) })
    }
}

fn run(what: What) -> Result<(), Error> {
    bound_memory()?;
    match what {
        What::List { sizes, volumes, hosts, changes, common } => {
            let plays = list::run(&plan(&sizes, &common)?, &list::Options { hosts, volumes, changes })?;
            let shown = [
                "first_list_us",
                "whole_list_p50_us",
                "change_p50_us",
                "change_p99_us",
                "read_arrival_p50_us",
                "read_end_p50_us",
                "new_object_arrival_p50_us",
                "credit_end_p50_us",
                "resident_added_bytes",
                "resident_node_bytes",
            ];
            finish("list", plays, &shown, &common)
        }
        What::File { sizes, forms, common } => {
            let plays = file::run(&plan(&sizes, &common)?, &file::Options { forms })?;
            let shown = [
                "file_bytes",
                "reload_p50_us",
                "reload_read_p50_us",
                "reload_apply_p50_us",
                "resident_bytes",
                "peak_bytes",
            ];
            finish("file", plays, &shown, &common)
        }
        What::Targets { sizes, common } => {
            let plays = targets::run(&plan(&sizes, &common)?)?;
            let shown = ["whole_bytes", "whole_p50_us", "change_mean_bytes", "change_p50_us"];
            finish("targets", plays, &shown, &common)
        }
        What::Members { sizes, loss, bytes_s, rest_s, network, common } => {
            let (delay_ms, settle_s) = (delay(&network)?, network.settle_s);
            let options = members::Options { loss, delay_ms, bytes_s, settle_s, rest_s };
            let plays = members::run(&plan(&sizes, &common)?, &options)?;
            let shown = [
                "rest_member_messages_s",
                "rest_member_bytes_s",
                "rest_member_cpu_us_s",
                "joined_sim_s",
                "death_known_to_all_sim_s",
                "restart_known_to_all_sim_s",
            ];
            finish("members", plays, &shown, &common)
        }
        What::Log { sizes, entry_bytes, entries, disk_us, idle_s, network, common } => {
            let (delay_ms, disk_us) = (delay(&network)?, range("--disk-us", &disk_us, 10_000_000)?);
            let entry_bytes = entry_bytes.iter().map(|n| *n as usize).collect();
            let settle_s = network.settle_s;
            let options = log::Options { entry_bytes, entries, delay_ms, disk_us, settle_s, idle_s };
            let plays = log::run(&plan(&sizes, &common)?, &options)?;
            let shown = [
                "messages_entry",
                "bytes_entry",
                "leader_cpu_us_entry",
                "follower_cpu_us_entry",
                "commit_sim_p50_ms",
                "commit_sim_p99_ms",
                "idle_messages_s",
                "idle_leader_cpu_us_s",
            ];
            finish("log", plays, &shown, &common)
        }
        What::Front { sizes, front, forms, common } => {
            let options = front::Options { front: program(front)?, forms };
            let plays = front::run(&plan(&sizes, &common)?, &options)?;
            let shown = [
                "start_ms",
                "start_cpu_us",
                "start_resident_bytes",
                "reloaded_resident_bytes",
                "reload_cpu_p50_us",
                "reload_told_p50_ms",
            ];
            finish("front", plays, &shown, &common)
        }
        What::Path { sizes, front, volumes, box_us, span_s, common } => {
            let (takes, span) = (Duration::from_micros(box_us), Duration::from_secs(span_s));
            let options = path::Options { front: program(front)?, volumes, takes, span };
            let plays = path::run(&plan(&sizes, &common)?, &options)?;
            let shown =
                ["front_cpu_read_us", "reads_s", "client_p50_us", "client_p99_us", "errors", "front_cores"];
            finish("path", plays, &shown, &common)
        }
        What::Weigh(what) => weigh(&what),
    }
}

fn weigh(what: &Weigh) -> Result<(), Error> {
    let weight: Weight = match what {
        Weigh::List { size, hosts, volumes } => memory::of_list(*hosts, *size, *volumes, 0)?,
        Weigh::File { size, form, reloads } => file::weigh(*form, *size, *reloads)?,
    };
    serde_json::to_writer(std::io::stdout(), &weight).map_err(|e| Error::part("weigh", e))
}

fn finish(name: &str, plays: Vec<Play>, shown: &[&str], common: &Common) -> Result<(), Error> {
    let report = Report::new(name, &common.revision, common.seed, plays, &common.at);
    match &common.json {
        Some(path) => report.write(path)?,
        None => {
            serde_json::to_writer_pretty(std::io::stdout(), &report).map_err(|e| Error::part("report", e))?
        }
    }
    common.chart.iter().try_for_each(|path| scale_bench::chart::draw(&report, shown, path))
}
