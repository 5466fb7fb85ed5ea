//! What is known of one hall: what was measured here, and what others say.
use crate::latency::Latencies;
use crate::rules::Rules;
use cluster_types::Time;
use std::time::Duration;

/// How a hall is judged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Waited for to the end.
    #[default]
    Well,
    /// Asked, and waited for as long as it usually takes.
    Doubted,
    /// Asked only for a trial, or where there is no answer without it.
    CutOff,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct News {
    pub doubt: f32,
    pub sources: u32,
    /// When they found it, on this process's clock.
    pub found: Time,
}

/// What is told of it to others.
pub(crate) struct Word {
    pub well: bool,
    pub slow: bool,
    pub unreached: bool,
    pub weight: f32,
    pub age: Duration,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Known {
    stage: Stage,
    /// How many more gathers had no answer than had one; none below.
    score: u32,
    /// Gathers in a row without an answer; how many of them could not reach it at all.
    misses: u32,
    unreached: u32,
    answers: u32,
    relapses: u32,
    well_since: Option<Time>,
    last_own: Option<Time>,
    last_answer: Option<Time>,
    usual: Latencies,
    /// The last answer that came too late.
    late: Option<(Duration, Time)>,
    pub news: Option<News>,
    pub last_trial: Option<Time>,
    pub since_trial: u32,
}

impl Known {
    /// What it usually takes, with a margin.
    pub fn usual(&self, rules: &Rules) -> Duration {
        match self.usual.quantile(rules.quantile) {
            Some(span) => stretched(span, rules.margin).max(rules.least_wait),
            None => rules.unknown,
        }
    }

    /// How slow it was of late, with a margin, where an answer came too late.
    pub fn slow(&self, now: Time, rules: &Rules) -> Option<Duration> {
        let (span, at) = self.late?;
        (now.since(at) < rules.news_lasts).then(|| stretched(span, rules.margin))
    }

    fn expire(&mut self, now: Time, rules: &Rules) {
        if self.last_own.is_some_and(|at| now.since(at) >= rules.own_lasts) {
            (self.stage, self.misses, self.unreached, self.answers) = (Stage::Well, 0, 0, 0);
            (self.score, self.relapses, self.well_since) = (0, 0, None);
        }
        self.last_own = Some(now);
    }

    /// It answered. `counts` is true once a gather: many parts at once are one sign.
    pub fn answered(&mut self, now: Time, took: Duration, counts: bool, rules: &Rules) {
        self.usual.add(took);
        if !counts {
            return;
        }
        self.expire(now, rules);
        self.last_answer = Some(now);
        (self.misses, self.unreached) = (0, 0);
        self.score = self.score.saturating_sub(1);
        self.answers = self.answers.saturating_add(1);
        match self.stage {
            Stage::Well => {}
            Stage::CutOff => (self.stage, self.answers) = (Stage::Doubted, 1),
            Stage::Doubted if self.answers >= rules.well_answers << self.relapses => {
                (self.stage, self.well_since) = (Stage::Well, Some(now));
                (self.late, self.score) = (None, 0);
            }
            Stage::Doubted => {}
        }
    }

    /// A gather ended without its answer, though it waited long enough, or it could not be reached.
    pub fn missed(&mut self, now: Time, unreached: bool, rules: &Rules) {
        self.expire(now, rules);
        self.answers = 0;
        self.misses = self.misses.saturating_add(1);
        self.score = self.score.saturating_add(1).min(rules.cut_misses);
        self.unreached = self.unreached.saturating_add(u32::from(unreached));
        if self.stage == Stage::Well && self.score >= rules.doubt_misses {
            // Guards against a hall that comes and goes: each time it has to answer for longer.
            let relapse = self.well_since.is_some_and(|at| now.since(at) < rules.flap_window);
            self.relapses = if relapse { (self.relapses + 1).min(3) } else { 0 };
            self.stage = Stage::Doubted;
        }
        if self.misses >= rules.cut_misses {
            self.stage = Stage::CutOff;
        }
    }

    /// It answered so slowly that nobody waited for it any more.
    pub fn late(&mut self, now: Time, took: Duration) {
        self.late = Some((took, now));
    }

    /// The judgement on what was measured here alone.
    pub fn own(&self, now: Time, rules: &Rules) -> Stage {
        match self.last_own {
            Some(at) if now.since(at) < rules.own_lasts => self.stage,
            _ => Stage::Well,
        }
    }

    /// The judgement on others' word, as far as it counts here. It is nothing against a hall that answered here since, or
    /// answers here now. It cuts off only where several say so and something was missed here as well; else it is doubt,
    /// under which the hall is still asked, and waited for as long as it usually takes.
    fn others(&self, now: Time, rules: &Rules) -> Stage {
        let Some(news) = self.news.filter(|n| now.since(n.found) < rules.news_lasts) else {
            return Stage::Well;
        };
        let answers_here = self
            .last_answer
            .is_some_and(|at| at >= news.found || (self.misses == 0 && now.since(at) < rules.fresh));
        if answers_here || news.doubt < rules.doubt_from || news.sources == 0 {
            Stage::Well
        } else if news.sources >= rules.sources && news.doubt >= rules.cut_from && self.misses > 0 {
            Stage::CutOff
        } else {
            Stage::Doubted
        }
    }

    /// The judgement on both.
    pub fn judged(&self, now: Time, rules: &Rules) -> Stage {
        self.own(now, rules).max(self.others(now, rules))
    }

    /// Whether others found it well since the last trial here: worth a trial of its own soon.
    pub fn found_well(&self, now: Time, rules: &Rules) -> bool {
        let newer = |n: &News| self.last_trial.is_none_or(|at| n.found > at);
        let well = |n: &News| n.sources > 0 && n.doubt < rules.doubt_from / 2.0;
        self.news.is_some_and(|n| now.since(n.found) < rules.news_lasts && newer(&n) && well(&n))
    }

    /// Whether only others doubt it: nothing was missed here.
    pub fn hearsay(&self, now: Time, rules: &Rules) -> bool {
        self.misses == 0 && self.own(now, rules) == Stage::Well
    }

    /// What is told to others: only what was measured here, so that no word is passed round and round.
    pub fn observed(&self, now: Time, rules: &Rules) -> Option<Word> {
        let found = self.last_own.filter(|at| now.since(*at) < rules.own_lasts)?;
        let stage = self.own(now, rules);
        let weight = match stage {
            // One miss or two are no word against it, and none for it.
            Stage::Well if self.score > 0 => return None,
            Stage::Well => 1.0,
            _ if self.misses == 0 => 0.5,
            _ => (self.score.max(self.misses) as f32 / rules.cut_misses.max(1) as f32).min(1.0),
        };
        Some(Word {
            well: self.misses == 0,
            slow: self.slow(now, rules).is_some(),
            unreached: self.unreached * 2 > self.misses,
            weight,
            age: now.since(found),
        })
    }
}

/// A span with a margin, in whole microseconds as all time is. Guards against a wait that, cut to microseconds, would be
/// shorter than the span that it was made from, and then tell nothing.
fn stretched(span: Duration, margin: f64) -> Duration {
    Duration::from_micros((span.as_micros() as f64 * margin) as u64)
}
