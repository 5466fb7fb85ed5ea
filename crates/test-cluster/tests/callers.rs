//! Discovery that takes calls in turn, and hollow callers before it.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use backoff::BackoffPolicy;
use rustix::process::{getrlimit, Resource};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use test_cluster::discovery::{Call, Discovery, Lifecycle, Listed, Manner, Outcome, Refusal, Turns};
use test_cluster::engine::{until, Engine};
use test_cluster::hollow::Hollow;
use test_cluster::ports::Site;

const PATIENCE: Duration = Duration::from_secs(20);
const MS: Duration = Duration::from_millis(1);

struct Bench {
    discovery: Discovery,
    engine: Engine,
    site: Site,
}

fn bench(turns: Option<Turns>) -> Bench {
    let site = Site::new().unwrap();
    let engine = Engine::start(&site).unwrap();
    let doors = [("one".to_string(), site.at(1, 8500))].into();
    let listed = Listed {
        name: "box-0".into(),
        hall: "hall-a".into(),
        cell: 0,
        speaks: "resp",
        target: String::new(),
        lifecycle: Lifecycle::Active,
        started_ms: 0,
        addresses: [("one".into(), site.at(2, 7000))].into(),
    };
    let discovery = Discovery::start(&doors, vec![listed], engine.clock(), engine.spawner()).unwrap();
    discovery.take_turns(turns);
    Bench { discovery, engine, site }
}

impl Bench {
    /// Calls, and does not wait for the answer.
    fn call(&self) -> TcpStream {
        let before = self.discovery.calls().len();
        let mut stream = TcpStream::connect(self.site.at(1, 8500)).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.write_all(b"GET /api/targets?watch=1&from=0 HTTP/1.1\r\n\r\n").unwrap();
        until(PATIENCE, || (self.discovery.calls().len() > before).then_some(())).unwrap();
        stream
    }

    /// What became of all calls, once each has ended.
    fn outcomes(&self) -> Vec<Outcome> {
        let ended = |c: Call| c.outcome.map(|(_, outcome)| outcome);
        until(PATIENCE, || self.discovery.calls().into_iter().map(ended).collect()).unwrap()
    }

    /// How long a call took.
    fn took(&self, number: usize) -> Duration {
        let call = &self.discovery.calls()[number];
        call.outcome.unwrap().0 - call.at
    }

    fn hollow(&self, count: u64) -> Hollow {
        let (clock, spawner) = (self.engine.clock(), self.engine.spawner());
        Hollow::new(count, self.site.at(1, 8500), BackoffPolicy::for_callers(30), 7, clock, spawner).unwrap()
    }
}

fn turns(refusal: Refusal, callers: usize) -> Option<Turns> {
    Some(Turns { answer: 800 * MS, refuse: 400 * MS, wait: 1_200 * MS, refusal, callers })
}

fn status(stream: &mut TcpStream) -> String {
    let mut bytes = [0; 12];
    stream.read_exact(&mut bytes).unwrap();
    String::from_utf8_lossy(&bytes[9..]).into()
}

#[test]
fn calls_are_answered_one_after_the_other_and_what_foresees_its_wait_is_turned_away_at_once() {
    let bench = bench(turns(Refusal::Foreseen, 100));
    let mut calls: Vec<TcpStream> = (0..4).map(|_| bench.call()).collect();
    assert_eq!(status(&mut calls[3]), "503");
    assert!(bench.took(3) < 200 * MS, "{:?}", bench.took(3));
    use Outcome::{Answered, TurnedAway};
    // The third waits for less than 1.2 s only where it came late enough.
    assert_eq!(
        (bench.outcomes()[0], bench.outcomes()[1], bench.outcomes()[3]),
        (Answered, Answered, TurnedAway)
    );
    let answered = bench.discovery.calls()[1].outcome.unwrap().0 - bench.discovery.calls()[0].at;
    assert!(answered >= 1_600 * MS, "{answered:?}");
    assert_eq!(status(&mut calls[0]), "200");
    // A call that was turned away has cost its part: the next one waits for that.
    let mut last = bench.call();
    assert_eq!(status(&mut last), "200");
    assert!(bench.took(4) >= 800 * MS);
}

#[test]
fn what_has_waited_too_long_is_turned_away_late_and_its_cost_is_borne_in_its_place() {
    let bench = bench(turns(Refusal::Late, 100));
    let mut calls: Vec<TcpStream> = (0..4).map(|_| bench.call()).collect();
    assert_eq!(status(&mut calls[3]), "503");
    assert!(bench.took(3) >= 1_200 * MS, "{:?}", bench.took(3));
    let outcomes = bench.outcomes();
    assert_eq!(
        (outcomes[0], outcomes[1], outcomes[3]),
        (Outcome::Answered, Outcome::Answered, Outcome::TurnedAway)
    );
}

