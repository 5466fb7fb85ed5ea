//! Discovery that queues calls, and simulated callers.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
use backoff::BackoffPolicy;
use rustix::process::{getrlimit, Resource};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use test_cluster::discovery::{
    Call, Discovery, Lifecycle, ListedBackend, Mode, Outcome, QueuePolicy, RejectionTiming,
};
use test_cluster::loopback::LoopbackNetwork;
use test_cluster::runtime::{poll_until, Runtime};
use test_cluster::simulated_callers::SimulatedCallers;

const TIMEOUT: Duration = Duration::from_secs(20);
const MS: Duration = Duration::from_millis(1);

struct Fixture {
    discovery: Discovery,
    runtime: Runtime,
    network: LoopbackNetwork,
}

fn fixture(policy: Option<QueuePolicy>) -> Fixture {
    let network = LoopbackNetwork::new().unwrap();
    let runtime = Runtime::start(&network).unwrap();
    let listen_addresses = [("one".to_string(), network.address(1, 8500))].into();
    let listed = ListedBackend {
        name: "box-0".into(),
        zone: "hall-a".into(),
        shard: 0,
        protocol: "resp",
        target: String::new(),
        lifecycle: Lifecycle::Active,
        started_ms: 0,
        addresses: [("one".into(), network.address(2, 7000))].into(),
    };
    let discovery =
        Discovery::start(&listen_addresses, vec![listed], runtime.clock(), runtime.spawner()).unwrap();
    discovery.set_queue_policy(policy);
    Fixture { discovery, runtime, network }
}

impl Fixture {
    /// Makes a call without waiting for the answer.
    fn call(&self) -> TcpStream {
        let before = self.discovery.calls().len();
        let mut stream = TcpStream::connect(self.network.address(1, 8500)).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        stream.write_all(b"GET /api/targets?watch=1&from=0 HTTP/1.1\r\n\r\n").unwrap();
        poll_until(TIMEOUT, || (self.discovery.calls().len() > before).then_some(())).unwrap();
        stream
    }

    /// The outcomes of all calls, once each has ended.
    fn outcomes(&self) -> Vec<Outcome> {
        let ended = |c: Call| c.outcome.map(|(_, outcome)| outcome);
        poll_until(TIMEOUT, || self.discovery.calls().into_iter().map(ended).collect()).unwrap()
    }

    /// How long a call took.
    fn call_duration(&self, number: usize) -> Duration {
        let call = &self.discovery.calls()[number];
        call.outcome.unwrap().0 - call.at
    }

    fn simulated_callers(&self, count: u64) -> SimulatedCallers {
        let (clock, spawner) = (self.runtime.clock(), self.runtime.spawner());
        SimulatedCallers::new(
            count,
            self.network.address(1, 8500),
            BackoffPolicy::for_callers(30),
            7,
            clock,
            spawner,
        )
        .unwrap()
    }
}

fn queue_policy(rejection: RejectionTiming, max_waiting: usize) -> Option<QueuePolicy> {
    Some(QueuePolicy {
        answer_cost: 800 * MS,
        rejection_cost: 400 * MS,
        max_wait: 1_200 * MS,
        rejection,
        max_waiting,
    })
}

fn status(stream: &mut TcpStream) -> String {
    let mut bytes = [0; 12];
    stream.read_exact(&mut bytes).unwrap();
    String::from_utf8_lossy(&bytes[9..]).into()
}

#[test]
fn queue_serves_in_order_and_rejects_on_arrival_when_wait_is_predictable() {
    let fixture = fixture(queue_policy(RejectionTiming::OnArrival, 100));
    let mut calls: Vec<TcpStream> = (0..4).map(|_| fixture.call()).collect();
    assert_eq!(status(&mut calls[3]), "503");
    assert!(fixture.call_duration(3) < 200 * MS, "{:?}", fixture.call_duration(3));
    use Outcome::{Answered, Rejected};
    // The third call waits less than 1.2 s only if it came late enough.
    assert_eq!(
        (fixture.outcomes()[0], fixture.outcomes()[1], fixture.outcomes()[3]),
        (Answered, Answered, Rejected)
    );
    let answered = fixture.discovery.calls()[1].outcome.unwrap().0 - fixture.discovery.calls()[0].at;
    assert!(answered >= 1_600 * MS, "{answered:?}");
    assert_eq!(status(&mut calls[0]), "200");
    // A rejected call has a cost, and the next one waits for that.
    let mut last = fixture.call();
    assert_eq!(status(&mut last), "200");
    assert!(fixture.call_duration(4) >= 800 * MS);
}

#[test]
fn queue_rejects_calls_that_waited_too_long() {
    let fixture = fixture(queue_policy(RejectionTiming::AfterWait, 100));
    let mut calls: Vec<TcpStream> = (0..4).map(|_| fixture.call()).collect();
    assert_eq!(status(&mut calls[3]), "503");
    assert!(fixture.call_duration(3) >= 1_200 * MS, "{:?}", fixture.call_duration(3));
    let outcomes = fixture.outcomes();
    assert_eq!(
        (outcomes[0], outcomes[1], outcomes[3]),
        (Outcome::Answered, Outcome::Answered, Outcome::Rejected)
    );
}

