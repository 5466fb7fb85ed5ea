//! The bounds on the backends that may be out of service.
use cluster_types::{Volume, Zone};
use std::fmt;

/// A bound that a grant may not exceed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Bound {
    /// The number of backends that are out of service.
    Total,
    /// The number of backends of a zone that are out of service.
    Zone(Zone),
    /// The number of backends that store a volume and are out of service.
    Volume(Volume),
    /// The capacity that must remain available for a volume.
    Reservation(Volume),
}

impl fmt::Display for Bound {
    /// Writes the text of the operator interface.
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
