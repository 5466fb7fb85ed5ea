//! This gateway as a member of the coordination group.
pub mod measurements;
pub mod member;
