//! The data path: the gateway as a process, between clients in a closed loop and stub backends.
mod backends;
mod clients;

use crate::gateway_process::GatewayProcess;
use crate::generated_config::{self, FileFormat};
use crate::quantiles::Quantiles;
use crate::{Error, Plan, Run};
use backends::StubBackend;
use clients::ClientPool;
use serde_json::json;
use std::path::PathBuf;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Stub backends, each with a shard of its own.
const BACKENDS: u64 = 8;
/// Time for which clients send requests before the measurement.
const WARM_UP_TIME: Duration = Duration::from_secs(1);

/// The program to run, and the parameters varied besides the number of connections.
#[derive(Clone, Debug)]
pub struct Options {
    /// The gateway program.
    pub gateway: PathBuf,
    /// Numbers of volumes that clients read.
    pub volumes: Vec<u64>,
    /// Time that a backend takes for each read.
    pub service_time: Duration,
    /// Time for which clients are measured.
    pub span: Duration,
}

/// Measures each number of connections with each number of volumes.
pub fn measure(plan: &Plan, options: &Options) -> Result<Vec<Run>, Error> {
    let mut runs = Vec::new();
    for run_key in plan.runs() {
        for volumes in &options.volumes {
            let mut run = Run::new(format!("{volumes} volumes"), run_key);
            if let Err(e) = measure_phases(plan, options, *volumes, &mut run) {
                run.mark_incomplete(e.to_string());
            }
            runs.push(run.log_finished());
        }
    }
    Ok(runs)
}

fn measure_phases(plan: &Plan, options: &Options, volumes: u64, run: &mut Run) -> Result<(), Error> {
    let backends: Vec<StubBackend> =
        (0..BACKENDS).map(|_| StubBackend::start(options.service_time)).collect::<Result<_, _>>()?;
    let instance = |(cell, stub): (usize, &StubBackend)| {
        let (name, address) = (format!("box-{cell}"), stub.address.to_string());
        json!({ "instanceId": name, "hostPort": address, "zone": "zone-00", "cell": cell, "lifecycle": "active" })
    };
    let text = |listen| {
        generated_config::config_with_instances(
            FileFormat::Toml,
            listen,
            backends.iter().enumerate().map(instance).collect(),
        )
    };
    let gateway = GatewayProcess::start(&options.gateway, FileFormat::Toml, text, plan.deadline())?;
    let clients = ClientPool::start(gateway.listen, (run.size, run.seed), volumes, BACKENDS)?;
    sleep(WARM_UP_TIME.min(plan.run_limit));
    let opened_connections = || backends.iter().map(StubBackend::opened_connections).sum::<u64>() as f64;
    let opened_before = opened_connections();
    let (cpu, ticks, served_reads) =
        (gateway.cpu_us()?, gateway.ticks_us()?, backends.iter().map(StubBackend::served_reads).sum::<u64>());
    clients.start_measuring();
    let started_at = Instant::now();
    sleep(options.span.min(plan.run_limit));
    let cpu = gateway.cpu_us()? - cpu;
    let (ticks, span) = (gateway.ticks_us()? - ticks, started_at.elapsed().as_secs_f64());
    let served_reads = backends.iter().map(StubBackend::served_reads).sum::<u64>() - served_reads;
    let results = clients.stop();
    let mut latencies = Quantiles::new()?;
    results.iter().flat_map(|client| &client.latencies_us).for_each(|us| latencies.record(f64::from(*us)));
    // Counts only reads that backends answered while the processor time was measured, none that ended later.
    let reads = served_reads.max(1) as f64;
    run.record("reads", served_reads as f64);
    run.record("reads_s", reads / span);
    run.record("front_cpu_read_us", cpu / reads);
    run.record("front_ticks_read_us", ticks / reads);
    run.record("front_cores", cpu / 1e6 / span);
    run.record("box_connections_opened", opened_connections() - opened_before);
    run.record("errors", results.iter().map(|client| client.errors).sum::<u64>() as f64);
    run.record("front_peak_bytes", gateway.resident_bytes()?.1);
    latencies.record_in("client", "us", run);
    let end_reasons: Vec<&String> = results.iter().filter_map(|client| client.end_reason.as_ref()).collect();
    run.record("connections_ended", end_reasons.len() as f64);
    if let Some(line) = results.iter().find_map(|client| client.first_error.as_ref()) {
        run.notes.push(format!("some reads failed, first: {line}"));
    }
    if let Some(reason) = end_reasons.first() {
        run.mark_incomplete(format!(
            "{} of {} connections ended early, first: {reason}",
            end_reasons.len(),
            run.size
        ));
    }
    if served_reads == 0 {
        run.mark_incomplete("no read was served");
    }
    Ok(())
}
