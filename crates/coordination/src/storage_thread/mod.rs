//! The thread that writes to disk.
//!
//! Batches of the log and this member's part in maintenance are written in the order in which they arrive. After a write has
//! failed, none that arrived later is carried out until the store has been opened again.
mod batch;
mod error;
mod message;
mod store;
mod writer;

pub use batch::{store_change, stored_state};
pub use error::StoreError;
pub use message::{WriteReport, WriteRequest};
pub use store::{Store, StoreChange, StoreContent};
pub use writer::run;
