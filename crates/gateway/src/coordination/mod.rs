//! This gateway as a member of the coordination group.
pub mod member;
