//! Configuration of a test cluster, and the addresses on which its components listen.
use crate::backends::Protocol;
use crate::loopback::LoopbackNetwork;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The default configuration file of gateways: RESP2 clients, admin API, discovery.
pub const BASE_CONFIG: &str = include_str!("base.toml");

/// Configuration of a test cluster. Gateways and backends are assigned to the zones in turn.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// Path of the gateway program.
    pub program: PathBuf,
    /// Number of gateways: at most 40.
    pub gateways: usize,
    /// Number of backends: at most 40.
    pub backends: usize,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Number of shards. Backend `n` holds shard `n / (backends / shards)`, so that the backends of a shard
    /// are in different zones.
    pub shards: usize,
    /// Whether the backends of a shard share their data.
    pub shared_storage: bool,
    /// Protocol of each backend; RESP2 for backends that are not listed.
    pub protocols: BTreeMap<usize, Protocol>,
    /// For iSCSI backends: number, volume and size in blocks of each LUN.
    pub luns: Vec<(u8, String, u64)>,
    /// Configuration file of each gateway, with placeholders (see [`ClusterConfig::placeholders`]).
    pub gateway_config: String,
    /// Values of further placeholders.
    pub extra_placeholders: BTreeMap<String, String>,
    /// Seed of all random choices.
    pub seed: u64,
}

impl ClusterConfig {
    /// Five gateways and eight backends in two zones; each shard is held in both zones.
    pub fn standard(program: &Path, seed: u64) -> ClusterConfig {
        ClusterConfig {
            program: program.into(),
            gateways: 5,
            backends: 8,
            zones: vec!["hall-a".into(), "hall-b".into()],
            shards: 4,
            shared_storage: true,
            protocols: BTreeMap::new(),
            luns: vec![],
            gateway_config: BASE_CONFIG.into(),
            extra_placeholders: BTreeMap::new(),
            seed,
        }
    }

    /// Adds sections to the configuration file of each gateway.
    pub fn with_sections(mut self, sections: &str) -> ClusterConfig {
        self.gateway_config = format!("{}\n{sections}", self.gateway_config);
        self
    }

    /// Name of a gateway.
    pub fn gateway_name(n: usize) -> String {
        format!("front-{n}")
    }

    /// Name of a backend.
    pub fn backend_name(n: usize) -> String {
        format!("box-{n}")
    }

    /// The shard that a backend holds.
    pub fn shard_of(&self, n: usize) -> usize {
        n / (self.backends / self.shards.max(1)).max(1)
    }

    /// The zone of a gateway or backend.
    pub fn zone_of(&self, n: usize) -> String {
        self.zones.get(n % self.zones.len().max(1)).cloned().unwrap_or_default()
    }

    /// Names of all gateways.
    pub fn gateway_names(&self) -> Vec<String> {
        (0..self.gateways).map(ClusterConfig::gateway_name).collect()
    }

    /// Names of all backends.
    pub fn backend_names(&self) -> Vec<String> {
        (0..self.backends).map(ClusterConfig::backend_name).collect()
    }

    /// Values of the placeholders in the configuration file of gateway `n`: `NAME`, `LISTEN`, `ADMIN`,
    /// `AGENT`, `HEALTH`, `ISCSI`, `DISCOVERY`, `STATE` (its state folder), `UDP` and `TCP` (the addresses on
    /// which it listens for other gateways), `UDP.front-N` and `TCP.front-N` (the addresses on which it
    /// reaches each other gateway, and for `N` itself its own; one port serves both), `HALL` (its zone),
    /// `HALLS` (all zones), `FRONTS` (the number of gateways), `SEED`, and the extra placeholders.
    pub fn placeholders(
        &self,
        network: &LoopbackNetwork,
        n: usize,
        folder: &Path,
    ) -> BTreeMap<String, String> {
        let mut values = self.extra_placeholders.clone();
        let mut insert = |key: &str, value: String| drop(values.insert(key.into(), value));
        let zones: Vec<String> = self.zones.iter().map(|h| format!("{h:?}")).collect();
        insert("NAME", ClusterConfig::gateway_name(n));
        insert("SEED", format!("{:x}", self.seed.wrapping_add(n as u64)));
        insert("FRONTS", self.gateways.to_string());
        insert("HALL", self.zone_of(n));
        insert("HALLS", zones.join(", "));
        insert(
            "STATE",
            folder.join(format!("{}-state", ClusterConfig::gateway_name(n))).display().to_string(),
        );
        insert("DISCOVERY", link_address(network, n, 8500).to_string());
        let own_ports = [
            ("LISTEN", 6379),
            ("AGENT", 6380),
            ("HEALTH", 6381),
            ("ADMIN", 6382),
            ("ISCSI", 3260),
            ("UDP", UDP_PORT),
            ("TCP", TCP_PORT),
        ];
        own_ports.iter().for_each(|(key, port)| insert(key, own_address(network, n, *port).to_string()));
        for key in ["UDP", "TCP"] {
            insert(
                &format!("{key}.{}", ClusterConfig::gateway_name(n)),
                own_address(network, n, UDP_PORT).to_string(),
            );
        }
        for other in (0..self.gateways).filter(|o| *o != n) {
            insert(
                &format!("UDP.{}", ClusterConfig::gateway_name(other)),
                link_address(network, n, UDP_PORT + 1 + other as u16).to_string(),
            );
            insert(
                &format!("TCP.{}", ClusterConfig::gateway_name(other)),
                link_address(network, n, TCP_PORT + 1 + other as u16).to_string(),
            );
        }
        values
    }
}

/// Port on which gateways listen for each other. The ports after it are the local ends of links to other
/// gateways.
pub(crate) const UDP_PORT: u16 = 7000;
/// The same port: a gateway that configures one address for both protocols is reachable there by both.
pub(crate) const TCP_PORT: u16 = UDP_PORT;
/// The first port on which a gateway reaches backends.
pub(crate) const BACKEND_PORT_BASE: u16 = 6400;

/// An address on which a gateway listens.
pub(crate) fn own_address(network: &LoopbackNetwork, n: usize, port: u16) -> SocketAddr {
    network.address(1 + n as u8, port)
}

/// The address on which a gateway reaches another component: the local end of a link.
pub(crate) fn link_address(network: &LoopbackNetwork, n: usize, port: u16) -> SocketAddr {
    network.address(50 + n as u8, port)
}

/// The address on which a backend listens for one gateway.
pub(crate) fn backend_address(network: &LoopbackNetwork, backend: usize, gateway: usize) -> SocketAddr {
    network.address(100 + backend as u8, BACKEND_PORT_BASE + gateway as u16)
}

/// The address on which discovery listens for one gateway.
pub(crate) fn discovery_address(network: &LoopbackNetwork, gateway: usize) -> SocketAddr {
    network.address(200, 8500 + gateway as u16)
}
