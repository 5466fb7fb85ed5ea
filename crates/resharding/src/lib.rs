//! Plans of where ranges belong, their moves, and who may write where. Free of I/O: it reads no clock and opens
//! no socket; the log, the boxes and the time are arguments.
//!
//! How a booking is kept from running on two sides:
//! - Every present front acknowledges a move before a block is copied. From then on it reads and writes the range
//!   under its lease only.
//! - One judgement takes rights away: [`Command::Away`]. The leader makes it when a front's lease has run out by
//!   more than the drift and the longest deadline, and gives that front no lease until it has applied the judgement.
//! - Each front reports which blocks it wrote behind the copy. What a front that is away wrote is not known, so
//!   the copy starts anew.
//! - Writes wait from the freeze until each front knows the new place; reads go on. They wait for at most
//!   [`Rules::hand_over_bound`], plus what the log itself takes.
//! - A front that was judged away owes its word: a deposed mover before hand-over is committed, every front
//!   before the old place is given to others. It gives it when it is heard again, or an operator excuses it.
//!
//! A write over the border of two ranges is split: all its parts are let through, or none; one ticket for all.
#![warn(clippy::all)]
use cluster_types::{Time, Volume};
use serde::{Deserialize, Serialize};
use std::time::Duration;

pub mod answers;
pub mod apply;
pub mod check;
pub mod command;
pub mod copier;
pub mod front;
pub mod gate;
pub mod judge;
pub mod leader;
pub mod moves;
pub mod order;
pub mod phase;
pub mod pieces;
pub mod placement;
pub mod plan;
pub mod planner;
pub mod runs;
pub mod tell;
pub mod view;
mod words;

pub use copier::{Copier, End, Order, Work};
pub use front::Front;
pub use gate::{Controlled, Ending, Gate, Kept, May, Part, Why};
pub use leader::{Leader, View};
pub use moves::{Command, Effect, Move, Moves, Phase, Standing};
pub use pieces::Pieces;
pub use placement::{Placed, Placement};
pub use plan::{Across, Bounds, Fault, Plan};
pub use planner::{plan_moves, Step};
pub use view::{BoxView, FleetView, VolumeView};

/// The spans and bounds that all fronts must have alike.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Rules {
    /// How long a front's right to ranges in motion lasts, counted from when it asked.
    pub lease: Duration,
    /// How far two steady clocks get apart during a lease, at most.
    pub drift: Duration,
    /// The longest time that a command to a box can be out, from when it is sent.
    pub longest: Duration,
    /// How long writes wait for all fronts to be quiet; then they go on at the old place.
    pub hand_over: Duration,
    /// How long until something unanswered is said again, and between reports of written blocks.
    pub report: Duration,
    /// So few blocks left to copy are small enough for a hand-over.
    pub small: u64,
    /// How many blocks are copied at once.
    pub chunk: u64,
    /// How many copies of a move are out at once.
    pub window: usize,
    /// Whether each copied chunk is read again and compared.
    pub verify: bool,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            lease: Duration::from_millis(2000),
            drift: Duration::from_millis(100),
            longest: Duration::from_millis(1000),
            hand_over: Duration::from_millis(300),
            report: Duration::from_millis(200),
            small: 256,
            chunk: 64,
            window: 4,
            verify: true,
        }
    }
}

impl Rules {
    /// How long after its last grant a front's lease is surely out and its commands are ended.
    pub fn expired_after(&self) -> Duration {
        self.lease + self.drift + self.longest
    }

    /// How long writes to a range wait at its hand-over at most, beside the time that the log takes.
    pub fn hand_over_bound(&self) -> Duration {
        self.hand_over + self.expired_after()
    }

    /// Until when a lease that was asked for at that time lasts, on the clock of the front that asked.
    pub fn until(&self, asked: Time) -> Time {
        asked + self.lease
    }
}

/// The shard of a volume among so many: the same on every start.
pub fn shard(volume: &Volume, of: u32) -> u32 {
    let hash = volume
        .0
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3));
    u32::try_from(hash % u64::from(of.max(1))).unwrap_or(0)
}
