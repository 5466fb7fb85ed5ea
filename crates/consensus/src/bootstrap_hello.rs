//! The reports that the bootstrapping member receives from the others.
use cluster_types::Time;

/// A member's report that its store holds no bootstrapped log.
#[derive(Clone, Debug)]
pub(crate) struct BootstrapHello {
    pub(crate) incarnation: u64,
    pub(crate) term: u64,
    pub(crate) received_at: Time,
}
