//! The thread that writes to disk.
//!
//! Batches of the log and states of the maintenance agent are written in the order in which they arrive. After a write has
//! failed, no later one is executed until the store has been reopened.
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
