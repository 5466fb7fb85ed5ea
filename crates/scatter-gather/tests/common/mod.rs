//! What the tests share: policies, and a gather driven by hand.
#![allow(dead_code, clippy::unwrap_used)]
use cluster_types::Time;
use scatter_gather::*;
use std::sync::Arc;
use std::time::Duration;

pub mod sim;

pub type V = Vec<u8>;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn at(n: u64) -> Time {
    Time(n * 1000)
}

/// A tier from `name@hall` words, with more lines on top.
pub fn policy(parts: &str, more: &str) -> Arc<Policy> {
    let mut text = format!(
        "name = \"stock\"\nvolume = \"00000000000000aa\"\npiece = \"00000000000000bb\"\nclass = \"read\"\n\
         remote_share = 0.5\nway_back_ms = 20\npart_bytes = 100\n{more}\n"
    );
    for (i, part) in parts.split(' ').enumerate() {
        let (name, hall) = part.split_once('@').unwrap();
        text +=
            &format!("[[part]]\nname = \"{name}\"\nhall = \"{hall}\"\npiece = \"{i:016x}\"\nshard = {i}\n");
    }
    Arc::new(toml::from_str(&text).unwrap())
}

pub fn shared() -> Shared {
    shared_with(Budget::new(1 << 20))
}

pub fn shared_with(budget: Budget) -> Shared {
    Shared { halls: Halls::new(Some("home".into()), Rules::default()), budget, counts: Counters::default() }
}

/// Shared state in which a hall has answered within 20 ms and then missed so many gathers.
pub fn missed(hall: &str, times: u32) -> Shared {
    let mut shared = shared();
    (0..50).for_each(|i| shared.halls.answered(at(i), &hall.into(), ms(20), true));
    (0..times).for_each(|i| shared.halls.silent(at(50 + u64::from(i)), &hall.into(), ms(480)));
    shared
}

/// One gather with what it said.
pub struct Bench {
    pub gather: Gather<V>,
    pub shared: Shared,
    pub asked: Vec<usize>,
    pub dropped: Vec<usize>,
    pub answers: Vec<(Time, Answer<V>)>,
}

impl Bench {
    pub fn new(policy: &Arc<Policy>, now: u64, until: u64, mut shared: Shared) -> Bench {
        let mut out = Vec::new();
        let gather = Gather::new(policy.clone(), at(now), at(until), &mut shared, &mut out);
        let (asked, dropped, answers) = Default::default();
        let mut bench = Bench { gather, shared, asked, dropped, answers };
        bench.take(at(now), out);
        bench
    }

    fn take(&mut self, now: Time, out: Vec<Action<V>>) {
        for action in out {
            match action {
                Action::Ask { part, .. } => self.asked.push(part),
                Action::Drop { part } => self.dropped.push(part),
                Action::Answer(answer) => self.answers.push((now, answer)),
            }
        }
    }

    pub fn event(&mut self, now: Time, event: Event<V>) {
        let mut out = Vec::new();
        self.gather.handle(now, event, &mut self.shared, &mut out);
        self.take(now, out);
    }

    pub fn ended(&mut self, now: u64, part: usize, result: Ended<V>) {
        self.event(at(now), Event::Ended { part, result });
    }

    pub fn served(&mut self, now: u64, part: usize) {
        self.ended(now, part, Ended::Served(vec![part as u8; 10]));
    }

    /// Lets time pass up to then, waking it when it wants to be.
    pub fn pass(&mut self, to: u64) {
        while let Some(wake) = self.gather.wake().filter(|w| *w <= at(to)) {
            self.event(wake, Event::Tick);
        }
    }

    /// The one answer: when (ms) and how it is worded.
    pub fn told(&self) -> Option<(u64, String)> {
        assert!(self.answers.len() <= 1, "more than one answer");
        self.answers.first().map(|(time, answer)| (time.0 / 1000, answer.told().text()))
    }
}

pub fn told(ms: u64, text: &str) -> Option<(u64, String)> {
    Some((ms, text.to_string()))
}
