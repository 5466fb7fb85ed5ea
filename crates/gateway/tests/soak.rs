//! Restarts without an end, over real processes: clients use open connections up to the kill, which comes at its earliest for
//! the settings at hand; signals come in series and twice; on some rounds a crowd stands about. Seeded: `SOAK_SEED=N` plays one
//! seed again, `SOAK_SEEDS=50` plays that many (the long form, run manually).
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use std::net::TcpStream;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};
use test_cluster::backends::Behavior;
use test_cluster::checks::{
    one_final_answer, refused_writes_never_run, served_by_backend, writes_run_once, CheckResult,
};
use test_cluster::clients::{Clients, History, Load, RequestEnd, Volume};
use test_cluster::cluster::TestCluster;
use test_cluster::cluster_config::{ClusterConfig, BASE_CONFIG};

/// Seeds that are played where none is named, and rounds of each.
const SEEDS: u64 = 2;
const ROUNDS: usize = 9;
/// Longest deadlines that files name (ms). A longer one counts as 3 s.
const DEADLINES: [u64; 6] = [300, 600, 1000, 2000, 3000, 5000];
const COUNTED: u64 = 3000;
/// The kill comes so long after the longest deadline, and what comes in its last part may find a closed connection.
const GRACE: Duration = Duration::from_millis(700);
const LAST: Duration = Duration::from_millis(250);
/// A process that is killed is back after so long, at the most.
const BACK: Duration = Duration::from_secs(10);
const CROWD: usize = 60;
/// The share of requests that servers never answer.
const SILENT: f64 = 0.04;

/// A time in which connections of a gateway may end without an answer.
struct Gap {
    front: String,
    from: Duration,
    until: Duration,
}

fn file(deadline_ms: u64) -> String {
    let seconds = deadline_ms as f64 / 1000.0;
    let text = BASE_CONFIG
        .replace("OnTimeS = 0.25\nDeadlineS = 1.2", &format!("OnTimeS = 0.2\nDeadlineS = {seconds:?}"));
    text.replace("OnTimeS = 0.5\nDeadlineS = 3.0", &format!("OnTimeS = 0.25\nDeadlineS = {seconds:?}"))
}

fn load(rig: &TestCluster) -> Load {
    let volume = |n: usize| Volume {
        name: format!("00000003b4d600{n:02x}"),
        plan: "premium".into(),
        shard: n as i64 % 2,
        lun: 0,
    };
    Load {
        gateways: rig.client_addresses(),
        volumes: (0..6).map(volume).collect(),
        pieces: 6,
        write_share: 0.4,
        read_class: ("stock-read".into(), Duration::from_millis(1200)),
        write_class: ("booking-write".into(), Duration::from_millis(3000)),
        max_units: 2,
        max_pipelined: 4,
        max_pause: Duration::from_millis(30),
        target: None,
    }
}

/// Signals that end nothing, in series, some twice.
fn signals(rig: &mut TestCluster, front: usize, rng: &mut SmallRng) {
    for _ in 0..rng.random_range(0..5) {
        let signal = if rng.random_bool(0.5) { Signal::HUP } else { Signal::USR1 };
        for _ in 0..rng.random_range(1..3) {
            rig.gateways[front].signal(signal).unwrap();
        }
        sleep(Duration::from_millis(rng.random_range(0..40)));
    }
}

