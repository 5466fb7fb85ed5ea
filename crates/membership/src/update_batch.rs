//! The updates of one packet.
use crate::wire::Update;

/// A list of updates with a maximum encoded size.
pub struct UpdateBatch {
    updates: Vec<Update>,
    remaining_bytes: usize,
}

impl UpdateBatch {
    pub fn new(max_bytes: usize) -> UpdateBatch {
        UpdateBatch { updates: Vec::new(), remaining_bytes: max_bytes }
    }

    /// Adds an update if it fits, and returns whether it did.
    pub fn push(&mut self, update: Update) -> bool {
        let size = update.encoded_size();
        let fits = size <= self.remaining_bytes;
        if fits {
            self.remaining_bytes -= size;
            self.updates.push(update);
        }
        fits
    }

    pub fn into_updates(self) -> Vec<Update> {
        self.updates
    }
}
