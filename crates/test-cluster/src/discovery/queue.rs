//! Calls that are taken in turn, one after the other.
use super::Inner;
use crate::engine::lock;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// When a call is told that it waits too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// At once, where that is foreseen.
    Foreseen,
    /// Once it has waited so long.
    Late,
}

/// How calls are taken in turn.
#[derive(Clone, Copy, Debug)]
pub struct Turns {
    /// What a call costs that is answered.
    pub answer: Duration,
    /// What a call costs that is turned away; it takes that at its place in the turn.
    pub refuse: Duration,
    /// The longest that a call waits for its turn.
    pub wait: Duration,
    /// When it is told that it waits too long.
    pub refusal: Refusal,
    /// So many calls may wait; one more is turned away at once.
    pub callers: usize,
}

enum Place {
    Waits(Sender<()>),
    TurnedAway,
    Left,
}

struct Ticket {
    came: Duration,
    turns: Turns,
    place: Place,
}

/// The turn.
#[derive(Default)]
pub(super) struct Queue {
    pub(super) turns: Option<Turns>,
    tickets: VecDeque<Ticket>,
    /// The number of the first of them.
    first: u64,
    /// The work of all of them, and how many wait.
    load: Duration,
    waiting: usize,
    /// When the work that was begun ends. The machine's slowness does not add up.
    free: Duration,
}

enum Step {
    Idle,
    Until(Duration),
    Serve(Duration, Sender<()>),
}

impl Queue {
    fn join(&mut self, now: Duration, turns: Turns) -> Option<(u64, Receiver<()>)> {
        let ahead = self.free.saturating_sub(now) + self.load;
        let foreseen = turns.refusal == Refusal::Foreseen && ahead > turns.wait;
        let (tell, told) = async_channel::bounded(1);
        let stays = !foreseen && self.waiting < turns.callers;
        let place = if stays { Place::Waits(tell) } else { Place::TurnedAway };
        self.load += if stays { turns.answer } else { turns.refuse };
        self.waiting += usize::from(stays);
        self.tickets.push_back(Ticket { came: now, turns, place });
        stays.then_some((self.first + self.tickets.len() as u64 - 1, told))
    }

    /// Nobody waits at that place any more; whether somebody had.
    fn leave(&mut self, number: u64, refused: bool) -> bool {
        let at = number.checked_sub(self.first).and_then(|at| usize::try_from(at).ok());
        let Some(ticket) = at.and_then(|at| self.tickets.get_mut(at)) else { return false };
        if !matches!(ticket.place, Place::Waits(_)) {
            return false;
        }
        ticket.place = if refused { Place::TurnedAway } else { Place::Left };
        self.waiting -= 1;
        self.load = self.load.saturating_sub(ticket.turns.answer);
        self.load += if refused { ticket.turns.refuse } else { Duration::ZERO };
        true
    }

    fn step(&mut self, now: Duration) -> Step {
        while let Some(ticket) = self.tickets.front() {
            let (came, turns) = (ticket.came, ticket.turns);
            let begins = self.free.max(came);
            if begins > now && !matches!(ticket.place, Place::Left) {
                return Step::Until(begins);
            }
            let Some(ticket) = self.tickets.pop_front() else { break };
            self.first += 1;
            match ticket.place {
                Place::Left => {}
                Place::TurnedAway => {
                    self.load = self.load.saturating_sub(turns.refuse);
                    self.free = begins + turns.refuse;
                }
                Place::Waits(tell) => {
                    self.load = self.load.saturating_sub(turns.answer);
                    self.waiting -= 1;
                    self.free = begins + turns.answer;
                    return Step::Serve(self.free, tell);
                }
            }
        }
        Step::Idle
    }
}

/// Takes one call after the other.
pub(super) async fn work(inner: Arc<Inner>) {
    let until = |at| Timer::at(inner.clock.instant(at));
    loop {
        let joined = inner.joined.listen();
        let step = lock(&inner.queue).step(inner.clock.now());
        match step {
            Step::Idle => joined.await,
            Step::Until(at) => drop(until(at).await),
            Step::Serve(at, tell) => {
                until(at).await;
                let _ = tell.try_send(());
            }
        }
    }
}

/// Gives the place up where the caller goes.
struct Held<'a>(&'a Inner, u64);

impl Drop for Held<'_> {
    fn drop(&mut self) {
        lock(&self.0.queue).leave(self.1, false);
    }
}

/// Waits for the turn; whether the call is to be answered.
pub(super) async fn turn(inner: &Inner) -> bool {
    let now = inner.clock.now();
    let (turns, joined) = {
        let mut queue = lock(&inner.queue);
        let Some(turns) = queue.turns else { return true };
        (turns, queue.join(now, turns))
    };
    inner.joined.notify(1);
    let Some((number, told)) = joined else { return false };
    let held = Held(inner, number);
    let served = async { told.recv().await.is_ok() };
    let late = async {
        Timer::at(inner.clock.instant(now + turns.wait)).await;
        // What has been begun is ended.
        if !lock(&inner.queue).leave(number, true) {
            future::pending::<()>().await;
        }
        false
    };
    let answered = future::or(served, late).await;
    drop(held);
    answered
}
