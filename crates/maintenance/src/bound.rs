//! The bounds on what may be out of service.
use cluster_types::{Volume, Zone};
use std::fmt;

/// A bound that a grant may not exceed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Bound {
    /// The number of all backends that are out of service.
    Total,
    /// Their number in a zone.
    Zone(Zone),
    /// Their number among those that store a volume.
    Volume(Volume),
    /// The capacity that is reserved for a volume.
    Reservation(Volume),
}

impl fmt::Display for Bound {
    /// The wording of the operators' interface.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Bound::Total => f.write_str("as many are out as may be in the whole"),
            Bound::Zone(zone) => write!(f, "as many are out as may be in hall {zone}"),
            Bound::Volume(volume) => write!(f, "as many are out as may be of volume {volume}"),
            Bound::Reservation(volume) => {
                write!(f, "volume {volume} would be left without what is reserved")
            }
        }
    }
}
