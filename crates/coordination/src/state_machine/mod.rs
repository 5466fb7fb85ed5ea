//! The replicated state machine.
pub mod machine;
