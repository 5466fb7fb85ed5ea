//! The copier of a migrator: selects the blocks to copy next, limits the copy rate, and keeps track of copied blocks.
//!
//! The host holds the data and submits the tasks to the scheduler as a background session, which pays credits, yields
//! to reservations, and observes limits, drains and cold budgets. Tasks that the scheduler does not admit end as
//! refused.
use super::chunk::{Chunk, ChunkState};
use super::copy_task::{CopyOperation, CopyResult, CopyTask};
use crate::command::Command;
use crate::migration::Migration;
use crate::settings::Settings;
use crate::state::MAX_RANGES_PER_COMMAND;
use cluster_types::{BlockRange, Index, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// The migrator gives up its assignment, so that another member copies, after this many consecutive failures.
const MAX_FAILURES: u32 = 16;
/// The cost of one block: the budget grows by 1 per microsecond at a rate of one block per second.
const BUDGET_PER_BLOCK: u64 = 1_000_000;
/// The maximum budget, in chunks.
const MAX_BUDGET_CHUNKS: u64 = 2;
/// The maximum elapsed time that one refill counts.
const MAX_REFILL_SPAN: Duration = Duration::from_secs(1);
/// Refused chunks are retried after the report interval divided by this.
const REFUSAL_DELAY_DIVISOR: u32 = 4;

/// The copier of one migration under one assignment.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Copier {
    migration: Index,
    assignment: Index,
    settings: Settings,
    chunks: BTreeMap<u64, Chunk>,
    last_token: u64,
    /// Copied blocks that the log does not show as copied yet, each with the last log index applied before they were
    /// read.
    copied: Vec<(BlockRange, Index)>,
    reported_at: Option<Time>,
    /// Whether something was copied since the last report.
    has_unreported: bool,
    /// In units of which one block costs [`BUDGET_PER_BLOCK`].
    budget: u64,
    refilled_at: Time,
    failures: u32,
}

impl Copier {
    pub(super) fn new(migration: Index, assignment: Index, settings: Settings, now: Time) -> Copier {
        // Suffices to copy the first chunk immediately.
        let budget = settings.chunk_blocks.max(1).saturating_mul(BUDGET_PER_BLOCK);
        Copier {
            migration,
            assignment,
            settings,
            chunks: BTreeMap::new(),
            last_token: 0,
            copied: Vec::new(),
            reported_at: None,
            has_unreported: false,
            budget,
            refilled_at: now,
            failures: 0,
        }
    }

    fn chunk_blocks(&self) -> u64 {
        self.settings.chunk_blocks.max(1)
    }

    /// Whether no task is in flight or may still run.
    pub(super) fn is_idle(&self) -> bool {
        self.chunks.values().all(|chunk| matches!(chunk.state, ChunkState::Pending(_)))
    }

    /// Whether copies fail so often that another member should take over.
    pub(super) fn is_failing(&self) -> bool {
        self.failures >= MAX_FAILURES
    }

    /// Drops the chunks that have not been sent yet and those whose delay has passed.
    pub(super) fn stop(&mut self, now: Time) {
        self.chunks.retain(|_, chunk| !matches!(chunk.state, ChunkState::Pending(_)));
        self.drop_delayed(now);
    }

    fn drop_delayed(&mut self, now: Time) {
        let is_delay_over =
            |state: &ChunkState| matches!(state, ChunkState::Delayed { until } if *until < now);
        self.chunks.retain(|_, chunk| !is_delay_over(&chunk.state));
    }

    /// Refills the budget for the time since the last call. `spare_rate` is the rate of the slower of the two backends
    /// beyond its reservations, in units per second; copying may take `share_permille` thousandths of it.
    pub(super) fn refill_budget(&mut self, now: Time, spare_rate: u64, share_permille: u32) {
        let span_us = now.since(self.refilled_at).min(MAX_REFILL_SPAN).as_micros();
        let refill = u128::from(spare_rate) * u128::from(share_permille) * span_us / 1000;
        let cap = self.chunk_blocks().saturating_mul(MAX_BUDGET_CHUNKS * BUDGET_PER_BLOCK);
        self.budget = self.budget.saturating_add(u64::try_from(refill).unwrap_or(u64::MAX)).min(cap);
        self.refilled_at = now;
    }

    /// Returns the next tasks. `read_index` is the last applied log index; `lease_end` is the end of the member's
    /// lease.
    pub(super) fn next_tasks(
        &mut self,
        now: Time,
        migration: &Migration,
        read_index: Index,
        lease_end: Time,
    ) -> Vec<CopyTask> {
        self.drop_delayed(now);
        let is_unconfirmed = |blocks: &BlockRange, read_index: &Index| {
            migration.uncopied.within(*blocks).iter().any(|(_, touched)| touched <= read_index)
        };
        self.copied.retain(|(blocks, read_index)| is_unconfirmed(blocks, read_index));
        if now >= lease_end {
            return Vec::new();
        }
        while self.chunks.len() < self.settings.max_chunks.max(1)
            && self.copied.len() < MAX_RANGES_PER_COMMAND
        {
            if !self.begin_chunk(migration, read_index) {
                break;
            }
        }
        self.send_pending(now, migration, lease_end)
    }

