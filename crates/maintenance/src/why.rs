//! Why something did not go, in plain words.
use crate::bounds::Bound;
use crate::rules::Fault;
use cluster_types::BackendId;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Why a command changed nothing, or why a wish waits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Why {
    /// Its place in the log was applied before.
    Old,
    /// It came before something that has changed since.
    Late,
    /// No such wish, grant, box or front.
    Unknown,
    /// The name stands for another wish.
    NameTaken,
    /// A bound of the desk.
    Full,
    /// It asks for nothing, or for too much.
    Malformed,
    /// That box is not listed.
    NotListed(BackendId),
    /// That box is out already, or still comes back.
    Busy(BackendId),
    /// Measures are too old.
    Stale,
    /// No front is known to serve.
    NoFronts,
    /// Only a front itself can say so.
    NotItsWord,
    /// That front is not present.
    NotPresent,
    /// One more out would go beyond it.
    Bound(Bound),
    /// A wish that has waited longer goes first.
    Behind(String),
    /// The parts are more than the stage gives.
    TooMuch,
    /// The box is not warm, or not at its last stage.
    NotWarm,
    /// Rules that make no sense.
    Rules(Fault),
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Why::Old => f.write_str("was applied before"),
            Why::Late => f.write_str("came too late: the state has changed since"),
            Why::Unknown => f.write_str("is not known"),
            Why::NameTaken => f.write_str("the name stands for another wish"),
            Why::Full => f.write_str("no more can be held"),
            Why::Malformed => f.write_str("asks for nothing, or for too much"),
            Why::NotListed(id) => write!(f, "box {id} is not listed"),
            Why::Busy(id) => write!(f, "box {id} is out, or still comes back"),
            Why::Stale => f.write_str("measures are too old"),
            Why::NoFronts => f.write_str("no front is known to serve"),
            Why::NotItsWord => f.write_str("only the front itself can say so"),
            Why::NotPresent => f.write_str("the front is not present"),
            Why::Bound(bound) => write!(f, "{bound}"),
            Why::Behind(name) => write!(f, "wish {name} has waited longer"),
            Why::TooMuch => f.write_str("the parts are more than the stage gives"),
            Why::NotWarm => f.write_str("the box is not warm, or not at its last stage"),
            Why::Rules(fault) => write!(f, "{fault}"),
        }
    }
}
