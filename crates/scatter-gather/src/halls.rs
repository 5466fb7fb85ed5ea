//! What is known of each hall, and how long waiting for it is worth it.
use crate::hall::{Known, News, Stage};
use crate::rules::Rules;
use cluster_types::{Time, Zone};
use std::collections::BTreeMap;
use std::time::Duration;

/// So many halls are known; what is said of others is counted and ignored, and they are waited for to the end.
pub const MOST_HALLS: usize = 256;

/// What others say of a hall, as membership has put it together.
#[derive(Clone, Debug, PartialEq)]
pub struct HallNews {
    /// The hall.
    pub hall: Zone,
    /// How much they doubt it, from 0 to 1.
    pub doubt: f32,
    /// How many say so, without this process.
    pub sources: u32,
    /// How long ago the newest of them found it.
    pub age: Duration,
}

/// How a hall was found here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It answers.
    Well,
    /// It answers too late.
    Slow,
    /// It can't be reached, or errors.
    Failing,
    /// Nothing comes.
    Silent,
}

/// What is to be told to others of a hall.
#[derive(Clone, Debug, PartialEq)]
pub struct Observed {
    /// The hall.
    pub hall: Zone,
    /// How it was found.
    pub kind: Kind,
    /// How sure that is, from 0 to 1.
    pub weight: f32,
    /// How long ago it was found so.
    pub age: Duration,
    /// How long it may count.
    pub lasts: Duration,
}

/// What a gather does about a hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outlook {
    /// Whether its parts are asked at all.
    pub ask: bool,
    /// For how long they are waited for.
    pub wait: Duration,
    /// Whether this is a trial.
    pub trial: bool,
}

/// What is known of the halls.
#[derive(Clone, Debug)]
pub struct Halls {
    own: Option<Zone>,
    rules: Rules,
    known: BTreeMap<Zone, Known>,
    version: u64,
    /// News that could not be read: a doubt that is none.
    pub malformed: u64,
    /// News and measurements of halls beyond the bound.
    pub beyond: u64,
}

impl Halls {
    /// Nothing known yet. `own` is the hall in which this process stands; without it each hall is a remote one.
    pub fn new(own: Option<Zone>, rules: Rules) -> Halls {
        Halls { own, rules, known: BTreeMap::new(), version: 0, malformed: 0, beyond: 0 }
    }

    /// Whether a hall is another than the own one.
    pub fn is_remote(&self, hall: &Zone) -> bool {
        self.own.as_ref() != Some(hall)
    }

    /// Grows whenever a judgement has changed, so that open gathers are told.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// How a hall is judged now.
    pub fn stage(&self, now: Time, hall: &Zone) -> Stage {
        self.known.get(hall).map_or(Stage::Well, |k| k.judged(now, &self.rules))
    }

    /// How long waiting for a hall is worth it, of the time left for it.
    pub fn worth_waiting(&self, now: Time, hall: &Zone, left: Duration) -> Duration {
        self.wait(now, hall, left, false)
    }

    /// The same; where a hall is `needed` (no answer without it) it is waited for as in a trial, and to the end where
    /// only others doubt it: wrong word fails nothing.
    pub(crate) fn wait(&self, now: Time, hall: &Zone, left: Duration, needed: bool) -> Duration {
        let Some(known) = self.known.get(hall) else { return left };
        let slow = known.slow(now, &self.rules);
        let long = slow.unwrap_or_default().max(known.usual(&self.rules)).min(left);
        match known.judged(now, &self.rules) {
            Stage::Well => left,
            _ if needed && known.hearsay(now, &self.rules) => left,
            _ if needed => long,
            Stage::CutOff => Duration::ZERO,
            // It won't come in time: only a trial waits for that.
            Stage::Doubted if slow.is_some_and(|s| s > left) => self.rules.least_wait.min(left),
            Stage::Doubted => long,
        }
    }

