//! When a hall is in doubt, and when it is well again.
use std::time::Duration;

/// When a hall is in doubt, and when it is well again.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// A hall that is not well has a trial at each such gather,
    pub trial_every: u32,
    /// but not before this time has passed,
    pub trial_gap: Duration,
    /// and at the latest after this time.
    pub trial_after: Duration,
    /// The least that is waited for a hall that is asked.
    pub least_wait: Duration,
    /// What a hall takes that nothing is known of.
    pub unknown: Duration,
    /// How much longer than usual (the quantile of what it took) a hall in doubt is waited for.
    pub margin: f64,
    /// That quantile.
    pub quantile: f64,
    /// A wait of this length without an answer always tells something, however slow the hall was before.
    pub tells: Duration,
    /// So many more gathers without an answer than with one put a hall in doubt,
    pub doubt_misses: u32,
    /// and so many in a row without one cut it off.
    pub cut_misses: u32,
    /// So many answers in a row make it well; twice as many at each relapse, eight times at most.
    pub well_answers: u32,
    /// A relapse is doubt so soon after it was found well.
    pub flap_window: Duration,
    /// How long what was measured here counts.
    pub own_lasts: Duration,
    /// How long what others say counts, from when they found it.
    pub news_lasts: Duration,
    /// A hall that answered here so lately is not doubted on others' word.
    pub fresh: Duration,
    /// The doubt of others from which a hall is in doubt here,
    pub doubt_from: f32,
    /// and that from which it is cut off,
    pub cut_from: f32,
    /// if so many sources say so.
    pub sources: u32,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            trial_every: 16,
            trial_gap: Duration::from_millis(100),
            trial_after: Duration::from_secs(1),
            least_wait: Duration::from_millis(10),
            unknown: Duration::from_millis(200),
            margin: 1.5,
            quantile: 0.95,
            tells: Duration::from_millis(500),
            doubt_misses: 3,
            cut_misses: 6,
            well_answers: 3,
            flap_window: Duration::from_secs(30),
            own_lasts: Duration::from_secs(60),
            news_lasts: Duration::from_secs(10),
            fresh: Duration::from_millis(500),
            doubt_from: 0.5,
            cut_from: 0.8,
            sources: 2,
        }
    }
}
