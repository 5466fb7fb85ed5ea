//! The limits of descriptors and memory, derived from the configuration and shared with another process of the gateway.
use crate::context::{Context, OtherProcess};

/// The process's own descriptors: standard streams, polling, signals, listeners, discovery.
const OWN_DESCRIPTORS: usize = 32;
/// Descriptors that both of two processes leave free, for those that each opens between two checks of the other.
const HANDOVER_MARGIN: usize = 16;
/// The most descriptors that are used, whatever the configuration allows.
const MAX_DESCRIPTORS: usize = 1024;
/// The most memory that is used, in MiB, whatever the configuration allows.
const MAX_MEMORY_MB: u64 = 192;

impl Context {
    /// Descriptors in use.
    pub fn used_descriptors(&self) -> usize {
        OWN_DESCRIPTORS + self.gauges.client_connections.get() + self.gauges.backend_connections.get()
    }

    /// The descriptor limit: what another process does not use, and at least a quarter of the configured limit.
    fn descriptor_limit(&self) -> usize {
        let all = self.config().limits.sockets.min(MAX_DESCRIPTORS);
        match self.lifecycle.other_process.get() {
            OtherProcess::None => all,
            OtherProcess::Predecessor(used) | OtherProcess::Successor(used) => {
                all.saturating_sub(used + HANDOVER_MARGIN).max(all / 4)
            }
        }
    }

    /// The memory limit in bytes; half of it while another process is alive.
    pub fn memory_limit(&self) -> usize {
        let all = self.config().limits.memory_mb.min(MAX_MEMORY_MB) as usize * 1024 * 1024;
        if self.lifecycle.other_process.get() == OtherProcess::None {
            all
        } else {
            all / 2
        }
    }

    /// Descriptors for clients: three fifths of those beyond the process's own. They must suffice for regular clients beside bursts of
    /// connections and stalled ones; backends need fewer, since their connections are reused.
    pub fn client_limit(&self) -> usize {
        let all = self.descriptor_limit();
        (all - OWN_DESCRIPTORS.min(all / 2)) * 3 / 5
    }

    /// The number of client connections from which on descriptors for clients count as nearly exhausted.
    pub fn client_exhaustion_threshold(&self) -> usize {
        (self.descriptor_limit() / 4).min(self.client_limit())
    }

    /// Descriptors for clients over the limit, which are rejected and closed.
    pub fn over_limit_clients(&self) -> usize {
        (self.descriptor_limit() / 16).max(1)
    }

    /// The bytes of responses that may wait for their clients: an eighth of the memory.
    pub fn unsent_limit(&self) -> usize {
        self.memory_limit() / 8
    }

    /// Whether clients' ring buffers exceed their limit, beyond what each may use uncounted: an eighth of the memory.
    ///
    /// Together with open requests, their bodies on the way to backends, and unsent responses that makes half of the memory;
    /// arriving replies may use a quarter.
    pub fn are_rings_full(&self) -> bool {
        self.gauges.ring_bytes.get() > self.unsent_limit()
    }

    /// The longest value that is buffered completely, in bytes: a thirty-second of the memory, and at least 64 KiB.
    pub fn max_value_bytes(&self) -> usize {
        (self.unsent_limit() / 4).max(resp::MAX_VALUE_BYTES)
    }

    /// Whether arriving replies exceed their limit: a quarter of the memory.
    pub fn is_arriving_full(&self) -> bool {
        self.gauges.arriving_bytes.get() > 2 * self.unsent_limit()
    }

    /// Descriptors for backends: what the other uses leave.
    pub fn backend_connection_limit(&self) -> usize {
        let all = self.descriptor_limit();
        (all - OWN_DESCRIPTORS.min(all / 2))
            .saturating_sub(self.client_limit() + self.over_limit_clients())
            .max(1)
    }
}