    /// What a gather that begins does about a hall; called once a hall. A needed one is always asked.
    pub fn outlook(&mut self, now: Time, hall: &Zone, left: Duration, needed: bool) -> Outlook {
        let wait = self.wait(now, hall, left, needed);
        let Some(known) = self.known.get_mut(hall) else { return Outlook { ask: true, wait, trial: false } };
        let stage = known.judged(now, &self.rules);
        if stage == Stage::Well {
            return Outlook { ask: true, wait, trial: false };
        }
        let rules = &self.rules;
        let since = known.last_trial.map(|at| now.since(at));
        known.since_trial = known.since_trial.saturating_add(1);
        let early = known.since_trial >= rules.trial_every || known.found_well(now, rules);
        let due = since.is_none_or(|s| s >= rules.trial_after || (s >= rules.trial_gap && early));
        // A trial that can't wait as long as the hall takes finds nothing out; such a one is left to a later gather,
        // unless none had the time for long.
        let able = left >= known.usual(rules) || since.is_none_or(|s| s >= rules.trial_after * 2);
        let trial = due && able;
        if trial {
            (known.last_trial, known.since_trial) = (Some(now), 0);
        }
        // Where it was too slow of late, what it usually takes is enough to find it well: its answer is heard in any case.
        let long = known.slow(now, rules).filter(|s| *s <= left).unwrap_or_default().max(known.usual(rules));
        let wait = if trial { wait.max(long.min(left)) } else { wait };
        Outlook { ask: trial || needed || stage != Stage::CutOff, wait, trial }
    }

    /// Whether a part that waited so long without an answer tells anything of the hall.
    fn telling(&self, hall: &Zone, waited: Duration) -> bool {
        let usual = self.known.get(hall).map_or(self.rules.unknown, |k| k.usual(&self.rules));
        waited >= usual.min(self.rules.tells)
    }

    /// A part was answered in time; `counts` for the first of a hall in a gather.
    pub fn answered(&mut self, now: Time, hall: &Zone, took: Duration, counts: bool) {
        self.change(now, hall, |known, rules| known.answered(now, took, counts, rules));
    }

    /// A gather ended without any answer of a hall, having waited so long. A wait too short to tell is ignored.
    pub fn silent(&mut self, now: Time, hall: &Zone, waited: Duration) {
        if self.telling(hall, waited) {
            self.change(now, hall, |known, rules| known.missed(now, false, rules));
        }
    }

    /// A gather ended without any answer of a hall, and a part could not reach it.
    pub fn unreached(&mut self, now: Time, hall: &Zone) {
        self.change(now, hall, |known, rules| known.missed(now, true, rules));
    }

    /// A part was answered after its gather had ended. One that was as quick as usual counts as an answer.
    pub fn late(&mut self, now: Time, hall: &Zone, took: Duration) {
        match self.telling(hall, took) {
            true => self.change(now, hall, |known, _| known.late(now, took)),
            false => self.answered(now, hall, took, true),
        }
    }

    /// Takes what others say; the newest word replaces what was said before.
    pub fn heard(&mut self, now: Time, news: &HallNews) {
        if !(0.0..=1.0).contains(&news.doubt) {
            self.malformed += 1;
            return;
        }
        let news_of = News { doubt: news.doubt, sources: news.sources, found: now - news.age };
        self.change(now, &news.hall, |known, _| known.news = Some(news_of));
    }

    /// What is to be told to others: only what was measured here.
    pub fn observed(&self, now: Time) -> Vec<Observed> {
        let word = |(hall, known): (&Zone, &Known)| {
            let found = known.observed(now, &self.rules)?;
            let kind = match found.well {
                true => Kind::Well,
                false if found.slow => Kind::Slow,
                false if found.unreached => Kind::Failing,
                false => Kind::Silent,
            };
            let (hall, lasts) = (hall.clone(), self.rules.news_lasts);
            Some(Observed { hall, kind, weight: found.weight, age: found.age, lasts })
        };
        self.known.iter().filter_map(word).collect()
    }

    fn change(&mut self, now: Time, hall: &Zone, how: impl FnOnce(&mut Known, &Rules)) {
        if !self.known.contains_key(hall) && self.known.len() >= MOST_HALLS {
            self.beyond += 1;
            return;
        }
        let known = self.known.entry(hall.clone()).or_default();
        let before = known.judged(now, &self.rules);
        how(known, &self.rules);
        if known.judged(now, &self.rules) != before {
            self.version += 1;
        }
    }
}
