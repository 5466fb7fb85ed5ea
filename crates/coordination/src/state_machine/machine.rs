//! The replicated state, and the application of entries to it.
use crate::state_machine::applied_tickets::AppliedTickets;
use crate::state_machine::entry::{Command, Entry};
use cluster_types::{Index, MemberId};
use config_distribution::{Catalogue, WriteBatch};
use maintenance::{Effect, MaintenanceState, Rules};
use std::sync::Arc;

/// The number of bits by which the Unix time in milliseconds is shifted left in a log id.
const LOG_ID_TIME_SHIFT: u32 = 20;
/// The bits of the log id that hold the index of the creating entry.
const LOG_ID_INDEX_MASK: u64 = (1 << LOG_ID_TIME_SHIFT) - 1;

/// The outcome of applying an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// The member that waits for the outcome, and the ticket of its command. `None` if the command had no effect.
    pub by: Option<(MemberId, u64)>,
    /// The effects on planned maintenance.
    pub effects: Vec<Effect>,
    /// The change of the catalogue.
    pub catalogue: CatalogueChange,
}

/// How an entry changed the catalogue.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum CatalogueChange {
    /// The catalogue did not change.
    #[default]
    Unchanged,
    /// The catalogue was replaced by another one.
    Replaced,
    /// A write batch was applied.
    BatchApplied {
        /// The index of the entry.
        version: Index,
        /// The write batch.
        batch: Arc<WriteBatch>,
    },
}

/// The replicated state.
#[derive(Clone, Debug, Default)]
pub struct StateMachine {
    /// The index of the last entry that was applied.
    pub applied_index: Index,
    /// Planned maintenance.
    pub maintenance: MaintenanceState,
    /// The number of entries that could not be decoded.
    pub undecodable_entries: u64,
    /// The catalogue of configuration changes.
    pub catalogue: Catalogue,
    pub(crate) applied_tickets: AppliedTickets,
}

impl StateMachine {
    /// The state before the first entry.
    pub fn new() -> StateMachine {
        StateMachine { maintenance: MaintenanceState::new(Rules::default()), ..StateMachine::default() }
    }

    /// Applies an entry. One that cannot be decoded is counted and changes nothing else, which is the same at all members.
    pub fn apply(&mut self, index: Index, data: &[u8]) -> Applied {
        self.applied_index = index;
        let Ok(Entry { at_ms, by, ticket, command }) = postcard::from_bytes::<Entry>(data) else {
            self.undecodable_entries += 1;
            return Applied::default();
        };
        let mut applied = Applied::default();
        match command {
            Command::Maintenance(command) => {
                applied.effects = self.maintenance.apply(index, at_ms, &by, &command);
            }
            Command::CreateCatalogue => applied.catalogue = self.create_catalogue(index, at_ms),
            Command::ChangeConfig(batch) => match self.change_config(index, &by, ticket, batch) {
                Some(change) => applied.catalogue = change,
                None => return applied,
            },
        }
        applied.by = Some((by, ticket));
        applied
    }

    /// Creates the catalogue, unless there is one. The log id contains the time and the index, so that a later catalogue has a
    /// greater one and fleets have different ones.
    fn create_catalogue(&mut self, index: Index, at_ms: u64) -> CatalogueChange {
        if self.catalogue.log_id() != 0 {
            return CatalogueChange::Unchanged;
        }
        let log_id = (at_ms << LOG_ID_TIME_SHIFT) | (index.0 & LOG_ID_INDEX_MASK);
        self.catalogue = Catalogue::new(log_id);
        self.catalogue.advance(index);
        CatalogueChange::Replaced
    }

    /// Applies a write batch; returns `None` if there is no catalogue yet, or the batch is invalid or was applied before.
    fn change_config(
        &mut self,
        index: Index,
        by: &MemberId,
        ticket: u64,
        batch: WriteBatch,
    ) -> Option<CatalogueChange> {
        if self.catalogue.log_id() == 0 || batch.check().is_err() {
            return None;
        }
        if !self.applied_tickets.insert(by, ticket) {
            return None;
        }
        self.catalogue.apply(index, &batch);
        Some(CatalogueChange::BatchApplied { version: index, batch: Arc::new(batch) })
    }
}
