//! A migrator's side: which blocks to copy next, at which rate, and which of them are done.
//!
//! The bytes stay with the host, which passes the orders to the scheduler as a background session: it pays credits, yields
//! to reservations, and keeps limits, drains and cold budgets. What the scheduler does not let through ends as refused.
use super::chunk::{Chunk, ChunkState};
use super::copy_order::{CopyOrder, CopyResult, CopyWork};
use crate::command::Command;
use crate::migration::Migration;
use crate::settings::Settings;
use crate::state::MAX_RANGES_PER_COMMAND;
use cluster_types::{BlockRange, Index, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// After so many failures without a success the migrator gives the copy to another member.
const MAX_FAILURES: u32 = 16;
/// The budget that one block costs: a microsecond's worth of one block a second.
const BUDGET_PER_BLOCK: u64 = 1_000_000;
/// The budget is limited to this many chunks.
const MAX_BUDGET_CHUNKS: u64 = 2;
/// The longest time that is paid for at once.
const MAX_PAID_SPAN: Duration = Duration::from_secs(1);
/// What was refused is tried again after this part of the report interval.
const REFUSAL_REST_DIVISOR: u32 = 4;

/// The copier of one migration under one assignment.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Copier {
    migration: Index,
    assignment: Index,
    settings: Settings,
    chunks: BTreeMap<u64, Chunk>,
    last_token: u64,
    /// Copied, and not yet removed from what is to be copied. Each with how far the log was applied before.
    copied: Vec<(BlockRange, Index)>,
    reported_at: Option<Time>,
    /// Whether something was copied since the last report.
    has_unreported: bool,
    /// In the unit of [`BUDGET_PER_BLOCK`].
    budget: u64,
    paid_at: Time,
    failures: u32,
}