/// Ends a gateway by SIGTERM and, at the earliest, the kill; starts it again with another longest deadline.
fn restart(rig: &mut TestCluster, front: usize, deadline: &mut u64, rng: &mut SmallRng) -> Gap {
    let counted = Duration::from_millis((*deadline).min(COUNTED));
    signals(rig, front, rng);
    let began = rig.clock.now();
    let kill = Instant::now() + counted + GRACE;
    rig.gateways[front].signal(Signal::TERM).unwrap();
    if rng.random_bool(0.5) {
        sleep(Duration::from_millis(rng.random_range(0..100)));
        rig.gateways[front].signal(Signal::TERM).unwrap();
    }
    let next = DEADLINES[rng.random_range(0..DEADLINES.len())];
    let text = rig.render_config(front, &file(next)).unwrap();
    rig.gateways[front].rewrite_config(&text).unwrap();
    signals(rig, front, rng);
    sleep(kill.saturating_duration_since(Instant::now()));
    rig.gateways[front].kill();
    *deadline = next;
    rig.gateways[front].start().unwrap();
    rig.gateways[front].wait_ready(BACK).unwrap();
    let from = began + counted + GRACE - LAST;
    Gap { front: rig.gateways[front].name.clone(), from, until: rig.clock.now() }
}

/// A connection ends without an answer only where its gateway is about to be killed, or is not back.
fn closed_in_gaps(history: &History, gaps: &[Gap]) -> CheckResult {
    let mut verdict = CheckResult::new("connections end without an answer only around the kill");
    for request in history.requests.iter().filter(|r| r.end == RequestEnd::Closed) {
        let within = |gap: &Gap| {
            gap.front == request.gateway && request.sent.0 >= gap.from && request.sent.0 <= gap.until
        };
        let line = || {
            format!(
                "{} {} sent {:?} ended {:?}",
                request.gateway, request.id, request.sent.0, request.ended.0
            )
        };
        verdict.record((!gaps.iter().any(within)).then(line));
    }
    verdict
}

fn play(seed: u64) {
    println!("SOAK_SEED={seed}");
    let mut rng = SmallRng::seed_from_u64(seed);
    let program = Path::new(env!("CARGO_BIN_EXE_gateway"));
    let setup = ClusterConfig {
        gateways: 2,
        backends: 4,
        shards: 2,
        gateway_config: file(1000),
        ..ClusterConfig::standard(program, seed)
    };
    let mut rig = TestCluster::new(setup).unwrap();
    rig.start(BACK).unwrap();
    // Some requests hang until their time is over, also when a gateway is to end.
    for server in &rig.backends {
        server.set_behavior(Behavior { silent_share: SILENT, ..Behavior::default() });
    }
    let mut deadlines = [1000, 1000];
    let clients = Clients::start(&load(&rig), 10, seed, &rig.clock).unwrap();
    let mut gaps = vec![];
    for round in 0..ROUNDS {
        let front = rng.random_range(0..2);
        let listen = rig.gateways[front].listen;
        let crowd = if rng.random_bool(0.3) { CROWD } else { 0 };
        let standing: Vec<_> = (0..crowd).filter_map(|_| TcpStream::connect(listen).ok()).collect();
        sleep(Duration::from_millis(rng.random_range(0..500)));
        let before = deadlines[front];
        gaps.push(restart(&mut rig, front, &mut deadlines[front], &mut rng));
        println!("round {round}: front {front}, deadline {before} ms, crowd {}", standing.len());
    }
    sleep(Duration::from_millis(300));
    let history = clients.finish();
    let crashes = rig.crashes();
    println!("{:?}", history.counts());
    let evidence = rig.run_record(&history);
    let mut verdicts = vec![closed_in_gaps(&history, &gaps)];
    verdicts.extend(
        [one_final_answer, writes_run_once, refused_writes_never_run, served_by_backend]
            .map(|judge| judge(&evidence)),
    );
    for verdict in &verdicts {
        println!("{verdict}");
    }
    assert!(crashes.is_empty(), "SOAK_SEED={seed}: {crashes:?}");
    assert!(verdicts.iter().all(CheckResult::holds), "SOAK_SEED={seed}");
    assert!(
        history.requests.iter().filter(|r| matches!(r.end, RequestEnd::Served(_))).count() > 200,
        "SOAK_SEED={seed}"
    );
}

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

#[test]
fn clients_lose_nothing_over_restarts() {
    match number("SOAK_SEED") {
        Some(seed) => play(seed),
        None => (1..=number("SOAK_SEEDS").unwrap_or(SEEDS)).for_each(play),
    }
}
