//! Operators' HTTP calls, suspended backends and their files, the agent check and health checks.
pub mod config_calls;
pub mod coordination_calls;
pub mod health_checks;
pub mod operators;
pub mod suspension_files;
pub mod suspensions;
