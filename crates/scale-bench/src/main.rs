//! The tool's command line; what it measures is in the library.
#![allow(
    clippy::map_err_ignore,
    clippy::too_many_lines,
    reason = "long functions and error types still to be revised: docs/ROADMAP.md"
)]
mod cli;

use clap::Parser;
use cli::{Cli, Common, Measurement, MemoryTarget, Network};
use rustix::process::{setrlimit, Resource, Rlimit};
use scale_bench::memory::MemoryUsage;
use scale_bench::{
    backend_list, config_file, consensus_sim, data_path, discovery, gateway_process, membership_sim, memory,
    Error, Plan, Report, Run,
};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// The most memory that this process, and each that it starts, may map: 11 GiB.
const MEMORY_LIMIT_BYTES: u64 = 11 << 30;

fn main() -> ExitCode {
    let cli = Cli::parse();
    tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false).init();
    match run(cli.measurement) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            tracing::error!("{e}");
            ExitCode::FAILURE
        }
    }
}

/// Limits the memory of this process and its children, so that a runaway component cannot exhaust the machine.
fn limit_memory() -> Result<(), Error> {
    let limit = Rlimit { current: Some(MEMORY_LIMIT_BYTES), maximum: Some(MEMORY_LIMIT_BYTES) };
    setrlimit(Resource::As, limit).map_err(|e| Error::component("memory limit", e))
}

fn build_plan(sizes: &[u64], common: &Common) -> Result<Plan, Error> {
    let mut sizes = sizes.to_vec();
    sizes.sort_unstable();
    sizes.dedup();
    let program = std::env::current_exe().map_err(Error::io("this program"))?;
    let run_limit = Duration::from_secs(common.run_limit_s);
    Ok(Plan { sizes, runs: common.runs, seed: common.seed, run_limit, program: Some(program) })
}

/// Parses the two ends of a range.
fn parse_range(option: &'static str, ends: &[u64], limit: u64) -> Result<(u64, u64), Error> {
    match ends {
        [min, max] if min <= max && *max <= limit => Ok((*min, *max)),
        _ => {
            Err(Error::Option { option, reason: format!("must be two ascending numbers of at most {limit}") })
        }
    }
}

fn parse_delay(network: &Network) -> Result<(u64, u64), Error> {
    parse_range("--delay-ms", &network.delay_ms, 10_000)
}

/// Returns the given gateway program, or by default the one in the directory of this tool.
fn gateway_program(gateway: Option<PathBuf>) -> Result<PathBuf, Error> {
    let default_path = || std::env::current_exe().map(|own| own.with_file_name("gateway"));
    let gateway = gateway.map_or_else(default_path, Ok).map_err(Error::io("this program"))?;
    if gateway.is_file() {
        Ok(gateway)
    } else {
        Err(Error::Option { option: "--front", reason: format!("{} is not a file", gateway.display()) })
    }
}

