//! Boxes taken out for work, in an order that the fronts settle.
//!
//! Two halves, both without I/O. [`Desk`] is the replicated state machine: all fronts apply the same log and come to the
//! same state; the log's leader asks [`Desk::propose`] what to put into the log next, and [`Desk::apply`] checks every
//! rule again by the replicated facts, so that a late proposal of a deposed leader breaks nothing. [`FrontSide`] is a
//! front's own machine: it follows what the desk orders of this front, as far as its lease goes.
//!
//! What counts as out: a box that is granted, until it is warm again; one that died by itself; one that is cold; one that
//! discovery no longer lists, for `gone_ms`. A grant never makes more of them than [`Rules`] state. What breaks by itself may
//! well do so; then nothing goes out but what is dead itself, to be repaired, and of that never more at once than stated.
//!
//! Times in the log are the leaders' Unix times, which differ by what their clocks do. Nothing that protects a bound hangs
//! on them: they only judge deadlines, what is overdue, how old a measure is and when a gone box is forgotten. The stages of
//! coming back go by spans on the leader's steady clock ([`Watch`]).
#![deny(missing_docs)]

mod back;
mod bounds;
mod command;
mod desk;
mod facts;
mod front;
mod grants;
mod hold;
mod propose;
mod roster;
mod rules;
mod share;
mod status;
mod watch;
mod why;
mod wish;

pub use back::Returning;
pub use bounds::Bound;
pub use command::{Command, Effect, Presence};
pub use desk::Desk;
pub use facts::{BoxFact, VolumeFact};
pub use front::{Action, Event, FrontSide, Kept, Order, Report, Share};
pub use grants::Grant;
pub use propose::View;
pub use roster::Seat;
pub use rules::{Fault, Rules};
pub use share::parts;
pub use status::Status;
pub use watch::Watch;
pub use why::Why;
pub use wish::{Fate, Wish};

/// The bounds of what the desk holds; what goes beyond is refused.
pub mod limits {
    /// Wishes that are open.
    pub const WISHES: usize = 64;
    /// Boxes of a wish.
    pub const BOXES: usize = 64;
    /// Boxes of all wishes that are open.
    pub const WAITING: usize = 512;
    /// Bytes of a wish's name.
    pub const NAME: usize = 128;
    /// Wishes that have ended and are remembered.
    pub const HISTORY: usize = 256;
    /// Boxes known.
    pub const KNOWN: usize = 4096;
    /// Volumes known.
    pub const VOLUMES: usize = 8192;
    /// Boxes of a volume.
    pub const CARRIERS: usize = 256;
    /// Fronts known.
    pub const FRONTS: usize = 256;
    /// Boxes or volumes in one `Observe`.
    pub const OBSERVED: usize = 128;
}