#[test]
fn one_caller_too_many_is_turned_away_at_once() {
    let bench = bench(turns(Refusal::Late, 1));
    let first = bench.call();
    // That one is being answered; so many may wait besides.
    std::thread::sleep(50 * MS);
    let (second, mut third) = (bench.call(), bench.call());
    assert_eq!(status(&mut third), "503");
    assert!(bench.took(2) < 200 * MS, "{:?}", bench.took(2));
    assert_eq!(bench.outcomes()[..2], [Outcome::Answered, Outcome::Answered]);
    drop((first, second));
}

#[test]
fn a_caller_that_has_gone_costs_nothing() {
    let slow = Turns { wait: PATIENCE, ..turns(Refusal::Late, 100).unwrap() };
    let bench = bench(Some(slow));
    let mut first = bench.call();
    let gone: Vec<TcpStream> = (0..10).map(|_| bench.call()).collect();
    drop(gone);
    let mut last = bench.call();
    assert_eq!((status(&mut first), status(&mut last)), ("200".into(), "200".into()));
    assert!(bench.took(11) < 2_400 * MS, "{:?}", bench.took(11));
    let left = bench.outcomes().iter().filter(|o| **o == Outcome::Left).count();
    // The one after the first may have begun.
    assert!(left >= 9, "{left}");
}

#[test]
fn doors_close_and_open_again() {
    let bench = bench(None);
    let mut watch = bench.call();
    assert_eq!(status(&mut watch), "200");
    bench.discovery.close(true);
    let at = bench.site.at(1, 8500);
    let refused = || TcpStream::connect(at).err().filter(|e| e.kind() == ErrorKind::ConnectionRefused);
    until(PATIENCE, refused).unwrap();
    bench.discovery.close(false);
    until(PATIENCE, || TcpStream::connect(at).ok()).unwrap();
    bench.discovery.set("box-0", Lifecycle::Leaving);
    let mut came = String::new();
    let mut bytes = [0; 512];
    while !came.contains("leaving") {
        let count = watch.read(&mut bytes).unwrap();
        assert!(count > 0, "the watch has lasted");
        came.push_str(&String::from_utf8_lossy(&bytes[..count]));
    }
}

#[test]
fn hollow_callers_have_their_list_lose_it_and_have_it_again() {
    let bench = bench(None);
    let hollow = bench.hollow(30);
    let all = |hollow: &Hollow, wanted: usize| {
        let (begun, listed) = (Instant::now(), || hollow.listed().iter().flatten().count());
        until(PATIENCE, || (listed() == wanted).then_some(()))
            .unwrap_or_else(|| panic!("{} of {wanted} after {:?}", listed(), begun.elapsed()));
    };
    (0..30).for_each(|n| hollow.start(n));
    all(&hollow, 30);
    let calls = hollow.calls().len();
    // Heartbeats keep them up.
    std::thread::sleep(Duration::from_secs(6));
    assert_eq!((hollow.listed().iter().flatten().count(), hollow.calls().len()), (30, calls));
    (0..10).for_each(|n| hollow.kill(n));
    all(&hollow, 20);
    std::thread::sleep(200 * MS);
    assert!(hollow.listed()[..10].iter().all(Option::is_none), "killed ones stay so");
    (0..10).for_each(|n| hollow.start(n));
    all(&hollow, 30);
    // Silence is noticed.
    bench.discovery.act(Manner::Silent);
    all(&hollow, 0);
    bench.discovery.act(Manner::Well);
    all(&hollow, 30);
    // Nobody listens: calls are counted all the same.
    bench.discovery.close(true);
    bench.discovery.act(Manner::Down);
    all(&hollow, 0);
    let (calls, came) = (hollow.calls().len(), bench.discovery.calls().len());
    until(PATIENCE, || (hollow.calls().len() > calls + 30).then_some(())).unwrap();
    assert!(bench.discovery.calls().len() <= came + 30);
    bench.discovery.close(false);
    bench.discovery.act(Manner::Well);
    all(&hollow, 30);
}

#[test]
fn too_few_descriptors_are_named() {
    let bench = bench(None);
    let (clock, spawner) = (bench.engine.clock(), bench.engine.spawner());
    let Some(limit) = getrlimit(Resource::Nofile).current else { return };
    let error = Hollow::new(limit, bench.site.at(1, 8500), BackoffPolicy::for_callers(30), 7, clock, spawner)
        .err()
        .unwrap();
    assert!(error.to_string().contains("RLIMIT_NOFILE"), "{error}");
}
