//! Runs five gateways, eight backends in two zones, discovery and clients through ten seconds of faults.
//! `LICHENRUDDER` names the program. Seeds are the arguments, or `RIG_SEED`. `RIG_MORE` adds kinds of faults,
//! `RIG_ISCSI` makes clients and backends use iSCSI, and `RIG_STORY` and `RIG_LINES` print what happens.
#![allow(clippy::too_many_lines, reason = "still to be split: docs/ROADMAP.md")]
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use test_cluster::backends::Protocol;
use test_cluster::checks::{self, CheckResult, VolumeLimit};
use test_cluster::clients::{Clients, Load, Volume};
use test_cluster::cluster::TestCluster;
use test_cluster::cluster_config::ClusterConfig;
use test_cluster::schedule::{excluded_faults, seeds, Schedule, ADDITIONAL_FAULTS, COMMON_FAULTS};

const SPAN: Duration = Duration::from_secs(10);
const SETTLE_TIME: Duration = Duration::from_secs(2);

fn volumes() -> Vec<Volume> {
    let volume = |n: usize| Volume {
        name: format!("00000003b4d600{n:02x}"),
        plan: if n % 4 == 3 { "basis" } else { "premium" }.into(),
        shard: n as i64 % 4,
        lun: n as u8,
    };
    (0..8).map(volume).collect()
}

/// The configuration sections that export each volume as a LUN.
fn lun_sections() -> String {
    let head = "[iscsi]\nlisten = \"@ISCSI@\"\ntarget = \"iqn.2026-12.lichenrudder:rig\"\nrecord_s = 30\n";
    let lun = |v: &Volume| {
        format!(
            "[[iscsi.lun]]\nlun = {}\nvolume = {:?}\nplan = {:?}\nshard = {}\nread_class = \"stock-read\"\n\
             write_class = \"booking-write\"\nblocks = 64\n",
            v.lun, v.name, v.plan, v.shard
        )
    };
    head.to_string() + &volumes().iter().map(lun).collect::<String>()
}

fn run_seed(program: PathBuf, seed: u64) -> std::io::Result<Vec<CheckResult>> {
    let uses_iscsi = std::env::var_os("RIG_ISCSI").is_some();
    let mut config = ClusterConfig::standard(&program, seed);
    if uses_iscsi {
        config = config.with_sections(&lun_sections());
        config.protocols = (0..config.backends).map(|n| (n, Protocol::Iscsi)).collect();
        config.luns = volumes().into_iter().map(|v| (v.lun, v.name, 64)).collect();
    }
    let mut cluster = TestCluster::new(config)?;
    cluster.start(Duration::from_secs(15))?;
    let mut gateways = cluster.client_addresses();
    if uses_iscsi {
        gateways.iter_mut().enumerate().for_each(|(n, gateway)| gateway.1 = cluster.iscsi_address(n));
    }
    let load = Load {
        gateways,
        volumes: volumes(),
        pieces: 6,
        write_share: 0.4,
        read_class: ("stock-read".into(), Duration::from_millis(1200)),
        write_class: ("booking-write".into(), Duration::from_millis(3000)),
        max_units: 4,
        max_pipelined: 3,
        max_pause: Duration::from_millis(60),
        target: uses_iscsi.then(|| "iqn.2026-12.lichenrudder:rig".into()),
    };
    let kinds: Vec<_> = match std::env::var_os("RIG_MORE") {
        Some(_) => COMMON_FAULTS.into_iter().chain(ADDITIONAL_FAULTS).collect(),
        None => COMMON_FAULTS.into(),
    };
    let schedule =
        Schedule::draw(seed, SPAN, &cluster.fault_targets(), &kinds, kinds.len()).without(&excluded_faults());
    println!("{schedule}");
    let clients = Clients::start(&load, 10, seed, &cluster.clock)?;
    cluster.run_schedule(&schedule)?;
    let healed = cluster.clock.now();
    std::thread::sleep(SETTLE_TIME);
    let history = clients.finish();
    let run_record = cluster.run_record(&history);
    println!("requests {:?}, commands to backends {}", history.counts(), run_record.commands.len());
    for plan in ["basis", "premium"] {
        let has_plan = |r: &&test_cluster::clients::Request| {
            load.volumes.iter().any(|v| v.name == r.key.0 && v.plan == plan)
        };
        let plan_history = test_cluster::clients::History {
            requests: history.requests.iter().filter(has_plan).cloned().collect(),
        };
        println!("  {plan} {:?}", plan_history.counts());
    }
    if let Some(latency) = history.latency() {
        let at = |q: f64| latency.value_at_quantile(q) as f64 / 1000.0;
        println!(
            "served in ms: p50 {:.1} p99 {:.1} max {:.1}",
            at(0.5),
            at(0.99),
            latency.max() as f64 / 1000.0
        );
    }
    let mut gateways_serve_again = CheckResult::new("every gateway serves again at the end");
    for (gateway, _) in &load.gateways {
        let count = TestCluster::served_since(&history, healed).filter(|r| r.gateway == *gateway).count();
        gateways_serve_again
            .record((count == 0).then(|| format!("{gateway} has served nothing since the faults ended")));
    }
    let basis_limit = |volume: &str| {
        let plan = load.volumes.iter().find(|v| v.name == volume).map(|v| v.plan.as_str());
        (plan == Some("basis")).then_some(VolumeLimit { rate: 20.0, depth: 36.0, slack: 3.0 + 6.0 })
    };
    let suspensions: Vec<_> = cluster.gateways.iter().map(|f| checks::suspensions(&f.lines())).collect();
    let locate = |r: &test_cluster::clients::Request| {
        let shard = load.volumes.iter().find(|v| v.name == r.key.0)?.shard;
        Some((cluster.shard_store(shard)?, r.key.clone()))
    };
    let mut results = vec![
        checks::one_final_answer(&run_record),
        checks::connections_stay_open(&run_record),
        checks::writes_run_once(&run_record),
        checks::refused_writes_never_run(&run_record),
        checks::served_by_backend(&run_record),
        checks::served_writes_are_stored(&run_record, &locate),
        checks::reads_are_not_stale(&run_record),
        checks::drained_backends_get_nothing_new(
            &run_record,
            Duration::from_millis(250 + 50),
            Duration::from_secs(6),
        ),
        checks::volume_limits_hold(&run_record, basis_limit),
        gateways_serve_again,
    ];
    results.extend(suspensions.iter().map(|events| checks::suspended_at_most(events, 0)));
    let crashes = cluster.crashes();
    results.push(checks::no_crashes(load.gateways.len(), &crashes));
    Ok(results)
}

fn main() -> ExitCode {
    let Some(program) = std::env::var_os("LICHENRUDDER") else {
        eprintln!("LICHENRUDDER must name the program");
        return ExitCode::FAILURE;
    };
    let chosen_seeds: Vec<u64> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    let chosen_seeds = if chosen_seeds.is_empty() { seeds(&[1, 2, 3]) } else { chosen_seeds };
    let mut all_hold = true;
    for seed in chosen_seeds {
        match run_seed(PathBuf::from(&program), seed) {
            Ok(results) => {
                results.iter().filter(|v| v.checked > 0 || !v.holds()).for_each(|v| println!("{v}"));
                all_hold &= results.iter().all(CheckResult::holds);
            }
            Err(e) => {
                println!("seed {seed}: {e}");
                all_hold = false;
            }
        }
    }
    if all_hold {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