#[test]
fn queue_rejects_caller_over_limit_on_arrival() {
    let fixture = fixture(queue_policy(RejectionTiming::AfterWait, 1));
    let first = fixture.call();
    // The first call is being served; the limit counts those that wait besides.
    std::thread::sleep(50 * MS);
    let (second, mut third) = (fixture.call(), fixture.call());
    assert_eq!(status(&mut third), "503");
    assert!(fixture.call_duration(2) < 200 * MS, "{:?}", fixture.call_duration(2));
    assert_eq!(fixture.outcomes()[..2], [Outcome::Answered, Outcome::Answered]);
    drop((first, second));
}

#[test]
fn caller_that_left_costs_nothing() {
    let slow = QueuePolicy { max_wait: TIMEOUT, ..queue_policy(RejectionTiming::AfterWait, 100).unwrap() };
    let fixture = fixture(Some(slow));
    let mut first = fixture.call();
    let gone: Vec<TcpStream> = (0..10).map(|_| fixture.call()).collect();
    drop(gone);
    let mut last = fixture.call();
    assert_eq!((status(&mut first), status(&mut last)), ("200".into(), "200".into()));
    assert!(fixture.call_duration(11) < 2_400 * MS, "{:?}", fixture.call_duration(11));
    let left = fixture.outcomes().iter().filter(|o| **o == Outcome::Left).count();
    // The second call may already have been served.
    assert!(left >= 9, "{left}");
}

#[test]
fn listeners_close_and_reopen_without_ending_watches() {
    let fixture = fixture(None);
    let mut watch = fixture.call();
    assert_eq!(status(&mut watch), "200");
    fixture.discovery.set_closed(true);
    let at = fixture.network.address(1, 8500);
    let refused = || TcpStream::connect(at).err().filter(|e| e.kind() == ErrorKind::ConnectionRefused);
    poll_until(TIMEOUT, refused).unwrap();
    fixture.discovery.set_closed(false);
    poll_until(TIMEOUT, || TcpStream::connect(at).ok()).unwrap();
    fixture.discovery.set_lifecycle("box-0", Lifecycle::Leaving);
    let mut received = String::new();
    let mut bytes = [0; 512];
    while !received.contains("leaving") {
        let count = watch.read(&mut bytes).unwrap();
        assert!(count > 0, "the watch ended");
        received.push_str(&String::from_utf8_lossy(&bytes[..count]));
    }
}

#[test]
fn simulated_callers_recover_list_after_kill_silence_and_refusal() {
    let fixture = fixture(None);
    let simulated_callers = fixture.simulated_callers(30);
    let wait_for_watching = |simulated_callers: &SimulatedCallers, wanted: usize| {
        let (begun, listed) =
            (Instant::now(), || simulated_callers.watching_since().iter().flatten().count());
        poll_until(TIMEOUT, || (listed() == wanted).then_some(()))
            .unwrap_or_else(|| panic!("{} of {wanted} watching after {:?}", listed(), begun.elapsed()));
    };
    (0..30).for_each(|n| simulated_callers.start(n));
    wait_for_watching(&simulated_callers, 30);
    let calls = simulated_callers.calls().len();
    // Heartbeats keep the watches open.
    std::thread::sleep(Duration::from_secs(6));
    assert_eq!(
        (simulated_callers.watching_since().iter().flatten().count(), simulated_callers.calls().len()),
        (30, calls)
    );
    (0..10).for_each(|n| simulated_callers.kill(n));
    wait_for_watching(&simulated_callers, 20);
    std::thread::sleep(200 * MS);
    assert!(
        simulated_callers.watching_since()[..10].iter().all(Option::is_none),
        "killed callers stay stopped"
    );
    (0..10).for_each(|n| simulated_callers.start(n));
    wait_for_watching(&simulated_callers, 30);
    // Callers notice silence.
    fixture.discovery.set_mode(Mode::Silent);
    wait_for_watching(&simulated_callers, 0);
    fixture.discovery.set_mode(Mode::Normal);
    wait_for_watching(&simulated_callers, 30);
    // Calls count even when nothing listens.
    fixture.discovery.set_closed(true);
    fixture.discovery.set_mode(Mode::Down);
    wait_for_watching(&simulated_callers, 0);
    let (calls, received_calls) = (simulated_callers.calls().len(), fixture.discovery.calls().len());
    poll_until(TIMEOUT, || (simulated_callers.calls().len() > calls + 30).then_some(())).unwrap();
    assert!(fixture.discovery.calls().len() <= received_calls + 30);
    fixture.discovery.set_closed(false);
    fixture.discovery.set_mode(Mode::Normal);
    wait_for_watching(&simulated_callers, 30);
}

#[test]
fn reports_descriptor_limit_that_is_too_low() {
    let fixture = fixture(None);
    let (clock, spawner) = (fixture.runtime.clock(), fixture.runtime.spawner());
    let Some(limit) = getrlimit(Resource::Nofile).current else { return };
    let error = SimulatedCallers::new(
        limit,
        fixture.network.address(1, 8500),
        BackoffPolicy::for_callers(30),
        7,
        clock,
        spawner,
    )
    .err()
    .unwrap();
    assert!(error.to_string().contains("RLIMIT_NOFILE"), "{error}");
}
