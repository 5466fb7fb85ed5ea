//! Plans: the operator's declaration, its check against the cluster, and the ordered steps.
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
    /// Moves out of a zone go before moves within a zone.
    #[default]
    ExportsFirst,
    /// Moves within a zone go before moves out of a zone.
    Last,
    /// No blocks leave their zone.
    Never,
}

/// The limits on the migrations of a plan. Stored: the fields keep their order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Bounds {
    /// The maximum number of concurrent migrations.
    pub max_migrations: u32,
    /// The maximum number of concurrent migrations from or to the same backend.
    pub max_per_backend: u32,
    /// The share of a backend's rate beyond its reservations that copying may use, in thousandths.
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

/// The backend on which a plan places blocks.
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
    /// The wanted placement of blocks.
    pub targets: Vec<Target>,
    /// The backends to be emptied, by any of their names.
    pub emptied: Vec<String>,
    /// The bounds.
    pub bounds: Bounds,
}

/// A step of a plan: one migration and its position in the order. Stored: the fields keep their order.
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
    /// The steps that must be done before: they free capacity, or move the range to the source backend of this step.
    pub after: Vec<u32>,
    /// Why, for operators.
    pub reason: String,
}
