//! Counters of protocol activity and rejections.
use std::fmt;

/// Protocol activity and rejections since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Probes started.
    pub probes_started: u64,
    /// Probes with neither a direct nor an indirect answer.
    pub probes_failed: u64,
    /// Reports of this member as suspect, dead or left that it refuted.
    pub refutations: u64,
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Bytes sent, including IP and UDP headers.
    pub bytes_sent: u64,
    /// Messages deferred because the send budget was exhausted.
    pub messages_deferred: u64,
    /// Messages dropped: too many were deferred, one was deferred for too long, or one couldn't be sent.
    pub messages_dropped: u64,
    /// Packets without space for all members and claims in which two views differ.
    pub syncs_truncated: u64,
    /// Validly signed but malformed messages, and invalid lists of seeds.
    pub malformed: u64,
    /// Messages that may predate this incarnation: pings among them are answered, otherwise they are ignored.
    pub not_fresh: u64,
    /// Members and messages with disallowed addresses.
    pub disallowed_addresses: u64,
    /// Members rejected because the member table was full.
    pub members_over_limit: u64,
    /// Claims and observations rejected: out of bounds, of an unknown source, or over the limit of their source.
    pub claims_rejected: u64,
    /// Claims in this member's name that it didn't make in this incarnation, and replaced.
    pub claims_refuted: u64,
    /// Detected stalls of this process.
    pub stalls: u64,
}

/// The format of the operators' status text. Scripts may parse it, so it doesn't depend on the names of the Rust fields.
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
