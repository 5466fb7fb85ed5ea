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
use test_cluster::boxes::Manner;
use test_cluster::clients::{Clients, End, History, Load, Volume};
use test_cluster::rig::Rig;
use test_cluster::setup::{Setup, BASE};
use test_cluster::verdict::{booked_once, one_answer, refused_never_ran, served, Verdict};

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
    let text =
        BASE.replace("OnTimeS = 0.25\nDeadlineS = 1.2", &format!("OnTimeS = 0.2\nDeadlineS = {seconds:?}"));
    text.replace("OnTimeS = 0.5\nDeadlineS = 3.0", &format!("OnTimeS = 0.25\nDeadlineS = {seconds:?}"))
}

fn load(rig: &Rig) -> Load {
    let volume = |n: usize| Volume {
        name: format!("00000003b4d600{n:02x}"),
        plan: "premium".into(),
        shard: n as i64 % 2,
        lun: 0,
    };
    Load {
        fronts: rig.addresses(),
        volumes: (0..6).map(volume).collect(),
        pieces: 6,
        writes: 0.4,
        read: ("stock-read".into(), Duration::from_millis(1200)),
        write: ("booking-write".into(), Duration::from_millis(3000)),
        units: 2,
        depth: 4,
        rest: Duration::from_millis(30),
        target: None,
    }
}

/// Signals that end nothing, in series, some twice.
fn signals(rig: &mut Rig, front: usize, rng: &mut SmallRng) {
    for _ in 0..rng.random_range(0..5) {
        let signal = if rng.random_bool(0.5) { Signal::HUP } else { Signal::USR1 };
        for _ in 0..rng.random_range(1..3) {
            rig.fronts[front].signal(signal).unwrap();
        }
        sleep(Duration::from_millis(rng.random_range(0..40)));
    }
}

/// Ends a gateway by SIGTERM and, at the earliest, the kill; starts it again with another longest deadline.
fn restart(rig: &mut Rig, front: usize, deadline: &mut u64, rng: &mut SmallRng) -> Gap {
    let counted = Duration::from_millis((*deadline).min(COUNTED));
    signals(rig, front, rng);
    let began = rig.clock.now();
    let kill = Instant::now() + counted + GRACE;
    rig.fronts[front].signal(Signal::TERM).unwrap();
    if rng.random_bool(0.5) {
        sleep(Duration::from_millis(rng.random_range(0..100)));
        rig.fronts[front].signal(Signal::TERM).unwrap();
    }
    let next = DEADLINES[rng.random_range(0..DEADLINES.len())];
    let text = rig.filled(front, &file(next)).unwrap();
    rig.fronts[front].rewrite(&text).unwrap();
    signals(rig, front, rng);
    sleep(kill.saturating_duration_since(Instant::now()));
    rig.fronts[front].kill();
    *deadline = next;
    rig.fronts[front].start().unwrap();
    rig.fronts[front].ready(BACK).unwrap();
    let from = began + counted + GRACE - LAST;
    Gap { front: rig.fronts[front].name.clone(), from, until: rig.clock.now() }
}

/// A connection ends without an answer only where its gateway is about to be killed, or is not back.
fn closed_in_gaps(history: &History, gaps: &[Gap]) -> Verdict {
    let mut verdict = Verdict::new("connections end without an answer only around the kill");
    for request in history.requests.iter().filter(|r| r.end == End::Closed) {
        let within = |gap: &Gap| {
            gap.front == request.front && request.sent.0 >= gap.from && request.sent.0 <= gap.until
        };
        let line = || {
            format!("{} {} sent {:?} ended {:?}", request.front, request.id, request.sent.0, request.ended.0)
        };
        verdict.look((!gaps.iter().any(within)).then(line));
    }
    verdict
}

fn play(seed: u64) {
    println!("SOAK_SEED={seed}");
    let mut rng = SmallRng::seed_from_u64(seed);
    let program = Path::new(env!("CARGO_BIN_EXE_gateway"));
    let setup = Setup { fronts: 2, boxes: 4, cells: 2, text: file(1000), ..Setup::usual(program, seed) };
    let mut rig = Rig::new(setup).unwrap();
    rig.start(BACK).unwrap();
    // Some requests hang until their time is over, also when a gateway is to end.
    for server in &rig.boxes {
        server.set(Manner { silent: SILENT, ..Manner::default() });
    }
    let mut deadlines = [1000, 1000];
    let clients = Clients::start(&load(&rig), 10, seed, &rig.clock).unwrap();
    let mut gaps = vec![];
    for round in 0..ROUNDS {
        let front = rng.random_range(0..2);
        let listen = rig.fronts[front].listen;
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
    let evidence = rig.evidence(&history);
    let mut verdicts = vec![closed_in_gaps(&history, &gaps)];
    verdicts.extend([one_answer, booked_once, refused_never_ran, served].map(|judge| judge(&evidence)));
    for verdict in &verdicts {
        println!("{verdict}");
    }
    assert!(crashes.is_empty(), "SOAK_SEED={seed}: {crashes:?}");
    assert!(verdicts.iter().all(Verdict::holds), "SOAK_SEED={seed}");
    assert!(
        history.requests.iter().filter(|r| matches!(r.end, End::Served(_))).count() > 200,
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