    /// Begins the next chunk. Returns false if nothing is left to copy or the budget is too small.
    fn begin_chunk(&mut self, migration: &Migration, read_index: Index) -> bool {
        let Some(blocks) = self.pick_chunk(migration) else { return false };
        let cost = blocks.len().saturating_mul(BUDGET_PER_BLOCK);
        let Some(budget) = self.budget.checked_sub(cost) else { return false };
        self.budget = budget;
        self.last_token += 1;
        let chunk = Chunk { blocks, read_index, state: ChunkState::Pending(CopyOperation::Read) };
        self.chunks.insert(self.last_token, chunk);
        true
    }

    fn send_pending(&mut self, now: Time, migration: &Migration, lease_end: Time) -> Vec<CopyTask> {
        let range = &migration.range;
        let mut tasks = Vec::new();
        for (token, chunk) in &mut self.chunks {
            let ChunkState::Pending(operation) = chunk.state else { continue };
            chunk.state = ChunkState::InFlight { operation, sent: now };
            let backend = if operation == CopyOperation::Read { &range.from } else { &range.to };
            tasks.push(CopyTask {
                migration: self.migration,
                assignment: self.assignment,
                token: *token,
                operation,
                backend: backend.clone(),
                volume: range.volume.clone(),
                blocks: chunk.blocks,
                deadline: lease_end,
            });
        }
        tasks
    }

    /// Returns the first chunk of uncopied blocks that is neither in progress nor already copied.
    fn pick_chunk(&self, migration: &Migration) -> Option<BlockRange> {
        let max_blocks = self.chunk_blocks();
        let mut picked: Option<BlockRange> = None;
        for (run, touched) in migration.uncopied.iter() {
            let mut first = run.first;
            while first < run.end {
                if picked.is_some_and(|blocks| blocks.end != first || blocks.len() >= max_blocks) {
                    return picked;
                }
                let next = self.next_taken(BlockRange { first, end: run.end }, touched);
                if let Some(taken) = next.filter(|taken| taken.first <= first) {
                    if picked.is_some() {
                        return picked;
                    }
                    first = taken.end;
                    continue;
                }
                let start = picked.map_or(first, |blocks| blocks.first);
                let end = next.map_or(run.end, |taken| taken.first).min(start.saturating_add(max_blocks));
                picked = Some(BlockRange { first: start, end });
                first = end;
            }
        }
        picked
    }

    /// Returns the first blocks within a run that are in progress, or were copied after the run was touched.
    fn next_taken(&self, run: BlockRange, touched: Index) -> Option<BlockRange> {
        let copied =
            self.copied.iter().filter(|(_, read_index)| touched <= *read_index).map(|(blocks, _)| *blocks);
        let taken = self.chunks.values().map(|chunk| chunk.blocks).chain(copied);
        taken.filter(|blocks| blocks.overlaps(&run)).min_by_key(|blocks| blocks.first)
    }

    /// Records the result of a task.
    pub(super) fn finish(&mut self, token: u64, now: Time, result: CopyResult) {
        let Some(chunk) = self.chunks.get_mut(&token) else { return };
        let ChunkState::InFlight { operation, sent } = chunk.state else { return };
        let next = match (result, operation) {
            (CopyResult::Done, CopyOperation::Read) => Some(ChunkState::Pending(CopyOperation::Write)),
            (CopyResult::Done, CopyOperation::Write) if self.settings.verify => {
                Some(ChunkState::Pending(CopyOperation::Compare))
            }
            (CopyResult::Done, _) => {
                self.copied.push((chunk.blocks, chunk.read_index));
                self.has_unreported = true;
                None
            }
            // A write that may still run must have ended before the same blocks are written again.
            (CopyResult::Unknown, CopyOperation::Write) => {
                Some(ChunkState::Delayed { until: sent + self.settings.max_command_time })
            }
            // The scheduler does not admit the task at present.
            (CopyResult::Refused, _) => {
                let delay = self.settings.report_interval / REFUSAL_DELAY_DIVISOR;
                Some(ChunkState::Delayed { until: now + delay })
            }
            (CopyResult::Unknown | CopyResult::Differs, _) => None,
        };
        match next {
            Some(state) => chunk.state = state,
            None => {
                self.chunks.remove(&token);
            }
        }
        match result {
            CopyResult::Done => self.failures = 0,
            CopyResult::Refused => {}
            CopyResult::Differs | CopyResult::Unknown => self.failures = self.failures.saturating_add(1),
        }
    }

    /// Returns the report of copied blocks if one is due: at each interval until the log has it, or immediately if
    /// `is_urgent` and blocks were copied since the last report.
    pub(super) fn report(&mut self, now: Time, is_urgent: bool) -> Option<Command> {
        let interval = self.settings.report_interval;
        let has_waited_interval = self.reported_at.is_none_or(|at| now.since(at) >= interval);
        let is_due = has_waited_interval || (is_urgent && self.has_unreported);
        if self.copied.is_empty() || !is_due {
            return None;
        }
        self.reported_at = Some(now);
        self.has_unreported = false;
        let (migration, assignment) = (self.migration, self.assignment);
        Some(Command::ReportCopied { migration, assignment, chunks: self.copied.clone() })
    }
}
