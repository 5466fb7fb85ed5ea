//! A queue of calls that are served one at a time.
use super::Inner;
use crate::runtime::lock;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

/// When a call that waits too long is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectionTiming {
    /// On arrival, if the expected wait is too long.
    OnArrival,
    /// Once it has waited too long.
    AfterWait,
}

/// How calls are queued.
#[derive(Clone, Copy, Debug)]
pub struct QueuePolicy {
    /// Cost of a call that is answered.
    pub answer_cost: Duration,
    /// Cost of a call that is rejected; it is spent at the call's place in the queue.
    pub rejection_cost: Duration,
    /// Limit on the time that a call waits to be served.
    pub max_wait: Duration,
    /// When a call that waits too long is rejected.
    pub rejection: RejectionTiming,
    /// Limit on the calls that wait; further ones are rejected on arrival.
    pub max_waiting: usize,
}

enum TicketState {
    Waits(Sender<()>),
    Rejected,
    Left,
}

struct Ticket {
    arrived_at: Duration,
    policy: QueuePolicy,
    state: TicketState,
}

/// The queue.
#[derive(Default)]
pub(super) struct Queue {
    pub(super) policy: Option<QueuePolicy>,
    tickets: VecDeque<Ticket>,
    /// The number of the first ticket.
    first_number: u64,
    /// The cost of all tickets, and how many of them wait.
    pending_work: Duration,
    waiting: usize,
    /// When the work that was begun ends. Computed from costs, so that delays of the machine do not add up.
    busy_until: Duration,
}

enum NextStep {
    Idle,
    Until(Duration),
    Serve(Duration, Sender<()>),
}

impl Queue {
    fn join(&mut self, now: Duration, policy: QueuePolicy) -> Option<(u64, Receiver<()>)> {
        let expected_wait = self.busy_until.saturating_sub(now) + self.pending_work;
        let is_too_late = policy.rejection == RejectionTiming::OnArrival && expected_wait > policy.max_wait;
        let (notify, notified) = async_channel::bounded(1);
        let is_accepted = !is_too_late && self.waiting < policy.max_waiting;
        let state = if is_accepted { TicketState::Waits(notify) } else { TicketState::Rejected };
        self.pending_work += if is_accepted { policy.answer_cost } else { policy.rejection_cost };
        self.waiting += usize::from(is_accepted);
        self.tickets.push_back(Ticket { arrived_at: now, policy, state });
        is_accepted.then_some((self.first_number + self.tickets.len() as u64 - 1, notified))
    }

    /// Ends the wait of a call; returns whether it was waiting.
    fn leave(&mut self, number: u64, is_rejected: bool) -> bool {
        let at = number.checked_sub(self.first_number).and_then(|at| usize::try_from(at).ok());
        let Some(ticket) = at.and_then(|at| self.tickets.get_mut(at)) else { return false };
        if !matches!(ticket.state, TicketState::Waits(_)) {
            return false;
        }
        ticket.state = if is_rejected { TicketState::Rejected } else { TicketState::Left };
        self.waiting -= 1;
        self.pending_work = self.pending_work.saturating_sub(ticket.policy.answer_cost);
        self.pending_work += if is_rejected { ticket.policy.rejection_cost } else { Duration::ZERO };
        true
    }

    fn next_step(&mut self, now: Duration) -> NextStep {
        while let Some(ticket) = self.tickets.front() {
            let (arrived_at, policy) = (ticket.arrived_at, ticket.policy);
            let starts_at = self.busy_until.max(arrived_at);
            if starts_at > now && !matches!(ticket.state, TicketState::Left) {
                return NextStep::Until(starts_at);
            }
            let Some(ticket) = self.tickets.pop_front() else { break };
            self.first_number += 1;
            match ticket.state {
                TicketState::Left => {}
                TicketState::Rejected => {
                    self.pending_work = self.pending_work.saturating_sub(policy.rejection_cost);
                    self.busy_until = starts_at + policy.rejection_cost;
                }
                TicketState::Waits(notify) => {
                    self.pending_work = self.pending_work.saturating_sub(policy.answer_cost);
                    self.waiting -= 1;
                    self.busy_until = starts_at + policy.answer_cost;
                    return NextStep::Serve(self.busy_until, notify);
                }
            }
        }
        NextStep::Idle
    }
}

/// Serves one call after another.
pub(super) async fn run(inner: Arc<Inner>) {
    let until = |at| Timer::at(inner.clock.instant(at));
    loop {
        let joined = inner.joined.listen();
        let next_step = lock(&inner.queue).next_step(inner.clock.now());
        match next_step {
            NextStep::Idle => joined.await,
            NextStep::Until(at) => drop(until(at).await),
            NextStep::Serve(at, notify) => {
                until(at).await;
                let _ = notify.try_send(());
            }
        }
    }
}

/// Gives up the place in the queue when the caller leaves.
struct PlaceInQueue<'a>(&'a Inner, u64);

impl Drop for PlaceInQueue<'_> {
    fn drop(&mut self) {
        lock(&self.0.queue).leave(self.1, false);
    }
}

/// Waits to be served; returns whether the call is to be answered.
pub(super) async fn wait_turn(inner: &Inner) -> bool {
    let now = inner.clock.now();
    let (policy, joined) = {
        let mut queue = lock(&inner.queue);
        let Some(policy) = queue.policy else { return true };
        (policy, queue.join(now, policy))
    };
    inner.joined.notify(1);
    let Some((number, notified)) = joined else { return false };
    let place_in_queue = PlaceInQueue(inner, number);
    let served = async { notified.recv().await.is_ok() };
    let late = async {
        Timer::at(inner.clock.instant(now + policy.max_wait)).await;
        // A call that is already being served is not rejected.
        if !lock(&inner.queue).leave(number, true) {
            future::pending::<()>().await;
        }
        false
    };
    let answered = future::or(served, late).await;
    drop(place_in_queue);
    answered
}
