//! Counters of what was done and rejected.
use std::fmt;

/// What was done and rejected since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Probes started.
    pub probes_started: u64,
    /// Probes without an answer, direct or indirect.
    pub probes_failed: u64,
    /// Reports of this member's suspicion, death or leaving that it refuted.
    pub refutations: u64,
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Their bytes, with IP and UDP headers.
    pub bytes_sent: u64,
    /// Messages deferred, since the bound of bytes was reached.
    pub messages_deferred: u64,
    /// Messages dropped: too many were deferred, or one for too long.
    pub messages_dropped: u64,
    /// Packets without enough space for all the members and claims in which two views differed.
    pub syncs_truncated: u64,
    /// Signed messages that were malformed.
    pub malformed: u64,
    /// Messages that are answered at most, since they may be older than this incarnation.
    pub not_fresh: u64,
    /// Members and messages from addresses that are not allowed.
    pub disallowed_addresses: u64,
    /// Members beyond the bound of the table.
    pub members_over_limit: u64,
    /// Claims and observations rejected: out of bounds, of an unknown source, or one too many.
    pub claims_rejected: u64,
    /// Claims in this member's name that it never made, and replaced.
    pub claims_refuted: u64,
    /// Times at which this process was found to have been stalled.
    pub stalls: u64,
}

/// The form in which the operators' status text shows them. Scripts may read it: it is independent of the fields' names.
impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Figures")
            .field("probes", &self.probes_started)
            .field("failed", &self.probes_failed)
            .field("refuted", &self.refutations)
            .field("sent", &self.datagrams_sent)
            .field("bytes", &self.bytes_sent)
            .field("put_off", &self.messages_deferred)
            .field("dropped", &self.messages_dropped)
            .field("filled", &self.syncs_truncated)
            .field("malformed", &self.malformed)
            .field("unsure", &self.not_fresh)
            .field("strangers", &self.disallowed_addresses)
            .field("crowded", &self.members_over_limit)
            .field("claims_refused", &self.claims_rejected)
            .field("claims_disowned", &self.claims_refuted)
            .field("stood_still", &self.stalls)
            .finish()
    }
}
