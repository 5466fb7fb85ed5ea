//! Counters of the process, for operators and load balancers.
use scheduler::interface::Micros;
use std::cell::{Cell, RefCell};

/// The kinds of final answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerKind {
    /// The request was served.
    Served,
    /// It was rejected: nothing ran.
    Rejected,
    /// It failed, and may have run.
    Failed,
}

/// Final answers to the requests of one class.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerCounts {
    /// Requests that were served.
    pub served: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
}

/// Counters for operators and load balancers.
#[derive(Default)]
pub struct ProcessCounters {
    /// Final answers by class.
    pub answers: RefCell<Vec<AnswerCounts>>,
    /// Attempts that were sent completely.
    pub sent_attempts: Cell<u64>,
    /// Configuration files that were accepted since the start.
    pub reloads: Cell<u64>,
    /// Configuration files that were faulty.
    pub reload_errors: Cell<u64>,
    /// Open requests.
    pub open: Cell<usize>,
    /// Requests that have no answer yet.
    pub unanswered: Cell<usize>,
    /// The share of the last second's requests that were rejected, in percent.
    pub rejection_percent: Cell<u64>,
    /// How often the main thread was busy for so long that all clients were delayed.
    pub stalls: Cell<u64>,
    /// The longest of these times, in microseconds.
    pub longest_stall_us: Cell<i64>,
}

impl ProcessCounters {
    /// Counts a final answer to a request of a class.
    pub fn count_answer(&self, class: usize, kind: AnswerKind) {
        let mut answers = self.answers.borrow_mut();
        if answers.len() <= class {
            answers.resize(class + 1, AnswerCounts::default());
        }
        let counts = &mut answers[class];
        match kind {
            AnswerKind::Served => counts.served += 1,
            AnswerKind::Rejected => counts.rejected += 1,
            AnswerKind::Failed => counts.failed += 1,
        }
    }

    /// Counts a stall of the main thread.
    pub fn count_stall(&self, delay: Micros) {
        self.stalls.set(self.stalls.get() + 1);
        self.longest_stall_us.set(self.longest_stall_us.get().max(delay.0));
    }

    /// Counts an attempt that was sent completely.
    pub fn count_sent_attempt(&self) {
        self.sent_attempts.set(self.sent_attempts.get() + 1);
    }
}
