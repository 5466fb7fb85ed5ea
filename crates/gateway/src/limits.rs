//! The limits of descriptors and memory, derived from the configuration and shared with another process of the gateway.
use crate::context::{Context, OtherProcess};

/// The process's own descriptors: standard streams, polling, signals, listeners, discovery.
const OWN_DESCRIPTORS: usize = 32;
/// Descriptors that neither of two processes uses, for those that both open between two checks of each other.
const HANDOVER_MARGIN: usize = 16;
/// The most descriptors that are used, whatever the configuration allows.
const MAX_DESCRIPTORS: usize = 1024;
/// The most memory that is used, in MiB, whatever the configuration allows.
const MAX_MEMORY_MB: u64 = 192;

impl Context {
    /// Descriptors in use.
    pub fn used_descriptors(&self) -> usize {
        OWN_DESCRIPTORS + self.gauges.clients.get() + self.gauges.upstream.get()
    }

    /// Descriptors that may be used in all: what another process does not use, and a quarter at least.
    fn descriptors(&self) -> usize {
        let all = self.config().limits.sockets.min(MAX_DESCRIPTORS);
        match self.lifecycle.other.get() {
            OtherProcess::None => all,
            OtherProcess::Predecessor(held) | OtherProcess::Successor(held) => {
                all.saturating_sub(held + HANDOVER_MARGIN).max(all / 4)
            }
        }
    }

    /// The memory limit in bytes; half of it while another process is alive.
    pub fn memory(&self) -> usize {
        let all = self.config().limits.memory_mb.min(MAX_MEMORY_MB) as usize * 1024 * 1024;
        if self.lifecycle.other.get() == OtherProcess::None {
            all
        } else {
            all / 2
        }
    }

    /// Descriptors for clients: three fifths of those beside the process's own. Regular clients share them with crowds and stalled
    /// connections; backends, whose connections are reused, need fewer.
    pub fn client_limit(&self) -> usize {
        let all = self.descriptors();
        (all - OWN_DESCRIPTORS.min(all / 2)) * 3 / 5
    }

    /// The number of client connections from which on nearly none are left.
    pub fn exhausted_clients(&self) -> usize {
        (self.descriptors() / 4).min(self.client_limit())
    }

    /// Descriptors for clients over the limit, which are rejected and closed.
    pub fn over_limit_clients(&self) -> usize {
        (self.descriptors() / 16).max(1)
    }

    /// The bytes of responses that may wait for their clients: an eighth of the memory.
    pub fn unsent_limit(&self) -> usize {
        self.memory() / 8
    }

    /// Whether clients' ring buffers use all that they may beyond what each may use uncounted: an eighth of the memory.
    ///
    /// Together with open requests, their bodies on the way to backends, and unsent responses that makes half of the memory;
    /// arriving replies may use a quarter.
    pub fn rings_full(&self) -> bool {
        self.gauges.rings.get() > self.unsent_limit()
    }

    /// The longest value that is held whole, in bytes: a thirty-second of the memory, and 64 KiB at least.
    pub fn longest_value(&self) -> usize {
        (self.unsent_limit() / 4).max(resp::MAX_VALUE_BYTES)
    }

    /// Whether arriving replies use all that they may: a quarter of the memory.
    pub fn arriving_full(&self) -> bool {
        self.gauges.arriving.get() > 2 * self.unsent_limit()
    }

    /// Descriptors for backends: what the others leave.
    pub fn upstream_limit(&self) -> usize {
        let all = self.descriptors();
        (all - OWN_DESCRIPTORS.min(all / 2))
            .saturating_sub(self.client_limit() + self.over_limit_clients())
            .max(1)
    }
}
