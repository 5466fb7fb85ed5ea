//! Calls to discovery, and their outcomes.
use super::{Inner, Mode};
use crate::runtime::lock;
use std::time::Duration;

/// Outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered as requested.
    Answered,
    /// Answered 503 by the queue: the call would wait or has waited too long, or too many calls wait.
    Rejected,
    /// Answered 503 because of [`Mode::Unavailable`].
    Unavailable,
    /// The caller closed the connection before the answer, or the connection was reset.
    Left,
}

/// A call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The caller on whose address it was received.
    pub gateway: String,
    /// Time at which it was received.
    pub at: Duration,
    /// Its outcome and the time of it; none while the call waits.
    pub outcome: Option<(Duration, Outcome)>,
}

/// A call that waits. If it is dropped without an outcome, the caller has left.
pub(super) struct OpenCall<'a> {
    inner: &'a Inner,
    number: usize,
}

impl OpenCall<'_> {
    pub(super) fn end(&self, outcome: Outcome) {
        let at = self.inner.clock.now();
        if let Some(call) = lock(&self.inner.state).calls.get_mut(self.number) {
            call.outcome.get_or_insert((at, outcome));
        }
    }
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.end(Outcome::Left);
    }
}

impl Inner {
    pub(super) fn register_call(&self, gateway: &str) -> OpenCall<'_> {
        let mut state = lock(&self.state);
        state.calls.push(Call { gateway: gateway.into(), at: self.clock.now(), outcome: None });
        OpenCall { inner: self, number: state.calls.len() - 1 }
    }

    pub(super) fn mode(&self) -> Mode {
        lock(&self.state).mode
    }

    /// Waits until the mode is one of those wanted.
    pub(super) async fn wait_for_mode(&self, wanted: impl Fn(Mode) -> bool) {
        loop {
            let changed = self.changed.listen();
            if wanted(self.mode()) {
                return;
            }
            changed.await;
        }
    }
}
