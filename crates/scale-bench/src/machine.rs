//! The machine that a measurement ran on.
use serde::Serialize;

/// Properties of the machine from `/proc`; unavailable ones are absent.
#[derive(Clone, Debug, Serialize)]
pub struct Machine {
    /// The processor's name.
    pub processor: Option<String>,
    /// Cores of the machine.
    pub cores: usize,
    /// Cores that this process may use, as the kernel lists them.
    pub allowed: Option<String>,
    /// Memory, in bytes.
    pub memory_bytes: Option<u64>,
    /// The kernel.
    pub kernel: Option<String>,
}

impl Machine {
    /// Reads the properties of this machine.
    pub fn detect() -> Machine {
        let read = |path: &str| std::fs::read_to_string(path).ok();
        let processors = read("/proc/cpuinfo").unwrap_or_default();
        let memory = read("/proc/meminfo").and_then(|t| status_field(&t, "MemTotal"));
        let kilobytes = memory.and_then(|m| m.trim_end_matches(" kB").parse::<u64>().ok());
        Machine {
            processor: status_field(&processors, "model name"),
            cores: processors.lines().filter(|l| l.starts_with("processor")).count(),
            allowed: read("/proc/self/status").and_then(|t| status_field(&t, "Cpus_allowed_list")),
            memory_bytes: kilobytes.map(|k| k * 1024),
            kernel: read("/proc/sys/kernel/osrelease").map(|t| t.trim().to_string()),
        }
    }
}

/// Returns the value of the first line `NAME: VALUE`.
pub(crate) fn status_field(text: &str, name: &str) -> Option<String> {
    let mut pairs = text.lines().filter_map(|line| line.split_once(':'));
    pairs.find(|(key, _)| key.trim() == name).map(|(_, value)| value.trim().to_string())
}
