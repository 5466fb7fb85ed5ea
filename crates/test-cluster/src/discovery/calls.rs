//! Calls that came, and what became of them.
use super::{Inner, Manner};
use crate::engine::lock;
use std::time::Duration;

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered with what it asked for.
    Answered,
    /// It was told 503 because of its turn: it would wait or has waited too long, or too many callers wait.
    TurnedAway,
    /// It was told 503 because of [`Manner::Unavailable`].
    Unavailable,
    /// Its caller went before it was answered, or its connection was reset.
    Left,
}

/// A call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// At which door.
    pub front: String,
    /// When it had come.
    pub at: Duration,
    /// When and what became of it; none where it still waits.
    pub outcome: Option<(Duration, Outcome)>,
}

/// A call that waits; it has left where it is dropped without another outcome.
pub(super) struct Open<'a> {
    inner: &'a Inner,
    number: usize,
}

impl Open<'_> {
    pub(super) fn end(&self, outcome: Outcome) {
        let at = self.inner.clock.now();
        if let Some(call) = lock(&self.inner.state).calls.get_mut(self.number) {
            call.outcome.get_or_insert((at, outcome));
        }
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.end(Outcome::Left);
    }
}

impl Inner {
    pub(super) fn came(&self, front: &str) -> Open<'_> {
        let mut state = lock(&self.state);
        state.calls.push(Call { front: front.into(), at: self.clock.now(), outcome: None });
        Open { inner: self, number: state.calls.len() - 1 }
    }

    pub(super) fn manner(&self) -> Manner {
        lock(&self.state).manner
    }

    /// Waits until its manner is such a one.
    pub(super) async fn manner_that(&self, wanted: impl Fn(Manner) -> bool) {
        loop {
            let changed = self.changed.listen();
            if wanted(self.manner()) {
                return;
            }
            changed.await;
        }
    }
}
