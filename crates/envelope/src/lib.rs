//! Signed and replay-proof messages between fronts.
