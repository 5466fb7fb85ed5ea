//! Status codes (SAM-5).

/// The command succeeded.
pub const GOOD: u8 = 0x00;
/// The command failed; sense data gives the reason.
pub const CHECK_CONDITION: u8 = 0x02;
/// The logical unit can't accept the command now.
pub const BUSY: u8 = 0x08;
/// The logical unit has no resources for another command.
pub const TASK_SET_FULL: u8 = 0x28;