fn run(measurement: Measurement) -> Result<(), Error> {
    limit_memory()?;
    match measurement {
        Measurement::Scheduler { sizes, volumes, gateways, changes, common } => {
            let runs = backend_list::measure(
                &build_plan(&sizes, &common)?,
                &backend_list::Options { gateways, volumes, changes },
            )?;
            let figures = [
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
            write_report("list", runs, &figures, &common)
        }
        Measurement::ConfigFile { sizes, formats, common } => {
            let runs =
                config_file::measure(&build_plan(&sizes, &common)?, &config_file::Options { formats })?;
            let figures = [
                "file_bytes",
                "reload_p50_us",
                "reload_read_p50_us",
                "reload_apply_p50_us",
                "resident_bytes",
                "peak_bytes",
            ];
            write_report("file", runs, &figures, &common)
        }
        Measurement::Discovery { sizes, common } => {
            let runs = discovery::measure(&build_plan(&sizes, &common)?)?;
            let figures = ["whole_bytes", "whole_p50_us", "change_mean_bytes", "change_p50_us"];
            write_report("targets", runs, &figures, &common)
        }
        Measurement::Membership { sizes, loss, bytes_s, rest_s, network, common } => {
            let (delay_ms, settle_s) = (parse_delay(&network)?, network.settle_s);
            let options = membership_sim::Options { loss, delay_ms, bytes_s, settle_s, rest_s };
            let runs = membership_sim::measure(&build_plan(&sizes, &common)?, &options)?;
            let figures = [
                "rest_member_messages_s",
                "rest_member_bytes_s",
                "rest_member_cpu_us_s",
                "joined_sim_s",
                "death_known_to_all_sim_s",
                "restart_known_to_all_sim_s",
            ];
            write_report("members", runs, &figures, &common)
        }
        Measurement::Consensus { sizes, entry_bytes, entries, disk_us, idle_s, network, common } => {
            let (delay_ms, disk_us) =
                (parse_delay(&network)?, parse_range("--disk-us", &disk_us, 10_000_000)?);
            let entry_bytes = entry_bytes.iter().map(|n| *n as usize).collect();
            let settle_s = network.settle_s;
            let options =
                consensus_sim::Options { entry_bytes, entries, delay_ms, disk_us, settle_s, idle_s };
            let runs = consensus_sim::measure(&build_plan(&sizes, &common)?, &options)?;
            let figures = [
                "messages_entry",
                "bytes_entry",
                "leader_cpu_us_entry",
                "follower_cpu_us_entry",
                "commit_sim_p50_ms",
                "commit_sim_p99_ms",
                "idle_messages_s",
                "idle_leader_cpu_us_s",
            ];
            write_report("log", runs, &figures, &common)
        }
        Measurement::Gateway { sizes, gateway, formats, common } => {
            let options = gateway_process::Options { gateway: gateway_program(gateway)?, formats };
            let runs = gateway_process::measure(&build_plan(&sizes, &common)?, &options)?;
            let figures = [
                "start_ms",
                "start_cpu_us",
                "start_resident_bytes",
                "reloaded_resident_bytes",
                "reload_cpu_p50_us",
                "reload_told_p50_ms",
            ];
            write_report("front", runs, &figures, &common)
        }
        Measurement::DataPath { sizes, gateway, volumes, backend_time_us, span_s, common } => {
            let (service_time, span) = (Duration::from_micros(backend_time_us), Duration::from_secs(span_s));
            let options =
                data_path::Options { gateway: gateway_program(gateway)?, volumes, service_time, span };
            let runs = data_path::measure(&build_plan(&sizes, &common)?, &options)?;
            let figures =
                ["front_cpu_read_us", "reads_s", "client_p50_us", "client_p99_us", "errors", "front_cores"];
            write_report("path", runs, &figures, &common)
        }
        Measurement::Memory(target) => measure_memory(&target),
    }
}

fn measure_memory(target: &MemoryTarget) -> Result<(), Error> {
    let usage: MemoryUsage = match target {
        MemoryTarget::Scheduler { size, gateways, volumes } => {
            memory::measure_backend_list(*gateways, *size, *volumes, 0)?
        }
        MemoryTarget::ConfigFile { size, format, reloads } => {
            config_file::measure_memory(*format, *size, *reloads)?
        }
    };
    serde_json::to_writer(std::io::stdout(), &usage).map_err(|e| Error::component("memory", e))
}

fn write_report(name: &str, runs: Vec<Run>, figures: &[&str], common: &Common) -> Result<(), Error> {
    let report = Report::new(name, &common.revision, common.seed, runs, &common.predicted_sizes);
    match &common.json {
        Some(path) => report.write(path)?,
        None => serde_json::to_writer_pretty(std::io::stdout(), &report)
            .map_err(|e| Error::component("report", e))?,
    }
    common.chart.iter().try_for_each(|path| scale_bench::chart::draw(&report, figures, path))
}
