//! The state and how an entry changes it.
use crate::state_machine::applied_tickets::AppliedTickets;
use crate::state_machine::entry::{Command, Entry};
use cluster_types::{Index, MemberId};
use config_distribution::{Catalogue, WriteBatch};
use maintenance::{Effect, MaintenanceState, Rules};
use std::sync::Arc;

/// How far the Unix time in milliseconds is shifted in the id of a catalogue's log.
const LOG_ID_TIME_SHIFT: u32 = 20;
/// The bits of the log id that hold the index of the creating entry.
const LOG_ID_INDEX_MASK: u64 = (1 << LOG_ID_TIME_SHIFT) - 1;

/// What applying an entry led to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// The member that waits for the outcome, and its id of the command. `None` where the command had no effect.
    pub by: Option<(MemberId, u64)>,
    /// The effects on planned maintenance.
    pub effects: Vec<Effect>,
    /// What became of the catalogue.
    pub catalogue: CatalogueChange,
}

/// How an entry changed the catalogue.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum CatalogueChange {
    /// Not at all.
    #[default]
    Unchanged,
    /// It is another catalogue.
    Replaced,
    /// An order was added.
    Ordered {
        /// The index of the entry.
        version: Index,
        /// The order.
        order: Arc<WriteBatch>,
    },
}

/// The replicated state.
#[derive(Clone, Debug, Default)]
pub struct StateMachine {
    /// The index of the last entry that was applied.
    pub applied_index: Index,
    /// Planned maintenance.
    pub maintenance: MaintenanceState,
    /// How many entries could not be decoded.
    pub undecodable_entries: u64,
    /// The configuration changes.
    pub catalogue: Catalogue,
    pub(crate) applied_tickets: AppliedTickets,
}

impl StateMachine {
    /// The state before the first entry.
    pub fn new() -> StateMachine {
        StateMachine { maintenance: MaintenanceState::new(Rules::default()), ..StateMachine::default() }
    }

    /// Applies an entry. One that cannot be decoded changes nothing, the same at all members, and is counted.
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
            Command::ChangeConfig(order) => match self.change_config(index, &by, ticket, order) {
                Some(change) => applied.catalogue = change,
                None => return applied,
            },
        }
        applied.by = Some((by, ticket));
        applied
    }

    /// Creates the catalogue, unless there is one. A later one has a greater log id, and no two fleets have the same.
    fn create_catalogue(&mut self, index: Index, at_ms: u64) -> CatalogueChange {
        if self.catalogue.log_id() != 0 {
            return CatalogueChange::Unchanged;
        }
        let log_id = (at_ms << LOG_ID_TIME_SHIFT) | (index.0 & LOG_ID_INDEX_MASK);
        self.catalogue = Catalogue::new(log_id);
        self.catalogue.advance(index);
        CatalogueChange::Replaced
    }

    /// Adds an order; `None` where there is no catalogue yet, the order is invalid, or it was applied before.
    fn change_config(
        &mut self,
        index: Index,
        by: &MemberId,
        ticket: u64,
        order: WriteBatch,
    ) -> Option<CatalogueChange> {
        if self.catalogue.log_id() == 0 || order.check().is_err() {
            return None;
        }
        if !self.applied_tickets.insert(by, ticket) {
            return None;
        }
        self.catalogue.apply(index, &order);
        Some(CatalogueChange::Ordered { version: index, order: Arc::new(order) })
    }
}
