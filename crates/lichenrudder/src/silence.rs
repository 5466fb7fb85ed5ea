//! The clock of a watch: when a call has fallen silent, and when it is made again. Knows neither clock nor wire.
use oxbowhill::interface::Micros;

/// Empty lines come as often as this while nothing changes,
const HEARTBEAT: i64 = 2_000_000;
/// and may be so late.
const LATE: i64 = 600_000;
/// What a silent call missed counts as told so long after it fell silent, whether it arrived or not.
const TOLD: i64 = 6_000_000;
/// How long a call may wait for its answer, in discovery's turn, where no such time is running;
const OPENING: i64 = 3_200_000;
/// and at least where one is. Both double with each call in turn that stayed silent.
const SHORTEST: i64 = 800_000;
/// How often they double.
const DOUBLED: u32 = 2;
/// The first pause before a call is made again while the time runs; it doubles with each further one.
const PAUSE: i64 = 100_000;

/// One clock for every call, one after the other.
pub struct Silence {
    /// When the call was made, and when it was last heard of.
    opened: Micros,
    heard: Micros,
    /// Whether it has brought an answer.
    up: bool,
    /// Since when there is silence that an earlier call fell into, and no answer has ended.
    fell: Option<Micros>,
    /// Calls in turn that stayed silent from the start, and those made while the time runs.
    silent: u32,
    tries: u32,
    random: u64,
}

impl Silence {
    /// No call yet. The seed spreads the pauses, for many fronts may hear nothing at once.
    pub fn new(seed: u64) -> Silence {
        let start = Micros(0);
        Silence { opened: start, heard: start, up: false, fell: None, silent: 0, tries: 0, random: seed }
    }

    /// A call is made.
    pub fn opens(&mut self, now: Micros) {
        (self.opened, self.heard, self.up) = (now, now, false);
    }

    /// Something came on it.
    pub fn heard(&mut self, now: Micros) {
        self.heard = now;
    }

    /// It has told what there is, be it nothing: what earlier calls missed is told with it.
    pub fn told(&mut self) {
        self.up = true;
        (self.fell, self.silent, self.tries) = (None, 0, 0);
    }

    /// Whether it has.
    pub fn up(&self) -> bool {
        self.up
    }

    /// When it counts as silent, and is given up.
    ///
    /// While the time runs it has half of what is left, so that there is time for another. Guards discovery, which takes
    /// calls in turn: one that is given up waits behind all others again, so each has twice as long as the one before.
    pub fn until(&self) -> Micros {
        let doubled = 1 << self.silent.min(DOUBLED);
        Micros(match self.fell {
            _ if self.up => self.heard.0 + HEARTBEAT + LATE,
            Some(fell) if fell.0 + TOLD > self.opened.0 => {
                self.opened.0 + ((fell.0 + TOLD - self.opened.0) / 2).max(SHORTEST * doubled)
            }
            _ => self.opened.0 + OPENING * doubled,
        })
    }

    /// The call has ended, because it was silent or otherwise: when it is to be made again at once; none where that
    /// is left to the module, which asks more and more rarely.
    pub fn ended(&mut self, now: Micros, silent: bool) -> Option<Micros> {
        if silent {
            let since = if self.up { self.heard } else { self.opened };
            self.fell.get_or_insert(since);
            self.silent += u32::from(!self.up);
        }
        self.up = false;
        self.fell = self.fell.filter(|fell| now.0 < fell.0 + TOLD);
        if self.fell.is_none() {
            self.tries = 0;
            return None;
        }
        let most = PAUSE << self.tries.min(5);
        self.tries += 1;
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        Some(Micros(now.0 + most / 2 + ((self.random >> 33) as i64) % (most / 2)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: i64 = 1_000_000;

    /// A watch that was up and fell silent at 100 s.
    fn fallen(seed: u64) -> (Silence, Micros) {
        let mut silence = Silence::new(seed);
        silence.opens(Micros(90 * S));
        silence.told();
        silence.heard(Micros(100 * S));
        let noticed = silence.until();
        assert!(noticed.0 > 102 * S, "a heartbeat may still come");
        let again = silence.ended(noticed, true).expect("it is asked anew at once");
        (silence, again)
    }

    #[test]
    fn a_silent_watch_is_asked_anew_with_time_for_a_second_silent_one() {
        for seed in 0..200 {
            let (mut silence, again) = fallen(seed);
            assert!(again.0 < 103 * S, "seed {seed}: {again:?}");
            silence.opens(again);
            let noticed = silence.until();
            assert!(noticed.0 - again.0 > S, "seed {seed}: time for discovery's turn");
            let third = silence.ended(noticed, true).expect("the time still runs");
            assert!(third.0 < 105 * S, "seed {seed}: a second to spare, {third:?}");
            silence.opens(third);
            assert!(
                silence.until().0 >= 106 * S,
                "seed {seed}: the last one waits as long as it makes sense"
            );
            silence.told();
            assert_eq!(silence.until(), Micros(third.0 + HEARTBEAT + LATE));
            assert_eq!(silence.ended(Micros(105 * S), false), None, "an answer ends the time");
        }
    }

    #[test]
    fn calls_that_fail_are_made_again_while_the_time_runs_and_not_beyond() {
        for seed in 0..200 {
            let (mut silence, mut again) = fallen(seed);
            let mut calls = 0;
            let end = loop {
                // Discovery says 503 after 10 ms, and has said so to hundreds.
                silence.opens(again);
                calls += 1;
                match silence.ended(Micros(again.0 + S / 100), false) {
                    Some(next) => again = next,
                    None => break again,
                }
            };
            assert!((4..=8).contains(&calls), "seed {seed}: {calls} calls");
            assert!(end.0 <= 110 * S, "seed {seed}: then the module paces them, {end:?}");
        }
    }

    #[test]
    fn a_call_that_is_silent_from_the_start_is_given_up_in_time_for_another() {
        let mut silence = Silence::new(7);
        silence.opens(Micros(100 * S));
        let again = silence.ended(silence.until(), true).expect("the time runs from the call");
        assert!(again.0 < 104 * S);
        silence.opens(again);
        assert!(silence.until().0 < 106 * S);
    }

    #[test]
    fn an_outage_leaves_the_pace_to_the_module_and_silent_calls_wait_longer_each() {
        let mut silence = Silence::new(7);
        silence.opens(Micros(S));
        assert_eq!(silence.ended(Micros(2 * S), false), None, "503 with nothing silent");
        silence.opens(Micros(3 * S));
        silence.told();
        assert_eq!(silence.ended(Micros(4 * S), false), None, "a watch that ended: discovery went down");
        let (mut at, mut before) = (Micros(10 * S), 0);
        for n in 0..8 {
            silence.opens(at);
            let waits = silence.until().0 - at.0;
            assert!(n < 2 || waits >= before, "call {n}: {waits} after {before}");
            before = waits;
            at = silence.ended(silence.until(), true).unwrap_or(Micros(at.0 + 20 * S));
        }
        assert_eq!(before, OPENING << DOUBLED, "hundreds who wait in turn are waited out");
    }
}
