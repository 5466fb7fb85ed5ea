//! Plans: what an operator declares, the check against the cluster, and the ordered steps.
mod check;
mod cluster_view;
mod demand;
mod error;
mod file;
mod names;
mod pieces;
mod step_order;

pub use cluster_view::{BackendView, CapacityError, ClusterView, Occupancy, VolumeView};
pub use error::{PlanError, PlanProblem};
pub use pieces::PieceMap;
pub use step_order::{check_occupancy, order_steps};

use cluster_types::{BackendId, BlockRange, Volume};
use serde::{Deserialize, Serialize};

/// How migrations between zones are ordered. Stored: the variants keep their order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CrossZoneOrder {
    /// What leaves a zone goes before what moves within one.
    #[default]
    ExportsFirst,
    /// What moves within a zone goes first.
    Last,
    /// Nothing leaves its zone.
    Never,
}

/// The bounds that the migrations of a plan keep. Stored: the fields keep their order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Bounds {
    /// How many migrations run at the same time.
    pub max_migrations: u32,
    /// How many of them from or to the same backend.
    pub max_per_backend: u32,
    /// The part that copying may take of what a backend can do beyond reservations, in thousandths.
    pub copy_share_permille: u32,
    /// How migrations between zones are ordered.
    pub cross_zone: CrossZoneOrder,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            max_migrations: 1,
            max_per_backend: 1,
            copy_share_permille: 250,
            cross_zone: CrossZoneOrder::ExportsFirst,
        }
    }
}

/// Where a plan wants blocks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The volume.
    pub volume: Volume,
    /// The blocks.
    pub blocks: BlockRange,
    /// The backend, by any of its names.
    pub backend: String,
}

/// A plan as it was read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Where blocks are wanted.
    pub targets: Vec<Target>,
    /// Backends to be emptied, by any of their names.
    pub emptied: Vec<String>,
    /// The bounds.
    pub bounds: Bounds,
}

/// A step of a plan: one migration in the order that is taken. Stored: the fields keep their order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Step {
    /// Its number in the order, from 1.
    pub id: u32,
    /// The volume.
    pub volume: Volume,
    /// The blocks.
    pub blocks: BlockRange,
    /// The backend that has them.
    pub from: BackendId,
    /// The backend that gets them.
    pub to: BackendId,
    /// The steps that have to be done before: they free capacity, or bring the range to where it goes from.
    pub after: Vec<u32>,
    /// Why, for operators.
    pub reason: String,
}