impl Copier {
    pub(super) fn new(migration: Index, assignment: Index, settings: Settings, now: Time) -> Copier {
        // The first chunk is copied at once.
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
            paid_at: now,
            failures: 0,
        }
    }

    fn chunk_blocks(&self) -> u64 {
        self.settings.chunk_blocks.max(1)
    }

    /// Whether none of its orders is in flight, nor may still run.
    pub(super) fn is_idle(&self) -> bool {
        self.chunks.values().all(|chunk| matches!(chunk.state, ChunkState::Pending(_)))
    }

    /// Whether it fails so often that another member should copy.
    pub(super) fn is_failing(&self) -> bool {
        self.failures >= MAX_FAILURES
    }

    /// Drops what is not sent yet, and what has rested.
    pub(super) fn stop(&mut self, now: Time) {
        self.chunks.retain(|_, chunk| !matches!(chunk.state, ChunkState::Pending(_)));
        self.drop_rested(now);
    }

    fn drop_rested(&mut self, now: Time) {
        let has_rested = |state: &ChunkState| matches!(state, ChunkState::Resting { until } if *until < now);
        self.chunks.retain(|_, chunk| !has_rested(&chunk.state));
    }

    /// Adds to the budget what the time since the last call is worth. `spare_rate` is what the slower of both backends can
    /// do beyond reservations, in units a second, of which `share_permille` thousandths are taken.
    pub(super) fn pay(&mut self, now: Time, spare_rate: u64, share_permille: u32) {
        let span_us = now.since(self.paid_at).min(MAX_PAID_SPAN).as_micros();
        let pay = u128::from(spare_rate) * u128::from(share_permille) * span_us / 1000;
        let cap = self.chunk_blocks().saturating_mul(MAX_BUDGET_CHUNKS * BUDGET_PER_BLOCK);
        self.budget = self.budget.saturating_add(u64::try_from(pay).unwrap_or(u64::MAX)).min(cap);
        self.paid_at = now;
    }

    /// The next orders. `seen` is how far the log is applied; `lease_end` is the end of the member's lease.
    pub(super) fn next_orders(
        &mut self,
        now: Time,
        migration: &Migration,
        seen: Index,
        lease_end: Time,
    ) -> Vec<CopyOrder> {
        self.drop_rested(now);
        let is_left = |blocks: &BlockRange, seen: &Index| {
            migration.uncopied.within(*blocks).iter().any(|(_, touched)| touched <= seen)
        };
        self.copied.retain(|(blocks, seen)| is_left(blocks, seen));
        if now >= lease_end {
            return Vec::new();
        }
        while self.chunks.len() < self.settings.max_chunks.max(1)
            && self.copied.len() < MAX_RANGES_PER_COMMAND
        {
            if !self.begin_chunk(migration, seen) {
                break;
            }
        }
        self.send_pending(now, migration, lease_end)
    }

    /// Begins the next chunk. Returns false where nothing is left to copy, or the budget does not suffice.
    fn begin_chunk(&mut self, migration: &Migration, seen: Index) -> bool {
        let Some(blocks) = self.pick_chunk(migration) else { return false };
        let cost = blocks.len().saturating_mul(BUDGET_PER_BLOCK);
        let Some(budget) = self.budget.checked_sub(cost) else { return false };
        self.budget = budget;
        self.last_token += 1;
        let chunk = Chunk { blocks, seen, state: ChunkState::Pending(CopyWork::Read) };
        self.chunks.insert(self.last_token, chunk);
        true
    }

    fn send_pending(&mut self, now: Time, migration: &Migration, lease_end: Time) -> Vec<CopyOrder> {
        let range = &migration.range;
        let mut orders = Vec::new();
        for (token, chunk) in &mut self.chunks {
            let ChunkState::Pending(work) = chunk.state else { continue };
            chunk.state = ChunkState::InFlight { work, sent: now };
            let backend = if work == CopyWork::Read { &range.from } else { &range.to };
            orders.push(CopyOrder {
                migration: self.migration,
                assignment: self.assignment,
                token: *token,
                work,
                backend: backend.clone(),
                volume: range.volume.clone(),
                blocks: chunk.blocks,
                deadline: lease_end,
            });
        }
        orders
    }

    /// The first chunk that is to be copied and is neither in progress nor just copied.
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

    /// The first blocks within a run that are in progress, or copied since the run was touched.
    fn next_taken(&self, run: BlockRange, touched: Index) -> Option<BlockRange> {
        let copied = self.copied.iter().filter(|(_, seen)| touched <= *seen).map(|(blocks, _)| *blocks);
        let taken = self.chunks.values().map(|chunk| chunk.blocks).chain(copied);
        taken.filter(|blocks| blocks.overlaps(&run)).min_by_key(|blocks| blocks.first)
    }

    /// An order has ended.
    pub(super) fn finish(&mut self, token: u64, now: Time, result: CopyResult) {
        let Some(chunk) = self.chunks.get_mut(&token) else { return };
        let ChunkState::InFlight { work, sent } = chunk.state else { return };
        let next = match (result, work) {
            (CopyResult::Done, CopyWork::Read) => Some(ChunkState::Pending(CopyWork::Write)),
            (CopyResult::Done, CopyWork::Write) if self.settings.verify => {
                Some(ChunkState::Pending(CopyWork::Compare))
            }
            (CopyResult::Done, _) => {
                self.copied.push((chunk.blocks, chunk.seen));
                self.has_unreported = true;
                None
            }
            // What may still run must be over before the same blocks are written again.
            (CopyResult::Unknown, CopyWork::Write) => {
                Some(ChunkState::Resting { until: sent + self.settings.max_command_time })
            }
            // The scheduler holds it back for now.
            (CopyResult::Refused, _) => {
                let rest = self.settings.report_interval / REFUSAL_REST_DIVISOR;
                Some(ChunkState::Resting { until: now + rest })
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

    /// The report of what is copied that is due now: at once if it `is_urgent` and something was copied since, and again until it is in
    /// the log.
    pub(super) fn report(&mut self, now: Time, is_urgent: bool) -> Option<Command> {
        let interval = self.settings.report_interval;
        let has_waited = self.reported_at.is_none_or(|at| now.since(at) >= interval);
        let is_due = has_waited || (is_urgent && self.has_unreported);
        if self.copied.is_empty() || !is_due {
            return None;
        }
        self.reported_at = Some(now);
        self.has_unreported = false;
        let (migration, assignment) = (self.migration, self.assignment);
        Some(Command::ReportCopied { migration, assignment, chunks: self.copied.clone() })
    }
}
