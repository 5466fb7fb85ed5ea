//! Snapshots of the replicated state.
use crate::state_machine::applied_tickets::AppliedTickets;
use crate::state_machine::machine::StateMachine;
use cluster_types::Index;
use config_distribution::{Change, Scope};
use serde::{Deserialize, Serialize};

/// The catalogue in a snapshot. Part of the stored format: the order of the fields is fixed.
#[derive(Serialize, Deserialize)]
struct CatalogueSnapshot {
    log_id: u64,
    applied_index: Index,
    changes: Vec<Change>,
    applied_tickets: AppliedTickets,
}

impl StateMachine {
    /// Encodes the state.
    ///
    /// # Errors
    ///
    /// Returns the encoder's error; none is known for a state that results from entries.
    pub fn snapshot(&self) -> Result<Vec<u8>, postcard::Error> {
        let state = (self.applied_index, &self.maintenance, self.undecodable_entries);
        let bytes = postcard::to_stdvec(&state)?;
        // The catalogue comes last, so that versions without catalogues can decode what precedes it.
        if self.catalogue.log_id() == 0 {
            return Ok(bytes);
        }
        let changes = self.catalogue.chunk(&Scope::Everything, None, usize::MAX).entries;
        let catalogue = CatalogueSnapshot {
            log_id: self.catalogue.log_id(),
            applied_index: self.catalogue.applied(),
            changes,
            applied_tickets: self.applied_tickets.clone(),
        };
        postcard::to_extend(&catalogue, bytes)
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error for bytes that are not a snapshot.
    pub fn restore(bytes: &[u8]) -> Result<StateMachine, postcard::Error> {
        let ((applied_index, maintenance, undecodable_entries), rest) = postcard::take_from_bytes(bytes)?;
        let mut state =
            StateMachine { applied_index, maintenance, undecodable_entries, ..StateMachine::default() };
        if !rest.is_empty() {
            let stored: CatalogueSnapshot = postcard::from_bytes(rest)?;
            state.catalogue.restore(stored.log_id, &stored.changes, stored.applied_index);
            state.applied_tickets = stored.applied_tickets;
        }
        Ok(state)
    }
}
