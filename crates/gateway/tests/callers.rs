//! What a whole fleet does to one discovery, over real connections: five gateways of the program, and hollow callers beside
//! them at the same pace, for fleets of 30, 300 and 2,300. Discovery takes calls in turn and turns away what waits too long.
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic)]
#[path = "callers/bench.rs"]
mod bench;

use bench::{most, Bench, Time, ALL, FRONTS};
use rstest::rstest;
use std::thread::sleep;
use std::time::Duration;
use test_cluster::discovery::{Mode, RejectionTiming};

/// Until nine in ten and until all have their list, as multiples of what discovery needs for those that lost it.
const WITHIN: (f64, f64) = (1.2, 1.35);
/// How long discovery is away (s).
const AWAY: f64 = 8.0;
/// After an outage has lasted so long, calls have fallen to their bound (s).
const STEADY: f64 = 4.0;
/// Killed callers start again after so long (s).
const AGAIN: f64 = 0.7;
/// No call is made from so long on after all have their list: what was under way by then is given up (s).
const UNDER_WAY: f64 = 0.1;
/// A watch that is to count as healthy lasts longer than `backoff::IDLE_TIMEOUT_US` (s).
const SETTLED: f64 = 3.0;
/// Processes start, and sockets and threads take their time, on a machine with other work (s).
const SLACK: f64 = 0.3;
/// What the machine is known to have stood still comes on top, up to so much (s).
const MOST_HICCUPS: f64 = 0.4;

/// What is found wrong; a story goes on, so that each of its troubles is judged.
struct Story {
    bench: Bench,
    name: String,
    faults: Vec<String>,
}

impl Story {
    fn judge(&mut self, holds: bool, fault: String) {
        if !holds {
            self.faults.push(format!("{}: {fault}", self.name));
        }
    }

    /// Waits until all have their list; those that lost theirs at a time. Judged from a time on at which discovery can
    /// answer again, for a share of the fleet.
    fn recovers(&mut self, what: &str, lost: impl Fn(usize) -> Option<Time>, back: Time, share: f64) {
        let (nine_within, all_within) = (WITHIN.0 * share * ALL, WITHIN.1 * share * ALL);
        let fleet = self.bench.fleet;
        let mut listed = self.bench.listed(&lost);
        while listed.iter().any(Option::is_none) && self.bench.now() < back + 2.0 * all_within {
            sleep(Duration::from_millis(100));
            listed = self.bench.listed(&lost);
        }
        let mut times: Vec<Time> = listed.iter().map(|at| at.unwrap_or(f64::INFINITY) - back).collect();
        times.sort_by(f64::total_cmp);
        let (nine, all) = (times[(fleet * 9).div_ceil(10) - 1], times[fleet - 1]);
        sleep(Duration::from_secs_f64(SETTLED));
        let calls = self.bench.calls();
        let most = most(&calls, back, f64::INFINITY);
        let late = calls.iter().filter(|at| **at > back + all + UNDER_WAY).count();
        let hiccups = self.bench.hiccups(back);
        println!(
            "{} {what}: nine in ten {nine:.2} s, all {all:.2} s, {most} calls/s, {late} late, {:?}, stood still {hiccups:.2} s",
            self.name,
            self.bench.outcomes(back)
        );
        let turned_away = self.bench.outcomes(back).get("Rejected").copied().unwrap_or(0);
        self.judge(turned_away > 0, format!("{what}: nobody was turned away, which is no trouble"));
        let slack = SLACK + hiccups.min(MOST_HICCUPS);
        self.judge(nine < nine_within + slack, format!("{what}: nine in ten after {nine:.2} s"));
        self.judge(all < all_within + slack, format!("{what}: all after {all:.2} s"));
        self.judge(most <= fleet, format!("{what}: {most} calls in a second"));
        self.judge(late == 0, format!("{what}: {late} calls after all was well"));
        self.settle();
    }

