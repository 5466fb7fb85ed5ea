//! Shared test support: policies, and a gather driven by the test.
#![allow(dead_code, clippy::unwrap_used)]
use cluster_types::Time;
use scatter_gather::*;
use std::sync::Arc;
use std::time::Duration;

pub mod sim;

pub type Bytes = Vec<u8>;

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn at_ms(count: u64) -> Time {
    Time(count * 1000)
}

/// A policy with requests from space-separated `name@zone` pairs, and extra TOML lines.
pub fn policy(requests: &str, extra_lines: &str) -> Arc<Policy> {
    let mut text = format!(
        "name = \"stock\"\nvolume = \"00000000000000aa\"\npiece = \"00000000000000bb\"\nclass = \"read\"\n\
         remote_share = 0.5\nway_back_ms = 20\npart_bytes = 100\n{extra_lines}\n"
    );
    for (index, request) in requests.split(' ').enumerate() {
        let (name, zone) = request.split_once('@').unwrap();
        text += &format!(
            "[[part]]\nname = \"{name}\"\nhall = \"{zone}\"\npiece = \"{index:016x}\"\nshard = {index}\n"
        );
    }
    Arc::new(toml::from_str(&text).unwrap())
}

pub fn shared() -> SharedState {
    shared_with(MemoryBudget::new(1 << 20))
}

pub fn shared_with(budget: MemoryBudget) -> SharedState {
    let zones = ZoneTracker::new(Some("home".into()), HealthRules::default());
    SharedState { zones, budget, counters: Counters::default() }
}

/// Shared state in which a zone has responded within 20 ms and then missed `misses` gathers.
pub fn shared_after_misses(zone: &str, misses: u32) -> SharedState {
    let mut shared = shared();
    (0..50).for_each(|i| shared.zones.record_response(at_ms(i), &zone.into(), ms(20), true));
    (0..misses).for_each(|i| shared.zones.record_silence(at_ms(50 + u64::from(i)), &zone.into(), ms(480)));
    shared
}

/// A gather, and the actions that it has emitted.
pub struct TestGather {
    pub gather: Gather<Bytes>,
    pub shared: SharedState,
    pub sent: Vec<usize>,
    pub abandoned: Vec<usize>,
    pub answers: Vec<(Time, Answer<Bytes>)>,
}

impl TestGather {
    /// Starts a gather at `now_ms` with a client deadline of `deadline_ms`.
    pub fn new(policy: &Arc<Policy>, now_ms: u64, deadline_ms: u64, mut shared: SharedState) -> TestGather {
        let mut actions = Vec::new();
        let gather =
            Gather::new(policy.clone(), at_ms(now_ms), at_ms(deadline_ms), &mut shared, &mut actions);
        let (sent, abandoned, answers) = Default::default();
        let mut test = TestGather { gather, shared, sent, abandoned, answers };
        test.record_actions(at_ms(now_ms), actions);
        test
    }

    fn record_actions(&mut self, now: Time, actions: Vec<GatherAction<Bytes>>) {
        for action in actions {
            match action {
                GatherAction::Send { request, .. } => self.sent.push(request),
                GatherAction::Abandon { request } => self.abandoned.push(request),
                GatherAction::Answer(answer) => self.answers.push((now, answer)),
            }
        }
    }

    pub fn handle(&mut self, now: Time, event: GatherEvent<Bytes>) {
        let mut actions = Vec::new();
        self.gather.handle(now, event, &mut self.shared, &mut actions);
        self.record_actions(now, actions);
    }

    pub fn respond(&mut self, now_ms: u64, request: usize, response: ShardResponse<Bytes>) {
        self.handle(at_ms(now_ms), GatherEvent::Response { request, response });
    }

    /// Responds with a value of ten bytes.
    pub fn respond_value(&mut self, now_ms: u64, request: usize) {
        self.respond(now_ms, request, ShardResponse::Value(vec![request as u8; 10]));
    }

    /// Advances time to `until_ms`, and wakes the gather whenever it is due.
    pub fn advance(&mut self, until_ms: u64) {
        while let Some(wakeup) = self.gather.next_wakeup().filter(|wakeup| *wakeup <= at_ms(until_ms)) {
            self.handle(wakeup, GatherEvent::Tick);
        }
    }

    /// The time of the answer in milliseconds, and its status text.
    pub fn answer(&self) -> Option<(u64, String)> {
        assert!(self.answers.len() <= 1, "more than one answer");
        self.answers.first().map(|(time, answer)| (time.0 / 1000, answer.status().to_string()))
    }
}

/// The expected [`TestGather::answer`].
pub fn expected_answer(ms: u64, text: &str) -> Option<(u64, String)> {
    Some((ms, text.to_string()))
}
