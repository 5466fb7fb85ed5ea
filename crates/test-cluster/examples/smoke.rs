//! Five fronts, eight boxes in two halls, discovery, clients, and ten seconds of faults. `LICHENRUDDER` names the program;
//! seeds are the arguments, or `RIG_SEED`; `RIG_MORE` adds kinds of faults, `RIG_ISCSI` lets clients and boxes speak iSCSI,
//! `RIG_STORY` and `RIG_LINES` show what happens.
#![allow(clippy::too_many_lines, reason = "not revised yet: docs/ROADMAP.md")]
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use test_cluster::boxes::Speaks;
use test_cluster::clients::{Clients, Load, Volume};
use test_cluster::rig::Rig;
use test_cluster::schedule::{dropped, seeds, Schedule, MORE, USUAL};
use test_cluster::setup::Setup;
use test_cluster::verdict::{self, Limit, Verdict};

const SPAN: Duration = Duration::from_secs(10);
const SETTLE: Duration = Duration::from_secs(2);

fn volumes() -> Vec<Volume> {
    let volume = |n: usize| Volume {
        name: format!("00000003b4d600{n:02x}"),
        plan: if n % 4 == 3 { "basis" } else { "premium" }.into(),
        shard: n as i64 % 4,
        lun: n as u8,
    };
    (0..8).map(volume).collect()
}

/// The section that shows each volume as a LUN.
fn luns() -> String {
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

fn run(program: PathBuf, seed: u64) -> std::io::Result<Vec<Verdict>> {
    let blocks = std::env::var_os("RIG_ISCSI").is_some();
    let mut setup = Setup::usual(&program, seed);
    if blocks {
        setup = setup.with(&luns());
        setup.speaks = (0..setup.boxes).map(|n| (n, Speaks::Iscsi)).collect();
        setup.units = volumes().into_iter().map(|v| (v.lun, v.name, 64)).collect();
    }
    let mut rig = Rig::new(setup)?;
    rig.start(Duration::from_secs(15))?;
    let mut fronts = rig.addresses();
    if blocks {
        fronts.iter_mut().enumerate().for_each(|(n, front)| front.1 = rig.iscsi(n));
    }
    let load = Load {
        fronts,
        volumes: volumes(),
        pieces: 6,
        writes: 0.4,
        read: ("stock-read".into(), Duration::from_millis(1200)),
        write: ("booking-write".into(), Duration::from_millis(3000)),
        units: 4,
        depth: 3,
        rest: Duration::from_millis(60),
        target: blocks.then(|| "iqn.2026-12.lichenrudder:rig".into()),
    };
    let kinds: Vec<_> = match std::env::var_os("RIG_MORE") {
        Some(_) => USUAL.into_iter().chain(MORE).collect(),
        None => USUAL.into(),
    };
    let schedule = Schedule::draw(seed, SPAN, &rig.parties(), &kinds, kinds.len()).without(&dropped());
    println!("{schedule}");
    let clients = Clients::start(&load, 10, seed, &rig.clock)?;
    rig.play(&schedule)?;
    let healed = rig.clock.now();
    std::thread::sleep(SETTLE);
    let history = clients.finish();
    let evidence = rig.evidence(&history);
    println!("requests {:?}, to boxes {}", history.counts(), evidence.entries.len());
    for plan in ["basis", "premium"] {
        let own = |r: &&test_cluster::clients::Request| {
            load.volumes.iter().any(|v| v.name == r.key.0 && v.plan == plan)
        };
        let part = test_cluster::clients::History {
            requests: history.requests.iter().filter(own).cloned().collect(),
        };
        println!("  {plan} {:?}", part.counts());
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
    let mut again = Verdict::new("every front serves again at the end");
    for (front, _) in &load.fronts {
        let count = Rig::served_since(&history, healed).filter(|r| r.front == *front).count();
        again.look((count == 0).then(|| format!("{front} has served nothing since the faults ended")));
    }
    let basis = |volume: &str| {
        let plan = load.volumes.iter().find(|v| v.name == volume).map(|v| v.plan.as_str());
        (plan == Some("basis")).then_some(Limit { rate: 20.0, depth: 36.0, slack: 3.0 + 6.0 })
    };
    let bans: Vec<_> = rig.fronts.iter().map(|f| verdict::bans(&f.lines())).collect();
    let place = |r: &test_cluster::clients::Request| {
        let shard = load.volumes.iter().find(|v| v.name == r.key.0)?.shard;
        Some((rig.shelf_of(shard)?, r.key.clone()))
    };
    let mut verdicts = vec![
        verdict::one_answer(&evidence),
        verdict::closed(&evidence),
        verdict::booked_once(&evidence),
        verdict::refused_never_ran(&evidence),
        verdict::served(&evidence),
        verdict::found(&evidence, &place),
        verdict::never_stale(&evidence),
        verdict::drained(&evidence, Duration::from_millis(250 + 50), Duration::from_secs(6)),
        verdict::limits(&evidence, basis),
        again,
    ];
    verdicts.extend(bans.iter().map(|events| verdict::most_out(events, 0)));
    let crashes = rig.crashes();
    verdicts.push(verdict::crashes(load.fronts.len(), &crashes));
    Ok(verdicts)
}

fn main() -> ExitCode {
    let Some(program) = std::env::var_os("LICHENRUDDER") else {
        eprintln!("LICHENRUDDER must name the program");
        return ExitCode::FAILURE;
    };
    let named: Vec<u64> = std::env::args().skip(1).filter_map(|a| a.parse().ok()).collect();
    let named = if named.is_empty() { seeds(&[1, 2, 3]) } else { named };
    let mut good = true;
    for seed in named {
        match run(PathBuf::from(&program), seed) {
            Ok(verdicts) => {
                verdicts.iter().filter(|v| v.checked > 0 || !v.holds()).for_each(|v| println!("{v}"));
                good &= verdicts.iter().all(Verdict::holds);
            }
            Err(e) => {
                println!("seed {seed}: {e}");
                good = false;
            }
        }
    }
    if good {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