    /// Whatever a trouble has left: all have their list before the next one.
    fn settle(&self) {
        self.bench.rig.discovery.set_queue_policy(None);
        let end = self.bench.now() + 30.0;
        while self.bench.hollow.watching_since().iter().any(Option::is_none) {
            assert!(self.bench.now() < end, "{}: no list though nobody waits for a turn", self.name);
            sleep(Duration::from_millis(100));
        }
    }

    fn start(&mut self) {
        self.bench.take_turns(usize::MAX);
        let began = self.bench.now();
        self.bench.rig.gateways.iter_mut().for_each(|f| f.start().unwrap());
        (0..self.bench.fleet - FRONTS).for_each(|n| self.bench.hollow.start(n));
        self.recovers("start", |_| None, began, 1.0);
    }

    fn outage(&mut self, refused: bool) {
        let (what, longest) = if refused { ("closed doors", 1.6) } else { ("503", 1.0) };
        self.bench.take_turns(usize::MAX);
        let began = self.bench.now();
        let gone = |gone: bool| match (refused, gone) {
            (true, gone) => self.bench.rig.set_discovery_down(gone),
            (false, true) => self.bench.rig.discovery.set_mode(Mode::Unavailable),
            (false, false) => self.bench.rig.discovery.set_mode(Mode::Normal),
        };
        gone(true);
        sleep(Duration::from_secs_f64(AWAY));
        let listed = self.bench.hollow.watching_since().iter().flatten().count();
        gone(false);
        let back = self.bench.now();
        let steady = most(&self.bench.calls(), began + STEADY, back);
        println!("{} {what}: {steady} calls/s while it lasts", self.name);
        let bound = longest * self.bench.fleet as f64;
        self.judge(listed == 0, format!("{what}: {listed} have their list while discovery is away"));
        self.judge(steady as f64 <= bound, format!("{what}: {steady} calls in a second of it"));
        self.recovers(what, |_| Some(back), back, 1.0);
    }

    /// Seven in ten are killed, of the real ones four in five, and start again before a discovery that lets fewer wait.
    fn kill(&mut self, callers: usize) {
        self.bench.take_turns(callers);
        let (real, hollow) = (4, self.bench.fleet * 7 / 10 - 4);
        self.bench.rig.gateways[..real].iter_mut().for_each(|f| f.kill());
        (0..hollow).for_each(|n| self.bench.hollow.kill(n));
        sleep(Duration::from_secs_f64(AGAIN));
        let back = self.bench.now();
        self.bench.rig.gateways[..real].iter_mut().for_each(|f| f.start().unwrap());
        (0..hollow).for_each(|n| self.bench.hollow.start(n));
        self.recovers(&format!("kill, {callers} may wait"), |n| (n < real).then_some(back), back, 0.7);
    }
}

/// Tells what was found wrong.
fn story(fleet: usize, refusal: RejectionTiming) -> Vec<String> {
    let name = format!("{fleet} {refusal:?}");
    let mut story = Story { bench: Bench::new(fleet, refusal), name, faults: vec![] };
    story.start();
    story.outage(true);
    story.outage(false);
    // Fewer may wait at the end than would have their turn within the wait, which is three in ten.
    story.kill(fleet / 4);
    let crashes = story.bench.rig.crashes();
    if !crashes.is_empty() {
        story.faults.push(format!("{}: {crashes:?}", story.name));
    }
    story.faults
}

/// Each way of turning away by itself: the thread that carries a story must not be late for the other's sake.
#[rstest]
fn fleet_has_its_list_soon_after_any_fault(#[values(30, 300, 2_300)] fleet: usize) {
    let stories =
        [RejectionTiming::OnArrival, RejectionTiming::AfterWait].map(|refusal| story(fleet, refusal));
    let faults: Vec<String> = stories.into_iter().flatten().collect();
    assert!(faults.is_empty(), "{faults:#?}");
}
